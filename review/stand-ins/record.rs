//! The record of a run: what was sent, answered and run, each line with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Starts the record at `path`.
pub fn start(path: &Path) {
    let file = File::create(path).expect("record can't be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Adds a line to the record.
pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().expect("record is poisoned");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
