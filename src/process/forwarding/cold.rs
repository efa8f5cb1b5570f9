//! Cold upstreams: which hosts may send them requests, and how many. Performs no I/O and reads no clock.
//!
//! An upstream that has just started can take few requests. Many hosts that see it empty at the same time would crash it. So while
//! it is cold, only few hosts choose it, which all hosts rank alike, and each of them spends passes of its own. Two groups of hosts
//! with different lists of hosts choose different ones, so each group gets half of what the upstream can take. Nothing is agreed
//! between hosts, and none of them holds passes for others.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::source::Reach;
use crate::process::shard::{Shards, lock, rendezvous_weight};
use crate::version::forwarding::ColdLimits;

/// The bounds on requests to cold upstreams, and the times of their ramp-up.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdSettings {
    /// The factor of the requests per second that a cold upstream takes which all hosts together may send.
    pub overrun: f64,
    /// The requests per second that they may send beyond that.
    pub slack: f64,
    /// The most hosts that choose one cold upstream. Several, because some may be silent, and each gets few requests in a large
    /// fleet.
    pub max_choosers: usize,
    /// The time over which the bound holds.
    pub window: Duration,
    /// The longest time between a pass and the arrival of its request: the time limit for opening a connection. Passes are spaced
    /// out by as much, so that the bound holds for arrivals.
    pub arrival_spread: Duration,
    /// The time after which the number of hosts that choose an upstream doubles once it is warm. With 100 ms an upstream gets no more
    /// calls at once than with the delay of reports, and carries its share seconds earlier in a large fleet.
    pub ramp_step: Duration,
    /// The time for which reports to other hosts name an upstream that this host found cold; longer than two intervals of reports.
    pub report_ttl: Duration,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
            max_choosers: 3,
            window: Duration::from_secs(1),
            arrival_spread: Duration::from_millis(150),
            ramp_step: Duration::from_millis(100),
            report_ttl: Duration::from_millis(1200),
        }
    }
}

/// The groups of hosts with different lists of hosts that together keep the bound.
const GROUPS: f64 = 2.0;

/// The most passes that a host spends on one upstream in a window. Bounds the memory of an upstream that takes more.
const MAX_PASSES: usize = 1024;

/// The time by which a cold period must end later than the known one to count as a new one. Reports are delayed by less.
const MIN_EXTENSION: Duration = Duration::from_millis(250);

/// The most cold periods of one upstream within `DOUBTFUL_WINDOW` for which other hosts' word is taken. A faulty host that reports
/// all upstreams as cold for ever costs a fifth of their time.
const MAX_REPORTED_PERIODS: usize = 4;

/// The time in which cold periods that may be false are counted.
const DOUBTFUL_WINDOW: Duration = Duration::from_mins(1);

/// The time for which the state of an upstream is kept after its cold period if no request asks for it any more.
const MAX_IDLE: Duration = Duration::from_mins(1);

/// The time after the end of a cold period in which its ramp-up is over in any fleet.
const MAX_RAMP: Duration = Duration::from_secs(10);

/// The most upstreams that a report names as cold.
pub const MAX_REPORTED_UPSTREAMS: usize = 128;

/// An upstream that another host found cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of its process in Unix milliseconds.
    pub born: u64,
    /// The time for which it is still cold, as of the sending of the report.
    pub left: Duration,
}

/// What a registration says of an upstream that is cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdStatement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of its process in Unix milliseconds.
    pub born: u64,
    /// The service whose limits apply.
    pub service: ModelId,
    /// The time for which it is still cold.
    pub left: Duration,
    /// A hash of the registration. The list may repeat one that the upstream has not renewed.
    pub digest: u64,
}

/// The hosts among which those are picked that choose a cold upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdFleet {
    /// Changes with the list of hosts.
    pub membership: u64,
    /// This host.
    pub own: HostId,
    /// The data centre of this host.
    pub own_data_centre: DataCentreId,
    /// The other registered hosts, silent ones included, each with its data centre.
    pub others: Vec<(HostId, DataCentreId)>,
}

impl ColdFleet {
    fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the place of this host in the order in which hosts choose an upstream; 0 is the first. The hosts of the upstream's
    /// data centre come first: their requests reach it soonest.
    fn own_rank(&self, upstream: &str, born: u64, data_centre: &DataCentreId) -> usize {
        let key = |host: &HostId, of: &DataCentreId| {
            let weight = rendezvous_weight(&(upstream, born), host);
            (of != data_centre, Reverse(weight), host.clone())
        };
        let own = key(&self.own, &self.own_data_centre);
        let others = self.others.iter();
        others.filter(|(host, of)| key(host, of) < own).count()
    }
}

