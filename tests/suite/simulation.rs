//! Drives the core of a pool in simulated time with seeded arrivals, and measures what callers see.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    LatePolicy, PlaceReply, PlaceRequest, Placement, Release, ReleaseOutcome,
};
use hibiscusspread::process::placement::Policy;
use hibiscusspread::process::pool::settings::PlacementSettings;
use hibiscusspread::process::pool::{Pool, PoolAction};
use hibiscusspread::process::stated_time::time_at_rate;
use hibiscusspread::request::engine::{CacheEvent, CacheEvents, EngineLoad};
use hibiscusspread::request::prefix::PIECE_TOKENS;
use hibiscusspread::version::compiled::{Role, Upstream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::pool_support::{place_request, pool_id, upstream};

/// The requests a second at which all decode slots are in use: 120 slots, each held for 6.3 s (150 tokens at the
/// 40 ms of a full batch, and 0.3 s before them). The prefill engines of `config_fleet` carry 25 requests a second.
const CAPACITY: f64 = 19.0;
const SIMULATED: Duration = Duration::from_mins(1);
const FIRST_TOKEN: Duration = Duration::from_secs(1);
const TOKEN_GAP: Duration = Duration::from_millis(50);
/// Prefill engines evict a KV cache after this time.
const KV_TTL: Duration = Duration::from_millis(800);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Reports and cache events are this old when they arrive.
const REPORT_AGE: Duration = Duration::from_millis(100);
/// The number of prompt pieces that a prefill engine caches.
const CACHED_PIECES: usize = 60;
/// Customers with their weights. The last one sends `Case::excess` times its share.
const CUSTOMERS: [(&str, Tokens); 5] = [
    ("c0", 400),
    ("c1", 200),
    ("c2", 200),
    ("c3", 100),
    ("flood", 100),
];

/// The parameters of a simulation.
pub struct Case {
    /// The policy that chooses upstreams.
    pub policy: Arc<dyn Policy>,
    /// The settings of the pool.
    pub settings: PlacementSettings,
    /// What happens to requests that can't meet their deadline any more.
    pub late: LatePolicy,
    /// The longest time in the queue.
    pub max_wait: Duration,
    /// The load as a fraction of `CAPACITY`.
    pub load: f64,
    /// Whether the customer that sends more than its share takes part.
    pub has_flood: bool,
    /// What the last customer sends, as a multiple of its share. The total load does not depend on it.
    pub excess: f64,
    /// The seed of arrivals and sizes.
    pub seed: u64,
}

/// The measurements of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// The fraction of all requests that met both targets.
    pub goodput: f64,
    /// The same for the worst-served customer that stays within its share.
    pub worst: f64,
    /// The same for the customer that sends more than its share.
    pub flood: f64,
    /// The fraction of all prefilled tokens that was wasted.
    pub wasted: f64,
    /// The fraction of the requests of customers within their share that was refused.
    pub refused: f64,
    /// The number of requests that arrived.
    pub arrived: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Prefilled(usize, AttemptNo),
    Transferred(usize, AttemptNo),
    Decoded(usize, AttemptNo),
    Report,
    Timer,
}

struct Job {
    request: PlaceRequest,
    outputs: u32,
    arrives: Instant,
    placement: Option<Placement>,
    gap: Duration,
    first_token: Option<Instant>,
    is_done: bool,
    is_refused: bool,
}

#[derive(Default)]
struct EngineModel {
    busy_until: Option<Instant>,
    link_until: Option<Instant>,
    running: u32,
    cached: VecDeque<u64>,
    events: Vec<(Instant, CacheEvent)>,
    history: VecDeque<(Instant, u32)>,
}

struct Simulation {
    pool: Pool,
    now: Instant,
    end: Instant,
    jobs: Vec<Job>,
    members: HashMap<UpstreamId, Arc<Upstream>>,
    engines: HashMap<UpstreamId, EngineModel>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled: u64,
    prefilled: Tokens,
    wasted: Tokens,
}

