//! The fair queue of a pool: start-time fair queueing by tokens across customers, deadline order within one.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::PlaceRequest;
use crate::process::pool::{AttemptKey, attempt_key};

/// Virtual time has this many units for one token at weight 1; the weights are up to 10^12.
const UNITS_PER_TOKEN: u128 = 1 << 48;

/// The customers whose first request is offered at once. More are only needed when many first requests avoid
/// the same free upstream.
const MAX_HEADS: usize = 16;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// What is asked for.
    pub req: PlaceRequest,
    /// The time at which it came.
    pub queued_at: Instant,
    /// The time at which its first token is due.
    pub due: Instant,
    /// The time at which it is refused.
    pub refuse_at: Instant,
}

impl QueuedRequest {
    /// Returns the tokens that fairness counts.
    pub fn cost(&self) -> Tokens {
        request_cost(&self.req)
    }
}

/// Returns the tokens that fairness counts for a request; a call of a plain service counts as one.
pub fn request_cost(req: &PlaceRequest) -> Tokens {
    token_cost(req.prompt_tokens, req.max_tokens)
}

/// As `request_cost`, for these numbers of tokens.
pub fn token_cost(prompt_tokens: Tokens, max_tokens: Tokens) -> Tokens {
    (prompt_tokens + max_tokens).max(1)
}

type Position = (Instant, u64);

#[derive(Debug, Default)]
struct Flow {
    weight: Tokens,
    /// The virtual time at which its next request starts.
    start: u128,
    tokens: Tokens,
    on_time: BTreeMap<Position, QueuedRequest>,
    late: BTreeMap<Position, QueuedRequest>,
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    /// Returns the requests in order.
    fn in_order(&self) -> impl Iterator<Item = (&Position, &QueuedRequest)> {
        self.on_time.iter().chain(&self.late)
    }

    /// Moves requests past their deadline behind the others, and calls `on_move` for each.
    fn demote(&mut self, now: Instant, mut on_move: impl FnMut(&Position)) {
        while let Some(first) = self.on_time.first_entry()
            && first.get().due < now
        {
            let (position, waiting) = first.remove_entry();
            on_move(&position);
            self.late.insert(position, waiting);
        }
    }

    fn first(&self) -> Option<(&Position, &QueuedRequest)> {
        self.on_time
            .first_key_value()
            .or_else(|| self.late.first_key_value())
    }

    /// Returns the virtual time that a request takes.
    fn units(&self, waiting: &QueuedRequest) -> u128 {
        u128::from(waiting.cost()) * UNITS_PER_TOKEN / u128::from(self.weight)
    }
}

/// A request that a later one of its customer has passed.
#[derive(Debug, Clone, Copy)]
struct Bypassed {
    key: AttemptKey,
    /// The virtual time at which it would have started. It keeps its turn; otherwise requests that pass it would move
    /// its customer behind the others again and again.
    turn: u128,
}

/// The requests of one urgency.
#[derive(Debug, Default)]
struct Class {
    flows: HashMap<CustomerId, Flow>,
    /// The customers with waiting requests, by the virtual time of their next start.
    order: BTreeSet<(u128, CustomerId)>,
    bypassed: BTreeMap<Position, Bypassed>,
    virtual_time: u128,
    tokens: Tokens,
}

impl Class {
    fn push(&mut self, position: Position, waiting: QueuedRequest) {
        let customer = waiting.req.customer.clone();
        let flow = self.flows.entry(customer.clone()).or_default();
        if flow.is_empty() {
            flow.start = flow.start.max(self.virtual_time);
            self.order.insert((flow.start, customer));
        }
        flow.weight = waiting.req.weight.max(1);
        flow.tokens += waiting.cost();
        self.tokens += waiting.cost();
        flow.on_time.insert(position, waiting);
    }

