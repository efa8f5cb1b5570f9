//! The stand-in for the platform's store.

use std::time::Duration;

use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::prelude::*;

use crate::fixtures::RuntimeClock;

/// Guards against a waiting watch that is counted, or charged to the call budget, more than once: when it ends in vain
/// and when changes of other keys wake it.
#[tokio::test(start_paused = true)]
async fn a_watch_is_one_call() {
    let store = MemoryStore::new(RuntimeClock::start());
    let second = Duration::from_secs(1);
    let seen = store.watch("a/", 0, second).await.expect("watch");
    assert_eq!((seen, store.calls()), (Vec::new(), 1));
    store.set_faults(StoreFaults {
        calls_per_second: Some(5),
        ..StoreFaults::default()
    });
    let writes = async {
        for key in ["b/1", "b/2", "b/3", "a/1"] {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let written = store.swap(key, Expected::Absent, vec![1], None).await;
            written.expect("within the budget");
        }
    };
    let (seen, ()) = tokio::join!(store.watch("a/", 0, second), writes);
    assert_eq!(seen.expect("watch").len(), 1);
    assert_eq!(store.calls(), 1 + 1 + 4);
    store.set_faults(StoreFaults::default());
    // A watch that waits when the store fails gets no answer.
    let outage = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        store.set_faults(StoreFaults {
            outage: true,
            ..StoreFaults::default()
        });
    };
    let (seen, ()) = tokio::join!(store.watch("a/", 9, second), outage);
    assert!(matches!(seen, Err(StoreError::Unavailable { .. })));
}
