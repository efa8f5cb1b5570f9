//! Reads the bodies of callers' requests within limits on size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::connection::caller_listener::CallerSettings;
use crate::prelude::*;
use crate::request::forward::transport::read_whole;

/// The `Retry-After` of requests that are refused for lack of body memory; most requests end within seconds.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The bytes per permit of the memory semaphore. With one permit per byte, the `u32` for the permits of a body could
/// overflow.
const KIB: usize = 1 << 10;

/// Reads bodies, with limits on the size and time of each and on the memory of all together.
#[derive(Debug)]
pub struct BodyReader {
    /// The largest body, in bytes.
    limit: usize,
    /// The time to read one body.
    timeout: Duration,
    /// One permit for each free KiB of body memory.
    memory: Arc<Semaphore>,
}

impl BodyReader {
    /// Creates a reader with the body limits of `settings`.
    pub fn new(settings: &CallerSettings) -> Self {
        let memory = (settings.body_memory / KIB).min(Semaphore::MAX_PERMITS);
        Self {
            limit: settings.body_limit,
            timeout: settings.read_timeout,
            memory: Arc::new(Semaphore::new(memory)),
        }
    }

    /// Reads and drops the rest of a refused request's body, within the limits on size and time. Closing a connection
    /// with unread bytes resets it, and the caller may lose the refusal.
    pub async fn discard(&self, mut body: Incoming) {
        let mut left = self.limit;
        let discarding = async {
            while let Some(Ok(frame)) = body.frame().await {
                let size = frame.data_ref().map_or(0, Bytes::len);
                left = left.saturating_sub(size);
                if left == 0 {
                    return;
                }
            }
        };
        // On a timeout the refusal is sent with bytes left unread, and the caller may lose it.
        let _ = tokio::time::timeout(self.timeout, discarding).await;
    }

    /// Reserves memory for a body; a body of unknown length reserves the size limit.
    fn reserve(&self, body: &Incoming) -> Result<OwnedSemaphorePermit, Refusal> {
        let limit = self.limit;
        let declared = body.size_hint().upper();
        let declared = declared.and_then(|size| usize::try_from(size).ok());
        let size = declared.map_or(limit, |size| size.min(limit)).div_ceil(KIB);
        let permits = u32::try_from(size).unwrap_or(u32::MAX);
        let reserved = self.memory.clone().try_acquire_many_owned(permits);
        reserved.map_err(|_| {
            let left = self.memory.available_permits();
            let message = "too many request bodies are held; repeat after the time in Retry-After";
            Refusal::not_run(RefusalKind::Overloaded, message)
                .with_retry_after(BODY_MEMORY_RETRY_AFTER)
                .with_figures(format!("body={size} KiB left={left} KiB"))
        })
    }

    /// Reads a whole body and reserves memory for it until the permit is dropped.
    ///
    /// # Errors
    /// Returns `TooLarge`, `Overloaded` or `InvalidRequest`; the request has not run.
    pub async fn read(&self, mut body: Incoming) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
        let limit = self.limit;
        let too_large = || {
            let message = format!("body exceeds {limit} bytes; send a shorter one");
            Refusal::not_run(RefusalKind::TooLarge, message).with_figures(format!("limit={limit}"))
        };
        if body.size_hint().lower() > limit as u64 {
            self.discard(body).await;
            return Err(too_large());
        }
        let memory = match self.reserve(&body) {
            Ok(memory) => memory,
            Err(refusal) => {
                self.discard(body).await;
                return Err(refusal);
            }
        };
        match tokio::time::timeout(self.timeout, read_whole(&mut body, limit)).await {
            Ok(Ok(Some(bytes))) => Ok((bytes, memory)),
            Ok(Ok(None)) => {
                self.discard(body).await;
                Err(too_large())
            }
            Ok(Err(e)) => {
                let message = format!("body not readable: {e}");
                Err(Refusal::not_run(RefusalKind::InvalidRequest, message))
            }
            Err(_) => {
                let message = "body came too slowly; send it faster";
                Err(Refusal::not_run(RefusalKind::InvalidRequest, message))
            }
        }
    }
}
