//! A fleet of hosts that distribute the configuration, in one process and on tokio's paused clock.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::prelude::*;
use hibiscusspread::process::distribution::freshness::Freshness;
use hibiscusspread::process::distribution::{Distribution, DistributionParts};
use hibiscusspread::process::members::StaticMembers;
use hibiscusspread::process::message::{Member, PeerError, PeerReply, PeerRequest};
use hibiscusspread::process::peer::PeerLink;
use hibiscusspread::process::shard::lock;
use hibiscusspread::version::cell::VersionCell;
use hibiscusspread::version::repository::record::HEAD_KEY;
use hibiscusspread::version::repository::{Edit, Repository};

use crate::fixtures::{self, RuntimeClock};
use crate::repository::{edit, fleet};

/// Passes one host's calls to the store, with injected faults and counters.
pub struct StoreProxy {
    store: Arc<MemoryStore>,
    /// Whether the host can't reach the store.
    pub cut: AtomicBool,
    /// Whether watches never answer.
    pub silent_watch: AtomicBool,
    /// The prefix of keys for which the next write takes effect but its reply is lost.
    lost_reply: Mutex<Option<&'static str>>,
    /// The bytes of values received from the store.
    pub bytes: AtomicU64,
    /// The number of reads of section texts.
    pub text_reads: AtomicU64,
    /// When the store last accepted a new head through this proxy.
    accepted: Mutex<Option<tokio::time::Instant>>,
}

impl StoreProxy {
    /// Creates a proxy without faults.
    pub fn new(store: &Arc<MemoryStore>) -> Arc<Self> {
        Arc::new(Self {
            lost_reply: Mutex::default(),
            store: store.clone(),
            cut: AtomicBool::new(false),
            silent_watch: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
            text_reads: AtomicU64::new(0),
            accepted: Mutex::default(),
        })
    }

    /// Loses the reply to the next write to a key with this prefix; `None` loses none.
    pub fn lose_reply_to(&self, prefix: Option<&'static str>) {
        *lock(&self.lost_reply) = prefix;
    }

    /// Returns true if a reply is still to be lost.
    pub fn loses_reply(&self) -> bool {
        lock(&self.lost_reply).is_some()
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.cut.load(Ordering::Relaxed) {
            let cause = "cut off".to_owned();
            return Err(StoreError::Unavailable { cause });
        }
        Ok(())
    }

    fn count(&self, size: usize) {
        self.bytes.fetch_add(size as u64, Ordering::Relaxed);
    }
}

#[async_trait]
impl Store for StoreProxy {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.check()?;
        if key.starts_with("config/section/") {
            self.text_reads.fetch_add(1, Ordering::Relaxed);
        }
        let entry = self.store.get(key).await?;
        self.count(entry.as_ref().map_or(0, |entry| entry.value.len()));
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.check()?;
        self.store.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.check()?;
        let revision = self.store.swap(key, expected, value, lease).await?;
        if key == HEAD_KEY {
            *lock(&self.accepted) = Some(tokio::time::Instant::now());
        }
        let lost = lock(&self.lost_reply).take_if(|prefix| key.starts_with(*prefix));
        if lost.is_some() {
            let cause = "reply lost".to_owned();
            return Err(StoreError::Unknown { cause });
        }
        Ok(revision)
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        self.check()?;
        self.store.delete(key, revision).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.check()?;
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check()?;
        self.store.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check()?;
        self.store.revoke_lease(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        self.check()?;
        if self.silent_watch.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let changes = self.store.watch(prefix, after, wait).await?;
        // A watch that was waiting when the host was cut off gets no answer.
        self.check()?;
        for change in &changes {
            if let StoreChange::Put(entry) = change {
                self.count(entry.value.len());
            }
        }
        Ok(changes)
    }
}

/// The bytes of messages that each host sent and received, as encoded with bincode.
type PeerBytes = Arc<Mutex<HashMap<HostId, u64>>>;

struct MeasuredLink {
    me: HostId,
    inner: Arc<dyn PeerLink>,
    bytes: PeerBytes,
}

fn size(message: &impl serde::Serialize) -> u64 {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
    encoded.expect("message encodes").len() as u64
}

#[async_trait]
impl PeerLink for MeasuredLink {
    async fn ask(&self, host: &HostId, req: PeerRequest) -> Result<PeerReply, PeerError> {
        let mut total = size(&req);
        let reply = self.inner.ask(host, req).await;
        total += reply.as_ref().map_or(0, size);
        let mut bytes = lock(&self.bytes);
        *bytes.entry(self.me.clone()).or_default() += total;
        *bytes.entry(host.clone()).or_default() += total;
        reply
    }
}

/// A host that takes part in the distribution.
pub struct FleetHost {
    /// The host's record, as other hosts know it.
    pub member: Member,
    /// Fetches and forwards changes of the configuration.
    pub distribution: Arc<Distribution>,
    /// The version in force.
    pub versions: Arc<VersionCell>,
    /// The age of the last confirmation by the store.
    pub freshness: Arc<Freshness>,
    /// The proxy through which it calls the store.
    pub store_proxy: Arc<StoreProxy>,
    /// The hosts that it takes for live.
    pub members: Arc<StaticMembers>,
    /// Stops the host when it is dropped.
    _stop: watch::Sender<bool>,
}

