//! Assembles an answer from the frames of one or more attempts.

use std::fmt;

use crate::prelude::*;
use crate::request::engine::FinishReason;

/// What a frame adds to the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerUpdate {
    /// The text of the next token.
    Token(String),
    /// The end of the answer.
    End(FinishReason),
    /// Nothing: the frame repeats a token, or belongs to an older attempt or another request.
    Skip,
}

/// A stream that lost tokens; the reader reopens it at `AnswerCursor::offset`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// Tokens are missing before this frame.
    Gap {
        /// The offset of the next token.
        expected: u32,
        /// The offset of the frame.
        got: u32,
    },
    /// The end of the answer is not at the next offset.
    EndMisplaced {
        /// The offset of the next token.
        expected: u32,
        /// The offset of the frame.
        got: u32,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, got } => write!(f, "token {got} came instead of {expected}"),
            Self::EndMisplaced { expected, got } => {
                write!(f, "end mark at {got} instead of {expected}")
            }
        }
    }
}

/// The position in a request's answer.
#[derive(Debug, Clone)]
pub struct AnswerCursor {
    request: RequestId,
    attempt: AttemptNo,
    offset: u32,
    ended: bool,
}

impl AnswerCursor {
    /// Creates a cursor before the first token of the first attempt.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            attempt: 1,
            offset: 0,
            ended: false,
        }
    }

    /// Returns the id of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the current attempt, the only one whose frames are accepted.
    pub fn attempt(&self) -> AttemptNo {
        self.attempt
    }

    /// Returns the offset of the next token.
    pub fn offset(&self) -> u32 {
        self.offset
    }

    /// Starts the next attempt and returns its number; frames of older attempts are skipped from now on.
    pub fn next_attempt(&mut self) -> AttemptNo {
        self.attempt += 1;
        self.attempt
    }

    /// Checks a frame against the position, and moves on if it is the next one.
    ///
    /// # Errors
    /// Returns a `StreamError` if the frame shows that tokens are missing.
    pub fn accept(&mut self, frame: Frame) -> Result<AnswerUpdate, StreamError> {
        if frame.request != self.request || frame.attempt != self.attempt || self.ended {
            return Ok(AnswerUpdate::Skip);
        }
        let expected = self.offset;
        match frame.content {
            FrameContent::Token(_) if frame.offset < expected => Ok(AnswerUpdate::Skip),
            FrameContent::Token(_) if frame.offset > expected => Err(StreamError::Gap {
                expected,
                got: frame.offset,
            }),
            FrameContent::Token(text) => {
                self.offset += 1;
                Ok(AnswerUpdate::Token(text))
            }
            FrameContent::End(_) if frame.offset != expected => Err(StreamError::EndMisplaced {
                expected,
                got: frame.offset,
            }),
            FrameContent::End(reason) => {
                self.ended = true;
                Ok(AnswerUpdate::End(reason))
            }
        }
    }
}
