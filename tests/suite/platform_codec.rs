//! The platform's codecs, with valid, invalid and hostile input: configuration, registrations, headers, event streams.

use http::{Request, Response};
use proptest::prelude::*;
use serde_json::{Value, json};

use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::platform::requests::PlatformCallCodec;
use hibiscusspread::process::forwarding::directory::Stage;
use hibiscusspread::process::forwarding::state_codec::StateCodec;
use hibiscusspread::request::forward::codec::{CallCodec, StageOrder};
use hibiscusspread::request::forward::events::{EventMeter, EventSplitter};
use hibiscusspread::version::forwarding::{ForwardingTable, RepeatPolicy};
use hibiscusspread::version::key::hash_key;

use crate::platform_stand_in::{HOST, KEY, configuration};

fn read(document: &Value) -> Result<ForwardingTable, String> {
    let value = serde_json::to_vec(document).expect("JSON");
    PlatformStateCodec
        .read_configuration(&value)
        .map_err(|e| e.to_string())
}

/// Guards against reading routes, limits or keys wrong.
#[test]
fn configuration_is_read() {
    let table = read(&configuration(7)).expect("valid");
    assert_eq!(
        (table.version, table.route_count(), table.requires_keys),
        (7, 5, true)
    );
    let open = table.route(HOST, "/read/open/1").expect("route");
    assert_eq!(
        (&*open.id, open.open, open.repeat),
        ("open", true, RepeatPolicy::Idempotent)
    );
    assert_eq!(
        table.route(HOST, "/long/1").expect("route").repeat,
        RepeatPolicy::ResumableStream
    );
    assert!(table.route(HOST, "/read").is_none() && table.route("other", "/read/1").is_none());
    let customer = table.customer_of(&hash_key(KEY)).expect("customer");
    assert_eq!(
        (customer.rate, customer.burst, customer.default_cost),
        (100_000, 200_000, 200)
    );
    assert!(table.customer_of(&hash_key("other")).is_none());
    let engine = table.services["writers"].engine.expect("engine");
    assert_eq!(engine.kv_tokens, 50_000);
}

/// Guards against a traffic split that doesn't follow its weights.
#[test]
fn traffic_split_follows_its_weights() {
    let mut document = configuration(1);
    document["routes"][0]["trafficSplit"] =
        json!([{ "service": "writers", "weight": 90 }, { "service": "desk", "weight": 10 }]);
    let table = read(&document).expect("valid");
    let route = table.route(HOST, "/text/1").expect("route");
    let desk = (0..1000)
        .filter(|draw| route.pick_service(*draw).is_some_and(|s| &**s == "desk"))
        .count();
    assert_eq!(desk, 100);
}

/// An edit that makes a configuration invalid.
type Edit = fn(&mut Value);

/// Guards against rejecting unknown fields, and against accepting invalid values.
#[test]
fn unknown_fields_are_accepted_and_invalid_values_are_not() {
    let mut document = configuration(1);
    document["later"] = json!({ "x": 1 });
    document["routes"][0]["later"] = json!([1]);
    assert!(read(&document).is_ok());
    let wrong: [(&str, Edit); 5] = [
        ("kind", |d| d["routes"][0]["kind"] = "new".into()),
        ("ratePerS", |d| d["tenants"][0]["ratePerS"] = (-1).into()),
        ("kvHoldS", |d| {
            d["services"][0]["engine"]["kvHoldS"] = (-1).into();
        }),
        ("service", |d| d["routes"][0]["service"] = Value::Null),
        ("version", |d| d["version"] = "seven".into()),
    ];
    for (field, edit) in wrong {
        let mut document = configuration(1);
        edit(&mut document);
        assert!(read(&document).is_err(), "{field}");
    }
}

fn registration() -> Value {
    json!({ "service": "writers", "address": "10.1.0.9:8080", "zone": "a", "version": "v1", "slots": 64, "state": "ready",
        "coldLeftMs": 0, "stage": "decode", "models": [{ "name": "m", "version": 1, "adapters": [] }], "seq": 4, "born": 9 })
}

/// Guards against accepting invalid registrations, and entries that are none.
#[test]
fn registrations_are_read_or_refused() {
    let read = |value: &Value| {
        PlatformStateCodec.read_upstream("servers/i-1", value.to_string().as_bytes())
    };
    let instance = read(&registration()).expect("valid").instance;
    assert_eq!(
        (&*instance.id, instance.stage, instance.born),
        ("i-1", Stage::Decode, 9)
    );
    for (field, value) in [
        ("service", Value::Null),
        ("address", json!("nowhere")),
        ("slots", json!("many")),
        ("state", json!("sleeping")),
        ("stage", json!("other")),
        ("models", json!(3)),
        ("zone", Value::Null),
    ] {
        let mut invalid = registration();
        invalid[field] = value;
        assert!(read(&invalid).is_err(), "{field}");
    }
    assert!(
        PlatformStateCodec
            .read_upstream("servers/", registration().to_string().as_bytes())
            .is_err()
    );
    assert!(
        PlatformStateCodec
            .read_upstream("servers/i-1", &[0xff, 0])
            .is_err()
    );
}

