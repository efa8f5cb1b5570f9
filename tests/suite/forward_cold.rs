//! Cold upstreams: who may send them requests, and how many.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use serde_json::{Value, json};

use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::platform::requests::PlatformCallCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::cold::{
    Admission, ColdEngines, ColdFleet, ColdReport, ColdSettings, ColdStatement, PassClaim,
    PassOutcome, ReportOutcome,
};
use hibiscusspread::process::forwarding::directory::{Directory, Instance};
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::report_sections::ReportSection;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::state_codec::{RegisteredUpstream, StateCodec};
use hibiscusspread::process::settings::Settings;
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::forward::codec::CallCodec;
use hibiscusspread::version::forwarding::{ColdLimits, ForwardService, ForwardingTable};

use crate::forward_cold_simulation::{BOUND, LIMITS, settings};
use crate::forward_fleet::decode_instance;
use crate::forward_relay_fleet::RelayFleet;
use crate::platform_stand_in::{Platform, StandIns, configuration, request, send};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(index: usize) -> HostId {
    format!("host-{index}").into()
}

/// Returns the data centre of a host: `x` for each third one.
fn data_centre(index: usize) -> DataCentreId {
    ["x", "y", "z"][index % 3].into()
}

/// Returns the fleet as host `own` sees it, if its list has the hosts `listed`.
fn fleet(own: usize, listed: &[usize], membership: u64) -> ColdFleet {
    let others = listed.iter().filter(|index| **index != own);
    ColdFleet {
        membership,
        own: host(own),
        own_data_centre: data_centre(own),
        others: others
            .map(|index| (host(*index), data_centre(*index)))
            .collect(),
    }
}

/// A host that knows the hosts `listed`.
fn engines_of(own: usize, listed: &[usize]) -> Arc<ColdEngines> {
    let engines = ColdEngines::new(settings());
    engines.set_fleet(fleet(own, listed, 1));
    Arc::new(engines)
}

fn engines_of_single_host() -> Arc<ColdEngines> {
    engines_of(0, &[0])
}

fn is_open(engines: &ColdEngines, instance: &Instance, now: Instant) -> bool {
    engines.may_choose(instance, &LIMITS, now) == Admission::Open
}

fn is_closed(engines: &ColdEngines, instance: &Instance, now: Instant) -> bool {
    let admission = engines.may_choose(instance, &LIMITS, now);
    matches!(admission, Admission::Closed(_))
}

fn take(engines: &ColdEngines, instance: &Instance, now: Instant) -> bool {
    engines.take_pass(instance, &LIMITS, None, now) == PassOutcome::Taken
}

/// Returns how many passes a host takes at once.
fn passes_at_once(engines: &ColdEngines, instance: &Instance, now: Instant) -> usize {
    (0..100).filter(|_| take(engines, instance, now)).count()
}

fn report(instance: &Instance, left: Duration) -> ColdReport {
    ColdReport {
        upstream: instance.id.clone(),
        born: instance.born,
        left,
    }
}

fn statement(instance: &Instance, left: Duration, digest: u64) -> ColdStatement {
    ColdStatement {
        upstream: instance.id.clone(),
        born: instance.born,
        service: instance.service.clone(),
        left,
        digest,
    }
}

fn state(engines: &ColdEngines, stated: &[ColdStatement], now: Instant) -> usize {
    let news = engines.record_statements(stated, |_| Some(LIMITS), now);
    news.len()
}

fn table() -> ForwardingTable {
    let service = ForwardService {
        id: "writers".into(),
        max_connections: 100,
        engine: None,
        cold: Some(LIMITS),
    };
    let mut table = ForwardingTable::default();
    table.version = 1;
    table.services.insert(service.id.clone(), Arc::new(service));
    table
}

fn fleet_state() -> FleetState {
    let state = FleetState::new(&ForwardingSettings {
        cold: settings(),
        ..ForwardingSettings::default()
    });
    state.config.advance(table());
    state
}

/// Guards against many hosts that choose a cold engine at the same time, and against choosers that are all in other data centres.
#[test]
fn few_hosts_choose_a_cold_upstream() {
    let now = Instant::now();
    for count in [9, 60, 295] {
        let listed: Vec<_> = (0..count).collect();
        let hosts: Vec<_> = listed.iter().map(|own| engines_of(*own, &listed)).collect();
        for index in 0..5 {
            let engine = decode_instance(&format!("e{index}"));
            let mut chosen_by = Vec::new();
            let mut passes = 0;
            for (own, engines) in hosts.iter().enumerate() {
                assert!(is_open(engines, &engine, now), "warm before its start");
                engines.record_start(&engine, &LIMITS, false, Reach::Host, now);
                if engines.may_choose(&engine, &LIMITS, now) == Admission::WithPass {
                    chosen_by.push(data_centre(own));
                }
                passes += passes_at_once(engines, &engine, now);
            }
            assert_eq!(chosen_by, vec![engine.data_centre.clone(); 3]);
            // Twice as many are within the bound, for two groups of hosts with different lists.
            assert_eq!(passes * 2, BOUND);
        }
    }
}

