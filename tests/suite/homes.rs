//! Homes: requests that are confined to regions by their route, their customer or both.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use serde_json::{Value, json};
use smallvec::SmallVec;

use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::settings::{ForwardingSettings, Regions};
use hibiscusspread::process::forwarding::state_codec::StateCodec;
use hibiscusspread::process::settings::Settings;
use hibiscusspread::request::forward::call::{Call, CallHead};
use hibiscusspread::version::forwarding::{ForwardCustomer, ForwardRoute, ForwardingTable, Homes};
use hibiscusspread::version::key::hash_key;

use crate::platform_stand_in::{
    Answer, Behaviour, EVENT_COUNT, HOST, KEY, Platform, SeenRequest, StandIns, configuration,
    configuration_with_reservations, event, wait_until,
};

fn regions(list: &[(&str, &str)]) -> Regions {
    let list = list.iter();
    list.map(|(data_centre, region)| ((*data_centre).into(), (*region).into()))
        .collect()
}

/// Starts a host in data centre `a`, region `north`. Upstreams with number 0 are in `a`, those with number 1 in `b`, region `south`.
async fn start(document: &Value) -> Platform {
    start_in(document, &[("a", "north"), ("b", "south")]).await
}

async fn start_in(document: &Value, known: &[(&str, &str)]) -> Platform {
    let stand_ins = StandIns::start().await;
    for id in ["p-0", "d-0", "s-0"] {
        stand_ins.register_in(id, "ready", "a").await;
    }
    for id in ["p-1", "d-1", "s-1"] {
        stand_ins.register_in(id, "ready", "b").await;
    }
    stand_ins.configure(document).await;
    let settings = ForwardingSettings {
        store_address: stand_ins.store_address,
        watch_wait: Duration::from_millis(500),
        regions: regions(known),
        ..ForwardingSettings::default()
    };
    let platform = Platform::start_with(stand_ins, settings).await;
    platform.wait_ready().await;
    platform
}

/// Confines the requests of all routes, and those of the customer, to regions; `null` confines nothing.
fn confine(mut document: Value, routes: &Value, customer: &Value) -> Value {
    for route in document["routes"].as_array_mut().expect("routes") {
        route["allowedRegions"] = routes.clone();
    }
    document["tenants"][0]["allowedRegions"] = customer.clone();
    document
}

const PATHS: [(&str, &str); 4] = [
    ("GET", "/read/1"),
    ("POST", "/book/1"),
    ("POST", "/text/1"),
    ("POST", "/long/1"),
];

fn assert_refused_as_not_run(answer: &Answer) {
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(answer.body.contains("not_run"), "{}", answer.body);
}

