//! Stand-ins that several tests share: engines, a clock, members and compiled documents.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use async_trait::async_trait;
use hibiscusspread::emulator::http::any_loopback;
use hibiscusspread::emulator::store::StoreFaults;
use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{Heartbeat, Member};
use hibiscusspread::request::engine::{
    CacheEvents, DecodeJob, EngineLoad, Order, PrefillJob, PrefillResult,
};
use hibiscusspread::request::flow::Envelope;
use hibiscusspread::version::cell::VersionCell;
use hibiscusspread::version::compiled::Compiled;
use hibiscusspread::version::document::{compile, split};
use hibiscusspread::version::key::hash_key;

/// A clock that follows tokio's, which tests pause.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock(tokio::time::Instant);

impl RuntimeClock {
    /// Returns a clock whose calendar starts at a fixed time.
    pub fn start() -> Arc<Self> {
        Arc::new(Self(tokio::time::Instant::now()))
    }
}

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_hours(500_000) + self.0.elapsed()
    }
}

/// Returns a live host of a data centre.
pub fn member(host: &str, data_centre: &str) -> Member {
    Member {
        host: host.into(),
        data_centre: data_centre.into(),
        address: any_loopback(),
        incarnation: 1,
        leaving: false,
    }
}

/// Returns a heartbeat that suspects nobody.
pub fn heartbeat(from: Member) -> Heartbeat {
    Heartbeat {
        from,
        version: 0,
        age: None,
        suspected: [].into_iter().collect(),
        out: false,
    }
}

/// Compiles a document.
pub fn compiled(version: Version, document: &str) -> Compiled {
    let sections = split("test", document).expect("document splits");
    compile(version, &sections).expect("document compiles")
}

/// Returns a cell with a document in force as version 1.
pub fn versions(document: &str) -> Arc<VersionCell> {
    let versions = Arc::new(VersionCell::default());
    versions.advance(compiled(1, document));
    versions
}

/// Returns the faults of a store that is away.
pub fn outage() -> StoreFaults {
    StoreFaults {
        outage: true,
        ..StoreFaults::default()
    }
}

/// Returns the faults of a store that loses its next replies.
pub fn lost_replies(count: u32) -> StoreFaults {
    StoreFaults {
        lost_replies: count,
        ..StoreFaults::default()
    }
}

/// Returns the faults of a store that takes this time for a call.
pub fn delayed(delay: Duration) -> StoreFaults {
    StoreFaults {
        delay,
        ..StoreFaults::default()
    }
}

/// The calls of an engine that a test expects; any other call panics.
#[async_trait]
pub trait StubEngine: Send + Sync {
    async fn prefill(&self, _: PrefillJob) -> Result<PrefillResult, UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn decode(&self, _: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn resume(
        &self,
        _: RequestId,
        _: AttemptNo,
        _: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn cancel(&self, _: RequestId, _: AttemptNo) -> Result<(), UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, UpstreamError> {
        unreachable!("this engine expects other calls")
    }

    async fn order(&self, _: Order) -> Result<(), UpstreamError> {
        unreachable!("this engine expects other calls")
    }
}

/// Returns the error of an engine that takes no connection.
pub fn refused() -> UpstreamError {
    UpstreamError::not_run(UpstreamErrorKind::Unreachable, "refused")
}

struct Whole<T>(T);

#[async_trait]
impl<T: StubEngine> Engine for Whole<T> {
    async fn prefill(&self, job: PrefillJob) -> Result<PrefillResult, UpstreamError> {
        self.0.prefill(job).await
    }

    async fn decode(&self, job: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError> {
        self.0.decode(job).await
    }

    async fn resume(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        self.0.resume(request, attempt, offset).await
    }

    async fn cancel(&self, request: RequestId, attempt: AttemptNo) -> Result<(), UpstreamError> {
        self.0.cancel(request, attempt).await
    }

    async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        self.0.load().await
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, UpstreamError> {
        self.0.cache_events(from).await
    }

    async fn order(&self, order: Order) -> Result<(), UpstreamError> {
        self.0.order(order).await
    }
}

/// Upstreams of engines that a function makes for an address; there are no plain services.
pub struct EnginesOnly<F>(pub F);

impl<T, F> UpstreamClients for EnginesOnly<F>
where
    T: StubEngine + 'static,
    F: Fn(&str) -> T + Send + Sync,
{
    fn engine(&self, address: &str) -> Arc<dyn Engine> {
        Arc::new(Whole((self.0)(address)))
    }

    fn service(&self, _: &str) -> Arc<dyn Service> {
        unreachable!("there are engines only")
    }
}

/// Asserts that a value matches a pattern, and shows the value if not.
macro_rules! assert_matches {
    ($value:expr => $($pattern:tt)+) => {
        match $value {
            $($pattern)+ => {}
            other => panic!("{other:?} is not {}", stringify!($($pattern)+)),
        }
    };
}
pub(crate) use assert_matches;

/// Returns a new request for a completion from a caller with this key.
pub fn completion_envelope(key: &str) -> Envelope {
    Envelope {
        request: rand::random(),
        path: "/v1/completions".to_owned(),
        key_hash: Some(hash_key(key)),
        idempotency_key: None,
    }
}
