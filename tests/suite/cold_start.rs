//! How hosts that start get the configuration without a burst of reads on the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep, timeout};

use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::load::slopes::documents::{section, sections};
use hibiscusspread::prelude::*;
use hibiscusspread::process::distribution::core::DistributionCore;
use hibiscusspread::process::distribution::event::{Action, Event};
use hibiscusspread::process::distribution::topology::{store_read_delay, watchers};
use hibiscusspread::process::message::{ConfigDelta, FetchSections, Head, SectionText};
use hibiscusspread::version::repository::Repository;

use crate::fixtures::RuntimeClock;
use crate::fleet::{Fleet, member};
use crate::repository::{edit, large_document};

/// The sections of the stored document; one more is the fleet's.
const TEAMS: usize = 30;

async fn stored_document() -> Arc<MemoryStore> {
    let store = MemoryStore::new(RuntimeClock::start());
    let repository = Repository::new(store.clone(), RuntimeClock::start());
    for (team, text) in large_document(TEAMS) {
        repository.edit(&edit(&team, text)).await.expect("edit");
    }
    store
}

/// Waits until every host is ready with the stored document; returns the seconds since `start`.
async fn ready(fleet: &Fleet, start: Instant) -> f64 {
    fleet.in_force(TEAMS as Version + 1).await;
    let unready = || {
        let now = Instant::now().into_std();
        fleet
            .hosts
            .iter()
            .any(|host| host.freshness.not_ready(now).is_some())
    };
    while unready() {
        sleep(Duration::from_millis(50)).await;
    }
    start.elapsed().as_secs_f64()
}

/// Guards against a restarted host that reads every text from the store although its peers have them, with the store
/// in order, slow and away.
#[tokio::test(start_paused = true)]
async fn a_restarted_host_reads_no_text_that_a_peer_has() {
    for (delay, cut) in [(1, false), (500, false), (1, true)] {
        let mut fleet = Fleet::start_on(stored_document().await, 20, |_, _| ());
        ready(&fleet, Instant::now()).await;
        let delay = Duration::from_millis(delay);
        fleet.store.set_faults(StoreFaults {
            delay,
            ..StoreFaults::default()
        });
        // A watcher and a host that is none.
        let ranked = watchers(&(0..20).map(member).collect::<Vec<_>>(), "a");
        for index in [0, 4] {
            println!(
                "restart of a watcher: {}",
                ranked.contains(&member(index).host)
            );
            fleet.restart(index, |_, line| line.cut.store(cut, Ordering::Relaxed));
            let took = ready(&fleet, Instant::now()).await;
            assert!(took < 3.0, "{took} s, store delay {delay:?}, cut {cut}");
            assert_eq!(fleet.text_reads()[index], 0, "delay {delay:?}, cut {cut}");
        }
    }
}

/// Guards against a burst of reads on the store, or a fleet that waits for ever, when all hosts start at once: in
/// order, with a slow store, with peers that answer nothing, and with watchers that can't reach the store.
#[tokio::test(start_paused = true)]
async fn a_whole_fleet_starts_with_the_reads_of_its_watchers() {
    let texts = TEAMS as u64 + 1;
    for hosts in [9, 50, 390] {
        let store = stored_document().await;
        let (calls, start) = (store.calls(), Instant::now());
        let fleet = Fleet::start_on(store, hosts, |_, _| ());
        let took = ready(&fleet, start).await;
        let reads: u64 = fleet.text_reads().iter().sum();
        let calls = fleet.store.calls() - calls;
        println!("{hosts} hosts at once: {reads} reads of texts of {calls} calls in {took:.1} s");
        assert!(reads <= 8 * texts, "{hosts} hosts: {reads} reads");
        assert!(took < 10.0, "{hosts} hosts: {took} s");
    }
    for case in ["slow store", "silent peers", "watchers without store"] {
        let store = stored_document().await;
        let delay = Duration::from_millis(if case == "slow store" { 500 } else { 1 });
        store.set_faults(StoreFaults {
            delay,
            ..StoreFaults::default()
        });
        let live: Vec<_> = (0..40).map(member).collect();
        let start = Instant::now();
        let fleet = Fleet::start_on(store, 40, |me, line| {
            let watches = watchers(&live, &me.data_centre).contains(&me.host);
            let cut = case == "watchers without store" && watches;
            line.cut.store(cut, Ordering::Relaxed);
        });
        if case == "silent peers" {
            fleet.hub.set_delay(Duration::from_hours(1));
        }
        let took = timeout(Duration::from_mins(2), ready(&fleet, start)).await;
        let took = took.unwrap_or_else(|_| panic!("{case}: some host never started"));
        let reads: u64 = fleet.text_reads().iter().sum();
        println!("40 hosts at once, {case}: {reads} reads of texts in {took:.1} s");
        // Without peers each host has to read for itself.
        let readers = if case == "silent peers" { 40 } else { 8 };
        assert!(reads <= readers * texts, "{case}: {reads} reads");
        assert!(took < 60.0, "{case}: {took} s");
    }
}

