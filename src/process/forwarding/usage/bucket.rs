//! One customer's token bucket, and what others reported of it. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::peers::SILENCE_TIMEOUT;
use crate::process::forwarding::source::{Reach, Source};
use crate::version::forwarding::ForwardCustomer;

/// Tokens of one customer since the start of the process that counts them. Each total only grows, so that of two reports the one
/// with the higher total is the newer one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotals {
    /// The tokens of granted requests.
    pub granted: Tokens,
    /// The granted tokens that were given back because the request did not run.
    pub refunded: Tokens,
    /// The tokens of all requests, refused ones included.
    pub requested: Tokens,
}

impl UsageTotals {
    /// Returns these totals with each field changed by the same field of `other`.
    fn zip(self, other: Self, change: impl Fn(Tokens, Tokens) -> Tokens) -> Self {
        Self {
            granted: change(self.granted, other.granted),
            refunded: change(self.refunded, other.refunded),
            requested: change(self.requested, other.requested),
        }
    }

    fn add(&mut self, other: Self) {
        *self = self.zip(other, Tokens::saturating_add);
    }

    /// Returns these totals without a part of them; a field whose part is larger becomes 0.
    fn without(self, part: Self) -> Self {
        self.zip(part, Tokens::saturating_sub)
    }
}

/// The host that a report of usage comes from.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// The host that reports.
    pub host: &'a HostId,
    /// The incarnation of its process; a restart begins to count from 0.
    pub incarnation: Incarnation,
    /// Whether it started after this host, so that even its first report must be charged in full.
    pub started_later: bool,
}

/// Where the totals of a reporter begin, compared with what was charged for their source.
#[derive(Debug)]
struct ReporterBase {
    host: HostId,
    incarnation: Incarnation,
    /// The reporter's totals that are not charged, because they were granted before this host started or were charged from another
    /// reporter.
    ignored: UsageTotals,
    /// What had been charged for the source when the reporter first reported.
    charged: UsageTotals,
}

/// What was charged for one source. Several relays may report the same source: the highest total counts, so that a relay that
/// missed a report neither hides nor doubles what another one told.
#[derive(Debug, Default)]
struct SourceUsage {
    charged: UsageTotals,
    /// The tokens charged for the source since its last report, while it was silent.
    assumed: f64,
    reporters: SmallVec<[ReporterBase; 2]>,
}

/// The number of reporters that are remembered for one source.
const MAX_REPORTERS: usize = 4;

impl SourceUsage {
    /// Returns what a report adds to what was charged before.
    fn advance(&mut self, reporter: Reporter<'_>, totals: UsageTotals) -> UsageTotals {
        let is_known = |base: &ReporterBase| {
            base.host == *reporter.host && base.incarnation == reporter.incarnation
        };
        let base = match self.reporters.iter().position(is_known) {
            Some(known) => &self.reporters[known],
            None => self.add_reporter(reporter, totals),
        };
        let counted = totals
            .without(base.ignored)
            .zip(base.charged, Tokens::saturating_add);
        let added = counted.without(self.charged);
        self.charged.add(added);
        added
    }

    fn add_reporter(&mut self, reporter: Reporter<'_>, totals: UsageTotals) -> &ReporterBase {
        let is_first = self
            .reporters
            .iter()
            .all(|base| base.host == *reporter.host);
        self.reporters.retain(|base| base.host != *reporter.host);
        if self.reporters.len() == MAX_REPORTERS {
            self.reporters.remove(0);
        }
        // With another reporter of the same source, the totals were charged already.
        let is_new = reporter.started_later && is_first;
        self.reporters.push(ReporterBase {
            host: reporter.host.clone(),
            incarnation: reporter.incarnation,
            ignored: if is_new {
                UsageTotals::default()
            } else {
                totals
            },
            charged: self.charged,
        });
        &self.reporters[self.reporters.len() - 1]
    }
}

/// The time for which reports tell that no request waits any more, in case some are lost.
const EMPTY_QUEUE_REPORT_TIME: Duration = Duration::from_secs(2);