fn upstreams_of(seen: &[SeenRequest]) -> Vec<&str> {
    let mut ids: Vec<_> = seen.iter().map(|seen| &*seen.upstream).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Guards against a call, a prefill, a reservation or a generation outside of the homes of the route or the customer.
#[tokio::test]
async fn requests_stay_in_their_homes() {
    let cases = [
        (json!(["south"]), Value::Null, ["d-1", "p-1", "s-1"]),
        (Value::Null, json!(["south"]), ["d-1", "p-1", "s-1"]),
        (
            json!(["south", "north"]),
            json!(["west", "north"]),
            ["d-0", "p-0", "s-0"],
        ),
    ];
    for (routes, customer, expected) in cases {
        let document = confine(configuration_with_reservations(1), &routes, &customer);
        let platform = start(&document).await;
        for _ in 0..4 {
            for (method, path) in PATHS {
                let answer = platform.call(method, path).await;
                assert_eq!(answer.status, 200, "{routes} {customer}: {}", answer.body);
            }
        }
        assert_eq!(upstreams_of(&platform.seen_by("")), expected);
    }
}

/// Guards against requests without homes that are confined by an empty list, or by what their data centre's region is.
#[tokio::test]
async fn requests_without_homes_go_anywhere() {
    for (none, known) in [
        (json!([]), &[("a", "north"), ("b", "south")][..]),
        (Value::Null, &[]),
    ] {
        let document = confine(configuration_with_reservations(1), &none, &none);
        let platform = start_in(&document, known).await;
        platform.upstream("s-0").set_behaviour(Behaviour::Shed);
        platform.upstream("d-0").set_behaviour(Behaviour::Shed);
        for (method, path) in PATHS {
            assert_eq!(platform.call(method, path).await.status, 200, "{none}");
        }
    }
}

/// Guards against requests that wait, run elsewhere or use up the customer's rate although no region is left for them.
#[tokio::test]
async fn requests_without_a_region_are_refused_at_once() {
    let cases = [
        (json!(["north"]), json!(["south"])),
        (json!(["west"]), Value::Null),
        (Value::Null, json!(["west"])),
        (json!([""]), Value::Null),
    ];
    for (routes, customer) in cases {
        let mut document = confine(configuration_with_reservations(1), &routes, &customer);
        // Charged once, the customer would have to wait for the second request.
        document["tenants"][0]["ratePerS"] = 1.into();
        document["tenants"][0]["burst"] = 1200.into();
        let platform = start(&document).await;
        for (method, path) in PATHS.repeat(2) {
            let began = Instant::now();
            let answer = platform.call(method, path).await;
            assert_refused_as_not_run(&answer);
            assert!(began.elapsed() < Duration::from_millis(200));
        }
        assert!(platform.seen_by("").is_empty());
    }
}

/// Guards against an upstream in a data centre of unknown region that gets confined requests.
#[tokio::test]
async fn data_centre_of_unknown_region_is_in_no_home() {
    let document = confine(configuration(1), &json!(["south"]), &Value::Null);
    let platform = start_in(&document, &[("a", "south")]).await;
    for (method, path) in PATHS {
        assert_eq!(platform.call(method, path).await.status, 200);
    }
    assert_eq!(upstreams_of(&platform.seen_by("")), ["d-0", "p-0", "s-0"]);
}

/// Guards against a stream that leaves its homes as it is resumed, and against a call that does as it is repeated.
#[tokio::test]
async fn repeats_and_resumed_streams_stay_in_their_homes() {
    let document = confine(configuration(1), &json!(["south"]), &Value::Null);
    let platform = start(&document).await;
    platform.upstream("d-1").set_behaviour(Behaviour::Truncate);
    platform.upstream("s-1").set_behaviour(Behaviour::Fail);
    let answer = platform.call("POST", "/long/1").await;
    assert!(!answer.is_complete);
    assert_eq!(platform.call("GET", "/read/1").await.status, 500);
    assert_eq!(upstreams_of(&platform.seen_by("")), ["d-1", "p-1", "s-1"]);
    // With a second engine in the home, it goes on there.
    platform.register_in("d-0", "ready", "b").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for _ in 0..3 {
        let answer = platform.call("POST", "/long/1").await;
        let whole: String = (0..EVENT_COUNT).map(event).collect();
        assert_eq!((answer.status, answer.body), (200, whole));
    }
    assert_eq!(
        upstreams_of(&platform.seen_by("")),
        ["d-0", "d-1", "p-1", "s-1"]
    );
}

/// Guards against a confined request that runs elsewhere, or waits, because its home is evacuated.
#[tokio::test]
async fn requests_are_refused_while_their_home_is_evacuated() {
    let document = confine(
        configuration_with_reservations(1),
        &json!(["south"]),
        &Value::Null,
    );
    let platform = start(&document).await;
    platform.evacuate("b").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for (method, path) in PATHS {
        assert_refused_as_not_run(&platform.call(method, path).await);
    }
    assert!(platform.seen_by("").is_empty());
    platform.return_to_service("b").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for (method, path) in PATHS {
        assert_eq!(platform.call(method, path).await.status, 200);
    }
}

/// Guards against a confined request that waits for its home and holds up others that may go where there is room.
#[tokio::test]
async fn waiting_confined_request_holds_up_no_others() {
    let mut document = configuration_with_reservations(1);
    // Streams of one route only.
    document["routes"][0]["allowedRegions"] = json!(["south"]);
    let platform = start(&document).await;
    platform.upstream("d-1").set_behaviour(Behaviour::Shed);
    let (confined, ()) = tokio::join!(platform.call("POST", "/text/1"), async {
        wait_until("confined request was refused by its engine", || {
            !platform.seen_by("d-1").is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        for _ in 0..3 {
            let began = Instant::now();
            let answer = platform.call("POST", "/long/1").await;
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert!(began.elapsed() < Duration::from_millis(500));
        }
    });
    assert_refused_as_not_run(&confined);
    let seen = platform.seen_by("d-0");
    assert!(
        seen.iter()
            .all(|seen| !seen.request_line.contains("/text/"))
    );
}

fn read(document: &Value) -> Result<ForwardingTable, String> {
    let value = serde_json::to_vec(document).expect("JSON");
    let table = PlatformStateCodec.read_configuration(&value);
    table.map_err(|e| e.to_string())
}

/// Guards against homes that are read wrong, and against a configuration with malformed ones that serves requests outside of them.
#[test]
fn allowed_regions_are_read_or_refused() {
    let document = confine(configuration(1), &json!(["b", "a", "b"]), &json!(["c"]));
    let table = read(&document).expect("valid");
    let route = table.route(HOST, "/text/1").expect("route");
    let homes = route.homes.as_ref().expect("homes");
    assert_eq!(homes.regions(), ["a".into(), "b".into()]);
    let customer = table.customer_of(&hash_key(KEY)).expect("customer");
    assert!(
        customer
            .homes
            .as_ref()
            .is_some_and(|h| h.regions().len() == 1)
    );
    let all: Vec<_> = table.home_regions().into_iter().collect();
    assert_eq!(all, ["a".into(), "b".into(), "c".into()]);
    for none in [json!([]), Value::Null] {
        let table = read(&confine(configuration(1), &none, &none)).expect("valid");
        assert!(table.home_regions().is_empty());
    }
    for wrong in [
        json!("a"),
        json!(3),
        json!({ "a": 1 }),
        json!(["a", 3]),
        json!([null]),
    ] {
        assert!(read(&confine(configuration(1), &wrong, &Value::Null)).is_err());
        assert!(read(&confine(configuration(1), &Value::Null, &wrong)).is_err());
    }
}

/// Removes the sections of a template, which are rendered only if there is a value of their name.
fn without_sections(text: &str) -> String {
    let mut rendered = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{#") {
        rendered.push_str(before);
        let (name, section) = after.split_once("}}").expect("placeholder");
        let end = format!("{{{{/{name}}}}}");
        rest = section.split_once(&*end).expect("end of the section").1;
    }
    rendered + rest
}

/// Fills in the placeholders of the deployment's settings template, as the platform does.
fn render(zones: &[(&str, &str)], region: &str) -> String {
    let template = include_str!("../../deploy/settings.ini");
    let (head, rest) = template.split_once("{{#zones}}").expect("section");
    let (line, tail) = rest.split_once("{{/zones}}").expect("section");
    let lines = zones
        .iter()
        .map(|(name, region)| line.replace("{{@}}", name).replace("{{.}}", region));
    let text = format!("{head}{}{tail}", lines.collect::<String>());
    let values = [
        ("nodeName", "front-1"),
        ("zone", "a"),
        ("region", region),
        ("listen.front", "127.0.0.1:1"),
        ("listen.ready", "127.0.0.1:2"),
        ("ip", "127.0.0.1"),
        ("portRange.0", "3"),
        ("provider.address", "127.0.0.1:4"),
        ("bootstrap", "true"),
    ];
    let text = values.iter().fold(text, |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    });
    // The other placeholders stand for numbers, and the other sections for what this deployment doesn't have.
    let text = without_sections(&text);
    let mut rendered = String::new();
    let mut rest = &*text;
    while let Some((before, after)) = rest.split_once("{{") {
        rendered.push_str(before);
        rendered.push('9');
        rest = after.split_once("}}").expect("placeholder").1;
    }
    rendered + rest
}

fn regions_of(text: &str) -> Regions {
    let settings = Settings::parse("settings.ini", text).expect("valid");
    settings.forwarding.expect("forwarding").regions
}

/// Guards against a template that the host can't read, or that loses the regions.
#[test]
fn regions_come_from_the_settings_of_the_deployment() {
    let known = [("a", "north"), ("b-1", "south coast")];
    assert_eq!(regions_of(&render(&known, "north")), regions(&known));
    // A deployment without zones or regions.
    assert_eq!(regions_of(&render(&[], "")), Regions::new());
    assert_eq!(
        regions_of(&render(&[], "north")),
        regions(&[("a", "north")])
    );
    assert_eq!(regions_of(&render(&[("b", "")], "")), Regions::new());
    // The list of all data centres takes precedence.
    assert_eq!(regions_of(&render(&known, "west")), regions(&known));
}

/// Guards against a data centre whose region depends on the order of the lines.
#[test]
fn data_centre_with_two_regions_is_a_problem() {
    let text = render(&[("a", "north"), ("a", "south")], "north");
    let problems = Settings::parse("settings.ini", &text).expect_err("two regions");
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!((&*problems[0].section, &*problems[0].key), ("regions", "a"));
}

/// A request on a route with these homes. `customer` are those of its customer, if it has one; an empty list confines nothing.
pub fn call(route: &[String], customer: Option<&[String]>) -> Call {
    let homes = |list: &[String]| Homes::new(list.iter().map(|region| RegionId::from(&**region)));
    let table = read(&configuration(1)).expect("valid");
    let known_route = table.route(HOST, "/text/1").expect("route");
    let known_customer = table.customer_of(&hash_key(KEY)).expect("customer");
    Call {
        head: CallHead {
            id: "r".into(),
            host: HOST.to_owned(),
            key_hash: None,
            timeout: None,
            tokens: None,
            model: None,
            shared_parts: SmallVec::new(),
            last_event_id: None,
        },
        method: Method::POST,
        uri: Uri::from_static("/text/1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        route: Arc::new(ForwardRoute {
            homes: homes(route),
            ..(**known_route).clone()
        }),
        customer: customer.map(|list| {
            Arc::new(ForwardCustomer {
                homes: homes(list),
                ..(**known_customer).clone()
            })
        }),
        deadline: Instant::now(),
        arrived: Instant::now(),
    }
}

fn home_list() -> impl Strategy<Value = Vec<String>> {
    proptest::collection::vec("[a-d]", 0..4)
}

proptest! {
    /// Guards against a request that reaches a region which one of the lists that apply does not contain, or none that both contain.
    #[test]
    fn request_may_reach_what_all_its_lists_contain(
        route in home_list(),
        customer in proptest::option::of(home_list()),
        region in proptest::option::of("[a-e]"),
    ) {
        let request = call(&route, customer.as_deref());
        let known: Regions = region.iter().map(|region| ("x".into(), RegionId::from(&**region))).collect();
        let lists = [Some(&route), customer.as_ref()];
        let allows = |list: &&Vec<String>| region.as_ref().is_some_and(|region| list.contains(region));
        let mut lists = lists.into_iter().flatten().filter(|list| !list.is_empty());
        let expected = lists.all(|list| allows(&list));
        prop_assert_eq!(request.may_reach(&"x".into(), &known), expected);
        let named = request.homes().is_none_or(|homes| {
            region.as_ref().is_some_and(|region| homes.contains(&RegionId::from(&**region)))
        });
        prop_assert_eq!(named, expected);
    }
}