/// Returns engines of unequal speed: 80,000 prompt tokens a second, 120 decode slots, links of unequal rate.
fn fleet() -> Vec<Arc<Upstream>> {
    let prefill = [30_000, 30_000, 10_000, 10_000];
    let links = [40_000, 40_000, 40_000, 40_000, 12_000, 12_000];
    let prefill = prefill.iter().enumerate().map(|(index, rate)| {
        let engine = upstream(&format!("p{index}"), Role::Prefill, 20);
        Arc::new(Upstream {
            prefill_rate: *rate,
            ..(*engine).clone()
        })
    });
    let decode = links.iter().enumerate().map(|(index, rate)| {
        let engine = upstream(&format!("d{index}"), Role::Decode, 20);
        Arc::new(Upstream {
            link_rate: *rate,
            ..(*engine).clone()
        })
    });
    prefill.chain(decode).collect()
}

/// Draws arrivals: prompts of 100 to 16,000 tokens, half of them with one of the customer's five long prefixes.
fn arrivals(case: &Case, start: Instant) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let sent = |customer: &str, weight: Tokens| {
        let factor = if customer == "flood" {
            case.excess
        } else {
            1.0
        };
        weight as f64 * factor
    };
    let total: f64 = CUSTOMERS.iter().map(|(c, w)| sent(c, *w)).sum();
    let mut jobs: Vec<Job> = Vec::new();
    let mut at = start;
    loop {
        at += Duration::from_secs_f64(-rng.random::<f64>().ln() / (CAPACITY * case.load));
        if at >= start + SIMULATED {
            return jobs;
        }
        let mut pick = rng.random::<f64>() * total;
        let (customer, weight) = *CUSTOMERS
            .iter()
            .find(|(c, w)| {
                pick -= sent(c, *w);
                pick < 0.0
            })
            .unwrap_or(&CUSTOMERS[0]);
        let size = 100.0 * (rng.random::<f64>() * 160f64.ln()).exp();
        let prompt_tokens = Duration::from_secs_f64(size).as_secs();
        let topic = rng.random_range(0..10u64);
        let pieces = (1..=prompt_tokens / PIECE_TOKENS).map(|piece| {
            let is_shared = topic < 5 && piece <= 2;
            let owner = if is_shared {
                topic
            } else {
                1_000 + jobs.len() as u64
            };
            weight * 1_000_000_007 + u64::from(customer.as_bytes()[1]) * 7_919 + owner * 97 + piece
        });
        let pieces = pieces.collect();
        let outputs = rng.random_range(50..250);
        let request = jobs.len() as RequestId;
        if customer == "flood" && !case.has_flood {
            continue;
        }
        jobs.push(Job {
            request: PlaceRequest {
                weight,
                prompt_tokens,
                pieces,
                max_tokens: u64::from(outputs),
                deadline: FIRST_TOKEN,
                late: case.late,
                max_wait: case.max_wait,
                hold_limit: Duration::from_mins(10),
                ..place_request(request, customer)
            },
            outputs,
            arrives: at,
            placement: None,
            gap: Duration::ZERO,
            first_token: None,
            is_done: false,
            is_refused: false,
        });
    }
}