/// The most tokens of waiting requests that a report of one host may state, so that sums never overflow.
const MAX_REPORTED_QUEUE: Tokens = 1 << 40;

/// The time over which a customer's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// The shortest time of observation from which a customer's demand is extrapolated.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(200);

/// One customer's token bucket.
#[derive(Debug)]
pub(super) struct Bucket {
    /// Tokens per second.
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// The tokens available; negative while the bucket is overdrawn.
    pub(super) level: f64,
    /// The tokens of this host's requests that wait for the bucket to refill, and when they last changed.
    queued: f64,
    queued_changed_at: Option<Instant>,
    /// The same at other hosts, as they last reported it.
    queued_elsewhere: HashMap<HostId, (Tokens, Instant)>,
    refilled_at: Instant,
    /// This host's own totals.
    own: UsageTotals,
    /// This host's own totals when it last reported them.
    reported: UsageTotals,
    /// The totals of this host's data centre and of the fleet, as far as this host knows.
    data_centre: UsageTotals,
    fleet: UsageTotals,
    own_changed_at: Instant,
    fleet_changed_at: Instant,
    /// The moving average of the tokens that all hosts were asked for, per second.
    demand: f64,
    demand_at: Instant,
    /// Since when the requests of all hosts are known.
    demand_since: Instant,
    sources: HashMap<Source, SourceUsage>,
}

