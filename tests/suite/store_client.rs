//! The store and the host list over HTTP.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use hibiscusspread::connection::host_list::HttpHostList;
use hibiscusspread::connection::store::{HttpStore, StoreClientSettings};
use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::host_list::LaggingHostList;
use hibiscusspread::emulator::http::{EmulatorServer, any_loopback};
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::emulator::store_server::serve_store;
use hibiscusspread::prelude::*;
use hibiscusspread::process::host_list::{HostList, ListedHost, ListedState};
use hibiscusspread::process::store::MAX_VALUE_BYTES;

use crate::fixtures::assert_matches;
use crate::fixtures::{lost_replies, outage};

struct Bench {
    clock: Arc<ManualClock>,
    memory: Arc<MemoryStore>,
    up: watch::Sender<bool>,
    server: EmulatorServer,
    store: HttpStore,
}

async fn bench(settings: StoreClientSettings) -> Bench {
    let clock = Arc::new(ManualClock::default());
    let memory = MemoryStore::new(clock.clone());
    let (up, is_up) = watch::channel(true);
    let server = serve_store(memory.clone(), any_loopback(), is_up).await;
    let server = server.expect("loopback binds");
    let store = HttpStore::new(&server.address().to_string(), settings);
    Bench {
        clock,
        memory,
        up,
        server,
        store,
    }
}

/// Guards against a call whose meaning changes on its way: each one must act as on the store itself.
#[tokio::test]
async fn carries_every_call() {
    let bench = bench(StoreClientSettings::default()).await;
    let (clock, memory, store) = (&bench.clock, &bench.memory, &bench.store);
    let value = vec![0, 255, 10, 13];
    let first = store
        .swap("a/1", Expected::Absent, value.clone(), None)
        .await;
    let first = first.expect("written");
    let conflict = store.swap("a/1", Expected::Absent, Vec::new(), None).await;
    assert_eq!(
        conflict,
        Err(StoreError::Conflict {
            current: Some(first)
        })
    );
    let lease = store.grant_lease(Duration::from_secs(30)).await;
    let lease = lease.expect("granted");
    let second = store.swap("a/2", Expected::Absent, value.clone(), Some(lease));
    let second = second.await.expect("written");
    assert_eq!(store.renew_lease(lease).await, Ok(()));
    assert_eq!(store.get("a/1").await, memory.get("a/1").await);
    assert_eq!(store.get("none").await, Ok(None));
    assert_eq!(store.list("a/").await, memory.list("a/").await);
    let changes = store.watch("a/", first, Duration::ZERO).await;
    assert_eq!(changes.map(|c| c.len()), Ok(1));
    clock.advance(Duration::from_secs(31));
    assert_eq!(store.renew_lease(lease).await, Err(StoreError::LeaseGone));
    let changes = store.watch("a/", second, Duration::ZERO).await;
    assert!(
        matches!(&changes.expect("read")[..], [StoreChange::Deleted { key, .. }] if key == "a/2")
    );
    assert_eq!(store.revoke_lease(lease).await, Ok(()));
    assert_eq!(store.delete("a/1", first).await, Ok(()));
    assert_eq!(
        store.delete("a/1", first).await,
        Err(StoreError::Conflict { current: None })
    );
    let large = vec![7; MAX_VALUE_BYTES];
    let revision = store.swap("large", Expected::Absent, large.clone(), None);
    assert!(revision.await.is_ok(), "the largest value is refused");
    let read = store.get("large").await.expect("read").expect("present");
    assert!(read.value == large, "the largest value changed");
    let size = MAX_VALUE_BYTES + 1;
    let too_large = store.swap("larger", Expected::Absent, vec![7; size], None);
    assert_eq!(too_large.await, Err(StoreError::TooLarge { size }));
}

/// Guards against a watch that misses a change or returns only when its time is over.
#[tokio::test]
async fn wakes_a_watch_at_a_change() {
    let bench = bench(StoreClientSettings::default()).await;
    let watch = bench.store.watch("k", 0, Duration::from_mins(1));
    let write = async {
        // The watch counts as a call once the store has it.
        while bench.memory.calls() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        bench
            .memory
            .swap("k", Expected::Absent, vec![1], None)
            .await
    };
    let both = async { tokio::join!(watch, write) };
    let (changes, written) = tokio::time::timeout(Duration::from_secs(20), both)
        .await
        .expect("watch wakes");
    assert!(written.is_ok());
    assert_eq!(changes.map(|c| c.len()), Ok(1));
}

