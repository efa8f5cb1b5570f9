//! The record of a case: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case, to a file and to standard output.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record not written")),
        }
    }

    /// Returns the seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3}  {text}\n", self.seconds());
        print!("{line}");
        let _ = self.file.lock().expect("poisoned").write_all(line.as_bytes());
    }
}
