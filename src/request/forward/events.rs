//! Splits a stream of server-sent events into whole events. Does no I/O.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// The longest event. What goes on for longer without the end of an event is no event stream.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// An upstream sent more than `MAX_EVENT_BYTES` without the end of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

impl fmt::Display for OversizedEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event above {MAX_EVENT_BYTES} bytes; check what the upstream sends"
        )
    }
}

impl std::error::Error for OversizedEvent {}

/// Finds the ends of events in a stream that is passed on as it arrives.
#[derive(Debug, Default)]
pub struct EventMeter {
    /// The bytes since the end of the last whole event.
    open_bytes: usize,
    /// Whether the current line has no text yet.
    is_line_empty: bool,
}

impl EventMeter {
    /// Counts bytes that are passed on. Returns whether an event ended in them.
    ///
    /// # Errors
    /// Returns `OversizedEvent` if the current event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<bool, OversizedEvent> {
        let mut has_ended = false;
        for byte in bytes {
            self.open_bytes += 1;
            match byte {
                b'\n' if self.is_line_empty => {
                    has_ended = true;
                    self.open_bytes = 0;
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        if self.open_bytes > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok(has_ended)
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.open_bytes > 0
    }
}

/// Holds back the beginning of an event until the rest has arrived, so that a stream that breaks off can be
/// resumed after a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now whole, which may be none.
    ///
    /// # Errors
    /// Returns `OversizedEvent` if the event that is held back is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, OversizedEvent> {
        self.held.extend_from_slice(bytes);
        let whole = end_of_events(&self.held);
        let events = self.held.split_to(whole).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        if self.held.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok(events)
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.held.is_empty()
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