    fn remove(&mut self, customer: &CustomerId, position: &Position) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(customer)?;
        let waiting = flow
            .on_time
            .remove(position)
            .or_else(|| flow.late.remove(position))?;
        self.bypassed.remove(position);
        flow.tokens -= waiting.cost();
        self.tokens -= waiting.cost();
        if flow.is_empty() {
            self.order.remove(&(flow.start, customer.clone()));
        }
        Some(waiting)
    }

    /// Notes which requests a later one of their customer passes.
    fn mark_bypassed(&mut self, customer: &CustomerId, later: &Position) {
        let Some(flow) = self.flows.get(customer) else {
            return;
        };
        let mut turn = flow.start;
        for (position, waiting) in flow.in_order().take_while(|(p, _)| *p != later) {
            if let Entry::Vacant(entry) = self.bypassed.entry(*position) {
                let key = attempt_key(&waiting.req);
                entry.insert(Bypassed { key, turn });
                turn += flow.units(waiting);
            }
        }
    }

    /// Accounts for a request that starts now, at a turn of its own if it was passed.
    fn start(&mut self, waiting: &QueuedRequest, turn: Option<u128>) {
        let customer = &waiting.req.customer;
        let Some(flow) = self.flows.get_mut(customer) else {
            return;
        };
        self.order.remove(&(flow.start, customer.clone()));
        self.virtual_time = self.virtual_time.max(turn.unwrap_or(flow.start));
        flow.start += flow.units(waiting);
        if !flow.is_empty() {
            self.order.insert((flow.start, customer.clone()));
        }
        // A customer without waiting requests is remembered only while it is ahead of the others.
        let virtual_time = self.virtual_time;
        if self.order.is_empty() || self.flows.len() > 2 * self.order.len() + 64 {
            self.flows
                .retain(|_, f| !f.is_empty() || f.start > virtual_time);
        }
    }

    fn heads(&mut self, late_behind: bool, now: Instant) -> Heads {
        let mut firsts: SmallVec<[(u128, Head); MAX_HEADS]> = SmallVec::new();
        for (start, customer) in self.order.iter().take(MAX_HEADS) {
            let Some(flow) = self.flows.get_mut(customer) else {
                continue;
            };
            if late_behind {
                // Late work goes behind its customer's other work, whether or not it was passed.
                flow.demote(now, |position| {
                    self.bypassed.remove(position);
                });
            }
            if let Some((_, waiting)) = flow.first() {
                let key = attempt_key(&waiting.req);
                firsts.push((*start, Head::First(key)));
            }
        }
        let bypassed = self.bypassed.values();
        let mut heads: SmallVec<[(u128, Head); MAX_HEADS]> =
            bypassed.map(|p| (p.turn, Head::Bypassed(p.key))).collect();
        heads.sort_by_key(|(turn, _)| *turn);
        heads.truncate(MAX_HEADS);
        heads.extend(firsts);
        heads.sort_by_key(|(turn, _)| *turn);
        heads.into_iter().map(|(_, head)| head).collect()
    }

    /// Returns the tokens expected to be served before a new request: what its customer already waits for, and
    /// the others' part meanwhile.
    fn tokens_ahead(&self, req: &PlaceRequest) -> Tokens {
        let own = self.flows.get(&req.customer);
        let own_tokens = own.map_or(0, |f| f.tokens) + request_cost(req);
        let weight = u128::from(req.weight.max(1));
        let others: Tokens = self
            .order
            .iter()
            .filter(|(_, customer)| *customer != req.customer)
            .filter_map(|(_, customer)| self.flows.get(customer))
            .map(|f| {
                let share = u128::from(own_tokens) * u128::from(f.weight) / weight;
                f.tokens.min(Tokens::try_from(share).unwrap_or(Tokens::MAX))
            })
            .sum();
        own_tokens - request_cost(req) + others
    }
}

/// What a customer waits for in one urgency.
#[derive(Debug, Clone, Copy)]
pub struct CustomerQueue<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The urgency.
    pub priority: Priority,
    /// The requests.
    pub requests: usize,
    /// The tokens that fairness counts.
    pub tokens: Tokens,
    /// The request that waits longest.
    pub oldest: &'a QueuedRequest,
}

/// A request to try next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// The first one of its customer.
    First(AttemptKey),
    /// One that later ones have passed, at the turn that it had then.
    Bypassed(AttemptKey),
}

impl Head {
    /// Returns the attempt.
    pub fn key(self) -> AttemptKey {
        match self {
            Self::First(key) | Self::Bypassed(key) => key,
        }
    }
}

/// The requests to try next, in order.
pub type Heads = SmallVec<[Head; MAX_HEADS]>;

/// The fair queue of a pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    interactive: Class,
    batch: Class,
    /// The interactive tokens started while batch work waited, not yet answered by batch tokens.
    owed: Tokens,
    index: HashMap<AttemptKey, (Priority, CustomerId, Position)>,
    pushed: u64,
}