/// Whether a host may send a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may; the upstream is warm.
    Open,
    /// It may, with a pass.
    WithPass,
    /// It may not, at least until then.
    Closed(Instant),
}

/// What came of asking for a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassOutcome {
    /// The upstream is warm.
    NotNeeded,
    /// The request must be sent now.
    Taken,
    /// The request must not be sent to this upstream now.
    Refused,
}

/// What came of another host's report of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It says nothing new.
    Known,
    /// The upstream counts as cold from now on.
    Applied,
    /// Too many reports name the upstream.
    Ignored,
}

/// What this host knows of an upstream that is or recently was cold.
#[derive(Debug)]
struct ColdUpstream {
    /// The start of its newest process that this host has heard of, in Unix milliseconds.
    born: u64,
    cold_until: Instant,
    /// When this host took its latest passes, oldest first.
    passes: VecDeque<Instant>,
    /// The passes that calls of this host have claimed and not yet taken.
    claims: usize,
    /// This host's place among the hosts, with the membership and the start of the process for which it was computed.
    rank: Option<(u64, u64, usize)>,
    /// When its latest cold periods began that may be false: reported by other hosts, or stated as too long.
    doubtful: SmallVec<[Instant; MAX_REPORTED_PERIODS]>,
    /// In which reach and when its cold period was found, to report it; `None` if other hosts need not hear of it.
    found: Option<(Reach, Instant)>,
}

impl ColdUpstream {
    fn new(born: u64, cold_until: Instant) -> Self {
        Self {
            born,
            cold_until,
            passes: VecDeque::new(),
            claims: 0,
            rank: None,
            doubtful: SmallVec::new(),
            found: None,
        }
    }

    /// Follows a restart of the process. Passes are kept, so that the bound holds for the id.
    fn set_born(&mut self, born: u64) {
        self.born = self.born.max(born);
    }

    /// Makes the cold period end no earlier than `until`; returns whether that counts as a new one.
    fn extend(&mut self, until: Instant) -> bool {
        let is_new = until > self.cold_until + MIN_EXTENSION;
        self.cold_until = self.cold_until.max(until);
        is_new
    }

    /// Returns the number of doubtful periods that still count.
    fn doubtful_periods(&mut self, now: Instant) -> usize {
        self.doubtful
            .retain(|at| now.saturating_duration_since(*at) < DOUBTFUL_WINDOW);
        self.doubtful.len()
    }
}

/// What the last list of upstreams stated of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stated {
    digest: u64,
    born: u64,
    /// Whether the stated time is above the limit of the service.
    is_too_long: bool,
}

/// The cold upstreams, in shards under a lock each, and the hosts that choose them.
#[derive(Debug)]
pub struct ColdEngines {
    settings: ColdSettings,
    /// Whether any upstream was ever cold, so that services without cold upstreams cost nothing.
    is_used: AtomicBool,
    /// `None` until the size of the fleet is known.
    fleet: ShardedLock<Option<Arc<ColdFleet>>>,
    upstreams: Shards<HashMap<UpstreamId, ColdUpstream>>,
    /// When data centres were returned to service.
    returned: Shards<HashMap<DataCentreId, Instant>>,
    /// The statements in the last list of upstreams.
    stated: Mutex<HashMap<UpstreamId, Stated>>,
}

impl Default for ColdEngines {
    fn default() -> Self {
        Self::new(ColdSettings::default())
    }
}

/// A pass that a call will take when it is sent. Dropping it returns it.
#[derive(Debug)]
pub struct PassClaim {
    /// `None` once the pass was taken.
    engines: Option<Arc<ColdEngines>>,
    upstream: UpstreamId,
}

impl Drop for PassClaim {
    fn drop(&mut self) {
        if let Some(engines) = self.engines.take() {
            let mut upstreams = engines.upstreams.lock(&self.upstream);
            if let Some(upstream) = upstreams.get_mut(&self.upstream) {
                upstream.claims = upstream.claims.saturating_sub(1);
            }
        }
    }
}

impl ColdEngines {
    /// Creates a state in which no upstream is cold and the fleet is unknown.
    pub fn new(settings: ColdSettings) -> Self {
        Self {
            settings,
            is_used: AtomicBool::new(false),
            fleet: ShardedLock::new(None),
            upstreams: Shards::default(),
            returned: Shards::default(),
            stated: Mutex::default(),
        }
    }

