//! Tests of a whole fleet with two failures at the same time. Each checks the invariants of the random runs at its end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use hibiscusspread::emulator::engine::{CrashPhase, EngineFaults};
use hibiscusspread::emulator::store::StoreFaults;
use hibiscusspread::process::quarantine::MAX_CRASHES;

use crate::fixtures::outage;
use crate::runtime_fleet::Fleet;

/// Longer than a pool owner takes to copy a placement to its standby.
const STANDBY_COPY_WAIT: Duration = Duration::from_millis(500);

/// Guards against engine memory that stays reserved when the entry host and the pool owner die together, so that only
/// the standby still lists the attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_host_and_pool_owner_die_in_decode() {
    let mut fleet =
        Fleet::start(|shape| shape.engine.token_interval = Duration::from_millis(50)).await;
    let ranked = fleet.pool_owners("a");
    let caller = fleet.caller(&ranked[2]);
    let stream = tokio::spawn(async move { caller.complete(3_000).await });
    fleet.decoding().await;
    tokio::time::sleep(STANDBY_COPY_WAIT).await;
    fleet.crash(&ranked[2]);
    fleet.crash(&ranked[0]);
    stream.await.expect("caller does not panic");
    assert_eq!(
        fleet.observations().failed,
        1,
        "the stream broke with its host"
    );
    fleet.complete_until_answered(&ranked[1]).await;
    fleet.check_invariants().await;
}

/// Guards against customers that are refused in a data centre because their owner died while the store, which a
/// takeover needs, is unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_is_away_while_a_customers_owner_dies() {
    let mut fleet = Fleet::start(|_| ()).await;
    let owner = fleet.customer_owner("a").await;
    fleet.complete_until_answered(&owner).await;
    fleet.environment.store.set_faults(outage());
    fleet.crash(&owner);
    let others: Vec<_> = fleet
        .hosts_of("a")
        .into_iter()
        .filter(|h| *h != owner)
        .collect();
    for host in &others {
        fleet.complete_until_answered(host).await;
    }
    fleet.environment.store.set_faults(StoreFaults::default());
    fleet.complete_until_answered(&others[0]).await;
    fleet.check_invariants().await;
}

/// Guards against an answer that is cut off or prefilled again when its connection stalls while the pool moves to
/// another owner, which must learn that the attempt still runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decode_connection_goes_silent_while_the_pool_owner_is_replaced() {
    let mut fleet = Fleet::start(|_| ()).await;
    for engine in &fleet.environment.engines {
        engine.set_faults(EngineFaults {
            silent_after: Some(80),
            ..EngineFaults::default()
        });
    }
    let ranked = fleet.pool_owners("a");
    let caller = fleet.caller(&ranked[2]);
    // The engine goes silent after 0.4 s; the stream outlasts the 5 s in which attempts must be adopted.
    let stream = tokio::spawn(async move { caller.complete(2_500).await });
    fleet.decoding().await;
    tokio::time::sleep(STANDBY_COPY_WAIT).await;
    fleet.crash(&ranked[0]);
    stream.await.expect("caller does not panic");
    assert_eq!(fleet.answered_and_failed(), (1, 0));
    assert_eq!(
        fleet.sum(|c| c.prefills),
        1,
        "the attempt was cut off and retried"
    );
    fleet.check_invariants().await;
}

/// Guards against a withdrawn key that still works in a data centre which can't reach the store, but can reach other
/// data centres.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_withdrawn_while_its_data_centre_has_lost_the_store() {
    let fleet = Fleet::start(|_| ()).await;
    let hosts = fleet.hosts_of("a");
    let [withdrawn, kept] = [0, 1].map(|k| fleet.shape.customers[k].id.clone());
    assert_eq!(fleet.call(&hosts[0], &withdrawn).await.status, 201);
    for host in &hosts {
        fleet.store_proxy(host).cut.store(true, Ordering::Relaxed);
    }
    let section = format!("[{withdrawn}/customer/{withdrawn}]\nrate = 1000\nburst = 100000\n");
    fleet.edit(&withdrawn, &section).await;
    for host in &hosts {
        fleet
            .wait_until("the key is refused", async || {
                let answer = fleet.call(host, &withdrawn).await;
                answer.status == 401 && answer.refusal()["run"] == "not_run"
            })
            .await;
        assert_eq!(fleet.call(host, &kept).await.status, 201);
    }
    fleet.complete_as(&hosts[0], &kept).await;
    fleet.check_invariants().await;
}