/// Guards against a burst of reads by hosts that start together and take themselves for watchers, because each knows
/// only the hosts that registered before it until it reads the records again after 10 s.
#[tokio::test(start_paused = true)]
async fn hosts_that_know_few_others_start_without_a_burst() {
    const HOSTS: usize = 200;
    let store = stored_document().await;
    store.set_faults(StoreFaults {
        delay: Duration::from_millis(5),
        ..StoreFaults::default()
    });
    let start = Instant::now();
    let fleet = Fleet::start_on(store, HOSTS, |_, _| ());
    let mut order: Vec<usize> = (0..HOSTS).collect();
    order.shuffle(&mut StdRng::seed_from_u64(1));
    let mut readers = 0;
    for (place, index) in order.iter().enumerate() {
        let live: Vec<_> = order[..=place].iter().map(|k| member(*k)).collect();
        let me = member(*index);
        readers += u64::from(watchers(&live, &me.data_centre).contains(&me.host));
        fleet.hosts[*index].members.set_live(live);
    }
    let took = ready(&fleet, start).await;
    let reads: u64 = fleet.text_reads().iter().sum();
    println!("{HOSTS} hosts that know few others: {reads} reads of texts in {took:.1} s");
    // The k-th host of a data centre is a watcher of those before it with a chance of 2 in k: 8 of 50 hosts on average.
    println!("{readers} take themselves for watchers");
    assert!(readers < HOSTS as u64 / 4);
    assert!(reads <= readers * (TEAMS as u64 + 1), "{reads} reads");
    assert!(took < 10.0, "{took} s");
}

/// Guards against hosts that read for themselves all at once when no host reaches a peer: 416 texts each have to fit
/// into 2,000 reads a second, and the last host must not wait for minutes.
#[test]
fn reads_without_peers_keep_to_the_stores_rate() {
    let live: Vec<_> = (0..390).map(member).collect();
    let mut turns: Vec<_> = live.iter().map(|me| store_read_delay(me, &live)).collect();
    turns.sort();
    for (index, first) in turns.iter().enumerate() {
        let together = turns[index..]
            .iter()
            .take_while(|turn| **turn < *first + Duration::from_secs(2))
            .count();
        assert!(together * 416 <= 2 * 2_000, "{together} hosts at {first:?}");
    }
    println!("390 hosts read between {:?} and {:?}", turns[0], turns[389]);
    assert!(turns[389] <= Duration::from_secs(150), "{:?}", turns[389]);
}

/// Guards against a peer whose wrong texts come into force, or that makes a host read all texts from the store.
#[test]
fn wrong_texts_of_a_peer_are_replaced_from_the_store() {
    let document = sections(100, 14);
    let parts: Vec<SectionText> = document
        .iter()
        .map(|(team, text)| section(team, 1, text.clone()))
        .collect();
    let head = Head {
        version: 1,
        sections: parts.iter().map(|part| part.section.clone()).collect(),
    };
    let now = std::time::Instant::now();
    let mut core = DistributionCore::new(member(0));
    core.handle(Event::Members(vec![member(0), member(4)]), now);
    let news = Event::StoreHead {
        asked_at: now,
        head: head.clone(),
    };
    let actions = core.handle(news, now);
    let from = member(4).host;
    let request = FetchSections {
        base: 0,
        after: None,
    };
    let host = from.clone();
    assert_eq!(actions, [Action::Fetch { host, request }]);
    // One text is damaged, one is another under its own right hash, one is missing.
    let mut offered = parts.clone();
    offered[0].text.push('#');
    offered[1] = section(&parts[1].section.team, 1, "# other\n".to_owned());
    offered.remove(2);
    let delta = ConfigDelta {
        base: 0,
        version: 1,
        changed: offered,
        removed: Vec::new(),
        next: None,
        result: head.digest(),
        age: Some(Duration::ZERO),
    };
    let fetched = Event::Fetched {
        from,
        asked_at: now,
        delta,
    };
    let actions = core.handle(fetched, now);
    assert_eq!(core.document().head().version, 0, "wrong texts in force");
    let [
        Action::Reject(error),
        Action::ReadTexts {
            asked_at,
            head,
            have,
        },
    ] = actions.as_slice()
    else {
        panic!("{actions:?}")
    };
    assert_eq!(error.reason(), "wrong_hash");
    let missing: Vec<_> = head
        .sections
        .iter()
        .filter(|section| !have.contains_key(&section.team))
        .cloned()
        .collect();
    let expected: Vec<_> = parts[..3].iter().map(|part| part.section.clone()).collect();
    assert_eq!(
        missing, expected,
        "other texts are read than the wrong ones"
    );
    assert!(
        have.iter()
            .all(|(team, (_, text))| **text == *document[team]),
        "a wrong text was kept"
    );
    let texts: BTreeMap<TeamId, Arc<str>> = document
        .iter()
        .map(|(team, text)| (team.clone(), text.as_str().into()))
        .collect();
    let (asked_at, head) = (*asked_at, head.clone());
    let actions = core.handle(
        Event::StoreTexts {
            asked_at,
            head,
            texts,
        },
        now,
    );
    assert!(matches!(actions[0], Action::PutInForce(_)), "{actions:?}");
    assert!(actions.iter().any(|a| matches!(a, Action::Confirm(_))));
}
