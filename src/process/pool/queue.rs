//! The fair queue of a pool: start-time fair queueing (SFQ) by tokens across customers, and earliest deadline first
//! within each customer.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::PlaceRequest;
use crate::process::pool::{AttemptKey, attempt_key};

/// The units of virtual time for one token at weight 1. Large enough for a precise division by weights up to 10^12.
const UNITS_PER_TOKEN: u128 = 1 << 48;

/// The most customers whose first request is tried for one placement, and the most bypassed requests tried. More would
/// help only if all of these avoid the upstreams that are free.
const MAX_HEADS: usize = 16;

/// A request that waits for a placement.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The place request, with its deadline and waits as of `queued_at`.
    pub req: PlaceRequest,
    /// The time at which it was queued.
    pub queued_at: Instant,
    /// The time at which its first token is due.
    pub due: Instant,
    /// The time at which it is refused if it still waits.
    pub refuse_at: Instant,
}

impl QueuedRequest {
    /// Returns the cost of the request in fair queueing.
    pub fn cost(&self) -> Tokens {
        request_cost(&self.req)
    }
}

/// Returns the cost of a request in fair queueing, in tokens; 1 for a call of a plain service.
pub fn request_cost(req: &PlaceRequest) -> Tokens {
    token_cost(req.prompt_tokens, req.max_tokens)
}

/// Returns the cost in fair queueing of a request with these numbers of tokens, at least 1.
pub fn token_cost(prompt_tokens: Tokens, max_tokens: Tokens) -> Tokens {
    (prompt_tokens + max_tokens).max(1)
}

/// Orders the requests of a customer: by the time at which the first token is due, then by arrival.
type Position = (Instant, u64);

/// The waiting requests of one customer in a priority class.
#[derive(Debug, Default)]
struct Flow {
    weight: Tokens,
    /// The virtual time at which the next request starts.
    start_tag: u128,
    /// The cost of all waiting requests.
    tokens: Tokens,
    on_time: BTreeMap<Position, QueuedRequest>,
    late: BTreeMap<Position, QueuedRequest>,
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    /// Returns the requests in the order in which they start.
    fn in_order(&self) -> impl Iterator<Item = (&Position, &QueuedRequest)> {
        self.on_time.iter().chain(&self.late)
    }

    /// Moves requests whose deadline has passed behind the others, and calls `on_move` for each.
    fn demote_late(&mut self, now: Instant, mut on_move: impl FnMut(&Position)) {
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

    /// Returns the virtual time by which a request advances the start tag.
    fn virtual_duration(&self, waiting: &QueuedRequest) -> u128 {
        u128::from(waiting.cost()) * UNITS_PER_TOKEN / u128::from(self.weight)
    }
}

/// A waiting request that a later one of the same customer has overtaken.
#[derive(Debug, Clone, Copy)]
struct Bypassed {
    key: AttemptKey,
    /// The start tag that the request had when it was bypassed. It keeps this tag: otherwise each request that bypasses
    /// it would move it further behind other customers, and it could starve.
    start_tag: u128,
}

/// The waiting requests of one priority.
#[derive(Debug, Default)]
struct PriorityClass {
    flows: HashMap<CustomerId, Flow>,
    /// The customers with waiting requests, by the start tag of their next one.
    backlogged: BTreeSet<(u128, CustomerId)>,
    bypassed: BTreeMap<Position, Bypassed>,
    /// The largest start tag of a request that has started.
    virtual_time: u128,
    /// The cost of all waiting requests.
    tokens: Tokens,
}

impl PriorityClass {
    fn push(&mut self, position: Position, waiting: QueuedRequest) {
        let customer = waiting.req.customer.clone();
        let flow = self.flows.entry(customer.clone()).or_default();
        if flow.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.backlogged.insert((flow.start_tag, customer));
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
            self.backlogged.remove(&(flow.start_tag, customer.clone()));
        }
        Some(waiting)
    }

    /// Marks the requests before `later` as bypassed, each with the start tag that it would have had.
    fn mark_bypassed(&mut self, customer: &CustomerId, later: &Position) {
        let Some(flow) = self.flows.get(customer) else {
            return;
        };
        let mut start_tag = flow.start_tag;
        for (position, waiting) in flow.in_order().take_while(|(p, _)| *p != later) {
            if let Entry::Vacant(entry) = self.bypassed.entry(*position) {
                let key = attempt_key(&waiting.req);
                entry.insert(Bypassed { key, start_tag });
                start_tag += flow.virtual_duration(waiting);
            }
        }
    }

