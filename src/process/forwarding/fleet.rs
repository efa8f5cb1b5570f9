//! The state that a forwarding host shares between its requests and tasks, each part under its own lock.

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
use crate::process::quarantine::CrashTable;
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::forwarding::ForwardingTable;

/// The number of fingerprints of crashing requests that are kept.
const MAX_CRASH_FINGERPRINTS: usize = 1024;

/// The time for which a crash is reported to other hosts; longer than most network partitions between them.
const CRASH_REPORT_TTL: Duration = Duration::from_secs(3);

/// What a forwarding host knows of the configuration, upstreams, other hosts and customers.
pub struct FleetState {
    /// The configuration in force.
    pub config: VersionCell<ForwardingTable>,
    /// The load and health of upstreams.
    pub loads: LoadTracker,
    /// The customers' token buckets.
    pub usage: UsageTracker,
    /// This host's share of the fleet's retries.
    pub retries: HostRetryBudget,
    /// The requests that wait for free memory at engines.
    pub queues: Arc<ServiceQueues>,
    directory: ShardedLock<Directory>,
    peers: Mutex<PeerTable>,
    /// The crashes by request fingerprint, and those found by this host, which are reported to others.
    crashes: Mutex<(CrashTable, Vec<(Instant, CrashReport)>)>,
    /// When this host cuts off open requests; set once it drains.
    drain_deadline: Mutex<Option<Instant>>,
    /// Wakes the task that reports to other hosts.
    report_requested: tokio::sync::Notify,
    /// The newest configuration version that any other host has reported to be in force.
    newest_version: watch::Sender<Version>,
}

impl FleetState {
    /// Creates a state that knows no configuration, upstreams or other hosts yet.
    pub fn new(settings: &ForwardingSettings) -> Self {
        Self {
            config: VersionCell::default(),
            loads: LoadTracker::new(settings.load.clone()),
            usage: UsageTracker::new(settings.usage.clone()),
            retries: HostRetryBudget::new(settings.retries.clone()),
            queues: Arc::default(),
            directory: ShardedLock::new(Directory::new(settings.directory.clone())),
            peers: Mutex::default(),
            crashes: Mutex::new((CrashTable::new(MAX_CRASH_FINGERPRINTS), Vec::new())),
            drain_deadline: Mutex::default(),
            report_requested: tokio::sync::Notify::new(),
            newest_version: watch::Sender::new(0),
        }
    }

    /// Returns why the host is not ready for requests, or `None` if it is.
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

    /// Calls `read` with the directory, under a read lock.
    pub fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the upstreams of a service that may get new work; empty if there are none.
    pub fn available_upstreams(&self, service: &str) -> Arc<[Arc<Instance>]> {
        self.with_directory(|d| d.available(service))
            .unwrap_or_default()
    }

    /// Applies a complete list of upstreams that was requested at `requested_at`.
    pub fn apply_list(&self, listed: Vec<Instance>, requested_at: Instant) -> DirectoryChange {
        let change = self.change_directory(|d| d.apply(listed, requested_at));
        for left in change.left.iter().filter(|left| !left.draining) {
            self.loads.remove_idle(left);
        }
        self.queues.wake_heads(requested_at);
        change
    }

    /// Marks the upstreams in `left`, which another host found to have left, as draining.
    pub fn mark_left(&self, left: &[(UpstreamId, u64)]) {
        for (id, born) in left {
            let is_new = self.change_directory(|d| d.mark_left(id, *born));
            if is_new {
                log::info!(target: "upstream", "upstream {id} reported as left by another host; it gets no new work");
            }
        }
    }

    /// Records that the list of upstreams could not be read.
    pub fn record_list_failure(&self) {
        self.change_directory(Directory::record_read_failure);
    }

    /// Removes an upstream at whose address another one answers, and reports it to the other hosts.
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

    /// Locks the table of other hosts.
    pub fn peers(&self) -> std::sync::MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Returns whether requests with this fingerprint have crashed too many upstreams to run again.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Instant) -> bool {
        lock(&self.crashes).0.is_quarantined(fingerprint, now)
    }

    /// Takes one retry from this host's budget and counts it under `cause`; returns whether the budget had one left.
    pub fn take_retry(&self, service: &ModelId, cause: &'static str, now: Instant) -> bool {
        let hosts = self.peers().host_count();
        let taken = self.retries.try_take(service, hosts, now);
        if taken {
            ::metrics::counter!(metrics::RETRIES, "cause" => cause).increment(1);
        }
        taken
    }

    /// Records that an upstream broke off while it ran a request; a crash that this host found (`own`) is reported to others.
    pub fn record_crash(&self, report: &CrashReport, own: bool, now: Instant) {
        let mut crashes = lock(&self.crashes);
        crashes.0.record(report, now);
        if own {
            crashes.1.push((now, report.clone()));
        }
    }

    /// Returns the crashes that this host recently found, to report them.
    pub fn recent_crashes(&self, now: Instant) -> Vec<CrashReport> {
        let reports = &mut lock(&self.crashes).1;
        reports.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_REPORT_TTL);
        reports.iter().map(|(_, report)| report.clone()).collect()
    }

    /// Sets the time at which this host, which drains from now on, cuts off open requests.
    pub fn set_drain_deadline(&self, end: Instant) {
        *lock(&self.drain_deadline) = Some(end);
    }

    /// Returns when the host cuts off open requests; `None` unless it drains.
    pub fn drain_deadline(&self) -> Option<Instant> {
        *lock(&self.drain_deadline)
    }

    /// Records the configuration version that another host has in force.
    pub fn record_peer_version(&self, version: Version) {
        self.newest_version.send_if_modified(|newest| {
            let is_newer = version > *newest;
            if is_newer {
                *newest = version;
            }
            is_newer
        });
    }

    /// Returns whether another host has a newer configuration version in force.
    pub fn is_config_outdated(&self) -> bool {
        *self.newest_version.borrow() > self.config.current().version
    }

    /// Waits until this host has missed a newer configuration version, which another host has in force, for `delay`.
    pub async fn wait_until_outdated(&self, delay: Duration) {
        let mut newest = self.newest_version.subscribe();
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

    /// Wakes the task that reports to the other hosts, so that a change is reported soon.
    pub fn request_report(&self) {
        self.report_requested.notify_one();
    }

    /// Waits until a report is requested.
    pub async fn report_requested(&self) {
        self.report_requested.notified().await;
    }
}
