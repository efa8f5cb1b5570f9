//! The load and health of upstreams as this host sees them. Holds no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::shard::{Shards, lock};

/// Work that an upstream has been given and has not finished.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The calls.
    pub calls: u32,
    /// Their tokens.
    pub tokens: Tokens,
    /// The prompt tokens that a decode engine still has to prefill by itself.
    pub prompts: Tokens,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
        self.prompts += other.prompts;
    }

    fn remove(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prompts = self.prompts.saturating_sub(other.prompts);
    }
}

/// Names one call within a `LoadTracker`.
pub type CallId = u64;

/// The settings of the load book.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// The time for which an upstream gets no work after its first failure in a row; doubles with each further one.
    pub min_block: Duration,
    /// The longest such time.
    pub max_block: Duration,
    /// The weight of the newest time in the moving averages.
    pub average_weight: f64,
    /// The time for which another host's report counts.
    pub report_ttl: Duration,
    /// The upstreams of a data centre that can't be reached, one after the other, until it is taken to be cut off.
    pub cut_off_threshold: u32,
    /// The time for which other hosts are told of an upstream that is unwell.
    pub unhealthy_report_ttl: Duration,
    /// The age up to which an own answer counts for more than what another host tells.
    pub own_answer_ttl: Duration,
    /// The time after which a data centre that was cut off is tried again.
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

/// What one upstream does.
#[derive(Debug, Default)]
struct UpstreamLoad {
    born: u64,
    own: Work,
    others: SmallVec<[(HostId, Work, Instant); 8]>,
    /// The calls that have had no answer yet, with the time of sending.
    waiting: SmallVec<[(CallId, Instant); 8]>,
    failures: u32,
    refusals: u32,
    blocked_until: Option<Instant>,
    heard: Option<Instant>,
    /// The moving average of the time that one unit of work takes.
    seconds_per_unit: Option<f64>,
}

/// An upstream's load at one moment.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// The work given by this host.
    pub own: Work,
    /// The work given by other hosts, as they reported it.
    pub others: Work,
    /// The time for which the oldest call has had no answer.
    pub unanswered: Duration,
    /// Whether it gets no work because calls failed.
    pub is_blocked: bool,
    /// Whether its data centre can't be reached, as far as this host knows.
    pub is_cut_off: bool,
    /// The seconds that one unit of work took on average: a token for prefills, else a call.
    pub seconds_per_unit: Option<f64>,
}

impl LoadView {
    /// Returns the work given by all hosts.
    pub fn work(&self) -> Work {
        let mut work = self.own;
        work.add(self.others);
        work
    }
}

/// How a call ended for an upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered.
    Answered,
    /// It broke off or did not answer.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It refused the call because it is full.
    Full,
    /// It had no memory to reserve for a call.
    NoMemory,
    /// It refused the call because it runs another stage than it registered.
    WrongStage,
    /// The call ended for a reason that says nothing of the upstream.
    Abandoned,
}

/// The time for which an upstream that refused a call as full gets no further one; doubles with each refusal in a row, because
/// an engine that changes its stage refuses for seconds.
const FULL_BLOCK: Duration = Duration::from_millis(150);

/// The longest such time.
const MAX_FULL_BLOCK: Duration = Duration::from_millis(1500);

/// The time for which an engine that had no memory to reserve is not asked again: half of the time after which a full engine
/// ends its next request.
const NO_MEMORY_BLOCK: Duration = Duration::from_millis(200);

/// The time for which an engine that runs another stage than it registered gets no call; it registers the new one within its
/// heartbeat, and the list is read about once a second.
const OTHER_STAGE_BLOCK: Duration = Duration::from_secs(3);

/// That an upstream is unwell, as one host tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnhealthyReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start.
    pub born: u64,
    /// The time for which it should get no work.
    pub rest: Duration,
}

/// How the upstreams of one data centre are reached.
#[derive(Debug, Default, Clone, Copy)]
struct Reach {
    /// The calls since the last answer that reached none.
    misses: u32,
    missed: Option<Instant>,
}

/// The load of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    settings: LoadSettings,
    centres: Shards<HashMap<DataCentreId, Reach>>,
    /// What this host found lately, to tell the others.
    news: Mutex<Vec<(Instant, UnhealthyReport)>>,
    upstreams: Shards<HashMap<UpstreamId, UpstreamLoad>>,
}

