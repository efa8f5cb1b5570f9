//! Forwarded requests from end to end, against stand-ins that speak the platform's protocol.

use std::time::{Duration, Instant};

use crate::platform_stand_in::{
    Behaviour, EVENT_COUNT, HOST, KEY, Platform, SINGLE_ANSWER_HEADERS, configuration, event,
    wait_until,
};

/// Guards against a host that answers 404 or 401 before it has read a configuration.
#[tokio::test]
async fn no_configuration_is_503_with_retry_after() {
    let platform = Platform::start_unconfigured().await;
    let answer = platform.call("POST", "/book/1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(platform.seen_by("").is_empty());
}

/// Guards against requests that reach upstreams without a route or a valid key, and against passing on the key or forged
/// headers that only the router may set.
#[tokio::test]
async fn route_key_and_customer_are_checked() {
    let platform = Platform::start().await;
    assert_eq!(platform.call("GET", "/unknown/1").await.status, 404);
    let mut req = platform.request("GET", "/read/1");
    req.headers_mut()
        .insert("host", "other.example".parse().expect("value"));
    assert_eq!(platform.send(req).await.status, 404);
    let mut req = platform.request("GET", "/read/1");
    req.headers_mut()
        .insert("authorization", "Token wrong".parse().expect("value"));
    assert_eq!(platform.send(req).await.status, 401);
    assert!(platform.seen_by("").is_empty());

    let mut req = platform.request("GET", "/read/1?x=2");
    for name in [
        "x-tenant",
        "x-expect-instance",
        "x-kv-source",
        "x-stage",
        "x-kv-hold",
        "x-pin-ms",
        "x-kv-backup",
    ] {
        req.headers_mut()
            .insert(name, "forged".parse().expect("value"));
    }
    assert_eq!(platform.send(req).await.status, 200);
    let seen = platform.seen_by("s");
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "GET /read/1?x=2");
    assert_eq!(seen[0].header("host"), Some(HOST));
    assert_eq!(seen[0].header("x-tenant"), Some("coast"));
    assert_eq!(
        seen[0].header("x-expect-instance"),
        Some(seen[0].upstream.as_str())
    );
    let text = format!("{:?}", seen[0].headers);
    assert!(!text.contains(KEY) && !text.contains("forged"), "{text}");
}

/// Guards against a shorter prefix that matches before a longer one, and against open routes that need a key.
#[tokio::test]
async fn longest_prefix_wins_and_open_routes_need_no_key() {
    let platform = Platform::start().await;
    let mut req = platform.request("GET", "/read/open/1");
    req.headers_mut().remove("authorization");
    assert_eq!(platform.send(req).await.status, 200);
    assert_eq!(platform.seen_by("s")[0].header("x-tenant"), None);
}

/// Guards against changing the status, the signature or the body on the way.
#[tokio::test]
async fn response_keeps_status_body_and_signature() {
    let platform = Platform::start().await;
    let answer = platform.call("POST", "/book/1").await;
    let seen = platform.seen_by("s");
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, format!("done by {}", seen[0].upstream).as_str())
    );
    assert_eq!(answer.headers["x-server-stamp"], seen[0].upstream);
    assert_eq!(&seen[0].body[..], b"a body");
    platform.upstream("s-0").set_behaviour(Behaviour::Fail);
    platform.upstream("s-1").set_behaviour(Behaviour::Fail);
    let answer = platform.call("POST", "/book/1").await;
    assert_eq!(answer.status, 500);
    assert!(answer.headers.contains_key("x-server-stamp"));
}

/// Guards against telling an upstream more time than the caller has left.
#[tokio::test]
async fn upstream_gets_the_time_that_is_left() {
    let platform = Platform::start().await;
    platform.call("GET", "/read/1").await;
    let seen = platform.seen_by("s");
    let left: u64 = seen[0]
        .header("x-deadline-ms")
        .expect("deadline")
        .parse()
        .expect("number");
    assert!(left <= 2000 && left > 1000, "{left}");
}