    /// Accounts for a request that starts now; `start_tag` is its own tag if it was bypassed.
    fn start(&mut self, waiting: &QueuedRequest, start_tag: Option<u128>) {
        let customer = &waiting.req.customer;
        let Some(flow) = self.flows.get_mut(customer) else {
            return;
        };
        self.backlogged.remove(&(flow.start_tag, customer.clone()));
        self.virtual_time = self.virtual_time.max(start_tag.unwrap_or(flow.start_tag));
        flow.start_tag += flow.virtual_duration(waiting);
        if !flow.is_empty() {
            self.backlogged.insert((flow.start_tag, customer.clone()));
        }
        // A flow without waiting requests is kept only while its start tag is ahead of the virtual time.
        let virtual_time = self.virtual_time;
        if self.backlogged.is_empty() || self.flows.len() > 2 * self.backlogged.len() + 64 {
            self.flows
                .retain(|_, f| !f.is_empty() || f.start_tag > virtual_time);
        }
    }

    fn heads(&mut self, late_behind: bool, now: Instant) -> Heads {
        let mut first_heads: SmallVec<[(u128, Head); MAX_HEADS]> = SmallVec::new();
        for (start_tag, customer) in self.backlogged.iter().take(MAX_HEADS) {
            let Some(flow) = self.flows.get_mut(customer) else {
                continue;
            };
            if late_behind {
                // A late request goes behind its customer's other requests, whether or not it was bypassed.
                flow.demote_late(now, |position| {
                    self.bypassed.remove(position);
                });
            }
            if let Some((_, waiting)) = flow.first() {
                let key = attempt_key(&waiting.req);
                first_heads.push((*start_tag, Head::First(key)));
            }
        }
        let bypassed = self.bypassed.values();
        let mut heads: SmallVec<[(u128, Head); MAX_HEADS]> = bypassed
            .map(|b| (b.start_tag, Head::Bypassed(b.key)))
            .collect();
        heads.sort_by_key(|(start_tag, _)| *start_tag);
        heads.truncate(MAX_HEADS);
        heads.extend(first_heads);
        heads.sort_by_key(|(start_tag, _)| *start_tag);
        heads.into_iter().map(|(_, head)| head).collect()
    }

    /// Returns the tokens expected to start before a new request of this class: those that its customer has waiting,
    /// and the shares of other customers meanwhile.
    fn tokens_ahead(&self, req: &PlaceRequest) -> Tokens {
        let own = self.flows.get(&req.customer);
        let own_tokens = own.map_or(0, |f| f.tokens) + request_cost(req);
        let weight = u128::from(req.weight.max(1));
        let others: Tokens = self
            .backlogged
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

/// A summary of what a customer has waiting in one priority class.
#[derive(Debug, Clone, Copy)]
pub struct CustomerQueue<'a> {
    /// The customer; on open routes the name of the route.
    pub customer: &'a CustomerId,
    /// The priority that all counted requests have.
    pub priority: Priority,
    /// The number of waiting requests, at least 1.
    pub requests: usize,
    /// Their cost in fair queueing.
    pub tokens: Tokens,
    /// The request that has waited longest.
    pub oldest: &'a QueuedRequest,
}

/// A request that may be placed next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// The first one of its customer, at the start tag of the customer's flow.
    First(AttemptKey),
    /// One that later ones of its customer have bypassed, at the start tag that it had then.
    Bypassed(AttemptKey),
}

impl Head {
    /// Returns the attempt that the request is for.
    pub fn key(self) -> AttemptKey {
        match self {
            Self::First(key) | Self::Bypassed(key) => key,
        }
    }
}

/// The requests that may be placed next, in the order in which they are tried.
pub type Heads = SmallVec<[Head; MAX_HEADS]>;

/// The waiting requests of a pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    interactive: PriorityClass,
    batch: PriorityClass,
    /// The interactive tokens started while batch work waited, less `interactive_per_batch` for each batch token.
    batch_deficit: Tokens,
    index: HashMap<AttemptKey, (Priority, CustomerId, Position)>,
    next_sequence: u64,
}