impl FairQueue {
    fn class(&mut self, priority: Priority) -> &mut Class {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Tells whether the attempt waits.
    pub fn contains(&self, key: AttemptKey) -> bool {
        self.index.contains_key(&key)
    }

    /// Returns the waiting attempts of an entry host.
    pub fn keys_matching(&self, predicate: impl Fn(&PlaceRequest) -> bool) -> Vec<AttemptKey> {
        [&self.interactive, &self.batch]
            .into_iter()
            .flat_map(|class| class.flows.values())
            .flat_map(|flow| flow.on_time.values().chain(flow.late.values()))
            .filter(|waiting| predicate(&waiting.req))
            .map(|waiting| attempt_key(&waiting.req))
            .collect()
    }

    /// Returns what waits, by urgency and customer.
    pub fn customers(&self) -> impl Iterator<Item = CustomerQueue<'_>> {
        [&self.interactive, &self.batch]
            .into_iter()
            .flat_map(|class| class.flows.iter())
            .filter_map(|(customer, flow)| {
                let all = || flow.on_time.values().chain(flow.late.values());
                Some(CustomerQueue {
                    customer,
                    priority: flow.first()?.1.req.priority,
                    requests: flow.on_time.len() + flow.late.len(),
                    tokens: flow.tokens,
                    oldest: all().min_by_key(|waiting| waiting.queued_at)?,
                })
            })
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let req = &waiting.req;
        let position = (waiting.due, self.pushed);
        self.pushed += 1;
        let place = (req.priority, req.customer.clone(), position);
        self.index.insert(attempt_key(req), place);
        self.class(req.priority).push(position, waiting);
    }

    /// Removes a request that will not start.
    pub fn remove(&mut self, key: AttemptKey) -> Option<QueuedRequest> {
        let (priority, customer, position) = self.index.remove(&key)?;
        self.class(priority).remove(&customer, &position)
    }

    /// Removes a request that starts now, and counts it.
    pub fn start(&mut self, key: AttemptKey, interactive_per_batch: u32) -> Option<QueuedRequest> {
        let (priority, customer, position) = self.index.get(&key)?.clone();
        let class = self.class(priority);
        let turn = class.bypassed.get(&position).map(|bypassed| bypassed.turn);
        if turn.is_none() {
            class.mark_bypassed(&customer, &position);
        }
        let waiting = self.remove(key)?;
        self.class(priority).start(&waiting, turn);
        let tokens = waiting.cost();
        match priority {
            Priority::Batch => {
                let paid = tokens.saturating_mul(Tokens::from(interactive_per_batch));
                self.owed = self.owed.saturating_sub(paid);
            }
            Priority::Interactive if self.batch.order.is_empty() => self.owed = 0,
            Priority::Interactive => self.owed += tokens,
        }
        Some(waiting)
    }

    /// Returns a waiting request.
    pub fn get(&self, key: AttemptKey) -> Option<&QueuedRequest> {
        let (priority, customer, position) = self.index.get(&key)?;
        let class = match priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        };
        let flow = class.flows.get(customer)?;
        flow.on_time
            .get(position)
            .or_else(|| flow.late.get(position))
    }

    /// Returns the requests of the same customer and urgency, in order.
    pub fn requests_of_customer(&self, req: &PlaceRequest) -> impl Iterator<Item = &QueuedRequest> {
        let class = match req.priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        };
        let flow = class.flows.get(&req.customer).into_iter();
        flow.flat_map(Flow::in_order).map(|(_, waiting)| waiting)
    }

    /// Returns the requests to try next. Interactive work goes first, except that batch work gets one token for
    /// every `interactive_per_batch` interactive ones, so that it never starves.
    pub fn heads(&mut self, late_behind: bool, interactive_per_batch: u32, now: Instant) -> Heads {
        let interactive = self.interactive.heads(late_behind, now);
        let batch = self.batch.heads(late_behind, now);
        let batch_cost = batch.first().and_then(|head| self.get(head.key()));
        let batch_cost = batch_cost.map(QueuedRequest::cost);
        let is_batch_due = batch_cost.is_some_and(|cost| {
            self.owed >= cost.saturating_mul(Tokens::from(interactive_per_batch))
        });
        let (mut first, second) = if is_batch_due {
            (batch, interactive)
        } else {
            (interactive, batch)
        };
        first.extend(second);
        first
    }

    /// Returns the tokens expected to start before a new request does.
    pub fn tokens_ahead(&self, req: &PlaceRequest) -> Tokens {
        match req.priority {
            Priority::Interactive => self.interactive.tokens_ahead(req),
            Priority::Batch => self.interactive.tokens + self.batch.tokens_ahead(req),
        }
    }
}