/// Guards against an upstream that gets all requests of the fleet at the moment it is warm, and against hosts that never choose it.
#[test]
fn hosts_that_choose_a_warm_upstream_double_in_steps() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let listed: Vec<_> = (0..60).collect();
    let hosts: Vec<_> = listed.iter().map(|own| engines_of(*own, &listed)).collect();
    for engines in &hosts {
        engines.record_start(&engine, &LIMITS, false, Reach::Host, now);
    }
    let open_after = |ms: u64| {
        let open = hosts.iter();
        let open = open.filter(|engines| is_open(engines, &engine, now + millis(ms)));
        open.count()
    };
    let steps = [2999, 3000, 3100, 3200, 3300, 3400].map(open_after);
    assert_eq!(steps, [0, 6, 12, 24, 48, 60]);
}

/// Guards against a host that has just started, and counts itself among the few hosts that it knows, which each do the same.
#[test]
fn host_that_does_not_know_the_fleet_chooses_no_cold_upstream() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let engines = ColdEngines::new(settings());
    assert!(is_open(&engines, &engine, now));
    engines.record_start(&engine, &LIMITS, false, Reach::Host, now);
    assert!(is_closed(&engines, &engine, now + millis(2900)));
    assert_eq!(
        engines.take_pass(&engine, &LIMITS, None, now),
        PassOutcome::Refused
    );
    engines.set_fleet(fleet(0, &[0], 1));
    assert!(take(&engines, &engine, now + millis(10)));

    let state = fleet_state();
    let own = crate::forward_fleet::report("host-0", 1, 1).sender;
    state.update_cold_fleet(&own);
    assert!(state.cold.needs_fleet(0));
    // The first list may lack the hosts that start at the same time.
    state.peers().apply_registrations(&[], now);
    state.update_cold_fleet(&own);
    assert!(state.cold.needs_fleet(0));
    state.peers().apply_registrations(&[], now);
    state.update_cold_fleet(&own);
    assert!(!state.cold.needs_fleet(0));
    // A host that joins changes who chooses.
    let other = crate::forward_fleet::report("host-1", 2, 1);
    state.peers().record_report(&other, now);
    assert_ne!(state.peers().membership(), Some(0));
    assert_eq!(state.peers().hosts().len(), 1);
}

/// Guards against a pass that is spent on a call which is never sent, and against a prompt prefilled for a call that then gets no pass.
#[test]
fn claimed_pass_is_kept_until_the_call_is_sent_or_given_up() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let engines = engines_of_single_host();
    assert!(engines.claim_pass(&engine, &LIMITS, now).is_none(), "warm");
    engines.record_start(&engine, &LIMITS, false, Reach::Host, now);
    let claim = engines.claim_pass(&engine, &LIMITS, now).expect("free");
    let given_up = engines.claim_pass(&engine, &LIMITS, now).expect("free");
    assert_eq!(passes_at_once(&engines, &engine, now), 7);
    assert!(engines.claim_pass(&engine, &LIMITS, now).is_none());
    drop(given_up);
    assert!(take(&engines, &engine, now));
    assert!(is_closed(&engines, &engine, now));
    let later = now + millis(100);
    let taken = engines.take_pass(&engine, &LIMITS, Some(claim), later);
    assert_eq!(taken, PassOutcome::Taken);
    // A request may arrive 150 ms after its pass, the next one at once.
    let next = engines.may_choose(&engine, &LIMITS, later);
    assert_eq!(next, Admission::Closed(now + millis(1150)));
    assert_eq!(passes_at_once(&engines, &engine, now + millis(1149)), 0);
    assert_eq!(passes_at_once(&engines, &engine, now + millis(1150)), 8);
}

