//! The decisions on evacuated data centres: which set is in force, what it excludes, what the store's keys and other hosts' reports
//! may contain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use proptest::prelude::*;

use hibiscusspread::connection::forward::reports::{decode_report, encode_report};
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::platform::requests::PlatformCallCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::directory::Stage;
use hibiscusspread::process::forwarding::evacuation::{
    EvacuationNews, EvacuationState, MAX_EVACUATED, NewsError, SetPosition,
};
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::HostReport;
use hibiscusspread::process::forwarding::relays::Role;
use hibiscusspread::process::forwarding::report_sections::ReportSection;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::stage_controller::StageController;
use hibiscusspread::process::forwarding::stage_plan::{
    ServiceLoad, StagePlanSettings, plan_stage_changes,
};
use hibiscusspread::process::forwarding::state_codec::StateCodec;
use hibiscusspread::process::forwarding::wait_queue::Waiter;
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::forward::transport::{
    SendFailure, SendLimits, UpstreamBody, UpstreamTransport, whole_body,
};
use hibiscusspread::version::forwarding::{EngineLimits, ForwardService, ForwardingTable};

use crate::fixtures::RuntimeClock;
use crate::forward_fleet::{instance, registration, report};
use crate::forward_relay_fleet::RelayFleet;

fn set(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(|name| DataCentreId::from(*name)).collect()
}

fn news(position: SetPosition, names: &[&str]) -> EvacuationNews {
    EvacuationNews {
        position,
        data_centres: names.iter().map(|name| DataCentreId::from(*name)).collect(),
    }
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Applies a set that was read in a call that began and ended at `at`.
fn read(state: &mut EvacuationState, names: &[&str], position: SetPosition, at: Instant) {
    state.apply_read(set(names), position, &BTreeSet::new(), at, at);
}

/// Guards against a host that the store turns away and that follows an older report, or not the newest one.
#[test]
fn newest_position_wins() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, &[], 5, now);
    let change = state.apply_news(&news(9, &["x", "y"]), now).expect("used");
    assert_eq!(change.began, ["x".into(), "y".into()]);
    let change = state.apply_news(&news(7, &["z"]), now).expect("used");
    assert!(change.is_empty());
    assert_eq!(*state.evacuated(), set(&["x", "y"]));
    let change = state.apply_news(&news(12, &["y"]), now).expect("used");
    assert_eq!(change.ended, ["x".into()]);
    assert_eq!(*state.evacuated(), set(&["y"]));
}

/// Guards against a report of an absurd position that hides all later changes from hosts that reach the store.
#[test]
fn later_read_refutes_a_reported_position() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, &["x"], 5, now);
    let forged = news(SetPosition::MAX, &["a", "b"]);
    state
        .apply_news(&forged, now + millis(10))
        .expect("used until it is refuted");
    assert!(state.is_unverified());
    // A call that began before the report arrived may have ended before the reported change.
    state.apply_read(set(&["x"]), 6, &BTreeSet::new(), now, now + millis(20));
    assert_eq!(*state.evacuated(), set(&["a", "b"]));
    let begun = now + millis(30);
    let change = state.apply_read(set(&["x"]), 6, &BTreeSet::new(), begun, begun);
    assert_eq!(change.refuted, Some(SetPosition::MAX));
    assert_eq!(*state.evacuated(), set(&["x"]));
    assert!(!state.is_unverified());
    let repeated = state.apply_news(&forged, now + millis(40));
    assert_eq!(repeated, Err(NewsError::Refuted));
    state
        .apply_news(&news(8, &[]), now + millis(50))
        .expect("newer news is used");
    assert!(state.evacuated().is_empty());
}

/// Guards against hosts that report where no data centre was ever evacuated, and against one that has missed the end of an evacuation
/// while the others have forgotten it in a restart.
#[test]
fn hosts_report_only_if_there_is_something_to_tell() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, &[], 5, now);
    assert_eq!(state.news(), None);
    state.apply_news(&news(6, &[]), now).expect("used");
    assert_eq!(state.news(), None);
    read(&mut state, &[], 20, now);
    state
        .apply_news(&news(9, &["x"]), now)
        .expect("old, not wrong");
    assert_eq!(state.news(), Some(news(20, &[])));
}

