//! The state that a forwarding host shares between its requests and tasks, each part under its own lock.

mod crashes;
mod evacuations;

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use tokio::sync::watch;

use crate::prelude::*;
use crate::process::forwarding::cold::{
    ColdEngines, ColdFleet, ColdReport, ColdStatement, ReportOutcome,
};
use crate::process::forwarding::directory::{
    Directory, DirectoryChange, Instance, ListNews, NewsOutcome, OrderedStage,
};
use crate::process::forwarding::evacuation::EvacuationState;
use crate::process::forwarding::load::LoadTracker;
use crate::process::forwarding::peers::{PeerTable, Registration};
use crate::process::forwarding::recent_news::RecentNews;
use crate::process::forwarding::relays::Role;
use crate::process::forwarding::report_sections::ReportSection;
use crate::process::forwarding::retry_budget::HostRetryBudget;
use crate::process::forwarding::service_queues::ServiceQueues;
use crate::process::forwarding::settings::{ForwardingSettings, Regions};
use crate::process::forwarding::source::{Reach, Source};
use crate::process::forwarding::stage_load::StageLoad;
use crate::process::forwarding::usage::UsageTracker;
use crate::process::message::{CrashId, CrashReport};
use crate::process::metrics;
use crate::process::quarantine::{CrashTable, InterruptedUpstreams, PartTable};
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::forwarding::{ColdLimits, ForwardingTable};

/// The number of fingerprints of crashing requests that are kept.
const MAX_CRASH_FINGERPRINTS: usize = 1024;

/// The number of parts of prompts of crashing requests that are kept.
const MAX_CRASH_PARTS: usize = 1024;

/// The time for which a crash is reported to other hosts; longer than most network partitions between them.
const CRASH_REPORT_TTL: Duration = Duration::from_secs(3);

/// The time for which a reported crash is known. Its finder repeats it for `CRASH_REPORT_TTL`, each of two relays after it for as long
/// from when it learned of it.
const CRASH_REPORT_MEMORY: Duration = Duration::from_secs(12);

/// The most upstreams of which an invalid value is logged, once each.
const MAX_LOGGED_INVALID: usize = 1024;

/// Creates a list of news of crashes.
fn crash_news<T: Clone + Eq + Hash>() -> RecentNews<T> {
    RecentNews::new(CRASH_REPORT_TTL).with_memory(CRASH_REPORT_MEMORY)
}