/// Guards against cold periods that end early, and against a stated time of an hour that keeps an upstream without work.
#[test]
fn longest_of_start_and_statement_counts_up_to_the_limit() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let engines = engines_of_single_host();
    engines.record_start(&engine, &LIMITS, false, Reach::Host, now);
    let after = |ms: u64| now + millis(ms);
    state(&engines, &[statement(&engine, millis(100), 1)], after(1));
    assert!(!is_open(&engines, &engine, after(2999)), "its start counts");
    // It becomes cold again.
    assert!(is_open(&engines, &engine, after(3000)));
    assert_eq!(
        state(
            &engines,
            &[statement(&engine, millis(2000), 2)],
            after(5000)
        ),
        1
    );
    assert!(!is_open(&engines, &engine, after(6999)));
    assert!(is_open(&engines, &engine, after(7000)));
    // The list goes on repeating an entry that is not renewed.
    assert_eq!(
        state(
            &engines,
            &[statement(&engine, millis(2000), 2)],
            after(8000)
        ),
        0
    );
    assert!(is_open(&engines, &engine, after(8000)));
    let hour = Duration::from_hours(1);
    assert_eq!(
        state(&engines, &[statement(&engine, hour, 3)], after(10_000)),
        1
    );
    assert!(!is_open(&engines, &engine, after(12_999)));
    for renewed in 0..60 {
        let stated = [statement(&engine, hour, 4 + renewed)];
        assert_eq!(state(&engines, &stated, after(13_000 + renewed * 1000)), 0);
    }
    assert!(is_open(&engines, &engine, after(13_000)));
    let is_news = engines.record_answer(&engine, &LIMITS, hour, after(80_000));
    assert!(is_news && is_closed_or_passes(&engines, &engine, after(82_000)));
    assert!(!engines.record_answer(&engine, &LIMITS, hour, after(83_000)));
    assert!(is_open(&engines, &engine, after(83_000)));
    assert!(!engines.record_answer(&engine, &LIMITS, Duration::ZERO, after(83_000)));
    assert!(engines.record_answer(&engine, &LIMITS, millis(500), after(84_000)));
    assert!(!is_open(&engines, &engine, after(84_400)));
}

fn is_closed_or_passes(engines: &ColdEngines, instance: &Instance, now: Instant) -> bool {
    !is_open(engines, instance, now)
}

/// Guards against hosts that send all their requests to the engines of a data centre that is taken back, which may have restarted.
#[test]
fn upstreams_of_a_returned_data_centre_count_as_cold() {
    let now = Instant::now();
    let (inside, outside) = (
        decode_instance("e"),
        Instance {
            data_centre: "y".into(),
            ..decode_instance("f")
        },
    );
    let engines = engines_of_single_host();
    engines.data_centre_returned(&"x".into(), now);
    assert_eq!(passes_at_once(&engines, &inside, now), 9);
    assert!(is_open(&engines, &outside, now));
    assert!(!is_open(&engines, &inside, now + millis(2999)));
    assert!(is_open(&engines, &inside, now + millis(3000)));
    let unused = engines_of_single_host();
    unused.data_centre_returned(&"x".into(), now);
    assert!(is_open(&unused, &inside, now + Duration::from_mins(1)));
}

/// Guards against upstreams that count as cold although only the host has started, and against restarts and returns that don't.
#[test]
fn first_list_tells_no_start_and_later_ones_do() {
    let now = Instant::now();
    let after = |ms: u64| now + millis(ms);
    let state = fleet_state();
    state.cold.set_fleet(fleet(0, &[0], 1));
    let (a, b) = (decode_instance("a"), decode_instance("b"));
    let apply = |listed: Vec<Instance>, cold: &[ColdStatement], at: Instant| {
        state.apply_list(listed, cold, 1, at, at);
    };
    let stated = [statement(&b, millis(1500), 1)];
    apply(vec![a.clone(), b.clone()], &stated, now);
    assert!(is_open(&state.cold, &a, now));
    assert!(
        !is_open(&state.cold, &b, after(1499)),
        "it says that it is cold"
    );
    assert!(is_open(&state.cold, &b, after(1500)));
    // A renewed registration is no start.
    apply(vec![a.clone(), b.clone()], &[], after(2000));
    assert!(is_open(&state.cold, &a, after(2000)));
    // A restart under the same id, and one that lapsed and returns.
    let restarted = Instance { born: 2, ..a };
    apply(vec![restarted.clone()], &[], after(4000));
    assert!(!is_open(&state.cold, &restarted, after(6999)));
    assert!(is_open(&state.cold, &restarted, after(7000)));
    apply(vec![restarted, b.clone()], &[], after(6000));
    assert!(!is_open(&state.cold, &b, after(8999)));
    assert!(is_open(&state.cold, &b, after(9000)));
}

