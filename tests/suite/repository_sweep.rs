//! Tests of deleting section texts that no version needs any more.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, timeout};

use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::prelude::*;
use hibiscusspread::version::repository::Repository;
use hibiscusspread::version::repository::record::{PENDING_PREFIX, section_key};
use hibiscusspread::version::repository::sweep::PENDING_EXPIRY;

use crate::repository::{customer, edit, fleet};

async fn keys(store: &MemoryStore, prefix: &str) -> BTreeSet<String> {
    let entries = store.list(prefix).await.expect("list");
    entries.into_iter().map(|entry| entry.key).collect()
}

/// Returns the keys of the texts that the history names; no run makes enough versions for one of them to be swept.
async fn needed(repository: &Repository) -> BTreeSet<String> {
    let history = repository.history(1_000).await.expect("history");
    let sections = history.iter().filter_map(|record| record.section.as_ref());
    sections.map(section_key).collect()
}

/// Guards against texts that stay in the store for ever after their edit lost to a concurrent one or its editor died,
/// and against the loss of a text that a version still needs while edits are concurrent.
#[tokio::test(start_paused = true)]
async fn texts_of_lost_edits_and_dead_editors_are_swept() {
    let mut leftovers = 0;
    for seed in 0..60 {
        let clock = Arc::new(ManualClock::default());
        let store = MemoryStore::new(clock.clone());
        let repository = Repository::new(store.clone(), clock.clone());
        let first = repository.edit(&edit("ops", fleet("a, b, c, d"))).await;
        first.expect("edit");
        let editors = (0..4_u64).map(|editor| {
            let repository = repository.clone();
            let clock = clock.clone();
            tokio::spawn(async move {
                let mut rng = StdRng::seed_from_u64(seed * 10 + editor);
                for _ in 0..8 {
                    let team = ["news", "sport", "radio"][rng.random_range(0..3)];
                    // Concurrent edits with equal texts share a key.
                    let change = edit(team, customer(team, rng.random_range(1..4)));
                    // The editor may die between two calls.
                    let life = Duration::from_millis(rng.random_range(5..60));
                    let _ = timeout(life, repository.edit(&change)).await;
                    // Some leftovers are old while others are being made.
                    clock.advance(PENDING_EXPIRY / 20);
                }
            })
        });
        let editors: Vec<_> = editors.collect();
        let mut rng = StdRng::seed_from_u64(seed + 1_000);
        while editors.iter().any(|editor| !editor.is_finished()) {
            store.set_faults(StoreFaults {
                outage: rng.random_ratio(1, 8),
                delay: Duration::from_millis(rng.random_range(1..4)),
                lost_replies: rng.random_range(0..2),
                calls_per_second: None,
            });
            sleep(Duration::from_millis(rng.random_range(1..15))).await;
        }
        store.set_faults(StoreFaults::default());
        // Later edits of another team; the first ones move the head past every version that was tried.
        for rate in 1..=40 {
            let done = repository.edit(&edit("tv", customer("tv", rate))).await;
            done.expect("edit");
            if rate == 1 {
                let held = keys(&store, "config/section/").await;
                let needed = needed(&repository).await;
                leftovers += held.difference(&needed).count();
                clock.advance(PENDING_EXPIRY);
            }
        }
        let held = keys(&store, "config/section/").await;
        assert_eq!(held, needed(&repository).await, "seed {seed}");
        let pending = keys(&store, PENDING_PREFIX).await;
        assert!(pending.is_empty(), "seed {seed}: {pending:?}");
    }
    println!("{leftovers} texts left behind in 60 runs, none after the sweep");
    assert!(leftovers > 20, "{leftovers}: the runs test nothing");
}