impl FairQueue {
    fn class(&mut self, priority: Priority) -> &mut PriorityClass {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether the attempt waits.
    pub fn contains(&self, key: AttemptKey) -> bool {
        self.index.contains_key(&key)
    }

    /// Returns the waiting attempts whose request satisfies `predicate`, in no particular order.
    pub fn keys_matching(&self, predicate: impl Fn(&PlaceRequest) -> bool) -> Vec<AttemptKey> {
        [&self.interactive, &self.batch]
            .into_iter()
            .flat_map(|class| class.flows.values())
            .flat_map(|flow| flow.on_time.values().chain(flow.late.values()))
            .filter(|waiting| predicate(&waiting.req))
            .map(|waiting| attempt_key(&waiting.req))
            .collect()
    }

    /// Returns a summary for each customer with waiting requests, per priority class.
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

    /// Adds a request behind those of its customer that are due earlier.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let req = &waiting.req;
        let position = (waiting.due, self.next_sequence);
        self.next_sequence += 1;
        let location = (req.priority, req.customer.clone(), position);
        self.index.insert(attempt_key(req), location);
        self.class(req.priority).push(position, waiting);
    }

    /// Removes a request that will not start.
    pub fn remove(&mut self, key: AttemptKey) -> Option<QueuedRequest> {
        let (priority, customer, position) = self.index.remove(&key)?;
        self.class(priority).remove(&customer, &position)
    }

    /// Removes a request that starts now, and charges its cost to its customer and its priority class.
    pub fn start(&mut self, key: AttemptKey, interactive_per_batch: u32) -> Option<QueuedRequest> {
        let (priority, customer, position) = self.index.get(&key)?.clone();
        let class = self.class(priority);
        let start_tag = class
            .bypassed
            .get(&position)
            .map(|bypassed| bypassed.start_tag);
        if start_tag.is_none() {
            class.mark_bypassed(&customer, &position);
        }
        let waiting = self.remove(key)?;
        self.class(priority).start(&waiting, start_tag);
        let tokens = waiting.cost();
        match priority {
            Priority::Batch => {
                let paid = tokens.saturating_mul(Tokens::from(interactive_per_batch));
                self.batch_deficit = self.batch_deficit.saturating_sub(paid);
            }
            Priority::Interactive if self.batch.backlogged.is_empty() => self.batch_deficit = 0,
            Priority::Interactive => self.batch_deficit += tokens,
        }
        Some(waiting)
    }

    /// Returns a waiting request; `None` if the attempt does not wait.
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

    /// Returns the waiting requests with the customer and priority of `req`, in the order in which they start.
    pub fn requests_of_customer(&self, req: &PlaceRequest) -> impl Iterator<Item = &QueuedRequest> {
        let class = match req.priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        };
        let flow = class.flows.get(&req.customer).into_iter();
        flow.flat_map(Flow::in_order).map(|(_, waiting)| waiting)
    }

    /// Returns the requests to try next. Interactive requests go first, except that batch requests get one token for
    /// every `interactive_per_batch` interactive ones, so that they never starve.
    pub fn heads(&mut self, late_behind: bool, interactive_per_batch: u32, now: Instant) -> Heads {
        let interactive = self.interactive.heads(late_behind, now);
        let batch = self.batch.heads(late_behind, now);
        let batch_cost = batch.first().and_then(|head| self.get(head.key()));
        let batch_cost = batch_cost.map(QueuedRequest::cost);
        let is_batch_due = batch_cost.is_some_and(|cost| {
            self.batch_deficit >= cost.saturating_mul(Tokens::from(interactive_per_batch))
        });
        let (mut first, second) = if is_batch_due {
            (batch, interactive)
        } else {
            (interactive, batch)
        };
        first.extend(second);
        first
    }

    /// Returns the tokens expected to start before a new request does, in all priority classes.
    pub fn tokens_ahead(&self, req: &PlaceRequest) -> Tokens {
        match req.priority {
            Priority::Interactive => self.interactive.tokens_ahead(req),
            Priority::Batch => self.interactive.tokens + self.batch.tokens_ahead(req),
        }
    }
}