/// Guards against a list that counts as changed, so that relays disagree or tell all hosts, because a registration was renewed with another
/// time left.
#[test]
fn changed_time_left_is_no_change_of_the_list() {
    let read = |left: u64| {
        let entry = json!({ "service": "writers", "address": "10.1.0.9:8080", "zone": "a", "slots": 64, "state": "ready",
            "coldLeftMs": left, "stage": "decode", "born": 9 });
        let read = PlatformStateCodec.read_upstream("servers/e", entry.to_string().as_bytes());
        read.expect("valid")
    };
    let (cold, warm) = (read(2500), read(0));
    assert_eq!(
        (cold.cold_left, warm.cold_left),
        (millis(2500), Duration::ZERO)
    );
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(vec![cold.instance], 1, now);
    let before = directory.news(now).expect("there is a list");
    assert!(directory.apply(vec![warm.instance], 2, now).is_empty());
    let after = directory.news(now).expect("there is a list");
    assert_eq!((before.digest, after.changes.len()), (after.digest, 0));
}

/// Guards against hosts that hear too late of an upstream that becomes cold again, and against one that reports all upstreams as cold for
/// ever.
#[test]
fn reports_of_other_hosts_count_but_not_for_ever() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let (finder, other) = (engines_of_single_host(), engines_of_single_host());
    assert!(finder.reports(Reach::Fleet, now).is_empty());
    state(&finder, &[statement(&engine, millis(2000), 1)], now);
    let later = now + millis(300);
    let reports = finder.reports(Reach::Host, later);
    assert_eq!(reports, [report(&engine, millis(1700))]);
    let apply = |report: &ColdReport, at: Instant| {
        other.apply_report(report, &engine, &LIMITS, Reach::Fleet, at)
    };
    let arrived = later + millis(50);
    assert_eq!(apply(&reports[0], arrived), ReportOutcome::Applied);
    assert_eq!(apply(&reports[0], arrived), ReportOutcome::Known);
    assert!(!is_open(&other, &engine, arrived + millis(1699)));
    // What a host heard goes on within its reach only, and not for long.
    assert!(other.reports(Reach::Host, arrived).is_empty());
    assert_eq!(other.reports(Reach::Fleet, arrived).len(), 1);
    assert!(finder.reports(Reach::Host, now + millis(1200)).is_empty());
    let older = ColdReport {
        born: 0,
        ..report(&engine, millis(3000))
    };
    assert_eq!(apply(&older, arrived + millis(5000)), ReportOutcome::Known);

    let false_report = ColdReport {
        born: u64::MAX,
        ..report(&engine, Duration::from_hours(1))
    };
    let mut open = 0;
    for second in 10..70 {
        let at = now + Duration::from_secs(second);
        apply(&false_report, at);
        open += usize::from(is_open(&other, &engine, at));
    }
    assert!(open >= 45, "open for {open} of 60 s");
}

/// Guards against a restart under the same id that other hosts take for the process before, and against cold periods that each host which
/// hears of the restart prolongs for all.
#[test]
fn restart_under_the_same_id_is_reported_once() {
    let now = Instant::now();
    let old = decode_instance("e");
    let new = Instance {
        born: 2,
        ..old.clone()
    };
    let (finder, other) = (engines_of_single_host(), engines_of_single_host());
    finder.record_start(&new, &LIMITS, true, Reach::Host, now);
    let reports = finder.reports(Reach::Host, now);
    let outcome = other.apply_report(&reports[0], &old, &LIMITS, Reach::Fleet, now);
    assert_eq!(outcome, ReportOutcome::Applied);
    assert!(!is_open(&other, &old, now + millis(1)));
    let is_news = other.record_start(&new, &LIMITS, true, Reach::Host, now + millis(2400));
    assert!(!is_news && is_open(&other, &new, now + millis(3000)));
    // Upstreams with a new id are no news: other hosts send them nothing before they see them started.
    finder.record_start(&decode_instance("f"), &LIMITS, false, Reach::Host, now);
    assert_eq!(finder.reports(Reach::Host, now).len(), 1);
}

/// Guards against state of upstreams that have left, which grows with each restart, and against passes that are forgotten with it.
#[test]
fn state_of_upstreams_that_left_is_dropped() {
    let now = Instant::now();
    let engine = decode_instance("e");
    let engines = engines_of_single_host();
    engines.record_start(&engine, &LIMITS, true, Reach::Host, now);
    assert_eq!(passes_at_once(&engines, &engine, now), 9);
    engines.drop_idle(now + millis(500));
    assert_eq!(passes_at_once(&engines, &engine, now + millis(500)), 0);
    assert!(format!("{engines:?}").contains("cold_until"));
    engines.drop_idle(now + Duration::from_mins(2));
    assert!(!format!("{engines:?}").contains("cold_until"));
}