/// Guards against a booking that runs twice, or is answered without a run, when the store's reply to its claim is lost
/// and the caller disconnects and repeats it through another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claim_reply_is_lost_while_the_caller_sends_again() {
    let fleet = Fleet::start(|_| ()).await;
    let hosts = fleet.hosts_of("a");
    for round in 0..5 {
        let key = format!("booking-{round}");
        fleet.lose_replies("once/");
        let (left, leaves_after) = (
            fleet.book(&hosts[0], &key),
            Duration::from_millis(round * 2),
        );
        // The caller disconnects after the loss, later in each round.
        let lost = async {
            fleet
                .wait_until("a reply is lost", async || fleet.stop_losing_replies())
                .await;
            tokio::time::sleep(leaves_after).await;
        };
        tokio::select! {
            _ = left => {}
            () = lost => {}
        }
        fleet
            .wait_until("the booking has an outcome", async || {
                let answer = fleet.book(&hosts[1], &key).await;
                let runs = fleet.runs(&key);
                assert!(runs <= 1, "ran {runs} times");
                assert!(answer.status != 201 || runs == 1, "answered without a run");
                // If the caller disconnected while its booking was being sent, the outcome stays unknown.
                answer.status == 201 || answer.refusal()["run"] == "unknown"
            })
            .await;
        fleet.stop_losing_replies();
        fleet.note_booking(&key);
    }
    fleet.complete_until_answered(&hosts[0]).await;
    fleet.check_invariants().await;
}

/// Guards against new work on a stopping decode engine, a stream on it that is cut off, and failed requests, when its
/// prefill partner crashes as the stop begins.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_begins_while_the_prefill_partner_crashes() {
    let fleet = Fleet::start(|_| ()).await;
    let host = fleet.hosts_of("a").remove(0);
    let caller = fleet.caller(&host);
    let stream = tokio::spawn(async move { caller.complete(600).await });
    let stopping = fleet.decoding().await;
    let partner = fleet.engine_with(|c| c.prefills == 1).await;
    let version = fleet
        .edit(
            "ops",
            &format!(
                "[ops/stop/s]\nupstream = {}\nfrom = 2020-01-01T00:00:00Z\n",
                fleet.engine_name(stopping)
            ),
        )
        .await;
    fleet.environment.engines[partner].set_faults(EngineFaults {
        crash_in: Some(CrashPhase::Prefill),
        ..EngineFaults::default()
    });
    let at_once = async |count| {
        let callers = (0..count).map(|_| fleet.caller(&host));
        join_all(callers.map(|caller| async move { caller.complete(60).await })).await;
    };
    at_once(8).await;
    fleet.in_force(version).await;
    stream.await.expect("caller does not panic");
    // A stop must keep new work away within a few seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let streams = fleet.environment.engines[stopping].counters().streams;
    at_once(24).await;
    assert_eq!(
        fleet.environment.engines[stopping].counters().streams,
        streams,
        "new work"
    );
    assert_eq!(fleet.sum(|c| c.crashes), 1, "the partner did not crash");
    assert_eq!(fleet.answered_and_failed(), (33, 0));
    fleet.environment.engines[partner].restart();
    fleet.check_invariants().await;
}

/// Guards against a request that crashes one upstream after the other because hosts without a connection can't share
/// its crashes, and against a refusal which wrongly states that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_is_sent_again_through_a_host_that_is_cut_off() {
    let fleet = Fleet::start_partitioned(|shape| shape.prefill_engines = 3).await;
    for engine in &fleet.environment.engines {
        engine.set_faults(EngineFaults {
            crash_substring: Some("poison".to_owned()),
            ..EngineFaults::default()
        });
    }
    let hosts = [fleet.hosts_of("a"), fleet.hosts_of("b")].concat();
    for host in &hosts {
        fleet.complete_until_answered(host).await;
    }
    let allowed = u64::try_from(MAX_CRASHES).expect("small");
    for (host, sent) in hosts.iter().zip(1..) {
        let first = fleet.poison(host).await;
        assert_eq!(
            (first.status, &first.refusal()["run"]),
            (422, &"unknown".into())
        );
        for _ in 0..3 {
            let again = fleet.poison(host).await;
            assert_eq!(
                (again.status, &again.refusal()["run"]),
                (422, &"not_run".into())
            );
        }
        assert!(
            fleet.sum(|c| c.crashes) <= allowed * sent,
            "more crashes than allowed"
        );
    }
    for engine in &fleet.environment.engines {
        engine.restart();
    }
    fleet.complete_until_answered(&hosts[1]).await;
    fleet.check_invariants().await;
}
