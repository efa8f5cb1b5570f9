//! The load and health of upstreams as this host sees them. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::recent_news::RecentNews;
use crate::process::forwarding::source::{Reach, Source};
use crate::process::shard::{Shards, lock};

/// Work that an upstream was given and has not finished.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The number of calls.
    pub calls: u32,
    /// The tokens of those calls: engine memory for generations, the prompt for prefills, 0 for calls of plain services.
    pub tokens: Tokens,
    /// The prompt tokens that a decode engine still has to prefill itself.
    pub prompts: Tokens,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prompts = self.prompts.saturating_add(other.prompts);
    }

    /// Returns this work, limited to what a fleet can give to one upstream, so that sums of reported work never overflow.
    fn bounded(self) -> Self {
        Self {
            calls: self.calls.min(MAX_REPORTED_CALLS),
            tokens: self.tokens.min(MAX_REPORTED_TOKENS),
            prompts: self.prompts.min(MAX_REPORTED_TOKENS),
        }
    }

    /// Removes a part of the work; what is not there counts as removed.
    pub fn remove(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prompts = self.prompts.saturating_sub(other.prompts);
    }
}

/// The most calls that a report may state for one upstream.
const MAX_REPORTED_CALLS: u32 = 1 << 16;

/// The most tokens that a report may state for one upstream.
const MAX_REPORTED_TOKENS: Tokens = 1 << 32;

/// Identifies one call within a `LoadTracker`.
pub type CallId = u64;

/// The settings of `LoadTracker`.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// The time for which an upstream is blocked after a first failure; doubles with each further failure in a row.
    pub min_block: Duration,
    /// The upper bound of that time.
    pub max_block: Duration,
    /// The weight of the newest measurement in the moving averages, from 0 to 1.
    pub average_weight: f64,
    /// The time for which another host's report of its work counts.
    pub report_ttl: Duration,
    /// The number of unreachable calls in a row, over all upstreams of a data centre, from which it counts as cut off.
    pub cut_off_threshold: u32,
    /// The time for which reports to other hosts name an unhealthy upstream.
    pub unhealthy_report_ttl: Duration,
    /// The age up to which an answer to this host outweighs another host's report that the upstream is unhealthy.
    pub own_answer_ttl: Duration,
    /// The time since the last unreachable call after which a cut off data centre is tried again.
    pub cut_off_duration: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            min_block: Duration::from_millis(500),
            max_block: Duration::from_secs(4),
            average_weight: 0.2,
            report_ttl: Duration::from_millis(1500),
            unhealthy_report_ttl: Duration::from_millis(600),
            own_answer_ttl: Duration::from_millis(300),
            cut_off_threshold: 2,
            cut_off_duration: Duration::from_secs(2),
        }
    }
}

/// The load and health of one upstream.
#[derive(Debug, Default)]
struct UpstreamLoad {
    /// The start of the process that this describes, in Unix milliseconds.
    born: u64,
    own: Work,
    /// The work that each source reported, with the time of its report.
    others: SmallVec<[(Source, Work, Instant); 8]>,
    /// The calls that were sent and not answered yet, with the time of sending.
    unanswered: SmallVec<[(CallId, Instant); 8]>,
    /// The failed calls in a row.
    failures: u32,
    /// The calls in a row that were refused because the upstream was full.
    refusals: u32,
    blocked_until: Option<Instant>,
    /// The time until which the upstream wants no call from this host.
    paused_until: Option<Instant>,
    last_contact: Option<Instant>,
    /// The moving average of the time that one unit of work takes, see `LoadView`.
    seconds_per_unit: Option<f64>,
}

/// A snapshot of an upstream's load.
// The conditions are independent of each other.
#[expect(clippy::struct_excessive_bools)]
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// The work given by this host.
    pub own: Work,
    /// The work given by other hosts, as they reported it.
    pub others: Work,
    /// The age of the oldest call of this host that has no answer yet; zero if there is none.
    pub unanswered: Duration,
    /// Whether it should get no work for now, because calls failed or were refused.
    pub is_blocked: bool,
    /// Whether it wants no call from this host for now.
    pub is_paused: bool,
    /// Whether its data centre is unreachable, as far as this host knows.
    pub is_cut_off: bool,
    /// Whether it is cold, so that few hosts may choose it.
    pub is_cold: bool,
    /// The average seconds per token of a prefill, per plain call, or to the first event of a generation; `None` if not measured.
    pub seconds_per_unit: Option<f64>,
}