/// Guards against a host without cold upstreams that pays for them, or sends anything about them.
#[test]
fn service_without_limits_has_no_cold_upstreams() {
    let now = Instant::now();
    let state = FleetState::new(&ForwardingSettings::default());
    let engine = decode_instance("e");
    state.apply_list(Vec::new(), &[], 1, now, now);
    let stated = [statement(&engine, millis(3000), 1)];
    state.apply_list(vec![engine.clone()], &stated, 2, now, now);
    let section = ReportSection::ColdEngines(vec![report(&engine, millis(3000))]);
    state.apply_section(&section, None, Reach::Fleet, now);
    assert!(state.report_sections(Reach::Fleet, now).is_empty());
    assert!(state.cold_limits("writers").is_none());
    assert!(is_open(&state.cold, &engine, now));
    let own = crate::forward_fleet::report("host-0", 1, 1).sender;
    state.peers().apply_registrations(&[], now);
    state.peers().apply_registrations(&[], now);
    state.update_cold_fleet(&own);
    assert!(state.cold.needs_fleet(0), "no list of hosts is kept");
}

fn read_upstream(cold_left: &str) -> RegisteredUpstream {
    let entry = format!(
        r#"{{"service":"writers","address":"10.1.0.9:8080","zone":"a","slots":64,"state":"ready","coldLeftMs":{cold_left}}}"#
    );
    let read = PlatformStateCodec.read_upstream("servers/e", entry.as_bytes());
    read.expect("the upstream is usable")
}

/// Guards against an upstream that gets no work because of a time left that is no time.
#[test]
fn invalid_time_left_is_ignored() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for invalid in [
        "-1", "\"soon\"", "true", "[]", "{}", "1e400", "1e300", &nested,
    ] {
        let read = read_upstream(invalid);
        assert!(read.cold_left.is_zero());
        let reason = read.ignored.expect("reason").to_string();
        assert!(
            reason.contains("coldLeftMs") && reason.len() < 200,
            "{reason}"
        );
    }
    for (valid, ms) in [
        ("null", 0),
        ("0", 0),
        ("250.5", 250),
        ("3600000", 3_600_000),
    ] {
        let read = read_upstream(valid);
        assert_eq!((read.cold_left.as_millis(), read.ignored), (ms, None));
    }
}

/// Guards against an answer that is lost, or a host that ends, because of a header that is no time.
#[test]
fn header_of_an_answer_is_read_or_ignored() {
    let read = |value: &[u8]| {
        let response = http::Response::builder()
            .header("x-cold-ms", value)
            .body(());
        let (head, ()) = response.expect("response").into_parts();
        PlatformCallCodec.read_cold_left(&head)
    };
    assert_eq!(read(b"250"), Ok(Some(millis(250))));
    assert_eq!(read(b" 0 "), Ok(Some(Duration::ZERO)));
    for invalid in ["", "-1", "soon", "NaN", "inf", "1e300", "1,2"] {
        assert!(read(invalid.as_bytes()).is_err(), "{invalid}");
    }
    assert!(read(&[0xff]).is_err());
    let (head, ()) = http::Response::new(()).into_parts();
    assert_eq!(PlatformCallCodec.read_cold_left(&head), Ok(None));
}

/// Guards against a configuration that is not put in force because of limits that are none, and against wrong limits.
#[test]
fn limits_are_read_or_ignored() {
    let read = |cold_s: &str, cold_per_s: &str| {
        let document = format!(
            r#"{{"version":1,"routes":[],"services":[{{"name":"writers","coldS":{cold_s},"coldPerS":{cold_per_s}}}]}}"#
        );
        let table = PlatformStateCodec.read_configuration(document.as_bytes());
        table
            .expect("the configuration is usable")
            .cold_limits("writers")
    };
    assert_eq!(read("3.0", "8.8"), Some(LIMITS));
    assert_eq!(
        read("3", "0").map(|limits| limits.requests_per_second),
        Some(0.0)
    );
    for (cold_s, cold_per_s) in [
        ("0", "8.8"),
        ("null", "8.8"),
        ("3.0", "null"),
        ("-3", "8.8"),
        ("\"3\"", "8.8"),
        ("1e9", "8.8"),
        ("1e400", "8.8"),
        ("3", "-1"),
        ("3", "1e300"),
        ("3", "[1]"),
    ] {
        assert_eq!(read(cold_s, cold_per_s), None, "{cold_s}, {cold_per_s}");
    }
    let document = json!({ "version": 1, "routes": [], "services": [{ "name": "writers" }] });
    let table = PlatformStateCodec.read_configuration(document.to_string().as_bytes());
    assert!(!table.expect("valid").has_cold_limits());
}

