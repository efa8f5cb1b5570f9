//! Splits a stream of server-sent events into whole events. Does no I/O.

use bytes::{Bytes, BytesMut};

/// The longest incomplete event that is held back. A longer one is passed on in parts.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Holds back the beginning of an event until the rest has arrived, so that a stream that breaks off can be
/// resumed after a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now whole, which may be none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let whole = match end_of_events(&self.held) {
            0 if self.held.len() > MAX_HELD_BYTES => self.held.len(),
            end => end,
        };
        let events = self.held.split_to(whole).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the bytes held back, for a stream that ended normally.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops an incomplete event whose rest won't arrive.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }
}

/// Returns the length of the whole events at the start of `bytes`, including the last empty line.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' {
            if matches!(&bytes[line_start..i], b"" | b"\r") {
                end = i + 1;
            }
            line_start = i + 1;
        }
    }
    end
}

/// Returns the last event id in `events`.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(id.trim().to_owned())
}
