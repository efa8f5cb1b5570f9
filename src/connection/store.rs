//! The HTTP client of the platform's key-value store, see `docs/protocols.md`.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::connection::codec;
use crate::prelude::*;
use crate::process::store::MAX_VALUE_BYTES;

/// The URL path of all calls.
pub const STORE_PATH: &str = "/v1/store";

/// The media type of requests and responses.
const MEDIA_TYPE: &str = "application/octet-stream";

/// The largest response read into memory, in bytes. A list of all sections of a configuration has some megabytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// `Store::get`.
    Get {
        /// The full key of the entry to read.
        key: String,
    },
    /// `Store::list`.
    List {
        /// The prefix of the keys.
        prefix: String,
    },
    /// `Store::swap`.
    Swap {
        /// The full key of the entry to write.
        key: String,
        /// The expected revision; `None` if there must be no entry.
        expected: Option<Revision>,
        /// The value to write, of at most `MAX_VALUE_BYTES`.
        value: Vec<u8>,
        /// The lease with which the entry ends.
        lease: Option<LeaseId>,
    },
    /// `Store::delete`.
    Delete {
        /// The full key of the entry to delete.
        key: String,
        /// The revision that the entry must still have.
        revision: Revision,
    },
    /// `Store::grant_lease`.
    GrantLease {
        /// The time after which the lease ends without renewal.
        ttl: Duration,
    },
    /// `Store::renew_lease`.
    RenewLease {
        /// The lease whose time to live starts again.
        lease: LeaseId,
    },
    /// `Store::revoke_lease`.
    RevokeLease {
        /// The lease to end, along with the entries attached to it.
        lease: LeaseId,
    },
    /// `Store::watch`.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// The revision of the last known change.
        after: Revision,
        /// The longest wait for a change.
        wait: Duration,
    },
}

/// The response to a `StoreRequest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// Responds to `Get`; `None` if there is no entry.
    Entry(Option<WireEntry>),
    /// Responds to `List`, in key order.
    Entries(Vec<WireEntry>),
    /// Responds to `Swap` with the new revision.
    Revision(Revision),
    /// Responds to `GrantLease` with the id of the new lease.
    Lease(LeaseId),
    /// Responds to `Delete`, `RenewLease` and `RevokeLease`.
    Done,
    /// Responds to `Watch`; empty if there was no change in time.
    Changes(Vec<WireChange>),
    /// Responds to any request that failed.
    Failed(WireFailure),
}

/// An entry as key, value and revision.
pub type WireEntry = (String, Vec<u8>, Revision);

/// A change as key, revision and the value written; `None` for a deletion.
pub type WireChange = (String, Revision, Option<Vec<u8>>);

/// The encoded form of a `StoreError`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireFailure {
    /// `StoreError::Conflict` with the current revision; `None` if the entry is absent.
    Conflict(Option<Revision>),
    /// `StoreError::Unavailable` with its cause.
    Unavailable(String),
    /// `StoreError::Unknown` with its cause.
    Unknown(String),
    /// `StoreError::Throttled` with the time after which a call may be admitted.
    Throttled(Duration),
    /// `StoreError::LeaseGone`.
    LeaseGone,
    /// `StoreError::TooLarge` with the size of the value in bytes.
    TooLarge(u64),
    /// `StoreError::Compacted`.
    Compacted,
}

impl From<StoreError> for WireFailure {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict { current } => Self::Conflict(current),
            StoreError::Unavailable { cause } => Self::Unavailable(cause),
            StoreError::Unknown { cause } => Self::Unknown(cause),
            StoreError::Throttled { retry_after } => Self::Throttled(retry_after),
            StoreError::LeaseGone => Self::LeaseGone,
            StoreError::TooLarge { size } => Self::TooLarge(size as u64),
            StoreError::Compacted => Self::Compacted,
        }
    }
}

impl From<WireFailure> for StoreError {
    fn from(failure: WireFailure) -> Self {
        match failure {
            WireFailure::Conflict(current) => Self::Conflict { current },
            WireFailure::Unavailable(cause) => Self::Unavailable { cause },
            WireFailure::Unknown(cause) => Self::Unknown { cause },
            WireFailure::Throttled(retry_after) => Self::Throttled { retry_after },
            WireFailure::LeaseGone => Self::LeaseGone,
            WireFailure::Compacted => Self::Compacted,
            WireFailure::TooLarge(size) => Self::TooLarge {
                size: usize::try_from(size).unwrap_or(usize::MAX),
            },
        }
    }
}

/// Encodes a `StoreRequest` or a `StoreResponse`.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    // Serializing these plain types into memory can't fail.
    codec::encode(message).unwrap_or_default()
}

/// Decodes a `StoreRequest` or a `StoreResponse`.
///
/// # Errors
/// Returns the cause if the message is malformed, truncated, too large or followed by other bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    codec::decode_exactly::<T, MAX_RESPONSE_BYTES>(bytes)
}

/// The limits of a store client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreClientSettings {
    /// The time limit of a call; a watch gets it in addition to its wait. The store responds in milliseconds.
    pub timeout: Duration,
    /// The most concurrent calls, not counting watches.
    pub max_calls: usize,
    /// The most concurrent watches. Each blocks a thread.
    pub max_watches: usize,
}

impl Default for StoreClientSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(3),
            max_calls: 16,
            max_watches: 4,
        }
    }
}

