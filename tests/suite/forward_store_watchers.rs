//! How a forwarding host registers in the platform's store and reads from it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::Notify;

use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::Registration;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::store_watchers::StoreWatchers;
use hibiscusspread::process::shard::lock;

/// A store that records its calls.
struct RecordingStore {
    store: Arc<MemoryStore>,
    calls: Mutex<Vec<String>>,
}

impl RecordingStore {
    fn record(&self, call: &str, key: &str) {
        lock(&self.calls).push(format!("{call} {key}"));
    }
}

#[async_trait]
impl Store for RecordingStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.record("get", key);
        self.store.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.record("list", prefix);
        self.store.list(prefix).await
    }

    async fn list_allow_stale(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.record("list_allow_stale", prefix);
        self.store.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.record("swap", key);
        self.store.swap(key, expected, value, lease).await
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        self.store.delete(key, revision).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.record("lease", "");
        // The delay shows whether the list is read before the host has registered.
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke_lease(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        self.record("watch", prefix);
        self.store.watch(prefix, after, wait).await
    }
}

fn registration(host: &str, port: u16) -> Registration {
    Registration {
        host: host.into(),
        address: ([127, 0, 0, 1], port).into(),
        incarnation: port.into(),
        data_centre: "x".into(),
        capacity: 120,
    }
}

/// Guards against two hosts that start together and don't find each other, and against a store call by every host whenever another
/// one starts or stops.
#[tokio::test]
async fn hosts_are_listed_after_registration_and_then_at_intervals() {
    let store = Arc::new(RecordingStore {
        store: MemoryStore::new(Arc::new(SystemClock)),
        calls: Mutex::default(),
    });
    let settings = ForwardingSettings {
        host_list_interval: Duration::from_millis(400),
        ..ForwardingSettings::default()
    };
    let state = Arc::new(FleetState::new(&settings));
    let watchers = Arc::new(StoreWatchers {
        state: state.clone(),
        store: store.clone(),
        codec: Arc::new(PlatformStateCodec),
        clock: Arc::new(SystemClock),
        settings,
        registration: registration("host-1", 7001),
        registered: Notify::new(),
        logged_unreadable: Mutex::default(),
    });
    let (a, b) = (watchers.clone(), watchers.clone());
    let tasks = [
        tokio::spawn(async move { a.poll_hosts().await }),
        tokio::spawn(async move { b.keep_registered().await }),
    ];
    tokio::time::sleep(Duration::from_millis(150)).await;
    let calls = lock(&store.calls).clone();
    assert_eq!(calls, ["lease ", "swap hosts/host-1", "list hosts/"]);
    for no in 2..6 {
        let other = registration(&format!("host-{no}"), 7000 + no);
        let value = serde_json::to_vec(&other).expect("JSON");
        let key = format!("hosts/host-{no}");
        let put = store.store.swap(&key, Expected::Absent, value, None);
        put.await.expect("store answers");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let calls = lock(&store.calls).clone();
    assert_eq!(calls[3..], ["list_allow_stale hosts/"]);
    assert_eq!(state.peers().host_count(), 5);
    for task in tasks {
        task.abort();
    }
}