/// Counts and logs that an upstream counts as cold for `left`.
fn record_cold_period(upstream: &UpstreamId, cause: &'static str, left: Duration) {
    ::metrics::counter!(metrics::COLD_PERIODS, "cause" => cause).increment(1);
    log::info!(target: "upstream", "upstream {upstream} counts as cold for {}ms: {cause}", left.as_millis());
}

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
    /// The regions of data centres.
    pub regions: Regions,
    /// The engine time that prompts and generations take.
    pub stage_load: StageLoad,
    /// The requests that wait for free memory at engines.
    pub queues: Arc<ServiceQueues>,
    /// The cold upstreams, and whether this host may send them requests.
    pub cold: Arc<ColdEngines>,
    /// The calls of plain services that wait for a pass to a cold upstream.
    pub cold_queues: Arc<ServiceQueues>,
    /// The upstreams of which an invalid value was logged.
    logged_invalid: Mutex<HashSet<UpstreamId>>,
    directory: ShardedLock<Directory>,
    evacuations: Mutex<EvacuationState>,
    /// Whether the set of evacuated data centres in force is another one than this host has read itself.
    evacuations_unverified: watch::Sender<bool>,
    peers: Mutex<PeerTable>,
    /// The crashes by request fingerprint.
    crashes: Mutex<CrashTable>,
    /// The crashes by part of the prompt.
    part_crashes: Mutex<PartTable>,
    /// The requests that were recently let through as trials, to report them.
    trials: Mutex<RecentNews<CrashId>>,
    /// The upstreams that broke calls off.
    interrupted: InterruptedUpstreams,
    /// The parts whose suspicion this host found to begin or end and has not stored yet.
    part_changes: Mutex<Vec<Digest>>,
    /// Wakes the task that stores them.
    parts_changed: tokio::sync::Notify,
    /// The recent crashes, to report them.
    crash_reports: Mutex<RecentNews<CrashReport>>,
    /// The crashes that were recently found not to count, to report them.
    dismissed_crashes: Mutex<RecentNews<CrashId>>,
    /// Wakes the task that reads the list of upstreams, because other hosts' news of it is incomplete.
    list_incomplete: tokio::sync::Notify,
    /// Wakes the task that reads what operators write, because the relays may not reach the store.
    operator_read_requested: tokio::sync::Notify,
    /// The time until which this host may not know yet whether the fleet has relays.
    starts_until: watch::Sender<Option<Instant>>,
    /// When this host gives up on requests that have no answer yet; set once it drains.
    drain_deadline: watch::Sender<Option<Instant>>,
    /// The time after which other hosts' calls are reported to this one.
    report_delay: Mutex<Duration>,
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
            regions: settings.regions.clone(),
            stage_load: StageLoad::default(),
            queues: Arc::default(),
            cold: Arc::new(ColdEngines::new(settings.cold.clone())),
            cold_queues: Arc::default(),
            logged_invalid: Mutex::default(),
            directory: ShardedLock::new(Directory::new(settings.directory.clone())),
            evacuations: Mutex::default(),
            evacuations_unverified: watch::Sender::default(),
            peers: Mutex::default(),
            crashes: Mutex::new(CrashTable::new(MAX_CRASH_FINGERPRINTS)),
            part_crashes: Mutex::new(PartTable::new(MAX_CRASH_PARTS)),
            trials: Mutex::new(crash_news()),
            interrupted: InterruptedUpstreams::default(),
            part_changes: Mutex::default(),
            parts_changed: tokio::sync::Notify::new(),
            crash_reports: Mutex::new(crash_news()),
            dismissed_crashes: Mutex::new(crash_news()),
            list_incomplete: tokio::sync::Notify::new(),
            operator_read_requested: tokio::sync::Notify::new(),
            starts_until: watch::Sender::default(),
            drain_deadline: watch::Sender::default(),
            report_delay: Mutex::default(),
            report_requested: tokio::sync::Notify::new(),
            newest_version: watch::Sender::new(0),
        }
    }

    /// Returns why the host is not ready for requests, or `None` if it is.
    pub fn not_ready(&self, now: Instant) -> Option<&'static str> {
        if self.drain_deadline().is_some() {
            return Some("stopping");
        }
        if self.config.current().version == 0 {
            return Some("no configuration yet");
        }
        if self.with_directory(Directory::last_listed).is_none() {
            return Some("no list of upstreams yet");
        }
        let is_starting = self.is_starting(now);
        is_starting.then_some("grants of other hosts not heard yet")
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

    /// Applies a complete list of upstreams that was requested at `requested_at`, arrived at `now`, and has all changes up to `revision`.
    /// `cold` is what it states of upstreams that are cold.
    pub fn apply_list(
        &self,
        listed: Vec<Instance>,
        cold: &[ColdStatement],
        revision: Revision,
        requested_at: Instant,
        now: Instant,
    ) -> DirectoryChange {
        let change = self.change_directory(|d| {
            let change = d.apply(listed, revision, requested_at);
            self.follow_cold_starts(&change, Reach::Host, now);
            self.follow_cold_statements(cold, now);
            change
        });
        self.follow_change(&change, requested_at);
        self.log_unknown_evacuations();
        change
    }

    /// Applies the changes of the list of upstreams that another host reports. If they are not complete, the task that reads the
    /// list is woken.
    pub fn apply_list_news(&self, news: &ListNews, now: Instant) {
        // Most news is known; the lock for it is shared.
        if self.with_directory(|d| d.is_known(news, now)) {
            return;
        }
        let (outcome, change) = self.change_directory(|d| {
            let (outcome, change) = d.apply_news(news, now);
            self.follow_cold_starts(&change, Reach::Fleet, now);
            (outcome, change)
        });
        self.follow_change(&change, now);
        if outcome == NewsOutcome::Incomplete {
            self.list_incomplete.notify_one();
        } else if !change.is_empty() {
            self.request_report();
        }
    }

    /// Returns the news of the list of upstreams for other hosts in a report of a host with this `role`; `None` before the first
    /// list. Where all hosts report to each other, only the one that read the newest list tells of it.
    pub fn list_news(&self, role: Role, now: Instant) -> Option<ListNews> {
        if role == Role::Direct && !self.with_directory(|d| d.is_newest_reader(now)) {
            return None;
        }
        self.change_directory(|d| d.news(now))
    }

    /// Waits until other hosts' news of the list of upstreams is incomplete.
    pub async fn list_incomplete(&self) {
        self.list_incomplete.notified().await;
    }

    /// Has this host read what operators write to the store, although it hears relays.
    pub fn request_operator_read(&self) {
        self.operator_read_requested.notify_one();
    }

    /// Waits until `request_operator_read` is called.
    pub async fn operator_read_requested(&self) {
        self.operator_read_requested.notified().await;
    }

    /// Logs what changed in the list of upstreams and adjusts the state that depends on it.
    fn follow_change(&self, change: &DirectoryChange, now: Instant) {
        for instance in &change.started {
            self.loads.track(instance);
            log::info!(target: "upstream", "upstream {} of service {} started or restarted: stage {:?} at {} in data centre {}", instance.id, instance.service, instance.stage, instance.address, instance.data_centre);
        }
        for instance in &change.left {
            let state = if instance.draining {
                "drains"
            } else {
                self.loads.remove_idle(instance);
                "is no longer listed"
            };
            log::info!(target: "upstream", "upstream {} of service {} {state}; it gets no new work", instance.id, instance.service);
        }
        if change.kept > 0 {
            log::info!(target: "upstream", "{} unlisted upstreams kept, because the store was just unavailable", change.kept);
        }
        self.queues.wake_heads(now);
        self.cold_queues.wake_heads(now);
    }

    /// Returns what the upstreams of a service can take while they are cold; `None` if they never are.
    pub fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.config.current().cold_limits(service)
    }

    /// Counts upstreams as cold that started, as found within `found`. Called before the directory shows them to requests.
    fn follow_cold_starts(&self, change: &DirectoryChange, found: Reach, now: Instant) {
        if change.is_first || change.started.is_empty() {
            return;
        }
        let table = self.config.current();
        if table.has_cold_limits() {
            self.cold.drop_idle(now);
        }
        for instance in &change.started {
            let Some(limits) = table.cold_limits(&instance.service) else {
                continue;
            };
            let is_restart = change.restarted.contains(&instance.id);
            let is_news = self
                .cold
                .record_start(instance, &limits, is_restart, found, now);
            if is_news {
                record_cold_period(&instance.id, "started", limits.duration);
            }
        }
    }

    fn follow_cold_statements(&self, statements: &[ColdStatement], now: Instant) {
        let table = self.config.current();
        if !table.has_cold_limits() {
            return;
        }
        let limits = |service: &ModelId| table.cold_limits(service);
        let news = self.cold.record_statements(statements, limits, now);
        for (upstream, left) in &news {
            record_cold_period(upstream, "stated", *left);
        }
        if !news.is_empty() {
            self.request_report();
        }
    }

    /// Counts an upstream as cold that said so in an answer.
    pub fn record_cold_answer(
        &self,
        instance: &Instance,
        limits: &ColdLimits,
        left: Duration,
        now: Instant,
    ) {
        if self.cold.record_answer(instance, limits, left, now) {
            record_cold_period(&instance.id, "stated", left.min(limits.duration));
            self.request_report();
        }
    }

    /// Returns whether an invalid value of this upstream was not logged before.
    pub fn is_first_invalid_value(&self, upstream: &UpstreamId) -> bool {
        let mut logged = lock(&self.logged_invalid);
        logged.len() < MAX_LOGGED_INVALID && logged.insert(upstream.clone())
    }

    /// Counts upstreams as cold that another host found so within `found`.
    fn apply_cold_reports(&self, reports: &[ColdReport], found: Reach, now: Instant) {
        let table = self.config.current();
        for report in reports {
            let Some(instance) = self.with_directory(|d| d.instance(&report.upstream)) else {
                continue;
            };
            let Some(limits) = table.cold_limits(&instance.service) else {
                continue;
            };
            match self
                .cold
                .apply_report(report, &instance, &limits, found, now)
            {
                ReportOutcome::Known => {}
                ReportOutcome::Applied => {
                    let left = report.left.min(limits.duration);
                    record_cold_period(&instance.id, "reported", left);
                }
                ReportOutcome::Ignored => {
                    ::metrics::counter!(metrics::COLD_REPORTS_IGNORED).increment(1);
                }
            }
        }
    }

    /// Tells the state of cold upstreams which hosts there are, if any upstream may be cold. `own` is this host.
    pub fn update_cold_fleet(&self, own: &Registration) {
        if !self.config.current().has_cold_limits() {
            return;
        }
        let peers = self.peers();
        let Some(membership) = peers.membership() else {
            return;
        };
        if !self.cold.needs_fleet(membership) {
            return;
        }
        let others = peers.hosts();
        drop(peers);
        self.cold.set_fleet(ColdFleet {
            membership,
            own: own.host.clone(),
            own_data_centre: own.data_centre.clone(),
            others,
        });
    }

    /// Marks the upstreams in `left`, which a host within `reach` found to have left: they get no new work.
    pub fn mark_left(&self, left: &[(UpstreamId, u64)], reach: Reach, now: Instant) {
        for (id, born) in left {
            let is_new = self.change_directory(|d| d.mark_left(id, *born, reach, now));
            if is_new {
                log::info!(target: "upstream", "upstream {id} reported as left by another host; it gets no new work");
            }
        }
    }

    /// Returns the upstreams that recently left as found within `reach`, each with its start in Unix milliseconds.
    pub fn recently_left(&self, reach: Reach, now: Instant) -> Vec<(UpstreamId, u64)> {
        self.change_directory(|d| d.recently_left(reach, now))
    }

    /// Records that an engine is ordered to change its stage, as a host within `reach` told: it gets no work meanwhile.
    pub fn mark_changing(&self, ordered: &OrderedStage, reach: Reach, now: Instant) {
        if self.change_directory(|d| d.mark_changing(ordered.clone(), reach, now)) {
            log::info!(target: "upstream", "engine {} changes to stage {:?}; it gets no work until then", ordered.upstream, ordered.stage);
            self.request_report();
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

    /// Records that an upstream stated that it leaves, and reports it to the other hosts.
    pub fn mark_leaving(&self, instance: &Instance, now: Instant) {
        let is_new = self.change_directory(|d| d.mark_leaving(&instance.id, instance.born, now));
        if is_new {
            log::info!(target: "upstream", "upstream {} states that it leaves; it gets no new work", instance.id);
            self.request_report();
        }
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

    /// Takes one retry from this host's budget and counts it under `cause`; returns whether the budget had one left.
    pub fn take_retry(&self, service: &ModelId, cause: &'static str, now: Instant) -> bool {
        let hosts = self.peers().host_count();
        let taken = self.retries.try_take(service, hosts, now);
        if taken {
            ::metrics::counter!(metrics::RETRIES, "cause" => cause).increment(1);
        }
        taken
    }

    /// Sets the time until which this host may not know yet whether the fleet has relays.
    pub fn set_starts_until(&self, end: Option<Instant>) {
        self.starts_until.send_replace(end);
    }

    /// Waits until this host knows whether the fleet has relays; forever if it knows already.
    pub async fn start_ends(&self) {
        let mut starts_until = self.starts_until.subscribe();
        if starts_until.borrow().is_none() {
            return std::future::pending().await;
        }
        // The sender lives as long as `self`.
        let _ = starts_until.wait_for(Option::is_none).await;
    }

    /// Returns whether this host may not know yet whether the fleet has relays.
    pub fn is_starting(&self, now: Instant) -> bool {
        self.starts_until.borrow().is_some_and(|until| now < until)
    }

    /// Sets the time at which this host, which drains from now on, gives up on requests that have no answer yet.
    pub fn set_drain_deadline(&self, deadline: Instant) {
        self.drain_deadline.send_replace(Some(deadline));
    }

    /// Returns when the host gives up on requests that have no answer yet; `None` unless it drains.
    pub fn drain_deadline(&self) -> Option<Instant> {
        *self.drain_deadline.borrow()
    }

    /// Waits until the drain deadline, forever unless the host drains.
    pub async fn wait_for_drain_deadline(&self) {
        let mut drain_deadline = self.drain_deadline.subscribe();
        let deadline = drain_deadline.wait_for(Option::is_some).await;
        // The sender lives as long as `self`.
        let deadline = deadline.ok().and_then(|deadline| *deadline);
        match deadline {
            Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
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

    /// Returns the newest configuration version that any other host has reported.
    pub fn newest_peer_version(&self) -> Version {
        *self.newest_version.borrow()
    }

    /// Returns whether another host has a newer configuration version in force.
    pub fn is_config_outdated(&self) -> bool {
        self.newest_peer_version() > self.config.current().version
    }

    /// Waits until another host reports a version above `heard` that this host has still not in force after `delay`.
    pub async fn wait_for_newer_version(&self, heard: Version, delay: Duration) {
        let mut newest = self.newest_version.subscribe();
        loop {
            let known = heard.max(self.config.current().version);
            // The sender lives as long as `self`.
            let _ = newest.wait_for(|newest| *newest > known).await;
            tokio::time::sleep(delay).await;
            if self.is_config_outdated() {
                return;
            }
        }
    }

    /// Returns what parts add to a report that sums up the hosts within `reach`.
    pub fn report_sections(&self, reach: Reach, now: Instant) -> Vec<ReportSection> {
        let mut sections = Vec::new();
        if reach == Reach::Host {
            let queued = self.usage.queued_tokens(now);
            if !queued.is_empty() {
                sections.push(ReportSection::QueuedTokens(queued));
            }
        }
        sections.extend(self.evacuation_news().map(ReportSection::Evacuations));
        let cold = self.cold.reports(reach, now);
        if !cold.is_empty() {
            sections.push(ReportSection::ColdEngines(cold));
        }
        let stage_load = self.stage_load.report(reach, now);
        if !stage_load.is_empty() {
            sections.push(ReportSection::StageLoad(stage_load));
        }
        let dismissed = self.recently_dismissed(reach, now);
        if !dismissed.is_empty() {
            sections.push(ReportSection::DismissedCrashes(dismissed));
        }
        let trials = lock(&self.trials).within(reach, now);
        if !trials.is_empty() {
            sections.push(ReportSection::CrashTrials(trials));
        }
        let changing = self.change_directory(|d| d.changing(reach, now));
        if !changing.is_empty() {
            sections.push(ReportSection::StageChanges(changing));
        }
        sections
    }

    /// Applies a section of another host's report. `source` is what the report sums up; `None` if this host hears of it from
    /// another source. `found` is the reach within which its news counts as found.
    pub fn apply_section(
        &self,
        section: &ReportSection,
        source: Option<&Source>,
        found: Reach,
        now: Instant,
    ) {
        match section {
            ReportSection::StoreGeneration(_) => {}
            ReportSection::Evacuations(news) => self.apply_evacuation_news(news, now),
            ReportSection::DismissedCrashes(crashes) => {
                self.apply_dismissed(crashes, found, now);
            }
            ReportSection::CrashTrials(trials) => self.apply_trials(trials, found, now),
            ReportSection::ColdEngines(reports) => self.apply_cold_reports(reports, found, now),
            ReportSection::StageChanges(changing) => {
                for ordered in changing {
                    self.mark_changing(ordered, found, now);
                }
            }
            ReportSection::QueuedTokens(queued) => {
                if let Some(Source::Host(host)) = source {
                    self.usage.apply_queued(host, queued, now);
                }
            }
            ReportSection::StageLoad(sums) => {
                if let Some(source) = source {
                    self.stage_load.apply_report(source, sums, now);
                }
            }
        }
    }

    /// Sets the time after which other hosts' calls are reported to this one.
    pub fn set_report_delay(&self, delay: Duration) {
        *lock(&self.report_delay) = delay;
    }

    /// Returns the time after which other hosts' calls are reported to this one.
    pub fn report_delay(&self) -> Duration {
        *lock(&self.report_delay)
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