/// The client of the platform's key-value store over HTTP.
pub struct HttpStore {
    uri: String,
    settings: StoreClientSettings,
    calls: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl HttpStore {
    /// Creates a client for the store at `address` (`host:port`).
    pub fn new(address: &str, settings: StoreClientSettings) -> Self {
        Self {
            uri: format!("http://{address}{STORE_PATH}"),
            calls: Arc::new(Semaphore::new(settings.max_calls)),
            watches: Arc::new(Semaphore::new(settings.max_watches)),
            settings,
        }
    }

    async fn call(&self, call: StoreRequest) -> Result<StoreResponse, StoreError> {
        let (permits, timeout) = match &call {
            StoreRequest::Watch { wait, .. } => (&self.watches, self.settings.timeout + *wait),
            _ => (&self.calls, self.settings.timeout),
        };
        let deadline = tokio::time::Instant::now() + timeout;
        let permit = tokio::time::timeout_at(deadline, permits.clone().acquire_owned()).await;
        let in_time = tokio::time::Instant::now() < deadline;
        let (Ok(Ok(permit)), true) = (permit, in_time) else {
            let cause = "too many concurrent store calls".to_owned();
            return Err(StoreError::Unavailable { cause });
        };
        let uri = self.uri.clone();
        let exchange = tokio::task::spawn_blocking(move || {
            let result = exchange(&uri, &call, timeout);
            drop(permit);
            result
        });
        // The HTTP client applies its timeout to each read and write, so a slow response could take longer in total.
        let response = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok(response)) => response?,
            Ok(Err(e)) => return Err(unknown(&e)),
            Err(_) => return Err(unknown(&format!("no answer in {timeout:?}"))),
        };
        match response {
            StoreResponse::Failed(failure) => Err(failure.into()),
            response => Ok(response),
        }
    }
}

/// Sends one request over its own connection and reads the response.
fn exchange(
    uri: &str,
    call: &StoreRequest,
    timeout: Duration,
) -> Result<StoreResponse, StoreError> {
    let unavailable = |e: &dyn std::fmt::Display| StoreError::Unavailable {
        cause: e.to_string(),
    };
    let req = Request::post(uri)
        .header(CONTENT_TYPE, MEDIA_TYPE)
        .body(Body::from(encode(call)))
        .map_err(|e| unavailable(&e))?;
    let response = Client::new().with_global_timeout(timeout).request(req);
    let response = response.map_err(|e| match e.kind() {
        // Only connecting fails with this kind, and then no byte was sent.
        io::ErrorKind::ConnectionRefused => unavailable(&e),
        _ => unknown(&e),
    })?;
    let status = response.status();
    let mut bytes = Vec::new();
    let mut body = response.into_body().take(MAX_RESPONSE_BYTES as u64);
    body.read_to_end(&mut bytes).map_err(|e| unknown(&e))?;
    if status.is_client_error() {
        let text = String::from_utf8_lossy(&bytes);
        return Err(unavailable(&format!(
            "store refused the call: {status} {text}"
        )));
    }
    if !status.is_success() {
        return Err(unknown(&format!("store answered {status}")));
    }
    decode(&bytes).map_err(|e| unknown(&e))
}

fn unknown(cause: &dyn std::fmt::Display) -> StoreError {
    StoreError::Unknown {
        cause: cause.to_string(),
    }
}

fn wrong_response<T>() -> Result<T, StoreError> {
    Err(unknown(&"answer belongs to another call"))
}

fn entry((key, value, revision): WireEntry) -> StoreEntry {
    StoreEntry {
        key,
        value,
        revision,
    }
}

fn change((key, revision, value): WireChange) -> StoreChange {
    match value {
        Some(value) => StoreChange::Put(entry((key, value, revision))),
        None => StoreChange::Deleted { key, revision },
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let key = key.to_owned();
        match self.call(StoreRequest::Get { key }).await? {
            StoreResponse::Entry(found) => Ok(found.map(entry)),
            _ => wrong_response(),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let prefix = prefix.to_owned();
        match self.call(StoreRequest::List { prefix }).await? {
            StoreResponse::Entries(found) => Ok(found.into_iter().map(entry).collect()),
            _ => wrong_response(),
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        let call = StoreRequest::Swap {
            key: key.to_owned(),
            expected: match expected {
                Expected::Absent => None,
                Expected::At(revision) => Some(revision),
            },
            value,
            lease,
        };
        match self.call(call).await? {
            StoreResponse::Revision(revision) => Ok(revision),
            _ => wrong_response(),
        }
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        let key = key.to_owned();
        self.expect_done(StoreRequest::Delete { key, revision })
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        match self.call(StoreRequest::GrantLease { ttl }).await? {
            StoreResponse::Lease(lease) => Ok(lease),
            _ => wrong_response(),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.expect_done(StoreRequest::RenewLease { lease }).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.expect_done(StoreRequest::RevokeLease { lease }).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        let prefix = prefix.to_owned();
        let call = StoreRequest::Watch {
            prefix,
            after,
            wait,
        };
        match self.call(call).await? {
            StoreResponse::Changes(changes) => Ok(changes.into_iter().map(change).collect()),
            _ => wrong_response(),
        }
    }
}

impl HttpStore {
    async fn expect_done(&self, call: StoreRequest) -> Result<(), StoreError> {
        match self.call(call).await? {
            StoreResponse::Done => Ok(()),
            _ => wrong_response(),
        }
    }
}
