//! What counts as a crash of an upstream against the requests that it ran, and what ends that.

use std::time::Duration;

use hibiscusspread::process::quarantine::SAME_CRASH_WINDOW;

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