/// Guards against the end of an evacuation that parts which treat returned upstreams differently don't learn of.
#[test]
fn returned_data_centres_are_known_with_their_time() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, &["x", "y"], 1, now);
    assert!(state.returned().is_empty());
    read(&mut state, &["y"], 2, now + millis(100));
    assert_eq!(state.returned(), [("x".into(), now + millis(100))]);
    read(&mut state, &["x", "y"], 3, now + millis(200));
    assert!(state.returned().is_empty());
}

/// Guards against names of no data centre that take the place of real ones, and against a log line for each of them at each read.
#[test]
fn known_data_centres_come_first_and_unknown_ones_are_told_once() {
    let now = Instant::now();
    let junk: Vec<_> = (0..5000).map(|no| format!("a-{no}")).collect();
    let mut names: Vec<&str> = junk.iter().map(|name| &**name).collect();
    names.push("zone");
    let known = set(&["zone", "other"]);
    let mut state = EvacuationState::default();
    state.apply_read(set(&names), 1, &known, now, now);
    let evacuated = state.evacuated();
    assert_eq!(evacuated.len(), MAX_EVACUATED);
    assert!(evacuated.contains("zone"));
    let unknown = state.take_unknown(&known);
    assert_eq!(unknown.len(), MAX_EVACUATED - 1);
    assert!(state.take_unknown(&known).is_empty());
}

/// Guards against news that takes a host's memory or datagrams, and against names that can't be those of data centres.
#[test]
fn news_out_of_bounds_is_dropped() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    let many: Vec<_> = (0..=MAX_EVACUATED).map(|no| format!("z{no}")).collect();
    let many: Vec<&str> = many.iter().map(|name| &**name).collect();
    let long = "z".repeat(65);
    for names in [&many[..], &[""], &["a/b"], &["a\nb"], &[&long]] {
        let dropped = state.apply_news(&news(9, names), now);
        assert_eq!(dropped, Err(NewsError::OutOfBounds), "{names:?}");
    }
    assert!(state.evacuated().is_empty());
}

/// Guards against keys beside those of the platform that evacuate something, and against keys without a name that are taken for one.
#[test]
fn keys_are_read_or_refused() {
    let name = |key: &str| PlatformStateCodec.evacuated_data_centre(key);
    assert_eq!(name("op/evacuate/burrard"), Some(Ok("burrard".into())));
    for key in [
        "op/config",
        "op/evacuate",
        "op/evacuated/x",
        "servers/op/evacuate/x",
        "",
    ] {
        assert_eq!(name(key), None, "{key}");
    }
    let long = format!("op/evacuate/{}", "z".repeat(65));
    for key in ["op/evacuate/", "op/evacuate/a/b", "op/evacuate/a\0", &long] {
        assert!(name(key).is_some_and(|name| name.is_err()), "{key:?}");
    }
    let prefix = PlatformStateCodec.operator_prefix();
    assert!(PlatformStateCodec.configuration_key().starts_with(prefix));
}

fn engines() -> Vec<hibiscusspread::process::forwarding::directory::Instance> {
    let ids = (0..12).map(|no| {
        let stage = if no % 3 == 0 {
            Stage::Decode
        } else {
            Stage::Prefill
        };
        instance(&format!("e-{no:02}"), stage, ["x", "y"][no % 2])
    });
    ids.collect()
}