impl Bucket {
    pub(super) fn new(customer: &ForwardCustomer, level: f64, now: Instant) -> Self {
        Self {
            rate: customer.rate as f64,
            burst: customer.burst as f64,
            level,
            queued: 0.0,
            queued_changed_at: None,
            queued_elsewhere: HashMap::new(),
            refilled_at: now,
            own: UsageTotals::default(),
            reported: UsageTotals::default(),
            data_centre: UsageTotals::default(),
            fleet: UsageTotals::default(),
            own_changed_at: now,
            fleet_changed_at: now,
            demand: 0.0,
            demand_at: now,
            demand_since: now,
            sources: HashMap::new(),
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }

    /// Counts a request before it is granted or refused.
    pub(super) fn request(&mut self, tokens: Tokens, now: Instant) {
        let totals = UsageTotals {
            requested: tokens,
            ..UsageTotals::default()
        };
        self.add_own(totals, now);
        self.add_demand(tokens, now);
    }

    pub(super) fn grant(&mut self, tokens: Tokens, now: Instant) {
        let totals = UsageTotals {
            granted: tokens,
            ..UsageTotals::default()
        };
        self.add_own(totals, now);
        self.debit(tokens as f64);
    }

    /// Adds `tokens` to those of this host's requests that wait, or removes them if negative.
    pub(super) fn queue(&mut self, tokens: f64, now: Instant) {
        self.queued = (self.queued + tokens).max(0.0);
        self.queued_changed_at = Some(now);
    }

    /// Returns the tokens of this host's requests that wait; `None` if there are none and were none for a while.
    pub(super) fn queued_tokens(&self, now: Instant) -> Option<Tokens> {
        let age = now.saturating_duration_since(self.queued_changed_at?);
        (self.queued > 0.0 || age < EMPTY_QUEUE_REPORT_TIME).then(|| whole(self.queued))
    }

    /// Replaces the tokens of another host's requests that wait.
    pub(super) fn apply_queued(&mut self, host: &HostId, tokens: Tokens, now: Instant) {
        if tokens == 0 {
            self.queued_elsewhere.remove(host);
        } else {
            let tokens = tokens.min(MAX_REPORTED_QUEUE);
            self.queued_elsewhere.insert(host.clone(), (tokens, now));
        }
    }

    /// Returns the tokens of all requests that wait, at this host and, as far as it was heard lately, elsewhere.
    pub(super) fn promised(&self, now: Instant) -> f64 {
        let elsewhere = self.queued_elsewhere.values();
        let heard =
            elsewhere.filter(|(_, at)| now.saturating_duration_since(*at) < SILENCE_TIMEOUT);
        let heard: Tokens = heard.map(|(tokens, _)| *tokens).sum();
        self.queued + heard as f64
    }

    pub(super) fn refund(&mut self, tokens: Tokens, now: Instant) {
        let totals = UsageTotals {
            refunded: tokens,
            ..UsageTotals::default()
        };
        self.add_own(totals, now);
        self.debit(-(tokens as f64));
    }

    fn add_own(&mut self, totals: UsageTotals, now: Instant) {
        self.own.add(totals);
        self.data_centre.add(totals);
        self.fleet.add(totals);
        self.own_changed_at = now;
        self.fleet_changed_at = now;
    }

    fn debit(&mut self, tokens: f64) {
        self.level = (self.level - tokens).min(self.burst);
    }

    fn add_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand = self.decayed_demand(now) + tokens as f64 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    fn decayed_demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_at);
        self.demand * remaining_weight(elapsed)
    }

    /// Returns the tokens per second that all hosts were asked for within about the last two seconds.
    pub(super) fn demand(&self, now: Instant) -> f64 {
        let observed = now.saturating_duration_since(self.demand_since);
        // The average starts at 0, so one over a short time is too low.
        self.decayed_demand(now) / (1.0 - remaining_weight(observed.max(MIN_DEMAND_TIME)))
    }

    /// Charges what a source has granted since its last report, less what was assumed for it while it was silent.
    pub(super) fn apply(
        &mut self,
        source: &Source,
        reporter: Reporter<'_>,
        totals: UsageTotals,
        now: Instant,
    ) {
        let totals = match source {
            // The sum of the fleet contains what this host has reported itself.
            Source::Fleet => totals.without(self.reported),
            Source::Host(_) | Source::DataCentre(_) => totals,
        };
        let is_sum = !matches!(source, Source::Host(_));
        if is_sum
            && !self
                .sources
                .keys()
                .any(|known| !matches!(known, Source::Host(_)))
        {
            self.demand_since = now;
        }
        let usage = self.sources.entry(source.clone()).or_default();
        let added = usage.advance(reporter, totals);
        let assumed = std::mem::take(&mut usage.assumed);
        if added == UsageTotals::default() && assumed == 0.0 {
            return;
        }
        self.refill(now);
        self.debit(added.granted as f64 - added.refunded as f64 - assumed);
        self.add_demand(added.requested, now);
        if !is_sum {
            self.data_centre.add(added);
        }
        self.fleet.add(added);
        self.fleet.refunded = self.fleet.refunded.saturating_add(whole(assumed));
        self.fleet_changed_at = now;
    }

    /// Charges what a silent source is assumed to have granted.
    pub(super) fn assume(&mut self, source: &Source, tokens: f64, now: Instant) {
        self.refill(now);
        self.debit(tokens);
        self.sources.entry(source.clone()).or_default().assumed += tokens;
        self.fleet.granted = self.fleet.granted.saturating_add(whole(tokens));
        self.fleet_changed_at = now;
    }

    pub(super) fn forget(&mut self, source: &Source) {
        self.sources.remove(source);
        if let Source::Host(host) = source {
            self.queued_elsewhere.remove(host);
        }
    }

    /// Returns the totals within `reach` if they changed since `since`. Totals of this host alone count as reported from now on.
    pub(super) fn totals_since(&mut self, reach: Reach, since: Instant) -> Option<UsageTotals> {
        let (totals, changed_at) = match reach {
            Reach::Host => (self.own, self.own_changed_at),
            Reach::DataCentre => (self.data_centre, self.fleet_changed_at),
            Reach::Fleet => (self.fleet, self.fleet_changed_at),
        };
        if reach == Reach::Host {
            self.reported = self.own;
        }
        (changed_at >= since).then_some(totals)
    }
}

/// Returns the weight that a measurement still has in the average of the demand after `elapsed`.
fn remaining_weight(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
}

/// Rounds a number of tokens, which is not negative.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> Tokens {
    tokens.round() as Tokens
}
