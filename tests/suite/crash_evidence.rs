//! What counts as a crash of an upstream against the requests that it ran, and what ends that.

use std::time::{Duration, Instant};

use hibiscusspread::process::message::CrashReport;
use hibiscusspread::process::quarantine::{
    CrashTable, InterruptedUpstreams, SAME_CRASH_WINDOW, TrialTurn, Verdict,
};

use crate::platform_stand_in::{Answer, Behaviour, Platform};

/// Sets the behaviour of all upstreams whose ids begin with `prefix`.
fn set_behaviour(platform: &Platform, prefix: &str, behaviour: Behaviour) {
    for id in [format!("{prefix}-0"), format!("{prefix}-1")] {
        platform.upstream(&id).set_behaviour(behaviour);
    }
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete
}

/// Guards against the refusal of equal requests because upstreams answered them with something invalid, which none does that has
/// crashed.
#[tokio::test]
async fn invalid_answers_are_no_crashes() {
    for (prefix, path, behaviour) in [
        ("s", "/read/1", Behaviour::OtherId),
        ("s", "/read/1", Behaviour::Unsigned),
        ("s", "/read/1", Behaviour::VagueRefusal),
        ("d", "/long/1", Behaviour::EndlessBytes),
    ] {
        let platform = Platform::start().await;
        set_behaviour(&platform, prefix, behaviour);
        for _ in 0..3 {
            let answer = platform.call("POST", path).await;
            assert!(!is_served(&answer), "{behaviour:?}: {answer:?}");
        }
        set_behaviour(&platform, prefix, Behaviour::Run);
        // Longer than a failed upstream is avoided.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let answer = platform.call("POST", path).await;
        assert!(is_served(&answer), "{behaviour:?}: {answer:?}");
    }
}

/// Guards against the refusal of equal requests because their streams paused, as those of preempted requests do.
#[tokio::test]
async fn stalled_streams_are_no_crashes() {
    let platform = Platform::start().await;
    set_behaviour(&platform, "d", Behaviour::Stall);
    for _ in 0..2 {
        let answer = platform.call("POST", "/long/1").await;
        assert!(!is_served(&answer), "{answer:?}");
    }
    set_behaviour(&platform, "d", Behaviour::Run);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let answer = platform.call("POST", "/long/1").await;
    assert!(is_served(&answer), "{answer:?}");
}

/// Guards against the refusal of equal requests after two lost answers although each of them was served by another upstream.
#[tokio::test]
async fn requests_that_ran_since_refute_crashes() {
    for (prefix, path) in [("s", "/read/1"), ("d", "/long/1")] {
        let platform = Platform::start().await;
        set_behaviour(&platform, prefix, Behaviour::LoseFirstAnswer);
        for _ in 0..3 {
            let answer = platform.call("POST", path).await;
            assert!(is_served(&answer), "{path}: {answer:?}");
            // Longer than broken connections of one upstream count as one crash.
            tokio::time::sleep(SAME_CRASH_WINDOW).await;
        }
        assert_eq!(platform.seen_by(prefix).len(), 6, "{path}");
    }
}

/// Guards against the refusal of equal requests whose answers were lost, although their upstreams go on serving others.
#[tokio::test]
async fn upstreams_that_answer_since_have_not_crashed() {
    for (prefix, lost, other) in [
        ("s", "/book/1", "/book/other"),
        ("d", "/text/1", "/text/other"),
    ] {
        let platform = Platform::start().await;
        set_behaviour(&platform, prefix, Behaviour::LoseAnswer);
        for _ in 0..2 {
            let answer = platform.call("POST", lost).await;
            assert_eq!(answer.status, 502, "{lost}: {answer:?}");
        }
        set_behaviour(&platform, prefix, Behaviour::Run);
        // Longer than a failed upstream is avoided.
        tokio::time::sleep(Duration::from_millis(600)).await;
        for _ in 0..4 {
            let answer = platform.call("POST", other).await;
            assert!(is_served(&answer), "{other}: {answer:?}");
        }
        let answer = platform.call("POST", lost).await;
        assert!(is_served(&answer), "{lost}: {answer:?}");
    }
}

const UPSTREAM: &str = "u";

/// Guards against taking an upstream for sound that crashed: by an answer to a call sent before, by one of a process that started
/// since, and against doubting one that goes on answering.
#[test]
fn only_answers_of_the_same_process_disprove_a_crash() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let upstream = UPSTREAM.into();
    let cases = [
        ("a call sent since", None, 300, true),
        ("a call sent before", None, 0, false),
        ("a new process at the same address", Some(200), 300, false),
        ("a process that had time to start", None, 2300, false),
    ];
    for (what, unreachable, sent, is_disproved) in cases {
        let interrupted = InterruptedUpstreams::default();
        let broken_at = start + ms(100);
        interrupted.record_interruption(&upstream, broken_at);
        if let Some(at) = unreachable {
            assert!(interrupted.record_unreachable(&upstream, start + ms(at)));
        }
        let time = interrupted.record_answer(&upstream, start + ms(sent));
        let disproved = time.is_some_and(|time| time.contains(&broken_at));
        assert_eq!(disproved, is_disproved, "{what}");
    }
    assert_eq!(
        InterruptedUpstreams::default().record_answer(&upstream, start),
        None
    );
}