impl LoadView {
    /// Returns the work given by this host and all others.
    pub fn work(&self) -> Work {
        let mut work = self.own;
        work.add(self.others);
        work
    }
}

/// What the end of a call says of the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered; ends its block and the count of failures and refusals in a row.
    Answered,
    /// The upstream broke off or did not answer in time.
    Failed,
    /// No connection to the upstream could be opened.
    Unreachable,
    /// The upstream refused the call because it is full.
    Full,
    /// The engine had no memory to reserve for a call.
    NoMemory,
    /// The engine refused the call because it runs another stage than it registered.
    WrongStage,
    /// The call ended for a reason that says nothing of the upstream, such as a caller that disconnected.
    Abandoned,
}

/// The time for which an upstream is blocked after it refused a call as full; doubles with each refusal in a row, because an
/// engine that changes its stage refuses calls for seconds.
const MIN_FULL_BLOCK: Duration = Duration::from_millis(150);

/// The upper bound of that time.
const MAX_FULL_BLOCK: Duration = Duration::from_millis(1500);

/// The longest time for which an upstream can turn this host away, so that a faulty one does not for good.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// The time for which an engine is blocked that had no memory to reserve: half of the time until a full engine finishes its
/// next request.
const NO_MEMORY_BLOCK: Duration = Duration::from_millis(200);

/// The time for which an engine is blocked that runs another stage than it registered. It registers the new stage within one
/// heartbeat, and the list of upstreams is read about once a second.
const WRONG_STAGE_BLOCK: Duration = Duration::from_secs(3);

/// A report to other hosts that an upstream is unhealthy.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UnhealthyReport {
    /// The upstream that the sender has blocked.
    pub upstream: UpstreamId,
    /// The start of its process in Unix milliseconds; the report does not apply to a restarted one.
    pub born: u64,
    /// The time for which it should get no work, from the arrival of the report.
    pub rest: Duration,
}

/// Whether the upstreams of one data centre can be reached.
#[derive(Debug, Default, Clone, Copy)]
struct Reachability {
    /// The unreachable calls since the last answer.
    failures: u32,
    last_failure: Option<Instant>,
}

/// The load and health of all upstreams, in shards under a lock each.
#[derive(Debug)]
pub struct LoadTracker {
    settings: LoadSettings,
    data_centres: Shards<HashMap<DataCentreId, Reachability>>,
    /// The upstreams that were found unhealthy, to report them.
    unhealthy: Mutex<RecentNews<UnhealthyReport>>,
    upstreams: Shards<HashMap<UpstreamId, UpstreamLoad>>,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self::new(LoadSettings::default())
    }
}

