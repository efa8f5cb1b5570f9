//! A caller's socket, with a timeout on stalled writes. Also replaces the bare error responses of the HTTP library by
//! refusals in JSON.

pub mod response_framing;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::connection::caller_io::response_framing::{QueuedResponses, ResponseFraming};
use crate::connection::completion::refusal_json;
use crate::prelude::*;

/// A caller's socket with a write timeout and refusals in JSON.
pub struct CallerIo {
    socket: TokioIo<TcpStream>,
    timeout: Duration,
    /// The timer of the write timeout, while the caller reads nothing.
    stall_timer: Option<Pin<Box<Sleep>>>,
    framing: ResponseFraming,
    /// The unsent rest of a refusal that replaces one of the library, and the length of the library's in bytes.
    replacement: Option<(Bytes, usize)>,
}

impl CallerIo {
    /// Wraps a socket; a write fails after `timeout` without progress. `responses` gets each response of the handler before the
    /// HTTP library writes it.
    pub fn new(socket: TcpStream, timeout: Duration, responses: QueuedResponses) -> Self {
        Self {
            socket: TokioIo::new(socket),
            timeout,
            stall_timer: None,
            framing: ResponseFraming::new(responses),
            replacement: None,
        }
    }

    /// Returns the outcome of a write, or an error if writes have been pending for `timeout`.
    fn limit_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_ready() {
            self.stall_timer = None;
            return outcome;
        }
        let timeout = self.timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(stall_timer.as_mut().poll(cx));
        let cause = format!("caller took no byte for {timeout:?}");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }

    fn poll_write_with_timeout(
        &mut self,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.limit_stall(cx, outcome)
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl Write for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() {
            let handler_len = self.framing.handler_len(buf);
            if handler_len > 0 || buf.is_empty() {
                let outcome = self.poll_write_with_timeout(cx, &buf[..handler_len]);
                if let Poll::Ready(Ok(written)) = &outcome {
                    self.framing.record_written(*written);
                }
                return outcome;
            }
            self.replacement = Some((replacement_refusal(buf), buf.len()));
        }
        while let Some((mut rest, replaced_len)) = self.replacement.take() {
            if rest.is_empty() {
                return Poll::Ready(Ok(replaced_len));
            }
            let outcome = self.poll_write_with_timeout(cx, &rest);
            if let Poll::Ready(Ok(written)) = &outcome {
                rest.advance(*written);
            }
            self.replacement = Some((rest, replaced_len));
            ready!(outcome)?;
        }
        Poll::Ready(Ok(0))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.socket).poll_flush(cx);
        self.limit_stall(cx, outcome)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Builds the response that replaces the library's `head`, with the same status line.
fn replacement_refusal(head: &[u8]) -> Bytes {
    let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    let line = String::from_utf8_lossy(line);
    let refusal = if line.contains(" 400 ") {
        let message = "request is not valid HTTP/1.1; check its head";
        Refusal::not_run(RefusalKind::InvalidRequest, message)
    } else {
        let message = "request line and headers are too large; send fewer or shorter ones";
        Refusal::not_run(RefusalKind::TooLarge, message)
    };
    let body = refusal_json(&refusal);
    let mut message = format!(
        "{line}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend(body);
    Bytes::from(message)
}
