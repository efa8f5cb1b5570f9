//! How long a confirmed configuration version may take to be in force on all hosts, whatever happens to their connections to the
//! store. Time is simulated, but for the test with real connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::{HostReport, Registration};
use hibiscusspread::process::forwarding::relays::Role;
use hibiscusspread::process::forwarding::report_exchange::{
    ExchangeSettings, ReportExchange, ReportLink,
};
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::store_watchers::StoreWatchers;

use crate::fixtures::RuntimeClock;
use crate::platform_stand_in::{Platform, StandIns, configuration};
use crate::soak_proxy::{LinkMode, Proxy};

/// The time within which a confirmed version must be in force on hosts that nothing disturbs, from the operators' bounds.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// The time after a disturbance from which the bound holds, from the operators' bounds.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// The time limit that the platform's client sets to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The time that the platform's client adds to the wait of a watch.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// How the store's connections behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Links {
    /// Calls are answered.
    Sound,
    /// Calls, those under way included, are not answered.
    Silent,
}

/// One host's connections to the store: each call has its own.
struct HostStore {
    store: Arc<MemoryStore>,
    links: watch::Receiver<Links>,
}

impl HostStore {
    /// Returns the result of a call that takes up to `timeout`, unless its connection falls silent before.
    async fn answered<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let end = Instant::now() + timeout;
        let mut links = self.links.clone();
        let silenced = async move {
            let silenced = links.wait_for(|links| *links == Links::Silent).await;
            silenced.map(drop)
        };
        tokio::select! {
            biased;
            _ = silenced => {
                tokio::time::sleep_until(end).await;
                let cause = "no answer".to_owned();
                Err(StoreError::Unknown { cause })
            }
            result = call => result,
        }
    }
}

#[async_trait]
impl Store for HostStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.answered(CALL_TIMEOUT, self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.answered(CALL_TIMEOUT, self.store.list(prefix)).await
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
        let watched = self.store.watch(prefix, after, wait);
        self.answered(wait + WATCH_MARGIN, watched).await
    }
}

/// A link that drops what is sent; the fleet delivers the reports.
struct NoLink;

#[async_trait]
impl ReportLink for NoLink {
    async fn send(&self, _: &[std::net::SocketAddr], _: &HostReport) {}

    async fn receive(&self) -> HostReport {
        std::future::pending().await
    }
}

struct Host {
    exchange: ReportExchange,
    links: watch::Sender<Links>,
}

impl Host {
    fn version(&self) -> Version {
        self.exchange.state.config.current().version
    }
}

/// Hosts that follow the configuration in one store and report to each other.
struct Fleet {
    store: Arc<MemoryStore>,
    hosts: Vec<Host>,
    tasks: JoinSet<()>,
    reports: u64,
}

impl Fleet {
    /// Starts `count` hosts, which have version 1 in force and have heard each other.
    async fn start(count: u16) -> Self {
        Self::start_with(count, ExchangeSettings::default()).await
    }

    async fn start_with(count: u16, exchange: ExchangeSettings) -> Self {
        let store = MemoryStore::new(RuntimeClock::start());
        let mut fleet = Self {
            store,
            hosts: Vec::new(),
            tasks: JoinSet::new(),
            reports: 0,
        };
        fleet.put(1).await;
        for no in 0..count {
            fleet.add_host(no, exchange.clone());
        }
        fleet.run_for(Duration::from_secs(2)).await;
        assert!(fleet.hosts.iter().all(|host| host.version() == 1));
        fleet
    }

    fn add_host(&mut self, no: u16, exchange: ExchangeSettings) {
        let settings = ForwardingSettings::default();
        let state = Arc::new(FleetState::new(&settings));
        let registration = Registration {
            host: format!("host-{no}").into(),
            address: ([127, 0, 0, 1], 7000 + no).into(),
            incarnation: u64::from(no) + 1,
            data_centre: format!("dc-{}", no % 3).into(),
            capacity: 250,
        };
        let links = watch::Sender::new(Links::Sound);
        let watchers = StoreWatchers {
            state: state.clone(),
            store: Arc::new(HostStore {
                store: self.store.clone(),
                links: links.subscribe(),
            }),
            codec: Arc::new(PlatformStateCodec),
            clock: RuntimeClock::start(),
            settings,
            registration: registration.clone(),
            registered: Notify::new(),
            logged_unreadable: Mutex::default(),
        };
        self.tasks
            .spawn(async move { watchers.watch_configuration().await });
        let exchange = ReportExchange {
            own: registration,
            started: Instant::now().into_std(),
            state,
            clock: RuntimeClock::start(),
            link: Arc::new(NoLink),
            settings: exchange,
            reported_work: Mutex::default(),
        };
        self.hosts.push(Host { exchange, links });
    }

    async fn put(&self, version: Version) -> Revision {
        let document = serde_json::json!({ "version": version, "routes": [], "services": [] });
        let value = serde_json::to_vec(&document).expect("JSON");
        let current = self.store.get("op/config").await.expect("store answers");
        let expected = current.map_or(Expected::Absent, |entry| Expected::At(entry.revision));
        let put = self.store.swap("op/config", expected, value, None);
        put.await.expect("store accepts")
    }

