//! Writes log lines to standard output through a bounded queue, so that a slow reader never delays a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::command::logging::format_line;
use crate::process::metrics;

/// The maximum number of queued lines; about a megabyte at some hundred bytes a line.
const MAX_QUEUED_LINES: usize = 4096;

/// The longest wait in each of the two steps of a flush, which also runs when the process ends: queueing it and
/// writing the lines before it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Entry {
    Line(Vec<u8>),
    /// Asks for a reply once all lines before it have been written.
    Flush(Sender<()>),
}

/// A log writer whose writes never block: lines that find the queue full are dropped and counted.
pub struct LogQueue {
    tx: Sender<Entry>,
    dropped: Arc<AtomicU64>,
    _writer: JoinHandle<()>,
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        Self::with_capacity(out, MAX_QUEUED_LINES)
    }

    /// Starts the thread that writes to `out`, with room for `capacity` lines.
    pub fn with_capacity(out: impl Write + Send + 'static, capacity: usize) -> Self {
        let (tx, rx) = bounded(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let writer = std::thread::spawn(move || write_lines(&rx, out, &counter));
        Self {
            tx,
            dropped,
            _writer: writer,
        }
    }

    /// Puts a line into the queue, or counts it as dropped.
    pub fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Entry::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            ::metrics::counter!(metrics::LOG_LINES_DROPPED).increment(1);
        }
    }

    /// Waits up to 400 ms until the queued lines are written.
    pub fn flush_queue(&self) {
        let (tx, rx) = bounded(1);
        if self
            .tx
            .send_timeout(Entry::Flush(tx), FLUSH_TIMEOUT)
            .is_ok()
        {
            // If the reader is still too slow, the remaining lines are lost.
            let _: Result<(), RecvTimeoutError> = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(rx: &Receiver<Entry>, mut out: impl Write, dropped: &AtomicU64) {
    for entry in rx {
        // An error of the log output can't be logged.
        let _ = match entry {
            Entry::Line(mut line) => {
                line.push(b'\n');
                let lost = dropped.swap(0, Ordering::Relaxed);
                if lost > 0 {
                    line.extend_from_slice(
                        format!("WARN log: {lost} lines dropped, output too slow\n").as_bytes(),
                    );
                }
                out.write_all(&line)
            }
            Entry::Flush(done) => {
                let flushed = out.flush();
                let _ = done.send(());
                flushed
            }
        };
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        format_line(&mut line, now, record)?;
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.flush_queue();
        Ok(())
    }
}
