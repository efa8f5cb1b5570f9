//! The search for the pair with the least weighted prediction.
//!
//! The cost of a pair is a part of the prefill engine, a part of the target, and the wait for the target's link. Only
//! that wait depends on both, and it is zero on an idle link, so most targets are decided by the cheapest prefill engine
//! alone. For the others the prefill engines are sorted by the time at which the KV cache is ready, and ranges of them are
//! skipped whose lower bound is no better than the best pair so far.

use std::time::{Duration, Instant};

use crate::process::placement::{Choice, PlacementInput, Transfer, link_wait, time_at_rate};
use crate::process::pool::settings::PlacementSettings;

/// Which pairs are considered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// The longest wait at a prefill engine.
    pub prefill_wait: Duration,
    /// The longest wait for a link.
    pub link_wait: Duration,
    /// A pair that is left out.
    pub excluded: Option<Choice>,
}

/// Returns the pair with the least weighted prediction; `None` if the limits leave none. Pairs whose predictions differ
/// by less than the rounding of `f64` count as equal.
pub(super) fn cheapest(
    settings: &PlacementSettings,
    input: &PlacementInput<'_>,
    limits: Limits,
) -> Option<Choice> {
    let targets = targets(settings, input);
    if input.prefills.is_empty() {
        let choices = targets.iter().map(|t| (t.cost, t.choice(None)));
        let allowed = choices.filter(|(_, choice)| limits.excluded != Some(*choice));
        return allowed
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, choice)| choice);
    }
    let mut prefills = prefills(settings, input, limits.prefill_wait);
    let first = *prefills.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let mut search = Search {
        transfer_weight: settings.transfer_weight,
        limits,
        best: None,
    };
    for target in &targets {
        search.try_pair(&first, target);
    }
    let open = targets
        .iter()
        .map(|target| (search.cost(first.cost, target, Duration::ZERO), target));
    let mut open: Vec<_> = open.filter(|(bound, _)| search.improves(*bound)).collect();
    if !open.is_empty() {
        open.sort_by(|a, b| a.0.total_cmp(&b.0));
        prefills.sort_by_key(|prefill| prefill.ready);
        let ranges = Ranges::new(prefills, input.now, settings.transfer_weight);
        for (_, target) in open {
            search.try_range(&ranges, target, ranges.all());
        }
    }
    search.best.map(|(_, choice)| choice)
}

/// A prefill engine.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    index: usize,
    /// The time at which the KV cache is ready.
    ready: Instant,
    /// Its part of the cost, in weighted seconds.
    cost: f64,
}

/// A target.
#[derive(Debug)]
struct Target<'a> {
    index: usize,
    transfers: &'a [Transfer],
    /// The length of the transfer.
    transfer: Duration,
    /// The part of the cost that is not the transfer, in weighted seconds.
    cost: f64,
}

impl Target<'_> {
    fn choice(&self, prefill: Option<usize>) -> Choice {
        Choice {
            prefill,
            target: self.index,
        }
    }
}

fn targets<'a>(settings: &PlacementSettings, input: &PlacementInput<'a>) -> Vec<Target<'a>> {
    let targets = input.targets.iter().enumerate();
    targets
        .map(|(index, target)| Target {
            index,
            transfers: target.transfers,
            transfer: time_at_rate(input.prompt_tokens, target.link_rate),
            cost: settings.decode_weight * target.step(settings).as_secs_f64(),
        })
        .collect()
}

fn prefills(
    settings: &PlacementSettings,
    input: &PlacementInput<'_>,
    longest_wait: Duration,
) -> Vec<Prefill> {
    let prefills = input.prefills.iter().enumerate();
    let in_time = prefills.filter(|(_, prefill)| prefill.wait <= longest_wait);
    in_time
        .map(|(index, prefill)| {
            let time = prefill.time(input.prompt_tokens);
            Prefill {
                index,
                ready: input.now + prefill.wait + time,
                cost: settings.queue_weight * prefill.wait.as_secs_f64()
                    + settings.prefill_weight * time.as_secs_f64(),
            }
        })
        .collect()
}

/// The least values over a range of prefill engines.
#[derive(Debug, Clone, Copy)]
struct Least {
    cost: f64,
    /// The cost less what the time until the KV cache is ready saves while the link is busy.
    cost_on_busy_link: f64,
}

/// A range of prefill engines with its node in the tree of least values.
#[derive(Debug, Clone, Copy)]
struct Range {
    node: usize,
    start: usize,
    end: usize,
}

/// The prefill engines in order of their ready times, with the least values over ranges that halve.
#[derive(Debug)]
struct Ranges {
    prefills: Vec<Prefill>,
    now: Instant,
    least: Vec<Least>,
}