/// Guards against a call that runs twice because its response was lost, and against telling the caller that it did not run.
#[tokio::test]
async fn call_that_must_run_once_is_never_repeated_after_it_may_have_run() {
    for behaviour in [
        Behaviour::LoseAnswer,
        Behaviour::VagueRefusal,
        Behaviour::StaleRefusal,
        Behaviour::OtherId,
        Behaviour::Unsigned,
        Behaviour::Truncate,
    ] {
        let platform = Platform::start().await;
        platform.upstream("s-0").set_behaviour(behaviour);
        platform.upstream("s-1").set_behaviour(behaviour);
        let answer = platform.call("POST", "/book/1").await;
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert!(
            !answer.headers.contains_key("x-server-stamp"),
            "{behaviour:?}"
        );
        assert_eq!(platform.seen_by("s").len(), 1, "{behaviour:?}");
    }
}

/// Guards against a stream that runs at a second engine because an earlier refusal arrived in place of its answer, and against telling
/// the caller that it did not run.
#[tokio::test]
async fn stale_refusal_says_nothing_of_a_stream() {
    let platform = Platform::start().await;
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(Behaviour::StaleRefusal);
    }
    let answer = platform.call("POST", "/text/1").await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(platform.seen_by("d").len(), 1);
}

/// Guards against giving up on a call that certainly did not run.
#[tokio::test]
async fn refused_call_goes_to_another_upstream() {
    for behaviour in [Behaviour::Shed, Behaviour::OtherInstance] {
        let platform = Platform::start().await;
        platform.upstream("s-0").set_behaviour(behaviour);
        for _ in 0..4 {
            assert_eq!(
                platform.call("POST", "/book/1").await.status,
                200,
                "{behaviour:?}"
            );
        }
    }
}

