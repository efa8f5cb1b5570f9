//! Finds where each response starts in the bytes that the HTTP library writes to a caller. Does no I/O.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, StatusCode};

use crate::process::shard::lock;

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The bytes of the line break after the content of a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// The handler's responses on one connection that the HTTP library has not begun to write, each as the method of its request.
#[derive(Debug, Default, Clone)]
pub struct QueuedResponses(Arc<Mutex<VecDeque<Method>>>);

impl QueuedResponses {
    /// Adds the response to a request with `method`, before the HTTP library gets it.
    pub fn push(&self, method: Method) {
        lock(&self.0).push_back(method);
    }

    fn pop(&self) -> Option<Method> {
        lock(&self.0).pop_front()
    }
}

/// What the next byte belongs to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// A head, of which it is the first byte.
    #[default]
    Head,
    /// A body with this many bytes left.
    Body(u64),
    /// The line with the size of a chunk; its digits so far give this size.
    ChunkSize(u64),
    /// A chunk with this many bytes left, including its line break.
    Chunk(u64),
    /// The trailers, which end with an empty line.
    Trailers { is_line_empty: bool },
    /// A body that ends with the connection.
    UntilClose,
}

/// Tells the handler's responses on one connection from the response with which the HTTP library refuses a request that it can't
/// parse. The library's response is the one that starts while none of the handler is queued; what it looks like says nothing, because
/// bodies may contain the same bytes.
#[derive(Debug)]
pub struct ResponseFraming {
    queued: QueuedResponses,
    position: Position,
    /// The bytes at the start of the library's buffer that belong to the handler's responses, as far as they were read.
    handler_len: usize,
    /// Whether the library's own response follows these bytes.
    has_refusal: bool,
}

impl ResponseFraming {
    /// Creates the framing of a new connection.
    pub fn new(queued: QueuedResponses) -> Self {
        Self {
            queued,
            position: Position::default(),
            handler_len: 0,
            has_refusal: false,
        }
    }

    /// Returns how many bytes at the start of `buf` belong to the handler's responses; the library's own response follows them.
    /// `buf` starts with the bytes of the last call that were not written.
    pub fn handler_len(&mut self, buf: &[u8]) -> usize {
        while !self.has_refusal && self.handler_len < buf.len() {
            match self.read(&buf[self.handler_len..]) {
                Some(len) => self.handler_len += len,
                None => self.has_refusal = true,
            }
        }
        self.handler_len
    }

    /// Records that the first `len` bytes of the buffer were written.
    pub fn record_written(&mut self, len: usize) {
        self.handler_len = self.handler_len.saturating_sub(len);
    }

    /// Moves over the next bytes and returns how many these were, or `None` at the start of the library's own response.
    fn read(&mut self, buf: &[u8]) -> Option<usize> {
        match self.position {
            Position::Head => return self.read_head(buf),
            Position::Body(left) => {
                let (len, left) = skip(buf, left);
                self.position = Position::after_body_bytes(left);
                return Some(len);
            }
            Position::Chunk(left) => {
                let (len, left) = skip(buf, left);
                self.position = match left {
                    0 => Position::ChunkSize(0),
                    left => Position::Chunk(left),
                };
                return Some(len);
            }
            Position::UntilClose => return Some(buf.len()),
            Position::ChunkSize(_) | Position::Trailers { .. } => {}
        }
        let byte = *buf.first()?;
        self.position = match self.position {
            Position::ChunkSize(0) if byte == b'\n' => Position::Trailers {
                is_line_empty: true,
            },
            Position::ChunkSize(size) if byte == b'\n' => Position::Chunk(size + CHUNK_END_BYTES),
            Position::ChunkSize(size) => {
                let digit = char::from(byte).to_digit(16);
                Position::ChunkSize(digit.map_or(size, |digit| (size << 4) | u64::from(digit)))
            }
            Position::Trailers {
                is_line_empty: true,
            } if byte == b'\n' => Position::Head,
            position if byte == b'\r' => position,
            _ => Position::Trailers {
                is_line_empty: byte == b'\n',
            },
        };
        Some(1)
    }

    fn read_head(&mut self, buf: &[u8]) -> Option<usize> {
        let end = buf.windows(HEAD_END.len()).position(|w| w == HEAD_END);
        let Some(end) = end else {
            // The library passes on heads in one piece. Without the end, nothing says where the next response starts.
            self.position = Position::UntilClose;
            return Some(buf.len());
        };
        let head = &buf[..end];
        let status = head.get(9..12).and_then(|status| {
            let status = StatusCode::from_bytes(status);
            status.ok()
        });
        // An interim response, such as 100 Continue, precedes the handler's.
        if !status.is_some_and(|status| status.is_informational()) {
            let method = self.queued.pop()?;
            self.position = Position::after_head(head, &method, status);
        }
        Some(end + HEAD_END.len())
    }
}

impl Position {
    fn after_head(head: &[u8], method: &Method, status: Option<StatusCode>) -> Self {
        let has_no_body = matches!(
            status,
            Some(StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        );
        if has_no_body || method == Method::HEAD {
            return Self::Head;
        }
        if header(head, TRANSFER_ENCODING.as_str()).is_some() {
            return Self::ChunkSize(0);
        }
        let length = header(head, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
        length.map_or(Self::UntilClose, Self::after_body_bytes)
    }

    fn after_body_bytes(left: u64) -> Self {
        match left {
            0 => Self::Head,
            left => Self::Body(left),
        }
    }
}

/// Returns how many of `left` bytes are in `buf`, and how many come later.
fn skip(buf: &[u8], left: u64) -> (usize, u64) {
    let len = usize::try_from(left).map_or(buf.len(), |left| left.min(buf.len()));
    (len, left - len as u64)
}

fn header<'a>(head: &'a [u8], name: &str) -> Option<&'a str> {
    head.split(|byte| *byte == b'\n').find_map(|line| {
        let (field, value) = std::str::from_utf8(line).ok()?.split_once(':')?;
        field.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