    /// Changes how the connections of all hosts to the store behave.
    fn set_links(&self, links: Links) {
        for host in &self.hosts {
            host.links.send_replace(links);
        }
    }

    /// Makes all open connections to the store silent; new ones work.
    async fn silence_open_connections(&self) {
        self.set_links(Links::Silent);
        // Open calls notice the silence before new ones begin.
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.set_links(Links::Sound);
    }

    /// Delivers a report of each host to all others every 50 ms, for `time`.
    async fn run_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.reports += 1;
            let now = Instant::now().into_std();
            for from in 0..self.hosts.len() {
                let report = self.report(from);
                for (to, host) in self.hosts.iter().enumerate() {
                    if to != from {
                        host.exchange.apply_report(&report, now);
                    }
                }
            }
            for host in &self.hosts {
                host.exchange.plan_now();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn report(&self, from: usize) -> HostReport {
        let exchange = &self.hosts[from].exchange;
        let mut report = crate::forward_fleet::report(
            &exchange.own.host,
            exchange.own.incarnation,
            self.reports,
        );
        report.sender = exchange.own.clone();
        report.hosts = self.hosts.len();
        report.version = self.hosts[from].version();
        if exchange.state.peers().role() == Role::Relay {
            report.reach = Reach::Fleet;
            report.version = report.version.max(exchange.state.newest_peer_version());
        }
        report
    }

    /// Returns the hosts that have an older version than `version` in force.
    fn behind(&self, version: Version) -> Vec<&str> {
        let hosts = self.hosts.iter().filter(|host| host.version() < version);
        hosts.map(|host| &*host.exchange.own.host).collect()
    }
}

/// Guards against a version that no host hears of while all their watches wait on connections that have fallen silent: a request
/// was then handled by the version before until the watches timed out.
#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_after_all_watches_fell_silent() {
    let mut fleet = Fleet::start(9).await;
    fleet.silence_open_connections().await;
    let silent_at = Instant::now();
    fleet.run_for(Duration::from_millis(500)).await;
    fleet.put(2).await;
    let due = (Instant::now() + CONFIG_BOUND).max(silent_at + STABLE_AFTER);
    fleet.run_for(due - Instant::now()).await;
    assert_eq!(fleet.behind(2), [""; 0]);
}

/// Guards against a host that waits out a pause after failed calls, although the store is back and others have a newer version.
#[tokio::test(start_paused = true)]
async fn version_is_in_force_in_time_after_the_store_was_silent() {
    // A host without others to hear has the shorter pauses only.
    for hosts in [1, 9] {
        let mut fleet = Fleet::start(hosts).await;
        for version in 2..16 {
            fleet.set_links(Links::Silent);
            // Long enough for the longest pauses. Calls that begin just before the end fail at their time limit.
            let silence = Duration::from_millis(9000 + 130 * version);
            fleet.run_for(silence).await;
            fleet.put(version).await;
            fleet.set_links(Links::Sound);
            fleet.run_for(STABLE_AFTER.max(CONFIG_BOUND)).await;
            assert_eq!(fleet.behind(version), [""; 0], "version {version}");
        }
    }
}

/// Guards against a host that follows the configuration on news of relays alone and hears of no version after one that it can't read.
#[tokio::test(start_paused = true)]
async fn versions_after_one_that_cannot_be_read_are_in_force_in_time() {
    let exchange = ExchangeSettings {
        max_direct_hosts: 4,
        ..ExchangeSettings::default()
    };
    let mut fleet = Fleet::start_with(12, exchange).await;
    let states = fleet.hosts.iter().map(|host| &host.exchange.state);
    let members = states.filter(|state| state.peers().role() == Role::Member);
    assert!(members.count() > 0);
    for host in &fleet.hosts {
        host.exchange.state.record_peer_version(Version::MAX);
    }
    fleet.run_for(Duration::from_secs(4)).await;
    for version in 2..8 {
        fleet.put(version).await;
        fleet.run_for(CONFIG_BOUND).await;
        assert_eq!(fleet.behind(version), [""; 0], "version {version}");
    }
}

/// Guards against the same delay with the platform's client on real connections: a withdrawn key worked until the silent watch was given
/// up.
#[tokio::test]
async fn withdrawn_key_stops_in_time_after_the_connections_to_the_store_fell_silent() {
    let stand_ins = StandIns::start().await;
    stand_ins.register_all().await;
    stand_ins.configure(&configuration(1)).await;
    let proxy = Proxy::start(stand_ins.store_address).await;
    let settings = ForwardingSettings {
        store_address: proxy.address,
        ..ForwardingSettings::default()
    };
    let platform = Platform::start_with(stand_ins, settings).await;
    platform.wait_ready().await;
    proxy.set(LinkMode::SilenceOpen);
    let silent_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut document = configuration(2);
    document["tenants"][0]["apiKeys"] = serde_json::json!(["another"]);
    platform.configure(&document).await;
    let due = (Instant::now() + CONFIG_BOUND).max(silent_at + STABLE_AFTER);
    tokio::time::sleep_until(due).await;
    assert_eq!(platform.call("GET", "/read/1").await.status, 401);
}