/// Guards against bounds that turn the protection off, or make it divide by nothing.
#[test]
fn bounds_are_read_from_the_settings() {
    let parse = |lines: &str| {
        let text = format!(
            "[host]\nname = a\ndata_centre = x\n[callers]\naddress = 127.0.0.1:1\n[peer]\naddress = 127.0.0.1:2\n\
             [forwarding]\nstore = 127.0.0.1:3\n{lines}"
        );
        Settings::parse("a.ini", &text)
    };
    let cold = |lines: &str| {
        let parsed = parse(lines).map_err(|problems| problems.len());
        parsed.map(|settings| settings.forwarding.expect("section").cold)
    };
    assert_eq!(
        cold("\ncold_overrun = 1.5\ncold_slack = 5\n"),
        Ok(settings())
    );
    assert_eq!(cold("\n\n"), Ok(ColdSettings::default()));
    for wrong in [
        "cold_overrun = -1",
        "cold_overrun = NaN",
        "cold_slack = inf",
        "cold_slack = many",
    ] {
        assert_eq!(cold(wrong), Err(1), "{wrong}");
    }
}

/// Guards against a section that names more upstreams than a report may, or that can't be decoded, and against a fault in the round trip.
#[test]
fn section_of_a_report_is_bounded() {
    use hibiscusspread::connection::forward::reports::{decode_report, encode_report};
    let sections = |count: usize| {
        let reports =
            (0..count).map(|index| report(&decode_instance(&format!("e{index}")), millis(1)));
        let mut sent = crate::forward_fleet::report("host-a", 7, 3);
        sent.sections = vec![ReportSection::ColdEngines(reports.collect())];
        let bytes = encode_report(&sent).expect("report encodes");
        let received = decode_report(&bytes).expect("the report itself is sound");
        (sent.sections, received.sections)
    };
    let (sent, received) = sections(128);
    assert_eq!(sent, received);
    assert!(sections(129).1.is_empty());
}

/// Load pattern: an engine that becomes cold while it runs, before a fleet with relays. Guards against members that don't hear of it, since
/// the news of the list doesn't tell.
#[test]
fn members_hear_of_an_upstream_that_becomes_cold_again() {
    let mut fleet = RelayFleet::start(60, Vec::new(), true);
    let engine = decode_instance("e");
    let now = fleet.now();
    for host in &fleet.hosts {
        host.state.config.advance(table());
        host.state
            .apply_list(vec![engine.clone()], &[], 1, now, now);
    }
    fleet.run(Duration::from_secs(2));
    let relay = fleet.hosts.iter().find(|host| {
        use hibiscusspread::process::forwarding::relays::Role;
        host.state.peers().role() == Role::Relay
    });
    let now = fleet.now();
    let stated = [statement(&engine, millis(3000), 1)];
    let relay = relay.expect("there are relays");
    relay
        .state
        .apply_list(vec![engine.clone()], &stated, 2, now, now);
    fleet.run(millis(2100));
    let now = fleet.now();
    for (index, host) in fleet.hosts.iter().enumerate() {
        assert!(!is_open(&host.state.cold, &engine, now), "host {index}");
    }
    fleet.run(Duration::from_secs(5));
    for host in &fleet.hosts {
        assert!(is_open(&host.state.cold, &engine, fleet.now()));
    }
}

/// What a host does in a step of the model.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// It sends a request, as soon as it has a pass.
    Send,
    /// It claims a pass for a request that is sent later.
    Claim,
    /// It sends the request that has waited longest with a claim.
    SendClaimed,
    /// It gives up a request that waits with a claim.
    GiveUp,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => Just(Action::Send),
        2 => Just(Action::Claim),
        2 => Just(Action::SendClaimed),
        1 => Just(Action::GiveUp),
    ]
}

/// The time in milliseconds that a request takes to its upstream.
fn transit_ms() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0u64), Just(149u64), 0u64..150]
}

/// Returns the most of `arrivals`, given in milliseconds, within one second.
fn most_in_second(arrivals: &[u64]) -> usize {
    let within = |start: u64| {
        let within = arrivals.iter();
        within
            .filter(move |at| (start..start + 1000).contains(*at))
            .count()
    };
    let counts = arrivals.iter().map(|start| within(*start));
    counts.max().unwrap_or_default()
}

