//! What a forwarding host knows of upstreams, other hosts and customers, each part under its own lock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use tokio::sync::watch;

use crate::prelude::*;
use crate::process::forwarding::directory::{Directory, DirectoryChange, Instance};
use crate::process::forwarding::load::LoadTracker;
use crate::process::forwarding::peers::PeerTable;
use crate::process::forwarding::retry_budget::HostRetryBudget;
use crate::process::forwarding::service_queues::ServiceQueues;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::forwarding::usage::UsageTracker;
use crate::process::message::CrashReport;
use crate::process::metrics;
use crate::process::quarantine::CrashBook;
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::forwarding::ForwardingTable;

/// The fingerprints of crashing requests that are kept.
const CRASH_FINGERPRINTS: usize = 1024;

/// The time for which a crash is reported to other hosts. Longer than most cuts between them.
const CRASH_NEWS_TTL: Duration = Duration::from_secs(3);

/// The state of a forwarding host.
pub struct FleetState {
    /// The configuration in force.
    pub config: VersionCell<ForwardingTable>,
    /// The load of upstreams.
    pub loads: LoadTracker,
    /// The customers' accounts.
    pub usage: UsageTracker,
    /// The retries.
    pub retries: HostRetryBudget,
    /// The requests that wait for room at engines.
    pub queues: Arc<ServiceQueues>,
    directory: ShardedLock<Directory>,
    peers: Mutex<PeerTable>,
    crashes: Mutex<(CrashBook, Vec<(Instant, CrashReport)>)>,
    /// When a host that stops cuts off what is still open.
    end: Mutex<Option<Instant>>,
    /// Wakes the task that reports to other hosts.
    changed: tokio::sync::Notify,
    /// The newest version that any host is known to have in force.
    newest: watch::Sender<Version>,
}

impl FleetState {
    /// Creates an empty state.
    pub fn new(settings: &ForwardingSettings) -> Self {
        Self {
            config: VersionCell::default(),
            loads: LoadTracker::new(settings.load.clone()),
            usage: UsageTracker::new(settings.usage.clone()),
            retries: HostRetryBudget::new(settings.retries.clone()),
            queues: Arc::default(),
            directory: ShardedLock::new(Directory::new(settings.directory.clone())),
            peers: Mutex::default(),
            crashes: Mutex::new((CrashBook::new(CRASH_FINGERPRINTS), Vec::new())),
            end: Mutex::default(),
            changed: tokio::sync::Notify::new(),
            newest: watch::Sender::new(0),
        }
    }

    /// Returns why the host takes no new work, or `None` if it does.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.drain_deadline().is_some() {
            return Some("stopping");
        }
        if self.config.current().version == 0 {
            return Some("no configuration yet");
        }
        let listed = self.with_directory(Directory::last_listed);
        listed.is_none().then_some("no list of upstreams yet")
    }

    /// Reads the directory.
    pub fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the upstreams of a service that take new work.
    pub fn available_upstreams(&self, service: &str) -> Arc<[Arc<Instance>]> {
        self.with_directory(|d| d.available(service))
            .unwrap_or_default()
    }

    /// Replaces the list of upstreams by one that was asked for at `asked`.
    pub fn apply_list(&self, listed: Vec<Instance>, asked: Instant) -> DirectoryChange {
        let change = self.change_directory(|d| d.apply(listed, asked));
        for left in change.left.iter().filter(|left| !left.draining) {
            self.loads.remove_idle(left);
        }
        self.queues.wake_heads(asked);
        change
    }

    /// Takes over that another host found upstreams to have left.
    pub fn mark_left(&self, left: &[(UpstreamId, u64)]) {
        for (id, born) in left {
            let is_news = self.change_directory(|d| d.mark_left(id, *born));
            if is_news {
                log::info!(target: "upstream", "{id} leaves, as another host reports; no new work");
            }
        }
    }

    /// Takes note that the list of upstreams could not be read.
    pub fn record_list_failure(&self) {
        self.change_directory(Directory::record_read_failure);
    }

    /// Takes out an upstream at whose address another one answers.
    pub fn remove_upstream(&self, instance: &Instance, now: Instant) {
        self.change_directory(|d| d.remove(&instance.id, instance.born, now));
        self.request_report();
    }

    fn change_directory<T>(&self, change: impl FnOnce(&mut Directory) -> T) -> T {
        change(
            &mut self
                .directory
                .write()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Locks the list of other hosts.
    pub fn peers(&self) -> std::sync::MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Tells whether a request has crashed too many upstreams to run again.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Instant) -> bool {
        lock(&self.crashes).0.is_refused(fingerprint, now)
    }

    /// Takes one retry of `cause` if this host has one left; tells whether it had.
    pub fn take_retry(&self, service: &ModelId, cause: &'static str, now: Instant) -> bool {
        let hosts = self.peers().host_count();
        let taken = self.retries.try_take(service, hosts, now);
        if taken {
            ::metrics::counter!(metrics::RETRIES, "cause" => cause).increment(1);
        }
        taken
    }

    /// Takes note of a request that broke off with its upstream; `own` ones are reported to other hosts.
    pub fn record_crash(&self, news: &CrashReport, own: bool, now: Instant) {
        let mut crashes = lock(&self.crashes);
        crashes.0.record(news, now);
        if own {
            crashes.1.push((now, news.clone()));
        }
    }

    /// Returns this host's crashes of late.
    pub fn recent_crashes(&self, now: Instant) -> Vec<CrashReport> {
        let news = &mut lock(&self.crashes).1;
        news.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_NEWS_TTL);
        news.iter().map(|(_, news)| news.clone()).collect()
    }

    /// Sets the time at which a host that stops cuts off what is still open.
    pub fn set_drain_deadline(&self, end: Instant) {
        *lock(&self.end) = Some(end);
    }

    /// Returns the time at which the host cuts off what is still open; `None` unless it stops.
    pub fn drain_deadline(&self) -> Option<Instant> {
        *lock(&self.end)
    }

    /// Takes note of a version that another host has in force.
    pub fn record_peer_version(&self, version: Version) {
        self.newest.send_if_modified(|newest| {
            let is_newer = version > *newest;
            if is_newer {
                *newest = version;
            }
            is_newer
        });
    }

    /// Tells whether another host has a newer version in force.
    pub fn is_config_outdated(&self) -> bool {
        *self.newest.borrow() > self.config.current().version
    }

    /// Waits until another host has had a newer version in force for `delay` than this one.
    pub async fn wait_until_outdated(&self, delay: Duration) {
        let mut newest = self.newest.subscribe();
        loop {
            let own = self.config.current().version;
            // The sender lives as long as `self`.
            let _ = newest.wait_for(|newest| *newest > own).await;
            tokio::time::sleep(delay).await;
            if self.is_config_outdated() {
                return;
            }
        }
    }

    /// Has the change reported to the other hosts.
    pub fn request_report(&self) {
        self.changed.notify_one();
    }

    /// Waits for a change to report.
    pub async fn report_requested(&self) {
        self.changed.notified().await;
    }
}