/// Guards against a crash that is dismissed because another process has the upstream's id, or because the upstream was sound before.
#[test]
fn answers_disprove_crashes_of_their_process_only() {
    let start = Instant::now();
    let fingerprint = [1; 32];
    let crash = |table: &mut CrashTable, request, started, at| {
        let report = CrashReport {
            fingerprint,
            request,
            attempt: 1,
            upstream: UPSTREAM.into(),
        };
        table.record(&report, Some(started), at);
    };
    let mut table = CrashTable::new(10);
    for (request, started) in [(1, 10), (2, 20), (3, 20)] {
        let at = start + Duration::from_secs(request);
        crash(&mut table, u128::from(request), started, at);
    }
    let now = start + Duration::from_secs(10);
    assert!(table.is_quarantined(&fingerprint, now), "each process once");
    for (started, end, is_quarantined) in [(30, 10, true), (20, 2, true), (20, 10, false)] {
        let time = start..start + Duration::from_secs(end);
        table.dismiss_crashes_of(&UPSTREAM.into(), started, &time, now);
        let is_refused = table.is_quarantined(&fingerprint, now);
        assert_eq!(is_refused, is_quarantined, "{started} {end}");
    }
}

/// Guards against equal requests that are refused for an hour because unrelated crashes broke two of them off, and against a caller
/// that comes back at the stated time and is refused again.
#[tokio::test]
async fn request_is_served_after_the_stated_time() {
    let platform = Platform::start().await;
    set_behaviour(&platform, "s", Behaviour::LoseAnswer);
    for _ in 0..2 {
        let answer = platform.call("POST", "/book/1").await;
        assert_eq!(answer.status, 502, "{answer:?}");
        // All crash: other processes serve from now on.
        for id in ["s-0", "s-1"] {
            platform.register_restarted(id).await;
        }
        tokio::time::sleep(SAME_CRASH_WINDOW).await;
    }
    set_behaviour(&platform, "s", Behaviour::Run);
    let answer = platform.call("POST", "/book/1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    let retry_after = answer.headers.get("retry-after").expect("Retry-After");
    let retry_after: f64 = retry_after.to_str().expect("text").parse().expect("number");
    assert!(retry_after < 12.0, "{retry_after}");
    tokio::time::sleep(Duration::from_secs_f64(retry_after)).await;
    for _ in 0..3 {
        let answer = platform.call("POST", "/book/1").await;
        assert!(is_served(&answer), "{answer:?}");
    }
}

/// Guards against a trial that crashes one upstream after the other.
#[tokio::test]
async fn trial_runs_at_one_upstream() {
    let platform = Platform::start().await;
    set_behaviour(&platform, "s", Behaviour::LoseAnswer);
    for _ in 0..2 {
        let answer = platform.call("POST", "/read/1").await;
        assert_eq!(answer.status, 502, "{answer:?}");
        // One process crashes once, so that the next call finds others.
        for id in ["s-0", "s-1"] {
            platform.register_restarted(id).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let before = platform.seen_by("s").len();
    let deadline = Instant::now() + Duration::from_secs(12);
    while platform.seen_by("s").len() == before {
        assert!(Instant::now() < deadline, "no trial");
        tokio::time::sleep(Duration::from_millis(100)).await;
        platform.call("POST", "/read/1").await;
    }
    assert_eq!(platform.seen_by("s").len(), before + 1);
    let answer = platform.call("POST", "/read/1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
}

/// Guards against trials of a request that does crash its upstreams: they are few, one at a time and rarer each time.
#[test]
fn failed_trials_are_few() {
    let fingerprint = [1; 32];
    let mut table = CrashTable::new(10);
    let start = Instant::now();
    let report = |request: u128| CrashReport {
        fingerprint,
        request,
        attempt: 1,
        upstream: format!("u{request}").into(),
    };
    let turn = |_| TrialTurn {
        wait: Duration::ZERO,
        period: Duration::from_secs(1),
    };
    let (mut now, mut crashes) = (start, vec![start]);
    table.record(&report(0), Some(1), start);
    while now < start + Duration::from_mins(50) {
        now += Duration::from_millis(100);
        match table.judge(&fingerprint, turn, now) {
            Verdict::Allowed => assert_eq!(crashes.len(), 1, "refused from the second crash"),
            Verdict::Trial => {}
            Verdict::Refused { retry_after } => {
                assert!(retry_after > Duration::ZERO);
                continue;
            }
        }
        table.record(&report(crashes.len() as u128), Some(1), now);
        crashes.push(now);
    }
    let gaps = crashes.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(crashes.len(), 4, "{:?}", gaps.collect::<Vec<_>>());
    assert!(crashes[3] - crashes[2] >= (crashes[2] - crashes[1]) * 2);
}