/// Guards against a lost reply that is taken for a write without effect.
#[tokio::test]
async fn reports_a_lost_reply_as_unknown() {
    let bench = bench(StoreClientSettings::default()).await;
    bench.memory.set_faults(lost_replies(1));
    let found = bench.store.swap("k", Expected::Absent, vec![1], None).await;
    assert_matches!(found => Err(StoreError::Unknown { .. }));
    let entry = bench.store.get("k").await.expect("read");
    assert_eq!(
        entry.map(|e| e.value),
        Some(vec![1]),
        "the write took effect"
    );
}

/// Guards against a refused connection or an outage that counts as a write with an unknown outcome.
#[tokio::test]
async fn reports_a_refused_connection_as_unavailable() {
    let bench = bench(StoreClientSettings::default()).await;
    bench.up.send_replace(false);
    bench.server.wait_listening(false).await;
    let found = bench.store.swap("k", Expected::Absent, vec![1], None).await;
    assert_matches!(found => Err(StoreError::Unavailable { .. }));
    bench.up.send_replace(true);
    bench.server.wait_listening(true).await;
    assert_eq!(bench.store.get("k").await, Ok(None));
    bench.memory.set_faults(outage());
    assert_matches!(bench.store.get("k").await => Err(StoreError::Unavailable { .. }));
}

/// Guards against throttling that is not told apart from an outage.
#[tokio::test]
async fn reports_throttling() {
    let bench = bench(StoreClientSettings::default()).await;
    bench.memory.set_faults(StoreFaults {
        calls_per_second: Some(1),
        ..StoreFaults::default()
    });
    assert_eq!(bench.store.get("k").await, Ok(None));
    let retry_after = Duration::from_secs(1);
    let answer = bench.store.get("k").await;
    assert_eq!(answer, Err(StoreError::Throttled { retry_after }));
}

/// Guards against a store that accepts connections but never answers: the caller waits for ever, or more and more
/// threads do.
#[tokio::test]
async fn bounds_time_and_number_of_calls() {
    let silent = TcpListener::bind(any_loopback()).await.expect("binds");
    let address = silent.local_addr().expect("bound").to_string();
    let settings = StoreClientSettings {
        timeout: Duration::from_millis(300),
        calls: 2,
        watches: 1,
    };
    let store = HttpStore::new(&address, settings);
    let answers = tokio::join!(store.get("a"), store.get("b"), store.get("c"));
    let (unknown, unavailable): (Vec<_>, Vec<_>) = [answers.0, answers.1, answers.2]
        .into_iter()
        .map(|answer| answer.expect_err("nobody answers"))
        .partition(|e| matches!(e, StoreError::Unknown { .. }));
    assert_eq!(unknown.len(), 2, "sent calls have an unknown outcome");
    assert!(
        matches!(unavailable[..], [StoreError::Unavailable { .. }]),
        "{unavailable:?}"
    );
}

/// Guards against a host list that shows changes at once, unlike the platform's, or a client that takes an outage for
/// an empty list.
#[tokio::test]
async fn reads_the_lagging_host_list() {
    let clock = Arc::new(ManualClock::default());
    let listed = |state| ListedHost {
        host: "host-1".into(),
        data_centre: "a".into(),
        state,
    };
    let lag = Duration::from_secs(5);
    let list = LaggingHostList::new(clock.clone(), lag, vec![listed(ListedState::Live)]);
    let server = list.serve(any_loopback()).await.expect("loopback binds");
    let client = HttpHostList::new(&server.address().to_string());
    list.set(vec![listed(ListedState::Leaving)]);
    let live = Some(vec![listed(ListedState::Live)]);
    assert_eq!(client.hosts().await, live);
    clock.advance(lag);
    let leaving = Some(vec![listed(ListedState::Leaving)]);
    assert_eq!(client.hosts().await, leaving);
    list.set_outage(true);
    assert_eq!(client.hosts().await, None);
}
