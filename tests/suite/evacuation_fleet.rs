//! When the hosts of a fleet learn that a data centre is evacuated or back: from the store, from each other's reports, and with troubles in
//! between. Time is simulated; reports pass through their encoding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use hibiscusspread::connection::forward::reports::{decode_report, encode_report};
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::evacuation::{EvacuationNews, SetPosition};
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::{HostReport, Registration};
use hibiscusspread::process::forwarding::relays::Role;
use hibiscusspread::process::forwarding::report_exchange::{
    ExchangeSettings, ReportExchange, ReportLink,
};
use hibiscusspread::process::forwarding::report_sections::ReportSection;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::store_watchers::StoreWatchers;
use hibiscusspread::process::shard::lock;
use hibiscusspread::process::store::AsOf;

use crate::fixtures::RuntimeClock;

/// The time after the store's acknowledgement within which no host may send anything to an evacuated data centre (`evacMs`).
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// How the store treats the calls of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Treatment {
    /// They are answered.
    Serve,
    /// They are turned away, also those that wait.
    Refuse,
    /// Nothing comes back until they time out, also of those that wait.
    Silence,
}

/// The store as one host reaches it.
struct HostStore {
    store: Arc<MemoryStore>,
    treatment: watch::Receiver<Treatment>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl HostStore {
    async fn answered<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let end = Instant::now() + timeout;
        let mut treatment = self.treatment.clone();
        let disturbed = async move {
            let disturbed = treatment.wait_for(|t| *t != Treatment::Serve).await;
            disturbed.map_or(Treatment::Refuse, |treatment| *treatment)
        };
        let treatment = tokio::select! {
            biased;
            treatment = disturbed => treatment,
            result = call => return result,
        };
        let cause = format!("{treatment:?}");
        if treatment == Treatment::Refuse {
            return Err(StoreError::Unavailable { cause });
        }
        tokio::time::sleep_until(end).await;
        Err(StoreError::Unknown { cause })
    }
}

/// The time limit that the platform's client sets to a call, and what it adds to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_MARGIN: Duration = Duration::from_millis(500);

#[async_trait]
impl Store for HostStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.answered(CALL_TIMEOUT, self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        Ok(self.list_as_of(prefix).await?.value)
    }

    async fn list_as_of(&self, prefix: &str) -> Result<AsOf<Vec<StoreEntry>>, StoreError> {
        lock(&self.calls).push(format!("list {prefix}"));
        let listed = self.store.list_as_of(prefix);
        self.answered(CALL_TIMEOUT, listed).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.store.swap(key, expected, value, lease).await
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        self.store.delete(key, revision).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke_lease(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        lock(&self.calls).push(format!("watch {prefix}"));
        let watched = self.store.watch(prefix, after, wait);
        self.answered(wait + WATCH_MARGIN, watched).await
    }
}

type Inboxes = Arc<Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<Vec<u8>>>>>;

/// Delivers encoded reports at once, to and from hosts that have an inbox.
struct Link {
    own: SocketAddr,
    inboxes: Inboxes,
    received: tokio::sync::Mutex<mpsc::UnboundedReceiver<Vec<u8>>>,
}

#[async_trait]
impl ReportLink for Link {
    async fn send(&self, to: &[SocketAddr], report: &HostReport) {
        let bytes = encode_report(report).expect("report encodes");
        let inboxes = lock(&self.inboxes);
        if !inboxes.contains_key(&self.own) {
            return;
        }
        for address in to {
            if let Some(inbox) = inboxes.get(address) {
                let _ = inbox.send(bytes.clone());
            }
        }
    }

    async fn receive(&self) -> HostReport {
        let mut received = self.received.lock().await;
        let Some(bytes) = received.recv().await else {
            return std::future::pending().await;
        };
        decode_report(&bytes).expect("report decodes")
    }
}

struct Host {
    state: Arc<FleetState>,
    treatment: watch::Sender<Treatment>,
    calls: Arc<Mutex<Vec<String>>>,
    own: Registration,
    /// Dropping it ends the host's tasks.
    _tasks: JoinSet<()>,
}

impl Host {
    /// Returns the data centres in which the host may choose an engine.
    fn served(&self) -> Vec<String> {
        let engines = self.state.available_upstreams("writers");
        engines.iter().map(|e| e.data_centre.to_string()).collect()
    }
}

/// A fleet whose engines are in the data centres `x`, `y` and `z`.
struct Fleet {
    store: Arc<MemoryStore>,
    inboxes: Inboxes,
    exchange: ExchangeSettings,
    hosts: Vec<Host>,
    starts: u64,
}

