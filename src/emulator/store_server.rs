//! The HTTP server of the store emulator.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Response;
use tokio::sync::watch;

use crate::connection::store::{
    STORE_PATH, StoreRequest, StoreResponse, WireChange, WireEntry, decode, encode,
};
use crate::emulator::http::{Body, BufferedRequest, EmulatorServer, Handler, bytes, json};
use crate::emulator::store::MemoryStore;
use crate::prelude::*;

/// Serves a store until the server is dropped. Connections are refused while `up` is false.
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
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        if req.uri().path() != STORE_PATH {
            return Some(json(404, &"unknown path"));
        }
        let call = match decode(req.body()) {
            Ok(call) => call,
            Err(problem) => return Some(json(400, &problem)),
        };
        let answer = match run(&*self.0, call).await {
            Ok(answer) => answer,
            // Emulates a reply lost after the write took effect: the connection closes without a response.
            Err(StoreError::Unknown { .. }) => return None,
            Err(e) => StoreResponse::Failed(e.into()),
        };
        Some(bytes(Bytes::from(encode(&answer))))
    }
}

async fn run(store: &dyn Store, call: StoreRequest) -> Result<StoreResponse, StoreError> {
    Ok(match call {
        StoreRequest::Get { key } => StoreResponse::Entry(store.get(&key).await?.map(entry)),
        StoreRequest::List { prefix } => {
            let found = store.list(&prefix).await?;
            StoreResponse::Entries(found.into_iter().map(entry).collect())
        }
        StoreRequest::Swap {
            key,
            expected,
            value,
            lease,
        } => {
            let expected = expected.map_or(Expected::Absent, Expected::At);
            StoreResponse::Revision(store.swap(&key, expected, value, lease).await?)
        }
        StoreRequest::Delete { key, revision } => {
            store.delete(&key, revision).await?;
            StoreResponse::Done
        }
        StoreRequest::GrantLease { ttl } => StoreResponse::Lease(store.grant_lease(ttl).await?),
        StoreRequest::RenewLease { lease } => {
            store.renew_lease(lease).await?;
            StoreResponse::Done
        }
        StoreRequest::RevokeLease { lease } => {
            store.revoke_lease(lease).await?;
            StoreResponse::Done
        }
        StoreRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            let changes = store.watch(&prefix, after, wait).await?;
            StoreResponse::Changes(changes.into_iter().map(change).collect())
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