/// Guards against work for upstreams in an evacuated data centre: by choice, by an earlier choice, or by orders to change their stage.
#[test]
fn evacuated_upstreams_are_left_out_until_they_are_back() {
    let now = Instant::now();
    let state = FleetState::new(&ForwardingSettings::default());
    state.apply_list(engines(), &[], 1, now, now);
    let chosen = state.available_upstreams("writers");
    let in_x: Vec<_> = chosen.iter().filter(|e| &*e.data_centre == "x").collect();
    let ordered_in = |data_centre: &str| {
        let settings = StagePlanSettings::default();
        let engines = state.available_upstreams("writers");
        let changes = plan_stage_changes(&settings, &engines, &ServiceLoad::default(), |_| false);
        let changes = changes.iter();
        changes
            .filter(|change| &*change.instance.data_centre == data_centre)
            .count()
    };
    assert!(ordered_in("x") > 0 && ordered_in("y") > 0);
    state.apply_evacuations(set(&["x"]), 2, now, now);
    let left = state.available_upstreams("writers");
    assert_eq!(left.len(), 6);
    assert!(left.iter().all(|engine| &*engine.data_centre == "y"));
    let is_available = |engine| state.with_directory(|d| d.is_available(engine));
    assert!(in_x.iter().all(|engine| !is_available(engine)));
    assert_eq!(ordered_in("x"), 0);
    // A list read meanwhile, or an upstream that restarts there, changes nothing.
    state.apply_list(engines(), &[], 3, now + millis(800), now + millis(800));
    assert_eq!(state.available_upstreams("writers").len(), 6);
    let digest = |state: &FleetState| state.list_news(Role::Relay, now).expect("listed").digest;
    let evacuated_digest = digest(&state);
    state.apply_evacuations(set(&[]), 4, now + millis(900), now + millis(900));
    assert_eq!(state.available_upstreams("writers").len(), 12);
    assert_eq!(digest(&state), evacuated_digest);
    assert!(ordered_in("x") > 0);
    let returned = state.returned_data_centres();
    assert_eq!(returned, [("x".into(), now + millis(900))]);
}

/// Records the calls to upstreams, and answers each after a while.
struct SlowTransport {
    clock: Arc<dyn Clock>,
    sent: Mutex<Vec<(SocketAddr, Instant)>>,
}

#[async_trait]
impl UpstreamTransport for SlowTransport {
    async fn send(
        &self,
        to: SocketAddr,
        _: Request<Full<Bytes>>,
        _: SendLimits,
    ) -> Result<Response<UpstreamBody>, SendFailure> {
        lock(&self.sent).push((to, self.clock.now()));
        tokio::time::sleep(millis(900)).await;
        Ok(Response::new(whole_body(Bytes::new())))
    }

    fn close_idle(&self, _: SocketAddr) {}
}

/// Guards against orders to engines whose data centre is evacuated while the orders before them are under way, and against engines that
/// get no orders any more once they are back.
#[tokio::test(start_paused = true)]
async fn engines_in_an_evacuated_data_centre_get_no_orders() {
    let clock: Arc<dyn Clock> = RuntimeClock::start();
    let settings = ForwardingSettings::default();
    let state = Arc::new(FleetState::new(&settings));
    let mut table = ForwardingTable::default();
    let limits = EngineLimits {
        kv_tokens: 50_000,
        handle_ttl: millis(500),
        reservation_ttl: None,
    };
    let service = ForwardService {
        id: "writers".into(),
        max_connections: 100,
        engine: Some(limits),
        cold: None,
    };
    table.version = 1;
    table.services.insert("writers".into(), Arc::new(service));
    state.config.advance(table);
    let mut engines = engines();
    for (no, engine) in (0..).zip(&mut engines) {
        engine.address.set_port(9000 + no);
    }
    state.apply_list(engines.clone(), &[], 1, clock.now(), clock.now());
    let transport = Arc::new(SlowTransport {
        clock: clock.clone(),
        sent: Mutex::default(),
    });
    let controller = StageController {
        own: registration("host-1", 1),
        started: clock.now(),
        state: state.clone(),
        store: MemoryStore::new(clock.clone()),
        transport: transport.clone(),
        codec: Arc::new(PlatformCallCodec),
        clock: clock.clone(),
        settings: settings.stage_plan,
        handover_delay: millis(500),
        is_first_start: true,
    };
    let orders = tokio::spawn(async move { controller.run().await });
    let sent_in = |data_centre: &str, from: Instant| {
        let sent = lock(&transport.sent).clone();
        let sent = sent.iter().filter(|(_, at)| *at >= from);
        sent.filter(|(to, _)| {
            let mut engines = engines.iter();
            engines.any(|e| e.address == *to && &*e.data_centre == data_centre)
        })
        .count()
    };
    let start = clock.now();
    tokio::time::sleep(millis(1500)).await;
    assert_eq!(sent_in("x", start) + sent_in("y", start), 1);
    let evacuated = clock.now();
    state.apply_evacuations(set(&["x"]), 2, evacuated, evacuated);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(sent_in("x", evacuated), 0);
    assert!(sent_in("y", evacuated) > 0);
    let returned = clock.now();
    state.apply_evacuations(set(&[]), 3, returned, returned);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(sent_in("x", returned) > 0);
    orders.abort();
}