impl Ranges {
    fn new(prefills: Vec<Prefill>, now: Instant, transfer_weight: f64) -> Self {
        let none = Least {
            cost: f64::INFINITY,
            cost_on_busy_link: f64::INFINITY,
        };
        let nodes = 2 * prefills.len().next_power_of_two();
        let mut ranges = Self {
            prefills,
            now,
            least: vec![none; nodes],
        };
        ranges.fill(ranges.all(), transfer_weight);
        ranges
    }

    fn all(&self) -> Range {
        Range {
            node: 1,
            start: 0,
            end: self.prefills.len(),
        }
    }

    fn since_now(&self, ready: Instant) -> f64 {
        (ready - self.now).as_secs_f64()
    }

    /// Returns the prefill engine of a range of one.
    fn single(&self, range: Range) -> Option<&Prefill> {
        (range.end - range.start == 1).then(|| &self.prefills[range.start])
    }

    fn fill(&mut self, range: Range, transfer_weight: f64) -> Least {
        let least = if let Some(prefill) = self.single(range) {
            let saved = transfer_weight * self.since_now(prefill.ready);
            Least {
                cost: prefill.cost,
                cost_on_busy_link: prefill.cost - saved,
            }
        } else {
            let [left, right] = range.halves().map(|half| self.fill(half, transfer_weight));
            Least {
                cost: left.cost.min(right.cost),
                cost_on_busy_link: left.cost_on_busy_link.min(right.cost_on_busy_link),
            }
        };
        self.least[range.node] = least;
        least
    }
}

impl Range {
    fn halves(self) -> [Self; 2] {
        let middle = self.start.midpoint(self.end);
        let (left, right) = (2 * self.node, 2 * self.node + 1);
        [
            Self {
                node: left,
                end: middle,
                ..self
            },
            Self {
                node: right,
                start: middle,
                ..self
            },
        ]
    }
}

struct Search {
    transfer_weight: f64,
    limits: Limits,
    best: Option<(f64, Choice)>,
}

impl Search {
    fn improves(&self, cost: f64) -> bool {
        self.best.is_none_or(|(best, _)| cost < best)
    }

    /// Adds up a cost in the same order as `Prediction::weighted_seconds`, so that rounding is the same.
    fn cost(&self, prefill: f64, target: &Target<'_>, link_wait: Duration) -> f64 {
        let transfer = (link_wait + target.transfer).as_secs_f64();
        prefill + self.transfer_weight * transfer + target.cost
    }

    fn try_pair(&mut self, prefill: &Prefill, target: &Target<'_>) {
        let choice = target.choice(Some(prefill.index));
        let wait = link_wait(target.transfers, prefill.ready, target.transfer);
        if wait > self.limits.link_wait || self.limits.excluded == Some(choice) {
            return;
        }
        let cost = self.cost(prefill.cost, target, wait);
        if self.improves(cost) {
            self.best = Some((cost, choice));
        }
    }

    fn try_range(&mut self, ranges: &Ranges, target: &Target<'_>, range: Range) {
        if let Some(prefill) = ranges.single(range) {
            self.try_pair(prefill, target);
            return;
        }
        let bound = self.bound(ranges, target, range);
        if bound.is_some_and(|bound| self.improves(bound)) {
            for half in range.halves() {
                self.try_range(ranges, target, half);
            }
        }
    }

    /// Returns a lower bound of the cost over a range; `None` if each wait for the link is above the limit.
    fn bound(&self, ranges: &Ranges, target: &Target<'_>, range: Range) -> Option<f64> {
        let earliest = ranges.prefills[range.start].ready;
        let latest = ranges.prefills[range.end - 1].ready;
        // Transfers that every prefill engine of the range waits for. The last one waits least for them.
        let mut wait = Duration::ZERO;
        let mut is_busy = false;
        for transfer in target.transfers {
            if transfer.start < earliest + target.transfer && latest < transfer.end {
                wait += transfer.end - transfer.start.max(latest);
                is_busy |= transfer.start <= earliest;
            }
        }
        if wait > self.limits.link_wait {
            return None;
        }
        let least = ranges.least[range.node];
        let bound = self.cost(least.cost, target, wait);
        if !is_busy {
            return Some(bound);
        }
        // While the link is busy, whoever is ready earlier than the last one waits longer by the difference.
        let until_latest = self.transfer_weight * ranges.since_now(latest);
        let on_busy_link = self.cost(least.cost_on_busy_link + until_latest, target, wait);
        Some(bound.max(on_busy_link))
    }
}