impl Fleet {
    async fn start(count: u16) -> Self {
        Self::start_with(count, ExchangeSettings::default()).await
    }

    async fn start_with(count: u16, exchange: ExchangeSettings) -> Self {
        let mut fleet = Self {
            store: MemoryStore::new(RuntimeClock::start()),
            inboxes: Inboxes::default(),
            exchange,
            hosts: Vec::new(),
            starts: 0,
        };
        fleet.configure(1).await;
        for data_centre in ["x", "y", "z"] {
            let engine = serde_json::json!({ "service": "writers", "address": "127.0.0.1:9", "zone": data_centre,
                "slots": 8, "state": "ready", "stage": "decode", "born": 7 });
            let key = format!("servers/e-{data_centre}");
            fleet.put(&key, engine.to_string().as_bytes()).await;
        }
        fleet.start_hosts(count);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet
    }

    /// Starts `count` hosts that find each other; earlier ones end.
    fn start_hosts(&mut self, count: u16) {
        self.hosts.clear();
        for no in 0..count {
            self.starts += 1;
            let own = Registration {
                host: format!("host-{no}").into(),
                address: ([127, 0, 0, 1], 7000 + no).into(),
                incarnation: self.starts,
                data_centre: ["x", "y", "z"][usize::from(no) % 3].into(),
                capacity: 250,
            };
            let host = self.start_host(own);
            self.hosts.push(host);
        }
        let now = Instant::now().into_std();
        let all: Vec<_> = self.hosts.iter().map(|host| host.own.clone()).collect();
        for host in &self.hosts {
            let others = all.iter().filter(|other| other.host != host.own.host);
            let others: Vec<_> = others.cloned().collect();
            host.state.peers().apply_registrations(&others, now);
        }
    }

    fn start_host(&self, own: Registration) -> Host {
        let settings = ForwardingSettings::default();
        let state = Arc::new(FleetState::new(&settings));
        let (treatment, calls) = (watch::Sender::new(Treatment::Serve), Arc::default());
        let watchers = Arc::new(StoreWatchers {
            state: state.clone(),
            store: Arc::new(HostStore {
                store: self.store.clone(),
                treatment: treatment.subscribe(),
                calls: Arc::clone(&calls),
            }),
            codec: Arc::new(PlatformStateCodec),
            clock: RuntimeClock::start(),
            settings,
            registration: own.clone(),
            registered: Notify::new(),
            logged_unreadable: Mutex::default(),
        });
        let (inbox, received) = mpsc::unbounded_channel();
        lock(&self.inboxes).insert(own.address, inbox);
        let exchange = Arc::new(ReportExchange {
            own: own.clone(),
            started: Instant::now().into_std(),
            state: state.clone(),
            clock: RuntimeClock::start(),
            link: Arc::new(Link {
                own: own.address,
                inboxes: self.inboxes.clone(),
                received: tokio::sync::Mutex::new(received),
            }),
            settings: self.exchange.clone(),
            reported_work: Mutex::default(),
        });
        let receiving = exchange.clone();
        let upstreams = watchers.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { watchers.watch_configuration().await });
        tasks.spawn(async move { upstreams.poll_upstreams().await });
        tasks.spawn(async move { exchange.send_reports().await });
        tasks.spawn(async move { receiving.receive_reports().await });
        Host {
            state,
            treatment,
            calls,
            own,
            _tasks: tasks,
        }
    }

    async fn put(&self, key: &str, value: &[u8]) {
        let current = self.store.get(key).await.expect("store answers");
        let expected = current.map_or(Expected::Absent, |entry| Expected::At(entry.revision));
        let put = self.store.swap(key, expected, value.to_vec(), None);
        put.await.expect("store accepts");
    }

    async fn configure(&self, version: Version) {
        let document = serde_json::json!({ "version": version, "routes": [], "services": [] });
        self.put("op/config", document.to_string().as_bytes()).await;
    }

    async fn evacuate(&self, data_centre: &str) {
        self.put(&format!("op/evacuate/{data_centre}"), b"{}").await;
    }

    async fn return_to_service(&self, data_centre: &str) {
        let key = format!("op/evacuate/{data_centre}");
        let entry = self.store.get(&key).await.expect("store answers");
        let revision = entry.expect("evacuated").revision;
        let deleted = self.store.delete(&key, revision).await;
        deleted.expect("store accepts");
    }

    /// Waits until all hosts choose engines in exactly `served`, and returns how long it took; panics after `bound`.
    async fn wait_until_served(&self, served: &[&str], bound: Duration) -> Duration {
        let start = Instant::now();
        loop {
            let others: Vec<_> = self
                .hosts
                .iter()
                .filter(|host| host.served() != served)
                .map(|host| (host.own.host.clone(), host.served()))
                .collect();
            if others.is_empty() {
                return start.elapsed();
            }
            assert!(start.elapsed() < bound, "not {served:?}: {others:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn treat(&self, hosts: impl IntoIterator<Item = usize>, treatment: Treatment) {
        for host in hosts {
            self.hosts[host].treatment.send_replace(treatment);
        }
    }

    /// Returns how often hosts have read what operators write, apart from watches.
    fn reads(&self) -> usize {
        self.count(|call| call == "list op/")
    }

    /// Returns how often hosts have read or watched what operators write.
    fn calls(&self) -> usize {
        self.count(|call| call.ends_with(" op/"))
    }

    fn count(&self, matches: impl Fn(&str) -> bool) -> usize {
        let calls = self.hosts.iter().map(|host| lock(&host.calls).clone());
        calls.flatten().filter(|call| matches(call)).count()
    }

    fn hosts_in(&self, role: Role) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let in_role = hosts.filter(|(_, host)| host.state.peers().role() == role);
        in_role.map(|(index, _)| index).collect()
    }
}