/// A fleet with its store and network.
pub struct Fleet {
    /// All hosts; `member(index)` gives the record of the host with this index.
    pub hosts: Vec<FleetHost>,
    /// The store that all hosts use.
    pub store: Arc<MemoryStore>,
    /// The network between the hosts.
    pub hub: Arc<PeerHub>,
    /// The repository through which edits are made.
    pub repository: Repository,
    editor: Arc<StoreProxy>,
    bytes: PeerBytes,
    everyone: Vec<Member>,
}

/// The data centres; host `i` is in number `i % 4`.
pub const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

impl Fleet {
    /// Starts hosts in four data centres, with a one-way delay of 0.5 ms between any two hosts. `prepare` runs on each
    /// host's store proxy before the host starts.
    pub fn start(count: usize, prepare: impl Fn(&Member, &StoreProxy)) -> Self {
        Self::start_on(MemoryStore::new(RuntimeClock::start()), count, prepare)
    }

    /// Starts hosts as `start` does, on an existing store.
    pub fn start_on(
        store: Arc<MemoryStore>,
        count: usize,
        prepare: impl Fn(&Member, &StoreProxy),
    ) -> Self {
        let hub = PeerHub::new();
        hub.set_delay(Duration::from_micros(500));
        let editor = StoreProxy::new(&store);
        let mut fleet = Self {
            hosts: Vec::new(),
            repository: Repository::new(editor.clone(), RuntimeClock::start()),
            editor,
            store,
            hub,
            bytes: PeerBytes::default(),
            everyone: (0..count).map(member).collect(),
        };
        for me in fleet.everyone.clone() {
            let host = fleet.start_host(me, &prepare);
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Stops a host and starts it again without a configuration.
    pub fn restart(&mut self, index: usize, prepare: impl Fn(&Member, &StoreProxy)) {
        let me = self.hosts[index].member.clone();
        self.hosts[index] = self.start_host(me, prepare);
    }

    fn start_host(&self, me: Member, prepare: impl Fn(&Member, &StoreProxy)) -> FleetHost {
        let clock = RuntimeClock::start();
        let store_proxy = StoreProxy::new(&self.store);
        prepare(&me, &store_proxy);
        let versions = Arc::new(VersionCell::default());
        let freshness = Arc::new(Freshness::new(Duration::from_mins(90)));
        let others = self.everyone.iter().filter(|m| m.host != me.host).cloned();
        let members = Arc::new(StaticMembers::new(me.clone(), others));
        let distribution = Distribution::new(DistributionParts {
            repository: Repository::new(store_proxy.clone(), clock.clone()),
            link: Arc::new(MeasuredLink {
                me: me.host.clone(),
                inner: self.hub.link(&me.host),
                bytes: self.bytes.clone(),
            }),
            members: members.clone(),
            clock,
            versions: versions.clone(),
            freshness: freshness.clone(),
        });
        self.hub.connect(&me.host, Arc::new(distribution.clone()));
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(distribution.clone().run(stopped));
        FleetHost {
            member: me,
            distribution,
            versions,
            freshness,
            store_proxy,
            members,
            _stop: stop,
        }
    }

    /// Returns the number of reads of section texts by each host.
    pub fn text_reads(&self) -> Vec<u64> {
        let reads = |host: &FleetHost| host.store_proxy.text_reads.load(Ordering::Relaxed);
        self.hosts.iter().map(reads).collect()
    }

    /// Starts hosts and waits until version 1, the list of data centres, is in force.
    pub async fn configured(count: usize) -> Self {
        let fleet = Self::start(count, |_, _| ());
        fleet.edit(&edit("ops", self::fleet("a, b, c, d"))).await;
        fleet.in_force(1).await;
        fleet
    }

    /// Makes an edit of the configuration; returns its version.
    pub async fn edit(&self, edit: &Edit) -> Version {
        self.repository.edit(edit).await.expect("edit").version
    }

    /// Waits until every host has at least `version`; returns when each had it.
    pub async fn in_force(&self, version: Version) -> Vec<tokio::time::Instant> {
        let waits = self.hosts.iter().map(|host| {
            let mut versions = host.versions.subscribe();
            async move {
                let reached = versions.wait_for(|current| *current >= version);
                reached.await.expect("cell lives");
                tokio::time::Instant::now()
            }
        });
        futures_util::future::join_all(waits).await
    }

    /// Makes an edit and waits until it is in force; returns the delay of each host after the store accepted the edit.
    pub async fn edit_and_time(&self, edit: &Edit) -> Vec<Duration> {
        let head = self.repository.read_head(0).await.expect("head").head;
        let (done, times) =
            tokio::join!(self.repository.edit(edit), self.in_force(head.version + 1));
        done.expect("edit");
        let accepted = lock(&self.editor.accepted).expect("the head was moved");
        times.into_iter().map(|time| time - accepted).collect()
    }

    /// Returns for each host the bytes exchanged with peers, and the bytes received from the store.
    pub fn bytes(&self) -> BTreeMap<HostId, (u64, u64)> {
        let peers = lock(&self.bytes);
        let hosts = self.hosts.iter().map(|host| {
            let name = &host.member.host;
            let from_peers = peers.get(name).copied().unwrap_or_default();
            (
                name.clone(),
                (from_peers, host.store_proxy.bytes.load(Ordering::Relaxed)),
            )
        });
        hosts.collect()
    }
}

/// Returns the record of the host with this index.
pub fn member(index: usize) -> Member {
    Member {
        incarnation: index as u64,
        ..fixtures::member(
            &format!("host-{index:03}"),
            DATA_CENTRES[index % DATA_CENTRES.len()],
        )
    }
}