/// Guards against a data centre that does not exist and takes work from others, and against a report where nothing is evacuated.
#[test]
fn unknown_data_centre_changes_nothing() {
    let now = Instant::now();
    let state = FleetState::new(&ForwardingSettings::default());
    state.apply_list(engines(), &[], 1, now, now);
    assert!(state.report_sections(Reach::Host, now).is_empty());
    state.apply_evacuations(set(&["nowhere"]), 2, now, now);
    assert_eq!(state.available_upstreams("writers").len(), 12);
    assert!(!state.with_directory(|d| d.has_evacuated("writers")));
}

/// Guards against an encoding that hosts of the same build don't understand, and against sections that no longer fit into a datagram.
#[test]
fn section_is_carried_by_reports() {
    let longest: Vec<_> = (0..MAX_EVACUATED).map(|no| format!("{no:064}")).collect();
    let longest: Vec<&str> = longest.iter().map(|name| &**name).collect();
    for names in [&[][..], &["burrard"], &longest] {
        let section = ReportSection::Evacuations(news(SetPosition::MAX, names));
        let sent = HostReport {
            sections: vec![section],
            ..report("host-a", 7, 3)
        };
        let bytes = encode_report(&sent).expect("report encodes");
        assert_eq!(decode_report(&bytes), Ok(sent));
        let plain = encode_report(&report("host-a", 7, 3)).expect("report encodes");
        let section = bytes.len() - plain.len();
        println!("{} names: {section} bytes", names.len());
        assert!(section < 5 << 10);
    }
}

/// Guards against members of a fleet with relays, or other data centres' relays, that go on sending to an evacuated data centre, although
/// one relay alone has read of it, datagrams are lost, and a relay restarts.
#[test]
fn all_hosts_of_a_fleet_with_relays_follow_one_that_has_read() {
    for count in [60, 295] {
        let mut fleet = RelayFleet::start(count, Vec::new(), true);
        fleet.run(Duration::from_secs(2));
        fleet.lose_each(10);
        let now = fleet.now();
        for host in &fleet.hosts {
            let list = vec![
                instance("a", Stage::Decode, "x"),
                instance("b", Stage::Decode, "y"),
            ];
            host.state.apply_list(list, &[], 1, now, now);
        }
        let is_relay = |index: &usize| fleet.hosts[*index].state.peers().role() == Role::Relay;
        let relay = (0..count).find(is_relay).expect("there is a relay");
        for (position, names, left) in [(2, &["x"][..], 1), (3, &["x", "y"], 0), (4, &[], 2)] {
            let now = fleet.now();
            let state = fleet.hosts[relay].state.clone();
            state.apply_evacuations(set(names), position, now, now);
            let available = |fleet: &RelayFleet| {
                let hosts = fleet.hosts.iter();
                let available = hosts.map(|host| host.state.available_upstreams("writers").len());
                available.collect::<Vec<_>>()
            };
            let mut steps = 0;
            while available(&fleet).iter().any(|available| *available != left) {
                fleet.step();
                steps += 1;
                assert!(steps < 30, "{:?} at position {position}", available(&fleet));
            }
            println!("{count} hosts, position {position}: after {steps} steps of 100 ms");
        }
        // A member that restarts and reaches no store hears of what is in force.
        let now = fleet.now();
        fleet.hosts[relay]
            .state
            .apply_evacuations(set(&["x"]), 5, now, now);
        fleet.run(Duration::from_secs(2));
        let member = (0..count).rfind(|index| !is_relay_of(&fleet, *index));
        let member = member.expect("there is a member");
        fleet.restart(member);
        fleet.run(Duration::from_secs(3));
        let state = &fleet.hosts[member].state;
        assert_eq!(state.evacuated_data_centres(), ["x".into()]);
    }
}