fn relays() -> ExchangeSettings {
    ExchangeSettings {
        max_direct_hosts: 4,
        ..ExchangeSettings::default()
    }
}

/// Guards against hosts that go on sending to an evacuated data centre, or don't use one that is back, and against calls of the store
/// beyond those that the configuration takes.
#[tokio::test(start_paused = true)]
async fn all_hosts_follow_within_a_fraction_of_the_bound() {
    for (hosts, exchange) in [
        (1, ExchangeSettings::default()),
        (9, ExchangeSettings::default()),
        (24, relays()),
    ] {
        let fleet = Fleet::start_with(hosts, exchange).await;
        let reads_before = fleet.reads();
        fleet.evacuate("x").await;
        let began = fleet
            .wait_until_served(&["y", "z"], Duration::from_secs(1))
            .await;
        tokio::time::sleep(Duration::from_secs(20)).await;
        fleet.wait_until_served(&["y", "z"], Duration::ZERO).await;
        fleet.return_to_service("x").await;
        let ended = fleet.wait_until_served(&["x", "y", "z"], Duration::from_secs(1));
        let ended = ended.await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let reads = fleet.reads() - reads_before;
        println!("{hosts} hosts: evacuated after {began:?}, back after {ended:?}, {reads} reads");
        // Members of a fleet with relays, which watch nothing, verify each change once.
        let members = fleet.hosts_in(Role::Member).len();
        assert!(reads <= members * 2, "{reads} reads, {members} members");
        for host in &fleet.hosts {
            let calls = lock(&host.calls);
            let is_expected =
                |call: &String| ["list op/", "watch op/", "list servers/"].contains(&&**call);
            assert!(calls.iter().all(is_expected), "{calls:?}");
        }
    }
}

/// Guards against a set and a removal that overtake each other, and against several evacuations that don't hold at once.
#[tokio::test(start_paused = true)]
async fn several_evacuations_and_short_ones_end_as_the_store_says() {
    for exchange in [ExchangeSettings::default(), relays()] {
        let fleet = Fleet::start_with(12, exchange).await;
        fleet.evacuate("x").await;
        fleet.evacuate("y").await;
        fleet
            .wait_until_served(&["z"], Duration::from_secs(1))
            .await;
        fleet.evacuate("z").await;
        fleet.wait_until_served(&[], Duration::from_secs(1)).await;
        fleet.return_to_service("y").await;
        fleet
            .wait_until_served(&["y"], Duration::from_secs(1))
            .await;
        for pause in [0, 1, 20, 150, 700] {
            fleet.return_to_service("x").await;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            fleet.evacuate("x").await;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            fleet.return_to_service("z").await;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            fleet.evacuate("z").await;
        }
        tokio::time::sleep(EVACUATION_BOUND).await;
        fleet.wait_until_served(&["y"], Duration::ZERO).await;
    }
}

