//! The HTTP server of the stand-in store.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Response;
use tokio::sync::watch;

use crate::connection::store::{
    STORE_PATH, StoreAnswer, StoreCall, WireChange, WireEntry, decode, encode,
};
use crate::emulator::http::{Body, BufferedRequest, EmulatorServer, Handler, bytes, json};
use crate::emulator::store::MemoryStore;
use crate::prelude::*;

/// Serves a store until the server is dropped; while `up` is false, connections are refused.
///
/// # Errors
/// Returns the I/O error if the address can't be bound.
pub async fn serve_store(
    store: Arc<MemoryStore>,
    address: SocketAddr,
    up: watch::Receiver<bool>,
) -> std::io::Result<EmulatorServer> {
    EmulatorServer::start_switchable(address, Arc::new(StoreHandler(store)), up).await
}

struct StoreHandler(Arc<MemoryStore>);

#[async_trait]
impl Handler for StoreHandler {
    async fn answer(&self, req: BufferedRequest) -> Option<Response<Body>> {
        if req.uri().path() != STORE_PATH {
            return Some(json(404, &"unknown path"));
        }
        let call = match decode(req.body()) {
            Ok(call) => call,
            Err(problem) => return Some(json(400, &problem)),
        };
        let answer = match run(&*self.0, call).await {
            Ok(answer) => answer,
            // A reply that is lost after the write took effect: the connection closes without an answer.
            Err(StoreError::Unknown { .. }) => return None,
            Err(e) => StoreAnswer::Failed(e.into()),
        };
        Some(bytes(Bytes::from(encode(&answer))))
    }
}

async fn run(store: &dyn Store, call: StoreCall) -> Result<StoreAnswer, StoreError> {
    Ok(match call {
        StoreCall::Get { key } => StoreAnswer::Entry(store.get(&key).await?.map(entry)),
        StoreCall::List { prefix } => {
            let found = store.list(&prefix).await?;
            StoreAnswer::Entries(found.into_iter().map(entry).collect())
        }
        StoreCall::Swap {
            key,
            expected,
            value,
            lease,
        } => {
            let expected = expected.map_or(Expected::Absent, Expected::At);
            StoreAnswer::Revision(store.swap(&key, expected, value, lease).await?)
        }
        StoreCall::Delete { key, revision } => {
            store.delete(&key, revision).await?;
            StoreAnswer::Done
        }
        StoreCall::GrantLease { ttl } => StoreAnswer::Lease(store.grant_lease(ttl).await?),
        StoreCall::RenewLease { lease } => {
            store.renew_lease(lease).await?;
            StoreAnswer::Done
        }
        StoreCall::RevokeLease { lease } => {
            store.revoke_lease(lease).await?;
            StoreAnswer::Done
        }
        StoreCall::Watch {
            prefix,
            after,
            wait,
        } => {
            let changes = store.watch(&prefix, after, wait).await?;
            StoreAnswer::Changes(changes.into_iter().map(change).collect())
        }
    })
}

fn entry(entry: StoreEntry) -> WireEntry {
    (entry.key, entry.value, entry.revision)
}

fn change(change: StoreChange) -> WireChange {
    match change {
        StoreChange::Put(entry) => (entry.key, entry.revision, Some(entry.value)),
        StoreChange::Deleted { key, revision } => (key, revision, None),
    }
}