/// Guards against orders without a fencing token or the intended engine.
#[test]
fn order_names_holder_fence_and_engine() {
    let order = StageOrder {
        upstream: "i-1".into(),
        stage: Stage::Decode,
        holder: "host-1".into(),
        fence: 41,
    };
    let req = PlatformCallCodec.write_order(&order);
    assert_eq!(req.uri().path(), "/api/order");
    assert_eq!(req.headers()["x-expect-instance"], "i-1");
}

/// Guards against treating a refusal as a call that may have run, and the reverse.
#[test]
fn answers_tell_whether_they_ran() {
    let head = |status: u16, header: Option<(&str, &str)>| {
        let mut response = Response::builder().status(status);
        if let Some((name, value)) = header {
            response = response.header(name, value);
        }
        let (head, ()) = response.body(()).expect("response").into_parts();
        PlatformCallCodec.read_response(&head)
    };
    assert!(head(503, Some(("x-not-run", "1"))).not_run);
    assert!(!head(503, None).not_run);
    assert!(head(421, Some(("x-instance-id", "i-2"))).not_run);
    assert!(head(200, Some(("x-server-stamp", "s"))).is_signed);
}

fn parts(headers: &[(String, Vec<u8>)]) -> Option<http::request::Parts> {
    let mut req = Request::builder().uri("/a/b");
    for (name, value) in headers {
        req = req.header(name.as_str(), value.as_slice());
    }
    Some(req.body(()).ok()?.into_parts().0)
}

/// Guards against an odd entry of another writer that ends the host, or is taken for an upstream.
#[test]
fn odd_registrations_are_refused() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        ("models", nested.clone()),
        ("slots", "99999999999999999999999".to_owned()),
        ("born", "1e400".to_owned()),
        ("born", "-1".to_owned()),
        ("address", "\"10.1.0.9:70000\"".to_owned()),
        ("address", "\"10.1.0.9:-1\"".to_owned()),
        ("state", "\"resting\"".to_owned()),
        ("service", "null".to_owned()),
    ];
    for (field, value) in odd {
        let mut entry = registration();
        entry.as_object_mut().expect("object").remove(field);
        let entry = entry.to_string();
        let text = format!("{{\"{field}\":{value},{}", &entry[1..]);
        let read = PlatformStateCodec.read_upstream("servers/i-1", text.as_bytes());
        assert!(read.is_err(), "{field}");
    }
    // Fields that are not known here do no harm, whatever they hold.
    let text = format!("{{\"extra\":{nested},{}", &registration().to_string()[1..]);
    let read = PlatformStateCodec.read_upstream("servers/i-1", text.as_bytes());
    assert!(read.is_ok());
}

proptest! {
    /// Guards against request heads that make the host panic.
    #[test]
    fn any_head_is_read_or_refused(
        headers in prop::collection::vec((prop::sample::select(vec!["x-request-id", "x-token-counts", "x-deadline-ms",
            "authorization", "host", "x-model", "last-event-id"]).prop_map(str::to_owned),
            prop::collection::vec(any::<u8>(), 0..40)), 0..8),
    ) {
        if let Some(parts) = parts(&headers) {
            let _ = PlatformCallCodec.read_call(&parts);
        }
    }

    /// Guards against stored values that make the host panic, and against accepting truncated registrations.
    #[test]
    fn any_stored_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0usize..400) {
        let _ = PlatformStateCodec.read_configuration(&bytes);
        let _ = PlatformStateCodec.read_upstream("servers/i-1", &bytes);
        let _ = PlatformCallCodec.read_prefill(&bytes);
        let whole = registration().to_string();
        let cut = cut.min(whole.len());
        prop_assert_eq!(PlatformStateCodec.read_upstream("servers/i-1", &whole.as_bytes()[..cut]).is_ok(), cut == whole.len());
    }

    /// Guards against splitting, losing or repeating events of a stream that arrives in arbitrary parts.
    #[test]
    fn splitter_passes_whole_events_only(
        events in prop::collection::vec("[a-z ]{0,12}", 0..12),
        cuts in prop::collection::vec(1usize..9, 1..60),
        tail in "[a-z]{0,5}",
    ) {
        let texts = events.iter().enumerate().map(|(i, text)| format!("id: {i}\ndata: {text}\n\n"));
        let whole: String = texts.collect();
        let stream = format!("{whole}{tail}");
        let (mut splitter, mut passed) = (EventSplitter::default(), Vec::new());
        let (mut rest, mut cuts) = (stream.as_bytes(), cuts.iter().cycle());
        while !rest.is_empty() {
            let (part, left) = rest.split_at((*cuts.next().expect("cycle")).min(rest.len()));
            passed.extend_from_slice(&splitter.push(part).expect("events are short"));
            rest = left;
        }
        prop_assert_eq!(&passed, whole.as_bytes());
        let last = events.len().checked_sub(1).map(|i| i.to_string());
        prop_assert_eq!(splitter.last_id(), last.as_deref());
        prop_assert_eq!(splitter.is_inside_event(), !tail.is_empty());
        let mut meter = EventMeter::default();
        meter.push(stream.as_bytes()).expect("events are short");
        prop_assert_eq!(meter.is_inside_event(), !tail.is_empty());
    }
}
