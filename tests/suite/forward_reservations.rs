//! Reservations: decode engines keep memory for requests while their prompts are prefilled elsewhere.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use serde_json::json;

use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::platform::requests::PlatformCallCodec;
use hibiscusspread::process::forwarding::load::{CallOutcome, LoadSettings, LoadTracker, Work};
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::state_codec::StateCodec;
use hibiscusspread::request::forward::call::ReservationRequest;
use hibiscusspread::request::forward::codec::CallCodec;

use crate::forward_fleet::decode_instance;
use crate::platform_stand_in::{
    Behaviour, EVENT_COUNT, Platform, SeenRequest, configuration_with_reservations, event,
    wait_until,
};

fn count(seen: &[SeenRequest], line: &str) -> usize {
    seen.iter()
        .filter(|seen| seen.request_line.starts_with(line))
        .count()
}

/// Guards against prefilling prompts while no decode engine has memory for them, which wastes the prefill.
#[tokio::test]
async fn nothing_is_prefilled_while_no_engine_has_memory() {
    let platform = Platform::start_with_reservations().await;
    platform.upstream("d-0").set_behaviour(Behaviour::Shed);
    platform.upstream("d-1").set_behaviour(Behaviour::Shed);
    let mut req = platform.request("POST", "/text/1");
    req.headers_mut()
        .insert("x-deadline-ms", "600".parse().expect("value"));
    let answer = platform.send(req).await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(answer.body.contains("not_run"), "{}", answer.body);
    assert!(platform.seen_by("p").is_empty());
    assert_eq!(count(&platform.seen_by("d"), "POST /text/"), 0);
}

/// Guards against a stream that does not use the memory reserved for it, and against reservations that are left behind.
#[tokio::test]
async fn stream_uses_its_reservation() {
    let platform = Platform::start_with_reservations().await;
    platform.upstream("d-0").set_behaviour(Behaviour::Shed);
    for _ in 0..3 {
        let answer = platform.call("POST", "/text/1").await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    let seen = platform.seen_by("d-1");
    assert_eq!(count(&seen, "POST /api/hold-take"), 3);
    let streams = seen
        .iter()
        .filter(|seen| seen.request_line == "POST /text/1");
    for stream in streams {
        assert_eq!(stream.header("x-kv-hold"), Some("r-d-1"));
        assert!(stream.header("x-kv-source").is_some());
    }
    assert_eq!(count(&seen, "DELETE"), 0);
    assert_eq!(count(&platform.seen_by("p"), "POST /text/"), 3);
}

/// Guards against memory that stays reserved for a caller that has disconnected.
#[tokio::test]
async fn reservation_of_a_disconnected_caller_is_cancelled() {
    let platform = Platform::start_with_reservations().await;
    platform.upstream("p-0").set_behaviour(Behaviour::Hang);
    platform.upstream("p-1").set_behaviour(Behaviour::Hang);
    let call = platform.call("POST", "/text/1");
    let left = tokio::time::timeout(Duration::from_millis(150), call).await;
    assert!(left.is_err());
    wait_until("reservation is cancelled", || {
        count(&platform.seen_by("d"), "DELETE /api/hold-drop/r-d-") == 1
    })
    .await;
}

/// Guards against streams that fail because their prefilled prompt can't be fetched, and against further prefills at the engine
/// that lost it.
#[tokio::test]
async fn lost_prompt_is_prefilled_by_the_decode_engine() {
    let platform = Platform::start_with_reservations().await;
    platform
        .upstream("d-0")
        .set_behaviour(Behaviour::LosePrompt);
    platform
        .upstream("d-1")
        .set_behaviour(Behaviour::LosePrompt);
    let answer = platform.call("POST", "/text/1").await;
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    assert_eq!((answer.status, answer.body), (200, whole));
    let holder = platform.seen_by("p")[0].upstream.clone();
    platform.call("POST", "/text/1").await;
    let prefills = platform.seen_by("p");
    let prefills = prefills
        .iter()
        .filter(|seen| seen.request_line == "POST /text/1");
    assert_eq!(prefills.filter(|seen| seen.upstream == holder).count(), 1);
}

/// Guards against a reservation limit of 0, or a missing one, that counts as unlimited; such engines take no reservations.
#[test]
fn reservation_limit_is_decoded() {
    let read = |hold: serde_json::Value| {
        let mut document = configuration_with_reservations(1);
        document["services"][0]["engine"]["holdMs"] = hold;
        let value = serde_json::to_vec(&document).expect("JSON");
        let table = PlatformStateCodec.read_configuration(&value);
        table.map(|table| {
            let engine = table.services["writers"].engine;
            engine.expect("engine").reservation_ttl
        })
    };
    let two_seconds = Some(Duration::from_secs(2));
    assert_eq!(read(json!(2000)).expect("valid"), two_seconds);
    assert_eq!(read(json!(0)).expect("valid"), None);
    assert_eq!(read(json!(null)).expect("valid"), None);
    assert!(read(json!(-1)).is_err());
    assert!(read(json!("long")).is_err());
}

/// Guards against a reservation that any engine at the address would accept, such as a replacement.
#[test]
fn reservation_names_its_engine() {
    let req = PlatformCallCodec.write_reservation(&ReservationRequest {
        upstream: "i-1".into(),
        tokens: 5200,
        ttl: Duration::from_millis(1900),
    });
    assert_eq!(req.method(), http::Method::POST);
    assert_eq!(req.uri().path(), "/api/hold-take");
    assert_eq!(req.headers()["x-expect-instance"], "i-1");
}

proptest! {
    /// Guards against malformed or hostile answers to a reservation that crash a host.
    #[test]
    fn any_reservation_answer_is_decoded_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let read = PlatformCallCodec.read_reservation(&body);
        let parsed = serde_json::from_slice::<serde_json::Value>(&body).ok();
        let has_name = parsed.is_some_and(|value| value["hold"].is_string());
        prop_assert_eq!(read.is_ok(), has_name);
    }
}

/// Guards against engines that are blocked for longer and longer, or reported as unhealthy, because they had no memory for a
/// moment.
#[test]
fn engine_without_memory_is_asked_again_soon() {
    let now = Instant::now();
    let loads = LoadTracker::new(LoadSettings::default());
    let engine = decode_instance("a");
    let work = Work {
        calls: 1,
        tokens: 5000,
        ..Work::default()
    };
    for _ in 0..8 {
        loads.start_call(&engine, work);
        loads.end_call(&engine, 1, work, CallOutcome::NoMemory, now);
    }
    assert!(loads.view(&engine, now).is_blocked);
    assert!(
        !loads
            .view(&engine, now + Duration::from_millis(250))
            .is_blocked
    );
    assert!(loads.unhealthy_reports(Reach::Host, now).is_empty());
}
