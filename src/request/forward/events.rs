//! Splits a stream into whole events. Holds no I/O.

use bytes::{Bytes, BytesMut};

/// The largest part of an event that is held back, in bytes. A longer one is passed on in parts.
const MAX_HELD: usize = 64 << 10;

/// Holds back the beginning of an event until the rest has come, so that a stream that breaks off can be
/// resumed after a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the whole events, which may be none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let whole = match end_of_events(&self.held) {
            0 if self.held.len() > MAX_HELD => self.held.len(),
            end => end,
        };
        let events = self.held.split_to(whole).freeze();
        if let Some(id) = last_id(&events) {
            self.last = Some(id);
        }
        events
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns what was held back when the stream ended as it should.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops the beginning of an event whose rest will not come.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }
}

/// Returns the length of the whole events at the start of `bytes`: up to and with the last empty line.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' {
            if matches!(&bytes[line..i], b"" | b"\r") {
                end = i + 1;
            }
            line = i + 1;
        }
    }
    end
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(id.trim().to_owned())
}