/// Guards against a refusal that comes late or has no `Retry-After`.
#[tokio::test]
async fn call_that_no_upstream_takes_is_refused_at_once() {
    let platform = Platform::start().await;
    platform.upstream("s-0").set_behaviour(Behaviour::Shed);
    platform.upstream("s-1").set_behaviour(Behaviour::Shed);
    let started = std::time::Instant::now();
    let answer = platform.call("POST", "/book/1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(answer.body.contains("not_run"), "{}", answer.body);
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Guards against idempotent calls that fail although another upstream could run them.
#[tokio::test]
async fn idempotent_call_is_repeated_at_another_upstream() {
    for behaviour in [
        Behaviour::LoseAnswer,
        Behaviour::Truncate,
        Behaviour::OtherId,
        Behaviour::Fail,
        Behaviour::Hang,
    ] {
        let platform = Platform::start().await;
        platform.upstream("s-0").set_behaviour(behaviour);
        for _ in 0..3 {
            assert_eq!(
                platform.call("GET", "/read/1").await.status,
                200,
                "{behaviour:?}"
            );
        }
    }
}

/// Guards against more attempts than the route allows.
#[tokio::test]
async fn route_limits_the_attempts() {
    let platform = Platform::start().await;
    let mut document = configuration(2);
    document["routes"][3]["maxAttempts"] = 1.into();
    platform.configure(&document).await;
    platform.upstream("s-0").set_behaviour(Behaviour::Fail);
    platform.upstream("s-1").set_behaviour(Behaviour::Fail);
    // Waits until the host has read the configuration: the older one allows two attempts.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(platform.call("GET", "/read/1").await.status, 500);
    assert_eq!(platform.seen_by("s").len(), 1);
}

/// Guards against a call that outlasts the route's timeout.
#[tokio::test]
async fn route_timeout_ends_a_call() {
    let platform = Platform::start().await;
    let mut document = configuration(2);
    document["routes"][2]["timeoutMs"] = 300.into();
    platform.configure(&document).await;
    platform.upstream("s-0").set_behaviour(Behaviour::Hang);
    platform.upstream("s-1").set_behaviour(Behaviour::Hang);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let started = std::time::Instant::now();
    assert_eq!(platform.call("POST", "/book/1").await.status, 504);
    assert!(started.elapsed() < Duration::from_millis(800));
}

fn whole_stream() -> String {
    (0..EVENT_COUNT).map(event).collect()
}

/// Guards against a decode engine that has to prefill the prompt again, because no other engine did or the handle was lost.
#[tokio::test]
async fn stream_is_prefilled_at_one_engine_and_decoded_at_another() {
    let platform = Platform::start().await;
    let answer = platform.call("POST", "/text/1").await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, whole_stream());
    let (prefill, decode) = (platform.seen_by("p"), platform.seen_by("d"));
    assert_eq!((prefill.len(), decode.len()), (1, 1));
    assert_eq!(prefill[0].header("x-stage"), Some("prefill"));
    let source = decode[0].header("x-kv-source").expect("source");
    assert!(
        source.ends_with(&format!("/h-{}", prefill[0].upstream)),
        "{source}"
    );
    assert_eq!(answer.headers["x-server-stamp"], decode[0].upstream);
}

/// Guards against refusing streams because no prefill engine accepts the prompt.
#[tokio::test]
async fn decode_engine_prefills_if_no_prefill_engine_does() {
    let platform = Platform::start().await;
    platform.upstream("p-0").set_behaviour(Behaviour::Shed);
    platform
        .upstream("p-1")
        .set_behaviour(Behaviour::LoseAnswer);
    let answer = platform.call("POST", "/text/1").await;
    assert_eq!((answer.status, answer.body), (200, whole_stream()));
    assert_eq!(platform.seen_by("d")[0].header("x-kv-source"), None);
}

/// Guards against prefilled prompts that stay in an engine's memory although no decode engine fetched them.
#[tokio::test]
async fn prefilled_prompt_is_freed_if_not_fetched() {
    let platform = Platform::start().await;
    platform.upstream("d-0").set_behaviour(Behaviour::Shed);
    platform.upstream("d-1").set_behaviour(Behaviour::Shed);
    assert_eq!(platform.call("POST", "/text/1").await.status, 503);
    wait_until("prompt is freed", || {
        let seen = platform.seen_by("p");
        seen.iter()
            .any(|seen| seen.request_line.starts_with("DELETE /api/kv-handle/h-p"))
    })
    .await;
}

/// Guards against a broken stream that looks complete to the caller, and against repeating one that isn't resumable.
#[tokio::test]
async fn stream_that_breaks_off_never_looks_complete() {
    for behaviour in [
        Behaviour::Truncate,
        Behaviour::EndInEvent,
        Behaviour::EndEmpty,
    ] {
        let platform = Platform::start().await;
        platform.upstream("d-0").set_behaviour(behaviour);
        platform.upstream("d-1").set_behaviour(behaviour);
        let answer = platform.call("POST", "/text/1").await;
        assert!(!answer.is_complete, "{behaviour:?}: {answer:?}");
        assert_eq!(platform.seen_by("d").len(), 1, "{behaviour:?}");
    }
}

/// Guards against the text of an error in the middle of a stream, and against a stream that looks complete, where the engine that should
/// continue it answers with an error.
#[tokio::test]
async fn error_of_the_next_engine_never_joins_a_stream() {
    let platform = Platform::start().await;
    platform.upstream("d-0").set_behaviour(Behaviour::Truncate);
    platform
        .upstream("d-1")
        .set_behaviour(Behaviour::FailResumed);
    let mut broken = 0;
    for _ in 0..6 {
        let answer = platform.call("POST", "/long/1").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(!answer.body.contains("error text"), "{answer:?}");
        assert!(whole_stream().starts_with(&answer.body), "{answer:?}");
        assert_eq!(answer.is_complete, answer.body == whole_stream());
        broken += usize::from(!answer.is_complete);
    }
    assert!(broken > 0);
}

/// Guards against missing, repeated or mixed events when another engine continues a stream.
#[tokio::test]
async fn resumable_stream_continues_after_its_last_whole_event() {
    for behaviour in [
        Behaviour::Truncate,
        Behaviour::EndInEvent,
        Behaviour::EndEmpty,
    ] {
        let platform = Platform::start().await;
        platform.upstream("d-0").set_behaviour(behaviour);
        for _ in 0..4 {
            let answer = platform.call("POST", "/long/1").await;
            assert_eq!(
                (answer.status, answer.is_complete),
                (200, true),
                "{behaviour:?}: {answer:?}"
            );
            assert_eq!(answer.body, whole_stream(), "{behaviour:?}");
        }
        let seen = platform.seen_by("d");
        let runs = seen.iter().filter(|seen| seen.may_have_run).count();
        assert!(runs > 4, "{behaviour:?}");
        let mut resumed = seen.iter().filter_map(|seen| seen.header("last-event-id"));
        assert!(
            resumed.next().is_some() || behaviour == Behaviour::EndEmpty,
            "{behaviour:?}"
        );
    }
}

/// Guards against a resumed stream that is cut at the length which its first answer stated, and looks complete.
#[tokio::test]
async fn resumed_stream_is_not_cut_at_the_length_of_its_first_answer() {
    let platform = Platform::start().await;
    let engine = platform.upstream("d-0");
    engine.set_behaviour(Behaviour::SizedTruncate);
    for _ in 0..4 {
        let answer = platform.call("POST", "/long/1").await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, whole_stream());
    }
    let seen = platform.seen_by("d");
    assert!(
        seen.iter()
            .any(|seen| seen.header("last-event-id").is_some())
    );
}