impl Simulation {
    fn new(case: &Case) -> Self {
        let now = Instant::now();
        let members = fleet();
        let mut pool = Pool::new(pool_id(), case.settings.clone(), case.policy.clone());
        pool.set_upstreams(members.iter().map(|u| (u.clone(), false)), now);
        let jobs = arrivals(case, now);
        let mut simulation = Self {
            pool,
            now,
            end: now + SIMULATED,
            members: members.iter().map(|u| (u.id.clone(), u.clone())).collect(),
            engines: members
                .iter()
                .map(|u| (u.id.clone(), EngineModel::default()))
                .collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            prefilled: 0,
            wasted: 0,
            jobs,
        };
        for index in 0..simulation.jobs.len() {
            simulation.schedule(simulation.jobs[index].arrives, Event::Arrive(index));
        }
        simulation.schedule(now + REPORT_INTERVAL, Event::Report);
        simulation
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(index) => {
                    let request = self.jobs[index].request.clone();
                    let actions = self.pool.place(request, at);
                    self.perform(actions);
                }
                Event::Prefilled(index, attempt) => self.prefilled(index, attempt),
                Event::Transferred(index, attempt) => self.transferred(index, attempt),
                Event::Decoded(index, attempt) => self.decoded(index, attempt),
                Event::Report => self.report(),
                Event::Timer => {
                    let actions = self.pool.tick(at);
                    self.perform(actions);
                }
            }
            if let Some(next) = self.pool.next_timer()
                && self.pool.queued() > 0
            {
                let is_sooner = self
                    .events
                    .peek()
                    .is_none_or(|Reverse((first, ..))| next < *first);
                if is_sooner {
                    self.schedule(next.max(at), Event::Timer);
                }
            }
        }
        self.outcome()
    }

    fn perform(&mut self, actions: Vec<PoolAction>) {
        for action in actions {
            let PoolAction::Reply { key, reply } = action else {
                continue;
            };
            let index = usize::try_from(key.0).expect("requests are indexes");
            match reply {
                PlaceReply::Placed(placement) => self.prefill(index, key.1, placement),
                _ => self.jobs[index].is_refused = true,
            }
        }
    }

    fn prefill(&mut self, index: usize, attempt: AttemptNo, placement: Placement) {
        let id = placement.prefill.clone().expect("engine pool");
        let job = &mut self.jobs[index];
        let model = self.engines.get_mut(&id).expect("known");
        let pieces = &job.request.pieces;
        let hits = pieces
            .iter()
            .take_while(|p| model.cached.contains(p))
            .count();
        let uncached = job.request.prompt_tokens
            - (hits as Tokens * PIECE_TOKENS).min(job.request.prompt_tokens);
        let begin = model
            .busy_until
            .map_or(self.now, |until| until.max(self.now));
        let done = begin + time_at_rate(uncached, self.members[&id].prefill_rate);
        model.busy_until = Some(done);
        for piece in pieces {
            if !model.cached.contains(piece) {
                model.cached.push_back(*piece);
                model.events.push((done, CacheEvent::Stored(*piece)));
            }
        }
        while model.cached.len() > CACHED_PIECES {
            if let Some(piece) = model.cached.pop_front() {
                model.events.push((done, CacheEvent::Evicted(piece)));
            }
        }
        self.prefilled += uncached;
        job.placement = Some(placement);
        self.schedule(done, Event::Prefilled(index, attempt));
    }

    fn prefilled(&mut self, index: usize, attempt: AttemptNo) {
        let placement = self.jobs[index].placement.clone().expect("placed");
        let model = self.engines.get_mut(&placement.target).expect("known");
        let begin = model
            .link_until
            .map_or(self.now, |until| until.max(self.now));
        if begin - self.now > KV_TTL {
            self.wasted += self.jobs[index].request.prompt_tokens;
            self.fail(index, attempt, placement.target);
            return;
        }
        let rate = self.members[&placement.target].link_rate;
        let done = begin + time_at_rate(self.jobs[index].request.prompt_tokens, rate);
        model.link_until = Some(done);
        self.schedule(done, Event::Transferred(index, attempt));
    }

    fn fail(&mut self, index: usize, attempt: AttemptNo, upstream: UpstreamId) {
        let outcome = ReleaseOutcome::Failed {
            upstream: upstream.clone(),
            down: false,
        };
        self.release(index, attempt, outcome);
        if attempt >= 3 {
            self.jobs[index].is_refused = true;
            return;
        }
        let job = &mut self.jobs[index];
        job.request.attempt = attempt + 1;
        job.request.avoid.push(upstream);
        let due = job.arrives + FIRST_TOKEN;
        job.request.deadline = due.saturating_duration_since(self.now);
        let actions = self.pool.place(job.request.clone(), self.now);
        self.perform(actions);
    }

    fn transferred(&mut self, index: usize, attempt: AttemptNo) {
        let placement = self.jobs[index].placement.clone().expect("placed");
        let model = self.engines.get_mut(&placement.target).expect("known");
        model.running += 1;
        model.history.push_back((self.now, model.running));
        let full = f64::from(model.running) / f64::from(self.members[&placement.target].slots);
        // The batch size at the first token sets the token gap of the whole stream.
        let gap = Duration::from_millis(20).mul_f64(1.0 + full);
        let job = &mut self.jobs[index];
        job.gap = gap;
        job.first_token.get_or_insert(self.now + gap);
        let done = self.now + gap * job.outputs;
        self.schedule(done, Event::Decoded(index, attempt));
    }

    fn decoded(&mut self, index: usize, attempt: AttemptNo) {
        let placement = self.jobs[index].placement.clone().expect("placed");
        let model = self.engines.get_mut(&placement.target).expect("known");
        model.running -= 1;
        model.history.push_back((self.now, model.running));
        self.jobs[index].is_done = true;
        let output_tokens = self.jobs[index].outputs.into();
        self.release(index, attempt, ReleaseOutcome::Finished { output_tokens });
    }

    fn release(&mut self, index: usize, attempt: AttemptNo, outcome: ReleaseOutcome) {
        let release = Release {
            request: index as RequestId,
            attempt,
            pool: pool_id(),
            outcome,
        };
        let actions = self.pool.release(&release, self.now);
        self.perform(actions);
    }

    fn report(&mut self) {
        let taken = self.now.checked_sub(REPORT_AGE).expect("after the start");
        let mut ids: Vec<_> = self.engines.keys().cloned().collect();
        ids.sort();
        let next: HashMap<_, _> = self
            .pool
            .upstreams()
            .map(|u| (u.config.id.clone(), u.cache.next_event()))
            .collect();
        for id in ids {
            let model = self.engines.get_mut(&id).expect("known");
            while model.history.get(1).is_some_and(|(at, _)| *at <= taken) {
                model.history.pop_front();
            }
            let running = model
                .history
                .front()
                .filter(|(at, _)| *at <= taken)
                .map_or(0, |(_, n)| *n);
            let left = model.busy_until.map_or(Duration::ZERO, |until| {
                until.saturating_duration_since(self.now)
            });
            let queued = left.as_secs_f64() * self.members[&id].prefill_rate as f64;
            let is_prefill = self.members[&id].role == Role::Prefill;
            let load = EngineLoad {
                // Prefill queues are reported as of now, decode batches as of `REPORT_AGE` ago.
                age: if is_prefill {
                    Duration::ZERO
                } else {
                    REPORT_AGE
                },
                running,
                queued_tokens: Duration::from_secs_f64(queued).as_secs(),
                kv_bytes: 0,
            };
            let seen = usize::try_from(next[&id]).unwrap_or(usize::MAX);
            let known = model
                .events
                .iter()
                .take_while(|(at, _)| *at <= taken)
                .count();
            let events: Vec<_> = model.events[seen.min(known)..known]
                .iter()
                .map(|(_, e)| *e)
                .collect();
            self.pool.report_cache(
                &id,
                &CacheEvents {
                    first: next[&id],
                    events,
                },
            );
            let actions = self.pool.report_load(&id, &load, self.now);
            self.perform(actions);
        }
        if self.now < self.end || self.pool.queued() > 0 {
            self.schedule(self.now + REPORT_INTERVAL, Event::Report);
        }
    }

    fn outcome(&self) -> Outcome {
        let is_good = |job: &Job| {
            job.is_done
                && job.gap <= TOKEN_GAP
                && job
                    .first_token
                    .is_some_and(|at| at - job.arrives <= FIRST_TOKEN)
        };
        let part = |wanted: &dyn Fn(&Job) -> bool, of: &dyn Fn(&Job) -> bool| {
            let all = self.jobs.iter().filter(|job| of(job)).count();
            let hits = self
                .jobs
                .iter()
                .filter(|job| of(job) && wanted(job))
                .count();
            hits as f64 / all.max(1) as f64
        };
        let within = CUSTOMERS.iter().map(|(c, _)| *c).filter(|c| *c != "flood");
        let worst = within.map(|c| part(&is_good, &|job| &*job.request.customer == c));
        Outcome {
            goodput: part(&is_good, &|_| true),
            worst: worst.fold(1.0, f64::min),
            flood: part(&is_good, &|job| &*job.request.customer == "flood"),
            wasted: self.wasted as f64 / self.prefilled.max(1) as f64,
            refused: part(&|job| job.is_refused, &|job| {
                &*job.request.customer != "flood"
            }),
            arrived: u32::try_from(self.jobs.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Simulates `SIMULATED` of arrivals until all requests have ended; returns the measurements.
pub fn simulate(case: &Case) -> Outcome {
    Simulation::new(case).run()
}
