//! The client of the platform's key-value service, see `docs/protocols.md`.

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

/// The path of all calls.
pub const STORE_PATH: &str = "/v1/store";

/// The media type of calls and answers.
const MEDIA_TYPE: &str = "application/octet-stream";

/// The largest answer read into memory, in bytes. A list of all sections of a configuration has some megabytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// `Store::get`.
    Get {
        /// The key.
        key: String,
    },
    /// `Store::list`.
    List {
        /// The prefix.
        prefix: String,
    },
    /// `Store::swap`.
    Swap {
        /// The key.
        key: String,
        /// The revision expected; `None` for no entry.
        expected: Option<Revision>,
        /// The value.
        value: Vec<u8>,
        /// The lease.
        lease: Option<LeaseId>,
    },
    /// `Store::delete`.
    Delete {
        /// The key.
        key: String,
        /// The revision expected.
        revision: Revision,
    },
    /// `Store::grant_lease`.
    GrantLease {
        /// The time to live.
        ttl: Duration,
    },
    /// `Store::renew_lease`.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// `Store::revoke_lease`.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
    /// `Store::watch`.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision of the last change known.
        after: Revision,
        /// The time to wait for a change.
        wait: Duration,
    },
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// To `Get`.
    Entry(Option<WireEntry>),
    /// To `List`.
    Entries(Vec<WireEntry>),
    /// To `Swap`.
    Revision(Revision),
    /// To `GrantLease`.
    Lease(LeaseId),
    /// To `Delete`, `RenewLease` and `RevokeLease`.
    Done,
    /// To `Watch`.
    Changes(Vec<WireChange>),
    /// To a call that failed.
    Failed(WireFailure),
}

/// An entry as key, value and revision.
pub type WireEntry = (String, Vec<u8>, Revision);

/// A change as key, revision and the value written; `None` for a deletion.
pub type WireChange = (String, Revision, Option<Vec<u8>>);

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireFailure {
    /// `StoreError::Conflict`.
    Conflict(Option<Revision>),
    /// `StoreError::Unavailable`.
    Unavailable(String),
    /// `StoreError::Unknown`.
    Unknown(String),
    /// `StoreError::Throttled`.
    Throttled(Duration),
    /// `StoreError::LeaseGone`.
    LeaseGone,
    /// `StoreError::TooLarge`.
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

/// Writes a call or an answer.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    // Serializing these plain types into memory can't fail.
    codec::encode(message).unwrap_or_default()
}

/// Reads a call or an answer.
///
/// # Errors
/// Returns what does not parse.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    codec::decode_exactly::<T, MAX_ANSWER_BYTES>(bytes)
}

/// The settings of a store client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreClientSettings {
    /// The time limit of a call. The store answers in milliseconds.
    pub timeout: Duration,
    /// The calls under way at once, without watches.
    pub max_calls: usize,
    /// The watches under way at once. Each holds a thread.
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

/// The platform's key-value service, reached over HTTP.
pub struct HttpStore {
    uri: String,
    settings: StoreClientSettings,
    calls: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl HttpStore {
    /// Creates a client for the service at `address`.
    pub fn new(address: &str, settings: StoreClientSettings) -> Self {
        Self {
            uri: format!("http://{address}{STORE_PATH}"),
            calls: Arc::new(Semaphore::new(settings.max_calls)),
            watches: Arc::new(Semaphore::new(settings.max_watches)),
            settings,
        }
    }

    async fn call(&self, call: StoreRequest) -> Result<StoreResponse, StoreError> {
        let (bound, timeout) = match &call {
            StoreRequest::Watch { wait, .. } => (&self.watches, self.settings.timeout + *wait),
            _ => (&self.calls, self.settings.timeout),
        };
        let deadline = tokio::time::Instant::now() + timeout;
        let permit = tokio::time::timeout_at(deadline, bound.clone().acquire_owned()).await;
        let in_time = tokio::time::Instant::now() < deadline;
        let (Ok(Ok(permit)), true) = (permit, in_time) else {
            let cause = "too many store calls under way".to_owned();
            return Err(StoreError::Unavailable { cause });
        };
        let uri = self.uri.clone();
        let exchange = tokio::task::spawn_blocking(move || {
            let result = exchange(&uri, &call, timeout);
            drop(permit);
            result
        });
        // The client's own timeout holds for each read and write, so a slow trickle could exceed it in all.
        let answer = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok(answer)) => answer?,
            Ok(Err(e)) => return Err(unknown(&e)),
            Err(_) => return Err(unknown(&format!("no answer in {timeout:?}"))),
        };
        match answer {
            StoreResponse::Failed(failure) => Err(failure.into()),
            answer => Ok(answer),
        }
    }
}

/// Sends one call over its own connection and reads the answer.
fn exchange(
    uri: &str,
    call: &StoreRequest,
    timeout: Duration,
) -> Result<StoreResponse, StoreError> {
    let unsent = |e: &dyn std::fmt::Display| StoreError::Unavailable {
        cause: e.to_string(),
    };
    let req = Request::post(uri)
        .header(CONTENT_TYPE, MEDIA_TYPE)
        .body(Body::from(encode(call)))
        .map_err(|e| unsent(&e))?;
    let response = Client::new().with_global_timeout(timeout).request(req);
    let response = response.map_err(|e| match e.kind() {
        // Only opening a connection can be refused; then no byte was sent.
        io::ErrorKind::ConnectionRefused => unsent(&e),
        _ => unknown(&e),
    })?;
    let status = response.status();
    let mut bytes = Vec::new();
    let mut body = response.into_body().take(MAX_ANSWER_BYTES as u64);
    body.read_to_end(&mut bytes).map_err(|e| unknown(&e))?;
    if status.is_client_error() {
        let text = String::from_utf8_lossy(&bytes);
        return Err(unsent(&format!("store refused the call: {status} {text}")));
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

fn mismatched<T>() -> Result<T, StoreError> {
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
            _ => mismatched(),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let prefix = prefix.to_owned();
        match self.call(StoreRequest::List { prefix }).await? {
            StoreResponse::Entries(found) => Ok(found.into_iter().map(entry).collect()),
            _ => mismatched(),
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
            _ => mismatched(),
        }
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        let key = key.to_owned();
        self.done(StoreRequest::Delete { key, revision }).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        match self.call(StoreRequest::GrantLease { ttl }).await? {
            StoreResponse::Lease(lease) => Ok(lease),
            _ => mismatched(),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.done(StoreRequest::RenewLease { lease }).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.done(StoreRequest::RevokeLease { lease }).await
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
            _ => mismatched(),
        }
    }
}

impl HttpStore {
    async fn done(&self, call: StoreRequest) -> Result<(), StoreError> {
        match self.call(call).await? {
            StoreResponse::Done => Ok(()),
            _ => mismatched(),
        }
    }
}