fn is_relay_of(fleet: &RelayFleet, index: usize) -> bool {
    fleet.hosts[index].state.peers().role() == Role::Relay
}

/// One step of a fleet whose hosts read the store and report to each other.
#[derive(Debug, Clone)]
enum Step {
    /// An operator evacuates a data centre, or returns it to service.
    Toggle(usize),
    /// A host begins to read the store.
    BeginRead(usize),
    /// The answer to its last read arrives.
    EndRead(usize),
    /// A host reports to another one.
    Report(usize, usize),
    /// An earlier report arrives once more.
    Late(usize, usize),
    /// A host restarts.
    Restart(usize),
}

const HOSTS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        (0..3usize).prop_map(Step::Toggle),
        host.clone().prop_map(Step::BeginRead),
        host.clone().prop_map(Step::EndRead),
        (host.clone(), host.clone()).prop_map(|(from, to)| Step::Report(from, to)),
        (host.clone(), 0..100usize).prop_map(|(to, late)| Step::Late(to, late)),
        host.prop_map(Step::Restart),
    ]
}

proptest! {
    /// Guards against a set that the store never held, against one that becomes older within a process, and against hosts that don't
    /// agree once all have heard the newest report, whatever is lost, late or restarted.
    #[test]
    fn set_in_force_is_one_of_the_store_and_never_older(steps in proptest::collection::vec(step(), 1..120)) {
        let names = ["x", "y", "z"];
        let mut history: BTreeMap<SetPosition, BTreeSet<DataCentreId>> = BTreeMap::new();
        history.insert(1, BTreeSet::new());
        let mut now = Instant::now();
        let mut hosts: Vec<_> = (0..HOSTS).map(|_| EvacuationState::default()).collect();
        let mut positions = [0; HOSTS];
        // The time of each host's open read, and what the store had then.
        let mut reads: Vec<Option<(Instant, SetPosition)>> = vec![None; HOSTS];
        let mut reports: Vec<EvacuationNews> = Vec::new();
        for step in steps {
            now += millis(1);
            let newest = *history.keys().next_back().expect("there is a first");
            match step {
                Step::Toggle(index) => {
                    let mut next = history[&newest].clone();
                    let name = DataCentreId::from(names[index]);
                    if !next.remove(&name) {
                        next.insert(name);
                    }
                    history.insert(newest + 1, next);
                }
                Step::BeginRead(host) => reads[host] = Some((now, newest)),
                Step::EndRead(host) => if let Some((requested_at, position)) = reads[host].take() {
                    let read = history[&position].clone();
                    let change = hosts[host].apply_read(read, position, &BTreeSet::new(), requested_at, now);
                    prop_assert_eq!(change.refuted, None);
                },
                Step::Report(from, to) => if let Some(news) = hosts[from].news() {
                    reports.push(news.clone());
                    prop_assert!(hosts[to].apply_news(&news, now).is_ok());
                },
                Step::Late(to, late) => if let Some(news) = reports.get(late) {
                    prop_assert!(hosts[to].apply_news(news, now).is_ok());
                },
                Step::Restart(host) => {
                    hosts[host] = EvacuationState::default();
                    reads[host] = None;
                    positions[host] = 0;
                }
            }
            for (host, position) in hosts.iter().zip(&mut positions) {
                if let Some(news) = host.news() {
                    let told: BTreeSet<_> = news.data_centres.iter().cloned().collect();
                    prop_assert_eq!(&told, &history[&news.position]);
                    prop_assert!(news.position >= *position);
                    *position = news.position;
                } else {
                    prop_assert!(host.evacuated().is_empty());
                }
            }
        }
        now += millis(1);
        let newest = *history.keys().next_back().expect("there is a first");
        hosts[0].apply_read(history[&newest].clone(), newest, &BTreeSet::new(), now, now);
        // What the others tell may have it speak, as they have missed the last change.
        for from in 1..HOSTS {
            if let Some(news) = hosts[from].news() {
                prop_assert!(hosts[0].apply_news(&news, now).is_ok());
            }
        }
        let last = hosts[0].news();
        for host in &mut hosts {
            if let Some(last) = &last {
                prop_assert!(host.apply_news(last, now).is_ok());
            }
            prop_assert_eq!(&*host.evacuated(), &history[&newest]);
        }
    }

    /// Guards against a panic or unbounded memory on any news, and against a set that outlives a read which refutes it.
    #[test]
    fn any_news_is_used_dropped_or_refuted(
        positions in proptest::collection::vec(any::<SetPosition>(), 1..20),
        names in proptest::collection::vec(".{0,70}", 0..70),
    ) {
        let start = Instant::now();
        let mut state = EvacuationState::default();
        read(&mut state, &["x"], 5, start);
        for (no, position) in positions.iter().enumerate() {
            let now = start + millis(no as u64 + 1);
            let data_centres = names.iter().map(|name| DataCentreId::from(&**name)).collect();
            let _ = state.apply_news(&EvacuationNews { position: *position, data_centres }, now);
            prop_assert!(state.evacuated().len() <= MAX_EVACUATED);
        }
        read(&mut state, &["x"], 6, start + millis(100));
        prop_assert_eq!(&*state.evacuated(), &set(&["x"]));
    }
}