/// Guards against hosts that the store turns away and that go on sending to an evacuated data centre, or never to one that is back, even if
/// the others restart in between and have known of no evacuation.
#[tokio::test(start_paused = true)]
async fn hosts_that_the_store_turns_away_follow_the_others() {
    for exchange in [ExchangeSettings::default(), relays()] {
        let fleet = Fleet::start_with(12, exchange).await;
        // Relays are among them, and the hosts with the shortest watches.
        fleet.treat([0, 1, 2, 5, 8, 11], Treatment::Refuse);
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.evacuate("x").await;
        let bound = Duration::from_millis(3500);
        let began = fleet.wait_until_served(&["y", "z"], bound).await;
        fleet.return_to_service("x").await;
        let ended = fleet.wait_until_served(&["x", "y", "z"], bound).await;
        println!("evacuated after {began:?}, back after {ended:?}");
    }
}

/// Guards against members of a fleet that reach the store, but rely on relays none of which does, and against reads by all of them.
#[tokio::test(start_paused = true)]
async fn members_read_the_store_if_no_relay_reaches_it() {
    let fleet = Fleet::start_with(30, relays()).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let quiet = fleet.reads();
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.reads(), quiet, "members read although relays do");
    fleet.treat(fleet.hosts_in(Role::Relay), Treatment::Refuse);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = fleet.reads();
    fleet.evacuate("x").await;
    let began = fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND);
    let began = began.await;
    fleet.return_to_service("x").await;
    let ended = fleet.wait_until_served(&["x", "y", "z"], EVACUATION_BOUND);
    let ended = ended.await;
    fleet.configure(2).await;
    tokio::time::sleep(EVACUATION_BOUND).await;
    let behind = fleet.hosts.iter();
    let behind = behind.filter(|host| host.state.config.current().version < 2);
    // Relays learn of a configuration from the store only.
    assert_eq!(behind.count(), fleet.hosts_in(Role::Relay).len());
    println!(
        "evacuated after {began:?}, back after {ended:?}, {} reads",
        fleet.reads() - before
    );
}

/// Guards against a host that has missed the end of an evacuation, as it was cut off, and hears of it from nobody.
#[tokio::test(start_paused = true)]
async fn end_of_an_evacuation_reaches_a_host_that_missed_it() {
    let mut fleet = Fleet::start(4).await;
    fleet.evacuate("x").await;
    fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND).await;
    let cut_off = fleet.hosts.pop().expect("there are hosts");
    cut_off.treatment.send_replace(Treatment::Refuse);
    let inbox = lock(&fleet.inboxes).remove(&cut_off.own.address);
    fleet.return_to_service("x").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The others start again and have known of no evacuation since.
    fleet.start_hosts(3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(cut_off.served(), ["y", "z"]);
    let told = |fleet: &Fleet| {
        let news = fleet.hosts.iter().map(|host| host.state.evacuation_news());
        news.flatten().count()
    };
    assert_eq!(told(&fleet), 0);
    lock(&fleet.inboxes).insert(cut_off.own.address, inbox.expect("had one"));
    fleet.hosts.push(cut_off);
    fleet
        .wait_until_served(&["x", "y", "z"], Duration::from_secs(2))
        .await;
}

/// Guards against an evacuation that is forgotten while the store is away, and against one that is missed afterwards.
#[tokio::test(start_paused = true)]
async fn last_known_state_holds_while_the_store_is_unavailable() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        let fleet = Fleet::start(9).await;
        fleet.evacuate("x").await;
        fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND).await;
        fleet.treat(0..9, treatment);
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.wait_until_served(&["y", "z"], Duration::ZERO).await;
        }
        // What the operators change just before the store is back.
        fleet.return_to_service("x").await;
        fleet.evacuate("z").await;
        fleet.treat(0..9, Treatment::Serve);
        let learned = fleet.wait_until_served(&["x", "y"], EVACUATION_BOUND).await;
        println!("{treatment:?}: after {learned:?}");
    }
}

/// Guards against an outage of the store itself that ends an evacuation.
#[tokio::test(start_paused = true)]
async fn evacuation_holds_through_an_outage() {
    let fleet = Fleet::start(3).await;
    fleet.evacuate("x").await;
    fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND).await;
    let outage = StoreFaults {
        outage: true,
        ..StoreFaults::default()
    };
    fleet.store.set_faults(outage);
    tokio::time::sleep(Duration::from_secs(30)).await;
    fleet.wait_until_served(&["y", "z"], Duration::ZERO).await;
    fleet.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.wait_until_served(&["y", "z"], Duration::ZERO).await;
}