/// The hosts of the model.
const HOSTS: usize = 12;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against more requests to a cold upstream than the bound in any second: two groups of hosts with different lists, whose members
    /// hear of the start at different times, send as often as they can, and requests arrive up to 150 ms late.
    #[test]
    fn two_groups_of_hosts_never_exceed_the_bound(
        lists in prop::array::uniform2(prop::collection::btree_set(0..HOSTS, 0..HOSTS)),
        in_second_group in prop::collection::vec(any::<bool>(), HOSTS),
        heard_ms in prop::collection::vec(0u64..2400, HOSTS),
        steps in prop::collection::vec((0..HOSTS, 0u64..8, transit_ms(), action()), 1..900),
        per_second in 0.0f64..12.0,
        overrun in 0.0f64..2.0,
        slack in 0.0f64..10.0,
    ) {
        let base = Instant::now();
        let limits = ColdLimits { duration: Duration::from_secs(3), requests_per_second: per_second };
        let settings = ColdSettings { overrun, slack, ..ColdSettings::default() };
        let engine = decode_instance("e");
        let hosts: Vec<_> = (0..HOSTS).map(|own| {
            let group = in_second_group[own];
            let is_listed = |host: &usize| {
                in_second_group[*host] == group || lists[usize::from(group)].contains(host)
            };
            let listed: Vec<_> = (0..HOSTS).filter(is_listed).collect();
            let engines = Arc::new(ColdEngines::new(settings.clone()));
            engines.set_fleet(fleet(own, &listed, 1));
            engines
        }).collect();
        let mut claims: Vec<Vec<PassClaim>> = (0..HOSTS).map(|_| Vec::new()).collect();
        let mut has_heard = [false; HOSTS];
        let mut arrivals = [Vec::new(), Vec::new()];
        let mut now_ms = 0;
        for (own, pause, transit, action) in steps {
            now_ms += pause;
            let now = base + millis(now_ms);
            // A host that has not heard of the upstream sends it nothing.
            if now_ms < heard_ms[own] || now_ms >= 3000 {
                continue;
            }
            let engines = &hosts[own];
            if !std::mem::replace(&mut has_heard[own], true) {
                engines.record_start(&engine, &limits, false, Reach::Host, now);
            }
            let may_choose = engines.may_choose(&engine, &limits, now) == Admission::WithPass;
            let taken = match action {
                Action::Send => {
                    let taken = engines.take_pass(&engine, &limits, None, now);
                    prop_assert_eq!(taken == PassOutcome::Taken, may_choose);
                    taken
                }
                Action::Claim => {
                    let claim = engines.claim_pass(&engine, &limits, now);
                    prop_assert_eq!(claim.is_some(), may_choose);
                    claims[own].extend(claim);
                    continue;
                }
                Action::SendClaimed if !claims[own].is_empty() => {
                    let claim = claims[own].remove(0);
                    let taken = engines.take_pass(&engine, &limits, Some(claim), now);
                    prop_assert_eq!(taken, PassOutcome::Taken, "a claim is good for a pass");
                    taken
                }
                Action::SendClaimed => continue,
                Action::GiveUp => {
                    claims[own].pop();
                    continue;
                }
            };
            if taken == PassOutcome::Taken {
                arrivals[usize::from(in_second_group[own])].push(now_ms + transit);
            }
        }
        let bound = per_second * overrun + slack;
        for group in &arrivals {
            let most = most_in_second(group);
            prop_assert!(most as f64 <= bound / 2.0 + 1e-6, "{} of {}", most, bound / 2.0);
        }
        let most = most_in_second(&arrivals.concat());
        prop_assert!(most as f64 <= bound + 1e-6, "{} of {}", most, bound);
    }

    /// Guards against a panic, or an upstream that is cold for ever, on any reports, statements and answers.
    #[test]
    fn any_news_of_cold_upstreams_may_arrive(
        news in prop::collection::vec((0u8..4, any::<u64>(), any::<u64>(), any::<u32>(), 0u64..5000), 0..60),
    ) {
        let mut now = Instant::now();
        let engine = decode_instance("e");
        let engines = engines_of_single_host();
        for (kind, born, secs, nanos, pause) in news {
            now += millis(pause);
            let left = Duration::new(secs, nanos % 1_000_000_000);
            match kind {
                0 => {
                    let report = ColdReport { born, ..report(&engine, left) };
                    engines.apply_report(&report, &engine, &LIMITS, Reach::Fleet, now);
                }
                1 => {
                    state(&engines, &[ColdStatement { born, ..statement(&engine, left, secs) }], now);
                }
                2 => {
                    engines.record_answer(&engine, &LIMITS, left, now);
                }
                _ => engines.data_centre_returned(&engine.data_centre, now),
            }
            engines.may_choose(&engine, &LIMITS, now);
            engines.reports(Reach::Fleet, now);
        }
        prop_assert!(is_open(&engines, &engine, now + Duration::from_secs(3)));
    }
}

/// Returns the configuration of the stand-in platform, whose upstreams are cold after a start.
fn cold_configuration() -> Value {
    let mut document = configuration(1);
    for service in document["services"].as_array_mut().expect("services") {
        service["coldS"] = 3.0.into();
        service["coldPerS"] = 8.8.into();
    }
    document
}

