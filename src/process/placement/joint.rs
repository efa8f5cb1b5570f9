//! The search for the pair of prefill engine and target with the lowest weighted prediction.
//!
//! The cost of a pair is the sum of a part for the prefill engine, a part for the target, and the wait for the target's
//! link. Only that wait depends on both, and it is zero on an idle link, so for most targets only the cheapest prefill
//! engine has to be tried. For the others the prefill engines are sorted by the time at which the KV cache is ready,
//! and ranges of them are skipped if their lower bound is no better than the best pair so far (branch and bound).

use std::time::{Duration, Instant};

use crate::process::placement::{Choice, PlacementInput, Transfer, link_wait};
use crate::process::pool::settings::PlacementSettings;
use crate::process::stated_time::time_at_rate;

/// Restricts the pairs that are considered.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchLimits {
    /// The longest wait at a prefill engine.
    pub prefill_wait: Duration,
    /// The longest wait for a link.
    pub link_wait: Duration,
    /// A pair that is not considered.
    pub excluded: Option<Choice>,
}

/// Returns the pair with the lowest weighted prediction; `None` if no pair is within the limits. Pairs whose
/// predictions differ by less than the rounding of `f64` count as equal.
pub(super) fn cheapest_pair(
    settings: &PlacementSettings,
    input: &PlacementInput<'_>,
    limits: SearchLimits,
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
    let cheapest_prefill = *prefills.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let mut search = Search {
        transfer_weight: settings.transfer_weight,
        limits,
        best: None,
    };
    for target in &targets {
        search.try_pair(&cheapest_prefill, target);
    }
    let improvable = targets.iter().map(|target| {
        (
            search.cost(cheapest_prefill.cost, target, Duration::ZERO),
            target,
        )
    });
    let mut improvable: Vec<_> = improvable
        .filter(|(lower_bound, _)| search.improves(*lower_bound))
        .collect();
    if !improvable.is_empty() {
        improvable.sort_by(|a, b| a.0.total_cmp(&b.0));
        prefills.sort_by_key(|prefill| prefill.ready);
        let tree = RangeTree::new(prefills, input.now, settings.transfer_weight);
        for (_, target) in improvable {
            search.try_range(&tree, target, tree.all());
        }
    }
    search.best.map(|(_, choice)| choice)
}

/// A prefill engine with its part of the cost.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    index: usize,
    /// The time at which the KV cache is ready.
    ready: Instant,
    /// The part of the cost for the wait and the prefill, in weighted seconds.
    cost: f64,
}

/// A target with its part of the cost.
#[derive(Debug)]
struct Target<'a> {
    index: usize,
    transfers: &'a [Transfer],
    /// The time that the transfer takes on the target's link.
    transfer: Duration,
    /// The part of the cost for the decode step, in weighted seconds.
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
            cost: settings.decode_weight * target.step_time(settings).as_secs_f64(),
        })
        .collect()
}

fn prefills(
    settings: &PlacementSettings,
    input: &PlacementInput<'_>,
    max_wait: Duration,
) -> Vec<Prefill> {
    let prefills = input.prefills.iter().enumerate();
    let within_limit = prefills.filter(|(_, prefill)| prefill.wait <= max_wait);
    within_limit
        .map(|(index, prefill)| {
            let prefill_time = prefill.prefill_time(input.prompt_tokens);
            Prefill {
                index,
                ready: input.now + prefill.wait + prefill_time,
                cost: settings.queue_weight * prefill.wait.as_secs_f64()
                    + settings.prefill_weight * prefill_time.as_secs_f64(),
            }
        })
        .collect()
}

/// The minima over a range of prefill engines, in weighted seconds.
#[derive(Debug, Clone, Copy)]
struct MinCosts {
    cost: f64,
    /// The cost less the weighted time until the KV cache is ready: on a busy link a later start saves that much
    /// waiting.
    busy_link_cost: f64,
}

/// A range of prefill engines with its node in the tree of minima.
#[derive(Debug, Clone, Copy)]
struct Range {
    node: usize,
    start: usize,
    end: usize,
}

/// The prefill engines in order of their ready times, with a binary tree of minima over ranges of them.
#[derive(Debug)]
struct RangeTree {
    prefills: Vec<Prefill>,
    now: Instant,
    min_costs: Vec<MinCosts>,
}

impl RangeTree {
    fn new(prefills: Vec<Prefill>, now: Instant, transfer_weight: f64) -> Self {
        let none = MinCosts {
            cost: f64::INFINITY,
            busy_link_cost: f64::INFINITY,
        };
        let nodes = 2 * prefills.len().next_power_of_two();
        let mut tree = Self {
            prefills,
            now,
            min_costs: vec![none; nodes],
        };
        tree.fill(tree.all(), transfer_weight);
        tree
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

    /// Returns the prefill engine of a range with exactly one.
    fn single(&self, range: Range) -> Option<&Prefill> {
        (range.end - range.start == 1).then(|| &self.prefills[range.start])
    }

    fn fill(&mut self, range: Range, transfer_weight: f64) -> MinCosts {
        let min_costs = if let Some(prefill) = self.single(range) {
            let saved = transfer_weight * self.since_now(prefill.ready);
            MinCosts {
                cost: prefill.cost,
                busy_link_cost: prefill.cost - saved,
            }
        } else {
            let [left, right] = range.halves().map(|half| self.fill(half, transfer_weight));
            MinCosts {
                cost: left.cost.min(right.cost),
                busy_link_cost: left.busy_link_cost.min(right.busy_link_cost),
            }
        };
        self.min_costs[range.node] = min_costs;
        min_costs
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
    limits: SearchLimits,
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

    fn try_range(&mut self, tree: &RangeTree, target: &Target<'_>, range: Range) {
        if let Some(prefill) = tree.single(range) {
            self.try_pair(prefill, target);
            return;
        }
        let lower_bound = self.lower_bound(tree, target, range);
        if lower_bound.is_some_and(|lower_bound| self.improves(lower_bound)) {
            for half in range.halves() {
                self.try_range(tree, target, half);
            }
        }
    }

    /// Returns a lower bound of the cost over a range; `None` if all of its waits for the link exceed the limit.
    fn lower_bound(&self, tree: &RangeTree, target: &Target<'_>, range: Range) -> Option<f64> {
        let earliest = tree.prefills[range.start].ready;
        let latest = tree.prefills[range.end - 1].ready;
        // Sums up the transfers for which every prefill engine of the range waits. The last one to be ready waits
        // least.
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
        let min_costs = tree.min_costs[range.node];
        let lower_bound = self.cost(min_costs.cost, target, wait);
        if !is_busy {
            return Some(lower_bound);
        }
        // While the link is busy, an engine that is ready earlier than the last one waits longer by the difference.
        let until_latest = self.transfer_weight * tree.since_now(latest);
        let on_busy_link = self.cost(min_costs.busy_link_cost + until_latest, target, wait);
        Some(lower_bound.max(on_busy_link))
    }
}