impl LoadTracker {
    /// Creates a tracker that knows no upstream.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            unhealthy: Mutex::new(RecentNews::new(settings.unhealthy_report_ttl)),
            settings,
            data_centres: Shards::default(),
            upstreams: Shards::default(),
        }
    }

    /// Adds the work of a call that is about to be sent.
    pub fn start_call(&self, instance: &Instance, work: Work) {
        self.with_load(instance, |load| load.own.add(work));
    }

    /// Removes a prompt from the work of a decode engine that has prefilled it.
    pub fn record_prefill(&self, instance: &Instance, prompts: Tokens) {
        let work = Work {
            prompts,
            ..Work::default()
        };
        self.with_load(instance, |load| load.own.remove(work));
    }

    /// Records that a call is sent.
    pub fn record_sent(&self, instance: &Instance, call: CallId, now: Instant) {
        self.with_load(instance, |load| load.unanswered.push((call, now)));
    }

    /// Records that at least the head of a call's answer has arrived.
    pub fn record_answer(&self, instance: &Instance, call: CallId, now: Instant) {
        let data_centre = &instance.data_centre;
        self.data_centres.lock(data_centre).remove(data_centre);
        self.with_load(instance, |load| {
            load.unanswered
                .retain(|(unanswered, _)| *unanswered != call);
            load.last_contact = Some(now);
        });
    }

    /// Records a sign of life other than an answer to a call.
    pub fn record_contact(&self, instance: &Instance, now: Instant) {
        self.with_load(instance, |load| load.last_contact = Some(now));
    }

    /// Updates the moving average with a call of `units` of work that took `took`.
    pub fn record_duration(&self, instance: &Instance, units: f64, took: Duration) {
        let weight = self.settings.average_weight;
        self.with_load(instance, |load| {
            let seconds_per_unit = took.as_secs_f64() / units.max(1.0);
            load.seconds_per_unit = Some(load.seconds_per_unit.map_or(seconds_per_unit, |old| {
                old + (seconds_per_unit - old) * weight
            }));
        });
    }

    /// Removes a call and its work, and records what its end says of the upstream's health.
    pub fn end_call(
        &self,
        instance: &Instance,
        call: CallId,
        work: Work,
        outcome: CallOutcome,
        now: Instant,
    ) {
        let settings = &self.settings;
        if outcome == CallOutcome::Unreachable {
            let data_centre = &instance.data_centre;
            let mut data_centres = self.data_centres.lock(data_centre);
            let reach = data_centres.entry(data_centre.clone()).or_default();
            reach.failures += 1;
            reach.last_failure = Some(now);
        }
        self.with_load(instance, |load| {
            load.own.remove(work);
            load.unanswered
                .retain(|(unanswered, _)| *unanswered != call);
            match outcome {
                CallOutcome::Answered => {
                    load.failures = 0;
                    load.refusals = 0;
                    load.blocked_until = None;
                }
                CallOutcome::Failed | CallOutcome::Unreachable => {
                    let doubled = settings.min_block * 2u32.pow(load.failures.min(8));
                    load.failures += 1;
                    load.blocked_until = Some(now + doubled.min(settings.max_block));
                }
                CallOutcome::Full => {
                    let doubled = MIN_FULL_BLOCK * 2u32.pow(load.refusals.min(8));
                    load.refusals += 1;
                    let until = now + doubled.min(MAX_FULL_BLOCK);
                    load.blocked_until = load.blocked_until.max(Some(until));
                }
                CallOutcome::NoMemory => {
                    load.blocked_until = load.blocked_until.max(Some(now + NO_MEMORY_BLOCK));
                }
                CallOutcome::WrongStage => load.blocked_until = Some(now + WRONG_STAGE_BLOCK),
                CallOutcome::Abandoned => {}
            }
        });
        let rest = match outcome {
            CallOutcome::Unreachable | CallOutcome::Failed => settings.min_block,
            CallOutcome::WrongStage => WRONG_STAGE_BLOCK,
            CallOutcome::Answered
            | CallOutcome::Full
            | CallOutcome::NoMemory
            | CallOutcome::Abandoned => return,
        };
        self.report_unhealthy(instance, rest, now);
    }

    /// Blocks an upstream for `rest` and reports it to the other hosts, which do the same.
    pub fn block(&self, instance: &Instance, rest: Duration, now: Instant) {
        self.with_load(instance, |load| {
            load.blocked_until = load.blocked_until.max(Some(now + rest));
        });
        self.report_unhealthy(instance, rest, now);
    }

    /// Sends no call to an upstream for `rest`, at most `MAX_PAUSE`, as it asked of this host.
    pub fn pause(&self, instance: &Instance, rest: Duration, now: Instant) {
        let until = now + rest.min(MAX_PAUSE);
        self.with_load(instance, |load| {
            load.paused_until = load.paused_until.max(Some(until));
        });
    }

    fn report_unhealthy(&self, instance: &Instance, rest: Duration, now: Instant) {
        let report = UnhealthyReport {
            upstream: instance.id.clone(),
            born: instance.born,
            rest,
        };
        lock(&self.unhealthy).add(report, Reach::Host, now);
    }

    /// Replaces the work that a source has given to upstreams; it has given none to those that the report does not name.
    pub fn apply_report(&self, source: &Source, report: &[(UpstreamId, Work)], now: Instant) {
        for mut upstreams in self.upstreams.iter() {
            for load in upstreams.values_mut() {
                load.others.retain(|(other, _, _)| other != source);
            }
        }
        for (upstream, work) in report {
            let mut upstreams = self.upstreams.lock(upstream);
            // An upstream that this host does not know yet can't be chosen, so its load does not matter.
            if let Some(load) = upstreams.get_mut(upstream) {
                load.others.push((source.clone(), work.bounded(), now));
            }
        }
    }

    /// Returns the upstreams that were recently found unhealthy within `reach`, to report them.
    pub fn unhealthy_reports(&self, reach: Reach, now: Instant) -> Vec<UnhealthyReport> {
        lock(&self.unhealthy).within(reach, now)
    }

    /// Blocks an upstream that another host found unhealthy, unless it has just answered this host: the other one may only have
    /// lost its connection to a healthy upstream.
    pub fn apply_unhealthy_report(&self, report: &UnhealthyReport, reach: Reach, now: Instant) {
        lock(&self.unhealthy).add(report.clone(), reach, now);
        let mut upstreams = self.upstreams.lock(&report.upstream);
        let Some(load) = upstreams.get_mut(&report.upstream) else {
            return;
        };
        let age = load
            .last_contact
            .map(|at| now.saturating_duration_since(at));
        if load.born == report.born && age.is_none_or(|age| age > self.settings.own_answer_ttl) {
            let rest = report.rest.min(self.settings.max_block);
            load.blocked_until = load.blocked_until.max(Some(now + rest));
        }
    }

    /// Returns the unfinished work that the hosts within `reach` have given to upstreams, as far as this host knows, to report it.
    pub fn work_within(&self, reach: Reach, now: Instant) -> Vec<(UpstreamId, Work)> {
        let ttl = self.settings.report_ttl;
        let mut reported = Vec::new();
        for upstreams in self.upstreams.iter() {
            for (id, load) in upstreams.iter() {
                let mut work = load.own;
                for (source, other, at) in &load.others {
                    let is_within = match source {
                        Source::Host(_) => reach >= Reach::DataCentre,
                        Source::DataCentre(_) => reach >= Reach::Fleet,
                        // The sum of the fleet contains this host's own work, and is for its own use.
                        Source::Fleet => false,
                    };
                    if is_within && now.saturating_duration_since(*at) < ttl {
                        work.add(*other);
                    }
                }
                if work.calls > 0 {
                    reported.push((id.clone(), work));
                }
            }
        }
        reported
    }

    /// Keeps other hosts' reports of an upstream from now on, even before it is a candidate of a request.
    pub fn track(&self, instance: &Instance) {
        self.with_load(instance, |_| {});
    }

    /// Returns the load of an upstream. From then on, other hosts' reports of it are kept.
    pub fn view(&self, instance: &Instance, now: Instant) -> LoadView {
        let ttl = self.settings.report_ttl;
        let is_cut_off = self.is_cut_off(&instance.data_centre, now);
        self.with_load(instance, |load| {
            let mut others = Work::default();
            let age = |at: &Instant| now.saturating_duration_since(*at);
            for (_, work, at) in &load.others {
                if age(at) < ttl {
                    others.add(*work);
                }
            }
            let oldest = load.unanswered.iter().map(|(_, since)| age(since)).max();
            LoadView {
                own: load.own,
                others,
                unanswered: oldest.unwrap_or_default(),
                is_blocked: load.blocked_until.is_some_and(|until| until > now),
                is_paused: load.paused_until.is_some_and(|until| until > now),
                is_cut_off,
                is_cold: false,
                seconds_per_unit: load.seconds_per_unit,
            }
        })
    }

    /// Returns whether calls to a data centre have recently failed to connect, without an answer since.
    fn is_cut_off(&self, data_centre: &DataCentreId, now: Instant) -> bool {
        let settings = &self.settings;
        let reach = self
            .data_centres
            .lock(data_centre)
            .get(data_centre)
            .copied()
            .unwrap_or_default();
        let is_recent = |at| now.saturating_duration_since(at) < settings.cut_off_duration;
        reach.failures >= settings.cut_off_threshold && reach.last_failure.is_some_and(is_recent)
    }

    /// Returns when an upstream last answered or gave another sign of life.
    pub fn last_contact(&self, instance: &Instance) -> Option<Instant> {
        self.with_load(instance, |load| load.last_contact)
    }

    /// Removes an upstream that has left, unless calls of this host still run there.
    pub fn remove_idle(&self, instance: &Instance) {
        let mut upstreams = self.upstreams.lock(&instance.id);
        let idle = upstreams
            .get(&instance.id)
            .is_some_and(|load| load.own.calls == 0);
        if idle {
            upstreams.remove(&instance.id);
        }
    }

    fn with_load<T>(&self, instance: &Instance, act: impl FnOnce(&mut UpstreamLoad) -> T) -> T {
        let mut upstreams = self.upstreams.lock(&instance.id);
        let load = upstreams.entry(instance.id.clone()).or_default();
        if load.born < instance.born {
            // The health of the previous process says nothing of the new one. The work is kept, because its calls still end.
            load.born = instance.born;
            load.failures = 0;
            load.refusals = 0;
            load.blocked_until = None;
            load.paused_until = None;
            load.seconds_per_unit = None;
        }
        act(load)
    }
}