/// Starts a host before upstreams that are warm, and waits until it knows that it is the only one.
async fn start_platform() -> Platform {
    let stand_ins = StandIns::start().await;
    stand_ins.register_all().await;
    stand_ins.configure(&cold_configuration()).await;
    let forwarding = ForwardingSettings {
        store_address: stand_ins.store_address,
        cold: settings(),
        second_host_list_delay: millis(100),
        watch_wait: millis(500),
        ..ForwardingSettings::default()
    };
    let platform = Platform::start_with(stand_ins, forwarding).await;
    platform.wait_ready().await;
    tokio::time::sleep(millis(1000)).await;
    platform
}

/// Registers new processes of upstreams under their ids, and waits until the host has read the list.
async fn restart(platform: &Platform, ids: &[&str]) {
    for id in ids {
        let key = format!("servers/{id}");
        let entry = platform.store.get(&key).await.expect("store answers");
        let entry = entry.expect("registered");
        let mut registration: Value = serde_json::from_slice(&entry.value).expect("JSON");
        registration["born"] = 8.into();
        let value = serde_json::to_vec(&registration).expect("JSON");
        let expected = Expected::At(entry.revision);
        let swapped = platform.store.swap(&key, expected, value, None).await;
        swapped.expect("store answers");
    }
    tokio::time::sleep(millis(300)).await;
}

/// Sends `count` requests at once and returns the answers.
async fn send_all(platform: &Platform, path: &str, count: usize) -> Vec<(u16, bool)> {
    let (address, uri) = (
        platform.address,
        format!("http://{}{path}", platform.address),
    );
    let calls = (0..count).map(|_| send(address, request("GET", &uri)));
    let answers = futures_util::future::join_all(calls).await;
    let answers = answers.into_iter();
    answers
        .map(|answer| (answer.status, answer.headers.contains_key("retry-after")))
        .collect()
}

/// Returns the most runs that began at an upstream within a second since `since`.
fn most_runs(platform: &Platform, id: &str, since: Instant) -> usize {
    let runs = lock(&platform.runs).clone();
    let began: Vec<_> = runs
        .iter()
        .filter(|run| run.upstream == id && run.began >= since)
        .map(|run| u64::try_from(run.began.duration_since(since).as_millis()).expect("short"))
        .collect();
    most_in_second(&began)
}

/// Load pattern: all upstreams of a plain service restart before a burst of calls. Guards against calls beyond what cold upstreams take,
/// and against calls that are refused although one takes them in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_wait_for_cold_upstreams_and_are_refused_in_time() {
    let platform = start_platform().await;
    let warm = send_all(&platform, "/read/1", 60).await;
    assert!(warm.iter().all(|(status, _)| *status == 200), "{warm:?}");
    let since = Instant::now();
    restart(&platform, &["s-0", "s-1"]).await;
    let began = Instant::now();
    let answers = send_all(&platform, "/read/1", 60).await;
    assert!(began.elapsed() < Duration::from_secs(2));
    let answered = answers.iter().filter(|(status, _)| *status == 200).count();
    // Nine at once at each, and nine once a second has passed.
    assert!((18..=36).contains(&answered), "{answered}");
    let refused = answers.iter().filter(|answer| **answer == (503, true));
    assert_eq!(answered + refused.count(), 60, "{answers:?}");
    for id in ["s-0", "s-1"] {
        assert!(most_runs(&platform, id, since) <= BOUND);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let warm = send_all(&platform, "/read/1", 60).await;
    assert!(warm.iter().all(|(status, _)| *status == 200), "{warm:?}");
}

/// Load pattern: all engines restart before a burst of generations. Guards against prefills and streams beyond what cold engines take, and
/// against streams that are refused although an engine takes them in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generations_wait_for_cold_engines() {
    let platform = start_platform().await;
    let since = Instant::now();
    restart(&platform, &["p-0", "p-1", "d-0", "d-1"]).await;
    lock(&platform.seen).clear();
    let answers = send_all(&platform, "/text/1", 30).await;
    let answered = answers.iter().filter(|(status, _)| *status == 200).count();
    assert!(answered >= 9, "{answers:?}");
    let refused = answers.iter().filter(|answer| **answer == (503, true));
    assert_eq!(answered + refused.count(), 30, "{answers:?}");
    for id in ["d-0", "d-1"] {
        assert!(most_runs(&platform, id, since) <= BOUND);
    }
    let elapsed = since.elapsed().as_secs_f64().ceil();
    for id in ["p-0", "p-1"] {
        let prefills = platform.seen_by(id);
        let prefills = prefills
            .iter()
            .filter(|seen| seen.header("x-stage").is_some());
        let prefills = prefills.count();
        assert!(
            prefills as f64 <= elapsed * 9.0,
            "{prefills} in {elapsed} s"
        );
    }
}