/// Guards against headers that describe the bytes of one answer on a stream that several may make up, and against the loss of those that
/// describe the answer which the caller gets.
#[tokio::test]
async fn headers_of_the_bytes_stay_with_streams_of_one_answer() {
    let platform = Platform::start().await;
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(Behaviour::Sized);
    }
    for (path, expected) in [("/text/1", true), ("/long/1", false)] {
        let answer = platform.call("POST", path).await;
        assert!(answer.is_complete && answer.body == whole_stream());
        assert!(answer.headers.contains_key("x-server-stamp"));
        for name in SINGLE_ANSWER_HEADERS {
            let is_there = answer.headers.contains_key(name);
            assert_eq!(is_there, expected, "{path}: {name}");
        }
    }
}

/// Guards against compressed bytes that join a stream, and against a compressed answer that is searched for events.
#[tokio::test]
async fn encoded_answer_never_joins_a_stream() {
    for (behaviour, is_whole) in [
        (Behaviour::Encoded, true),
        (Behaviour::EncodedResumed, false),
    ] {
        let platform = Platform::start().await;
        for id in ["d-0", "d-1"] {
            platform.upstream(id).set_behaviour(behaviour);
        }
        let answer = platform.call("POST", "/long/1").await;
        assert_eq!((answer.status, answer.is_complete), (200, is_whole));
        assert_eq!(answer.body == whole_stream(), is_whole, "{answer:?}");
        let is_encoded = answer.headers.contains_key("content-encoding");
        assert_eq!(is_encoded, is_whole);
        let runs = platform.seen_by("d").len();
        assert_eq!(runs, if is_whole { 1 } else { 2 });
    }
}

/// Guards against new work for an upstream that is registered as draining.
#[tokio::test]
async fn draining_upstream_gets_no_new_work() {
    let platform = Platform::start().await;
    platform.register("s-0", "draining").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..6 {
        assert_eq!(platform.call("POST", "/book/1").await.status, 200);
    }
    assert!(platform.seen_by("s-0").is_empty());
}

/// Guards against new work for an upstream that states in its answers that it leaves, although its registration says that it is ready.
#[tokio::test]
async fn upstream_that_states_that_it_leaves_gets_no_new_work() {
    let platform = Platform::start().await;
    let set_others = |behaviour| {
        for id in ["s-1", "d-1"] {
            platform.upstream(id).set_behaviour(behaviour);
        }
    };
    for id in ["s-0", "d-0"] {
        platform.upstream(id).set_behaviour(Behaviour::Leave);
    }
    let call_both = async || {
        let booked = platform.call("POST", "/book/1").await;
        let streamed = platform.call("POST", "/text/1").await;
        assert_eq!((booked.status, streamed.status), (200, 200));
    };
    set_others(Behaviour::Shed);
    call_both().await;
    set_others(Behaviour::Run);
    for _ in 0..8 {
        // The list of upstreams is read again meanwhile.
        tokio::time::sleep(Duration::from_millis(100)).await;
        call_both().await;
    }
    assert_eq!(platform.seen_by("s-0").len(), 1);
    assert_eq!(platform.seen_by("d-0").len(), 1);
}