    /// Returns whether `set_fleet` must be called for this membership.
    pub fn needs_fleet(&self, membership: u64) -> bool {
        self.fleet()
            .is_none_or(|fleet| fleet.membership != membership)
    }

    /// Sets the hosts of the fleet, once its size is known.
    pub fn set_fleet(&self, fleet: ColdFleet) {
        let mut current = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(fleet));
    }

    fn fleet(&self) -> Option<Arc<ColdFleet>> {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        fleet.clone()
    }

    /// Records that an upstream was found started within `found`. Other hosts hear of it if `is_restart`, as they may take the new
    /// process for the one before under the same id. Returns whether that was not known.
    pub fn record_start(
        &self,
        instance: &Instance,
        limits: &ColdLimits,
        is_restart: bool,
        found: Reach,
        now: Instant,
    ) -> bool {
        let until = now + limits.duration;
        self.with_upstream(&instance.id, instance.born, now, |upstream| {
            // Reports of other hosts may have told of this start.
            if is_restart && upstream.born == instance.born && now < upstream.cold_until {
                return false;
            }
            upstream.set_born(instance.born);
            upstream.extend(until);
            upstream.found = is_restart.then_some((found, now));
            true
        })
    }

    /// Applies what a complete list of upstreams states of those that are cold. `limits` returns the limits of a service. Returns
    /// the upstreams whose cold period is news, each with the time left.
    pub fn record_statements(
        &self,
        statements: &[ColdStatement],
        limits: impl Fn(&ModelId) -> Option<ColdLimits>,
        now: Instant,
    ) -> Vec<(UpstreamId, Duration)> {
        let mut stated = lock(&self.stated);
        let mut next = HashMap::with_capacity(statements.len());
        let mut news = Vec::new();
        for statement in statements {
            let Some(limits) = limits(&statement.service) else {
                continue;
            };
            let is_too_long = statement.left > limits.duration;
            let before = stated.get(&statement.upstream);
            let is_repeated = before.is_some_and(|before| {
                let is_same_claim = before.is_too_long && is_too_long;
                before.digest == statement.digest
                    || (before.born == statement.born && is_same_claim)
            });
            next.insert(
                statement.upstream.clone(),
                Stated {
                    digest: statement.digest,
                    born: statement.born,
                    is_too_long,
                },
            );
            if is_repeated {
                continue;
            }
            let left = statement.left.min(limits.duration);
            if self.record_own_finding(&statement.upstream, statement.born, left, now) {
                news.push((statement.upstream.clone(), left));
            }
        }
        *stated = next;
        news
    }

    /// Records that an upstream stated in an answer that it is cold for `left`. Returns whether that is news. A time above the limit of
    /// its service counts once a minute.
    pub fn record_answer(
        &self,
        instance: &Instance,
        limits: &ColdLimits,
        left: Duration,
        now: Instant,
    ) -> bool {
        if left.is_zero() {
            return false;
        }
        if left > limits.duration {
            let is_repeated = self.with_upstream(&instance.id, instance.born, now, |upstream| {
                let is_repeated = upstream.doubtful_periods(now) > 0;
                if !is_repeated {
                    upstream.doubtful.push(now);
                }
                is_repeated
            });
            if is_repeated {
                return false;
            }
        }
        self.record_own_finding(&instance.id, instance.born, left.min(limits.duration), now)
    }

    /// Makes an upstream count as cold for `left` and reports that to other hosts if it is news, which the result says.
    fn record_own_finding(&self, id: &UpstreamId, born: u64, left: Duration, now: Instant) -> bool {
        self.with_upstream(id, born, now, |upstream| {
            upstream.set_born(born);
            let is_new = upstream.extend(now + left);
            if is_new {
                upstream.found = Some((Reach::Host, now));
            }
            is_new
        })
    }

    /// Applies another host's report of `instance`, found within `found`.
    pub fn apply_report(
        &self,
        report: &ColdReport,
        instance: &Instance,
        limits: &ColdLimits,
        found: Reach,
        now: Instant,
    ) -> ReportOutcome {
        // Another process has run under the id since.
        if report.born < instance.born || report.left.is_zero() {
            return ReportOutcome::Known;
        }
        let until = now + report.left.min(limits.duration);
        self.with_upstream(&instance.id, instance.born, now, |upstream| {
            if until <= upstream.cold_until + MIN_EXTENSION {
                return ReportOutcome::Known;
            }
            if upstream.doubtful_periods(now) >= MAX_REPORTED_PERIODS {
                return ReportOutcome::Ignored;
            }
            upstream.doubtful.push(now);
            upstream.set_born(report.born);
            upstream.extend(until);
            upstream.found = Some((found, now));
            ReportOutcome::Applied
        })
    }

    /// Returns the cold upstreams to report, as found within `reach`.
    pub fn reports(&self, reach: Reach, now: Instant) -> Vec<ColdReport> {
        let mut reports = Vec::new();
        if !self.is_used.load(Ordering::Relaxed) {
            return reports;
        }
        let ttl = self.settings.report_ttl;
        for upstreams in self.upstreams.iter() {
            for (id, upstream) in upstreams.iter() {
                let is_news = upstream.found.is_some_and(|(found, at)| {
                    found <= reach && now.saturating_duration_since(at) < ttl
                });
                let left = upstream.cold_until.saturating_duration_since(now);
                if is_news && !left.is_zero() && reports.len() < MAX_REPORTED_UPSTREAMS {
                    reports.push(ColdReport {
                        upstream: id.clone(),
                        born: upstream.born,
                        left,
                    });
                }
            }
        }
        reports
    }

    /// Records that a data centre is returned to service: its upstreams may be cold. Must be called before they are candidates again.
    pub fn data_centre_returned(&self, data_centre: &DataCentreId, now: Instant) {
        self.is_used.store(true, Ordering::Relaxed);
        let mut returned = self.returned.lock(data_centre);
        returned.insert(data_centre.clone(), now);
    }

    /// Returns whether this host may choose an upstream now.
    pub fn may_choose(&self, instance: &Instance, limits: &ColdLimits, now: Instant) -> Admission {
        self.with_admission(instance, limits, 0, now, |admission, _| admission)
    }

    /// Claims a pass for a call that is sent later, so that what is prepared for it is not in vain; `None` if the upstream is warm or
    /// there is no pass.
    pub fn claim_pass(
        self: &Arc<Self>,
        instance: &Instance,
        limits: &ColdLimits,
        now: Instant,
    ) -> Option<PassClaim> {
        self.with_admission(instance, limits, 0, now, |admission, upstream| {
            let upstream = upstream.filter(|_| admission == Admission::WithPass)?;
            upstream.claims += 1;
            Some(PassClaim {
                engines: Some(self.clone()),
                upstream: instance.id.clone(),
            })
        })
    }

    /// Takes a pass for a call that is sent now: the claimed one if there is one.
    pub fn take_pass(
        &self,
        instance: &Instance,
        limits: &ColdLimits,
        claim: Option<PassClaim>,
        now: Instant,
    ) -> PassOutcome {
        // Dropping the claim would lock the shard again.
        let claimed = claim.is_some_and(|mut claim| claim.engines.take().is_some());
        let claimed = usize::from(claimed);
        self.with_admission(instance, limits, claimed, now, |admission, upstream| {
            let Some(upstream) = upstream else {
                return PassOutcome::NotNeeded;
            };
            upstream.claims = upstream.claims.saturating_sub(claimed);
            match admission {
                Admission::Open => PassOutcome::NotNeeded,
                Admission::WithPass => {
                    upstream.passes.push_back(now);
                    PassOutcome::Taken
                }
                Admission::Closed(_) => PassOutcome::Refused,
            }
        })
    }

    /// Calls `act` with whether this host may send a request to an upstream, and with the state of the upstream unless it is warm.
    /// `claimed` passes of the caller don't count as claimed.
    fn with_admission<T>(
        &self,
        instance: &Instance,
        limits: &ColdLimits,
        claimed: usize,
        now: Instant,
        act: impl FnOnce(Admission, Option<&mut ColdUpstream>) -> T,
    ) -> T {
        if !self.is_used.load(Ordering::Relaxed) {
            return act(Admission::Open, None);
        }
        let fleet = self.fleet();
        let returned = self.returned_until(&instance.data_centre, limits, now);
        let mut upstreams = self.upstreams.lock(&instance.id);
        if let Some(until) = returned {
            let upstream = upstreams
                .entry(instance.id.clone())
                .or_insert_with(|| ColdUpstream::new(instance.born, until));
            upstream.extend(until);
        }
        let Some(upstream) = upstreams.get_mut(&instance.id) else {
            return act(Admission::Open, None);
        };
        let admission = self.admission(upstream, instance, fleet.as_deref(), limits, claimed, now);
        let result = act(admission, Some(&mut *upstream));
        let is_over = admission == Admission::Open && now >= upstream.cold_until;
        if is_over && upstream.claims == 0 && upstream.doubtful_periods(now) == 0 {
            upstreams.remove(&instance.id);
        }
        result
    }

    fn admission(
        &self,
        upstream: &mut ColdUpstream,
        instance: &Instance,
        fleet: Option<&ColdFleet>,
        limits: &ColdLimits,
        claimed: usize,
        now: Instant,
    ) -> Admission {
        let is_cold = now < upstream.cold_until;
        let Some(fleet) = fleet else {
            return if is_cold {
                Admission::Closed(upstream.cold_until)
            } else {
                Admission::Open
            };
        };
        // Ranked by the start in the list, not by one that another host reports: a false one would have each host rank differently.
        let rank = match upstream.rank {
            Some((membership, born, rank))
                if (membership, born) == (fleet.membership, instance.born) =>
            {
                rank
            }
            _ => fleet.own_rank(&instance.id, instance.born, &instance.data_centre),
        };
        upstream.rank = Some((fleet.membership, instance.born, rank));
        let (choosers, passes) = self.shares(limits, fleet.size());
        if !is_cold || rank >= choosers || passes == 0 {
            let doublings = doublings_until(choosers.max(1), rank);
            // The first doubling is at the end of the cold period.
            let open_at =
                upstream.cold_until + self.settings.ramp_step * doublings.saturating_sub(1);
            return if now >= open_at {
                Admission::Open
            } else {
                Admission::Closed(open_at)
            };
        }
        let spacing = self.settings.window + self.settings.arrival_spread;
        while upstream
            .passes
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= spacing)
        {
            upstream.passes.pop_front();
        }
        let claims = upstream.claims.saturating_sub(claimed);
        if upstream.passes.len() + claims < passes {
            return Admission::WithPass;
        }
        // If all are claimed, none is free before one of them was taken and a window has passed.
        let oldest = upstream.passes.front().copied().unwrap_or(now);
        Admission::Closed(oldest + spacing)
    }

    /// Returns how many hosts of a fleet choose a cold upstream, and how many passes each of them has in a window.
    fn shares(&self, limits: &ColdLimits, hosts: usize) -> (usize, usize) {
        let settings = &self.settings;
        let bound = limits.requests_per_second * settings.overrun + settings.slack;
        // Bounds that are whole numbers may be computed as slightly less.
        let budget = bound * settings.window.as_secs_f64() / GROUPS + 1e-9;
        // The conversion saturates, and a negative number or none becomes 0.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let budget = budget as usize;
        let choosers = settings.max_choosers.min(hosts).min(budget);
        let passes = budget.checked_div(choosers).unwrap_or_default();
        (choosers, passes.min(MAX_PASSES))
    }

    /// Returns when the upstreams of a data centre are warm after its return to service; `None` if they have been for long, or it did
    /// not leave.
    fn returned_until(
        &self,
        data_centre: &DataCentreId,
        limits: &ColdLimits,
        now: Instant,
    ) -> Option<Instant> {
        let mut returned = self.returned.lock(data_centre);
        let until = *returned.get(data_centre)? + limits.duration;
        if now > until + MAX_RAMP {
            returned.remove(data_centre);
            return None;
        }
        Some(until)
    }

    /// Calls `act` with the state of an upstream, which is warm if it was unknown.
    fn with_upstream<T>(
        &self,
        id: &UpstreamId,
        born: u64,
        now: Instant,
        act: impl FnOnce(&mut ColdUpstream) -> T,
    ) -> T {
        self.is_used.store(true, Ordering::Relaxed);
        let mut upstreams = self.upstreams.lock(id);
        let upstream = upstreams
            .entry(id.clone())
            .or_insert_with(|| ColdUpstream::new(born, now));
        act(upstream)
    }

    /// Drops the upstreams that have been warm for long and are not asked for any more.
    pub fn drop_idle(&self, now: Instant) {
        for mut upstreams in self.upstreams.iter() {
            upstreams.retain(|_, upstream| {
                let idle = now.saturating_duration_since(upstream.cold_until);
                upstream.claims > 0 || idle < MAX_IDLE
            });
        }
    }
}

/// Returns how many times `choosers` must double to be above `rank`.
fn doublings_until(choosers: usize, rank: usize) -> u32 {
    let mut doublings = 0;
    let mut allowed = choosers;
    while allowed <= rank {
        allowed = allowed.saturating_mul(2);
        doublings += 1;
    }
    doublings
}