/// Guards against a request that goes on waiting although a data centre with room is back, or although all are evacuated.
#[tokio::test(start_paused = true)]
async fn change_of_the_set_wakes_waiting_requests() {
    let state = FleetState::new(&ForwardingSettings::default());
    let clock: Arc<dyn Clock> = RuntimeClock::start();
    let now = clock.now();
    state.apply_list(engines(), &[], 1, now, now);
    let waiter = Waiter {
        priority: 1,
        since: now,
        on_time_until: now + Duration::from_mins(1),
        tokens: 100,
    };
    let entry = state.queues.enqueue(&"writers".into(), waiter, &clock);
    for (position, names) in [(2, &["x"][..]), (3, &["x", "y"]), (4, &[])] {
        let now = clock.now();
        state.apply_evacuations(set(names), position, now, now);
        entry.wait(now + Duration::from_mins(1)).await;
        assert_eq!(clock.now(), now);
    }
    // The same set again wakes nobody.
    let now = clock.now();
    state.apply_evacuations(set(&[]), 5, now, now);
    entry.wait(now + millis(500)).await;
    assert_eq!(clock.now(), now + millis(500));
}

/// Guards against a lost wake-up between a report and the task that reads the store to verify it.
#[tokio::test(start_paused = true)]
async fn unverified_report_has_the_store_read() {
    let state = Arc::new(FleetState::new(&ForwardingSettings::default()));
    let now = Instant::now();
    state.apply_evacuations(set(&[]), 5, now, now);
    let waiting = state.wait_for_unverified_evacuations(millis(100));
    assert!(
        tokio::time::timeout(Duration::from_secs(5), waiting)
            .await
            .is_err()
    );
    let section = ReportSection::Evacuations(news(9, &["x"]));
    state.apply_section(&section, None, Reach::Fleet, now + millis(1));
    let waiting = state.wait_for_unverified_evacuations(millis(100));
    assert!(
        tokio::time::timeout(Duration::from_secs(5), waiting)
            .await
            .is_ok()
    );
    state.apply_evacuations(set(&["x"]), 9, now + millis(2), now + millis(2));
    let waiting = state.wait_for_unverified_evacuations(millis(100));
    assert!(
        tokio::time::timeout(Duration::from_secs(5), waiting)
            .await
            .is_err()
    );
}