impl LoadTracker {
    /// Creates an empty book.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            centres: Shards::default(),
            news: Mutex::default(),
            upstreams: Shards::default(),
        }
    }

    /// Reserves room for a call.
    pub fn start_call(&self, instance: &Instance, work: Work) {
        self.with(instance, |load| load.own.add(work));
    }

    /// Takes note that a decode engine has prefilled a prompt by itself.
    pub fn record_prefill(&self, instance: &Instance, prompts: Tokens) {
        let work = Work {
            prompts,
            ..Work::default()
        };
        self.with(instance, |load| load.own.remove(work));
    }

    /// Takes note that a call is sent.
    pub fn record_sent(&self, instance: &Instance, call: CallId, now: Instant) {
        self.with(instance, |load| load.waiting.push((call, now)));
    }

    /// Takes note that a call has been answered, or a first part of it.
    pub fn record_answer(&self, instance: &Instance, call: CallId, now: Instant) {
        let centre = &instance.data_centre;
        self.centres.lock(centre).remove(centre);
        self.with(instance, |load| {
            load.waiting.retain(|(waiting, _)| *waiting != call);
            load.heard = Some(now);
        });
    }

    /// Takes note of a sign of life besides an answer to a call.
    pub fn record_contact(&self, instance: &Instance, now: Instant) {
        self.with(instance, |load| load.heard = Some(now));
    }

    /// Adds the time that a call of `units` took to the moving average.
    pub fn record_duration(&self, instance: &Instance, units: f64, took: Duration) {
        let newest = self.settings.average_weight;
        self.with(instance, |load| {
            let seconds_per_unit = took.as_secs_f64() / units.max(1.0);
            load.seconds_per_unit = Some(load.seconds_per_unit.map_or(seconds_per_unit, |old| {
                old + (seconds_per_unit - old) * newest
            }));
        });
    }

    /// Ends a call.
    pub fn end_call(
        &self,
        instance: &Instance,
        call: CallId,
        work: Work,
        end: CallOutcome,
        now: Instant,
    ) {
        let settings = &self.settings;
        if end == CallOutcome::Unreachable {
            let centre = &instance.data_centre;
            let mut centres = self.centres.lock(centre);
            let reach = centres.entry(centre.clone()).or_default();
            reach.misses += 1;
            reach.missed = Some(now);
        }
        self.with(instance, |load| {
            load.own.remove(work);
            load.waiting.retain(|(waiting, _)| *waiting != call);
            match end {
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
                    let doubled = FULL_BLOCK * 2u32.pow(load.refusals.min(8));
                    load.refusals += 1;
                    let until = now + doubled.min(MAX_FULL_BLOCK);
                    load.blocked_until = load.blocked_until.max(Some(until));
                }
                CallOutcome::NoMemory => {
                    load.blocked_until = load.blocked_until.max(Some(now + NO_MEMORY_BLOCK));
                }
                CallOutcome::WrongStage => load.blocked_until = Some(now + OTHER_STAGE_BLOCK),
                CallOutcome::Abandoned => {}
            }
        });
        let rest = match end {
            CallOutcome::Unreachable | CallOutcome::Failed => settings.min_block,
            CallOutcome::WrongStage => OTHER_STAGE_BLOCK,
            CallOutcome::Answered
            | CallOutcome::Full
            | CallOutcome::NoMemory
            | CallOutcome::Abandoned => return,
        };
        self.tell(instance, rest, now);
    }

    /// Gives an upstream no work for `rest`, and has other hosts do the same.
    pub fn block(&self, instance: &Instance, rest: Duration, now: Instant) {
        self.with(instance, |load| {
            load.blocked_until = load.blocked_until.max(Some(now + rest));
        });
        self.tell(instance, rest, now);
    }

    fn tell(&self, instance: &Instance, rest: Duration, now: Instant) {
        let news = UnhealthyReport {
            upstream: instance.id.clone(),
            born: instance.born,
            rest,
        };
        lock(&self.news).push((now, news));
    }

    /// Replaces what another host reported of its work; upstreams that it does not name have none of it.
    pub fn apply_report(&self, host: &HostId, report: &[(UpstreamId, Work)], now: Instant) {
        for mut upstreams in self.upstreams.iter() {
            for load in upstreams.values_mut() {
                load.others.retain(|(other, _, _)| other != host);
            }
        }
        for (upstream, work) in report {
            let mut upstreams = self.upstreams.lock(upstream);
            // Upstreams that this host does not know yet can't be chosen either.
            if let Some(load) = upstreams.get_mut(upstream) {
                load.others.push((host.clone(), *work, now));
            }
        }
    }

    /// Returns the upstreams that this host found unwell lately, to report them.
    pub fn unhealthy_reports(&self, now: Instant) -> Vec<UnhealthyReport> {
        let mut news = lock(&self.news);
        news.retain(|(at, _)| {
            now.saturating_duration_since(*at) < self.settings.unhealthy_report_ttl
        });
        news.iter().map(|(_, news)| news.clone()).collect()
    }

    /// Takes over that another host found an upstream unwell, unless this host was answered by it just now: a host may lose its
    /// way to an upstream that is well.
    pub fn apply_unhealthy_report(&self, news: &UnhealthyReport, now: Instant) {
        let mut upstreams = self.upstreams.lock(&news.upstream);
        let Some(load) = upstreams.get_mut(&news.upstream) else {
            return;
        };
        let age = load.heard.map(|heard| now.saturating_duration_since(heard));
        if load.born == news.born && age.is_none_or(|age| age > self.settings.own_answer_ttl) {
            let rest = news.rest.min(self.settings.max_block);
            load.blocked_until = load.blocked_until.max(Some(now + rest));
        }
    }

    /// Returns the work that this host has given, to report it.
    pub fn own_work(&self) -> Vec<(UpstreamId, Work)> {
        let mut work = Vec::new();
        for upstreams in self.upstreams.iter() {
            let busy = upstreams.iter().filter(|(_, load)| load.own.calls > 0);
            work.extend(busy.map(|(id, load)| (id.clone(), load.own)));
        }
        work
    }

    /// Returns the load of an upstream, and makes it known for reports of other hosts.
    pub fn view(&self, instance: &Instance, now: Instant) -> LoadView {
        let ttl = self.settings.report_ttl;
        let is_cut_off = self.is_cut_off(&instance.data_centre, now);
        self.with(instance, |load| {
            let mut others = Work::default();
            let age = |at: &Instant| now.saturating_duration_since(*at);
            for (_, work, at) in &load.others {
                if age(at) < ttl {
                    others.add(*work);
                }
            }
            let oldest = load.waiting.iter().map(|(_, since)| age(since)).max();
            LoadView {
                own: load.own,
                others,
                unanswered: oldest.unwrap_or_default(),
                is_blocked: load.blocked_until.is_some_and(|until| until > now),
                is_cut_off,
                seconds_per_unit: load.seconds_per_unit,
            }
        })
    }

    /// Tells whether the upstreams of a data centre could not be reached lately.
    fn is_cut_off(&self, centre: &DataCentreId, now: Instant) -> bool {
        let settings = &self.settings;
        let reach = self
            .centres
            .lock(centre)
            .get(centre)
            .copied()
            .unwrap_or_default();
        let is_recent = |missed| now.saturating_duration_since(missed) < settings.cut_off_duration;
        reach.misses >= settings.cut_off_threshold && reach.missed.is_some_and(is_recent)
    }

    /// Returns when an upstream was last heard.
    pub fn last_contact(&self, instance: &Instance) -> Option<Instant> {
        self.with(instance, |load| load.heard)
    }

    /// Drops an upstream that has left, unless calls still run there.
    pub fn remove_idle(&self, instance: &Instance) {
        let mut upstreams = self.upstreams.lock(&instance.id);
        let idle = upstreams
            .get(&instance.id)
            .is_some_and(|load| load.own.calls == 0);
        if idle {
            upstreams.remove(&instance.id);
        }
    }

    fn with<T>(&self, instance: &Instance, act: impl FnOnce(&mut UpstreamLoad) -> T) -> T {
        let mut upstreams = self.upstreams.lock(&instance.id);
        let load = upstreams.entry(instance.id.clone()).or_default();
        if load.born < instance.born {
            // What was known of the process before says nothing of the new one; its calls still end.
            load.born = instance.born;
            load.failures = 0;
            load.refusals = 0;
            load.blocked_until = None;
            load.seconds_per_unit = None;
        }
        act(load)
    }
}
