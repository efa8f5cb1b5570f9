//! Tests of the log queue before standard output.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use hibiscusspread::command::log_queue::LogQueue;

/// An output that blocks on each line until the test allows it.
struct SlowOutput {
    allowed: Receiver<()>,
    lines: Sender<String>,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let _ = self.allowed.recv();
        let _ = self.lines.send(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a slow reader of the logs that delays requests, and against dropped lines that are not counted.
#[test]
fn slow_output_blocks_nobody_and_losses_are_counted() {
    let ((allow, allowed), (lines, seen)) = (channel(), channel());
    let queue = LogQueue::with_capacity(SlowOutput { allowed, lines }, 4);
    let started = Instant::now();
    for no in 0..100 {
        queue.push(format!("line {no}").into_bytes());
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    for _ in 0..6 {
        allow.send(()).expect("output lives");
    }
    let mut text = String::new();
    while let Ok(line) = seen.recv_timeout(Duration::from_millis(500)) {
        text.push_str(&line);
    }
    assert!(text.contains("line 0\n"), "{text}");
    assert!(text.contains("lines dropped"), "{text}");
}
