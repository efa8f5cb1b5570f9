//! Streams that continue at another engine: the engine before must have ended its run by then.

use std::time::Duration;

use crate::platform_stand_in::{
    Answer, Behaviour, EVENT_COUNT, Platform, StandIns, configuration, event, overlapping_runs,
    request, send, wait_until,
};
use crate::soak_hosts::{SoakHost, host_folder};

/// The pause of a host: longer than the silence after which a stream counts as stalled, and short enough for the stream to end in time.
const PAUSE: Duration = Duration::from_millis(1800);

/// A deadline that leaves a stalled stream enough time at the next engine to show an overlap.
const PATIENT_MS: &str = "4000";

async fn call_patiently(platform: &Platform, path: &str) -> Answer {
    let mut req = platform.request("POST", path);
    let patient = PATIENT_MS.parse().expect("value");
    req.headers_mut().insert("x-deadline-ms", patient);
    platform.send(req).await
}

/// Lets a stream break off in the way of `behaviour` at one engine, while the next engine never answers, and returns the pairs of
/// engines that ran it beside each other.
async fn overlaps_after(platform: &Platform, behaviour: Behaviour) -> Vec<(String, String)> {
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(behaviour);
    }
    let answer = call_patiently(platform, "/long/1").await;
    assert!(!answer.is_complete, "{behaviour:?}: {answer:?}");
    assert_eq!(
        platform
            .seen_by("d-")
            .iter()
            .filter(|seen| seen.may_have_run)
            .count(),
        2
    );
    wait_until("both runs end", || {
        let runs = platform.runs.lock().expect("log");
        runs.iter().all(|run| run.ended.is_some())
    })
    .await;
    let overlaps = overlapping_runs(&platform.runs).into_iter();
    overlaps
        .map(|(earlier, later)| (earlier.upstream, later.upstream))
        .collect()
}

/// Guards against a stalled stream that goes on at a second engine while the first one still works on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_stream_ends_before_it_is_resumed() {
    let platform = Platform::start().await;
    assert_eq!(overlaps_after(&platform, Behaviour::Stall).await, []);
}

/// Guards against the same where the second engine has reserved memory for the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_stream_ends_before_it_is_resumed_with_a_reservation() {
    let platform = Platform::start_with_reservations().await;
    assert_eq!(overlaps_after(&platform, Behaviour::Stall).await, []);
}

/// Guards against the same where the first engine sends bytes that are no event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_no_events_ends_before_it_is_resumed() {
    let platform = Platform::start().await;
    assert_eq!(
        overlaps_after(&platform, Behaviour::EndlessThenHang).await,
        []
    );
}

/// Guards against two engines that work on a stream whose caller has left, or whose deadline has passed, after it was resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_stream_ends_with_its_caller() {
    let platform = Platform::start().await;
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(Behaviour::Stall);
    }
    let leaves = Duration::from_millis(2200);
    let left = tokio::time::timeout(leaves, call_patiently(&platform, "/long/1")).await;
    assert!(left.is_err(), "{left:?}");
    wait_until("both runs end with the caller", || {
        let runs = platform.runs.lock().expect("log");
        runs.len() == 2 && runs.iter().all(|run| run.ended.is_some())
    })
    .await;
    assert_eq!(overlapping_runs(&platform.runs).len(), 0);
}

/// Guards against a check that sees no overlap at all: two runs of one request at the same time are found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overlapping_runs_are_found() {
    let platform = Platform::start().await;
    let id = "6f1d";
    let call = |no: usize| {
        let mut req = platform.request("POST", "/text/1");
        let headers = req.headers_mut();
        headers.insert("x-request-id", id.parse().expect("value"));
        platform
            .upstream(["d-0", "d-1"][no])
            .set_behaviour(Behaviour::SlowEvents);
        platform.send(req)
    };
    let (first, second) = tokio::join!(call(0), call(1));
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    for answer in [first, second] {
        assert!(whole.starts_with(&answer.body), "{answer:?}");
    }
    assert_eq!(overlapping_runs(&platform.runs).len(), 1);
}

/// Guards against a sound stream that is sent to a second engine because its host was paused and had read nothing meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_stream_outlasts_a_pause_of_its_host() {
    let stand_ins = StandIns::start().await;
    stand_ins.register_all().await;
    stand_ins.configure(&configuration(1)).await;
    for id in ["d-0", "d-1"] {
        let engine = stand_ins.upstream(id);
        engine.set_behaviour(Behaviour::SlowEvents);
    }
    let folder = host_folder();
    let host = SoakHost::start(0, stand_ins.store_address, &folder);
    host.wait_ready().await;
    let mut req = request("POST", &format!("http://{}/long/1", host.callers));
    let patient = PATIENT_MS.parse().expect("value");
    req.headers_mut().insert("x-deadline-ms", patient);
    let pausing = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        host.signal("-STOP");
        tokio::time::sleep(PAUSE).await;
        host.signal("-CONT");
    };
    let (answer, ()) = tokio::join!(send(host.callers, req), pausing);
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    assert_eq!((answer.body.as_str(), answer.is_complete), (&*whole, true));
    assert_eq!(stand_ins.runs.lock().expect("log").len(), 1);
    std::fs::remove_dir_all(&folder).expect("folder is removed");
}