/// Guards against a watch on a dead connection: the host would send to the evacuated data centre until the watch times out.
#[tokio::test(start_paused = true)]
async fn evacuation_is_in_force_in_time_after_all_watches_fell_silent() {
    for exchange in [ExchangeSettings::default(), relays()] {
        let fleet = Fleet::start_with(12, exchange).await;
        fleet.treat(0..12, Treatment::Silence);
        tokio::time::sleep(Duration::from_millis(1)).await;
        fleet.treat(0..12, Treatment::Serve);
        fleet.evacuate("x").await;
        let learned = fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND).await;
        println!("after {learned:?}");
    }
}

/// Guards against hosts that all start again and serve requests before they know what is evacuated.
#[tokio::test(start_paused = true)]
async fn evacuation_outlives_a_restart_of_all_hosts() {
    let mut fleet = Fleet::start(9).await;
    fleet.evacuate("x").await;
    fleet.wait_until_served(&["y", "z"], EVACUATION_BOUND).await;
    fleet.start_hosts(9);
    let mut serving = 0;
    while serving < 9 {
        tokio::task::yield_now().await;
        serving = 0;
        for host in &fleet.hosts {
            if host.state.not_ready(Instant::now().into_std()).is_none() {
                serving += 1;
                assert_eq!(host.served(), ["y", "z"], "{}", host.own.host);
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against entries of the store that can't be used and hide the others, or have a host stop following the store.
#[tokio::test(start_paused = true)]
async fn hostile_keys_hide_neither_evacuations_nor_the_configuration() {
    let fleet = Fleet::start(3).await;
    let long = format!("op/evacuate/{}", "z".repeat(180));
    for key in [
        "op/",
        "op/evacuate",
        "op/evacuate/",
        "op/evacuate//x",
        "op/evacuate/x/y",
        "op/evacuate/\0",
        "op/other",
        &long,
    ] {
        fleet.put(key, &[0xff, 0, 1]).await;
    }
    for no in 0..300 {
        fleet.put(&format!("op/evacuate/a-{no}"), b"[1]").await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
        .wait_until_served(&["x", "y", "z"], Duration::ZERO)
        .await;
    fleet.evacuate("y").await;
    fleet.configure(2).await;
    fleet.wait_until_served(&["x", "z"], EVACUATION_BOUND).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for host in &fleet.hosts {
        assert_eq!(host.state.config.current().version, 2);
    }
    fleet.return_to_service("y").await;
    fleet
        .wait_until_served(&["x", "y", "z"], EVACUATION_BOUND)
        .await;
}

/// Guards against a report that has hosts stop serving, or hides what the operators ask for from then on, and against hosts that read the
/// store again and again because of it.
#[tokio::test(start_paused = true)]
async fn forged_report_is_refuted_by_the_store() {
    for exchange in [ExchangeSettings::default(), relays()] {
        let fleet = Fleet::start_with(12, exchange).await;
        let forged = |data_centres: &[&str]| {
            ReportSection::Evacuations(EvacuationNews {
                position: SetPosition::MAX,
                data_centres: data_centres.iter().map(|name| (*name).into()).collect(),
            })
        };
        for data_centres in [&["x", "y", "z"][..], &[]] {
            for host in &fleet.hosts {
                let now = Instant::now().into_std();
                let section = forged(data_centres);
                host.state.apply_section(&section, None, Reach::Fleet, now);
            }
            let refuted = fleet.wait_until_served(&["x", "y", "z"], Duration::from_secs(2));
            println!("refuted after {:?}", refuted.await);
            fleet.evacuate("y").await;
            fleet.wait_until_served(&["x", "z"], EVACUATION_BOUND).await;
            fleet.return_to_service("y").await;
            fleet
                .wait_until_served(&["x", "y", "z"], EVACUATION_BOUND)
                .await;
        }
        // Repeated, it costs no further calls.
        let count = |fleet: &Fleet| fleet.calls();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let before = count(&fleet);
        tokio::time::sleep(Duration::from_secs(20)).await;
        let quiet = count(&fleet) - before;
        let before = count(&fleet);
        for _ in 0..100 {
            for host in &fleet.hosts {
                let now = Instant::now().into_std();
                host.state
                    .apply_section(&forged(&["x"]), None, Reach::Fleet, now);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let disturbed = count(&fleet) - before;
        assert!(
            disturbed <= quiet + fleet.hosts.len() * 2,
            "{disturbed} calls instead of {quiet}"
        );
        fleet
            .wait_until_served(&["x", "y", "z"], Duration::from_secs(2))
            .await;
    }
}
