//! Reads the bodies of callers' requests within bounds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::connection::caller_listener::CallerSettings;
use crate::prelude::*;
use crate::request::forward::transport::read_whole;

/// The wait that is told to callers when too many bodies are held; most requests end within seconds.
const BODY_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// The unit in which body memory is counted, so that the semaphore's `u32` suffices.
const KIB: usize = 1 << 10;

/// Reads bodies, each bounded in size and time, all together in memory.
#[derive(Debug)]
pub struct BodyReader {
    limit: usize,
    timeout: Duration,
    /// The KiB of body memory left.
    memory: Arc<Semaphore>,
}

impl BodyReader {
    /// Creates a reader.
    pub fn new(settings: &CallerSettings) -> Self {
        let memory = (settings.body_memory / KIB).min(Semaphore::MAX_PERMITS);
        Self {
            limit: settings.body_limit,
            timeout: settings.read_timeout,
            memory: Arc::new(Semaphore::new(memory)),
        }
    }

    /// Reads the rest of a refused request's body without keeping it. A connection that is closed with unread bytes
    /// is reset, and the caller may lose the refusal.
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
        // What the caller still sends after that is its own loss.
        let _ = tokio::time::timeout(self.timeout, discarding).await;
    }

    /// Reserves memory for a body; one of unknown length counts with the limit.
    fn reserve(&self, body: &Incoming) -> Result<OwnedSemaphorePermit, Refusal> {
        let limit = self.limit;
        let announced = body.size_hint().upper();
        let announced = announced.and_then(|size| usize::try_from(size).ok());
        let size = announced
            .map_or(limit, |size| size.min(limit))
            .div_ceil(KIB);
        let permits = u32::try_from(size).unwrap_or(u32::MAX);
        let reserved = self.memory.clone().try_acquire_many_owned(permits);
        reserved.map_err(|_| {
            let left = self.memory.available_permits();
            let message = "too many request bodies are held; repeat after the time in Retry-After";
            Refusal::not_run(RefusalKind::Overloaded, message)
                .with_retry_after(BODY_MEMORY_RETRY)
                .with_figures(format!("body={size} KiB left={left} KiB"))
        })
    }

    /// Reads a whole body and reserves memory for it.
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