/// Guards against calls to an upstream that turned the host away for a time, and against passing it by after that time.
#[tokio::test]
async fn upstream_gets_no_call_while_it_wants_none() {
    let platform = Platform::start().await;
    for id in ["s-0", "s-1", "d-0", "d-1"] {
        platform
            .upstream(id)
            .set_behaviour(Behaviour::ShedForSeconds);
    }
    let book = async || platform.call("POST", "/book/1").await.status;
    let stream = async || platform.call("POST", "/text/1").await.status;
    assert_eq!((stream().await, book().await), (503, 503));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(500) {
        assert_eq!(book().await, 503);
        // A stream may wait for an engine.
        let _ = tokio::time::timeout(Duration::from_millis(200), stream()).await;
    }
    for id in ["s-0", "s-1", "d-0", "d-1"] {
        assert_eq!(platform.seen_by(id).len(), 1, "{id}");
        platform.upstream(id).set_behaviour(Behaviour::Run);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!((stream().await, book().await), (200, 200));
}

/// Guards against a stream that is sent to an engine which began to drain while the prompt was prefilled elsewhere.
#[tokio::test]
async fn engine_that_leaves_during_the_prefill_is_not_used() {
    let platform = Platform::start().await;
    platform.upstream("p-0").set_behaviour(Behaviour::Slow);
    platform.upstream("p-1").set_behaviour(Behaviour::Slow);
    let (first, second, ()) = tokio::join!(
        platform.call("POST", "/text/1"),
        platform.call("POST", "/text/2"),
        async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            platform.register("d-0", "draining").await;
        }
    );
    assert_eq!((first.status, second.status), (200, 200));
    assert!(platform.seen_by("d-0").is_empty());
    assert_eq!(platform.seen_by("d-1").len(), 2);
}

/// Guards against a configuration that takes effect late, and against an invalid one that replaces a valid one.
#[tokio::test]
async fn newer_configuration_takes_effect_and_an_invalid_one_does_not() {
    let platform = Platform::start().await;
    let mut document = configuration(2);
    document["tenants"][0]["apiKeys"] = serde_json::json!(["another"]);
    platform.configure(&document).await;
    let mut status = 200;
    for _ in 0..100 {
        status = platform.call("POST", "/book/1").await.status;
        if status == 401 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(status, 401);
    let mut invalid = configuration(3);
    invalid["routes"][0]["kind"] = "new".into();
    platform.configure(&invalid).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut req = platform.request("POST", "/book/1");
    req.headers_mut()
        .insert("authorization", "Token another".parse().expect("value"));
    assert_eq!(platform.send(req).await.status, 200);
}

/// Guards against a drain that breaks requests in progress.
#[tokio::test]
async fn drain_finishes_open_requests() {
    let mut platform = Platform::start().await;
    let host = platform.host.take().expect("host runs");
    let answer = platform.call("POST", "/text/1");
    let (answer, ()) = tokio::join!(answer, async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        host.drain().await;
    });
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

/// Guards against streams that a stopping host accepts and then cuts off.
#[tokio::test]
async fn stopping_host_refuses_a_stream_that_would_outlast_it() {
    let mut platform = Platform::start().await;
    let host = platform.host.take().expect("host runs");
    let drain = tokio::spawn(host.drain());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut req = platform.request("POST", "/text/1");
    req.headers_mut()
        .insert("x-token-counts", "1000,9000".parse().expect("value"));
    let answer = platform.send(req).await;
    assert_eq!(answer.status, 503);
    let wait: f64 = answer.headers["retry-after"]
        .to_str()
        .expect("text")
        .parse()
        .expect("number");
    assert!(wait < 0.2, "{wait}");
    assert_eq!(answer.headers["connection"], "close");
    assert!(platform.seen_by("").is_empty());
    assert_eq!(platform.call("POST", "/text/1").await.status, 200);
    drain.await.expect("host ends");
}

/// Guards against accepting requests without an id, with two ids or with invalid numbers.
#[tokio::test]
async fn malformed_heads_are_refused() {
    let platform = Platform::start().await;
    for (name, value) in [
        ("x-token-counts", "many"),
        ("x-deadline-ms", "-5"),
        ("x-request-id", ""),
    ] {
        let mut req = platform.request("GET", "/read/1");
        req.headers_mut()
            .insert(name, value.parse().expect("value"));
        assert_eq!(platform.send(req).await.status, 400, "{name}");
    }
    let mut req = platform.request("GET", "/read/1");
    req.headers_mut()
        .append("x-request-id", "second".parse().expect("value"));
    assert_eq!(platform.send(req).await.status, 400);
    assert!(platform.seen_by("").is_empty());
}
