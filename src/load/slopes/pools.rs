//! The owner of a pool: the cost of placing, releasing and load reports.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::connection::peer::{REPLY_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES, encode};
use crate::load::slopes::documents::customer_name;
use crate::load::slopes::probe::{RetainedObjects, cpu_of, cpu_of_each};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::message::{
    Inflight, LatePolicy, PeerReply, PeerRequest, PlaceReply, PlaceRequest, Placement, PoolId,
    Release, ReleaseOutcome, RunningAttempt,
};
use crate::process::placement::JointPolicy;
use crate::process::pool::settings::PlacementSettings;
use crate::process::pool::{AttemptKey, Pool, PoolAction};
use crate::request::engine::EngineLoad;
use crate::version::compiled::{Role, Upstream};

const ROLE: &str = "pool";
/// The number of attempts placed before as many are released.
const BATCH: usize = 16;
/// The number of running attempts while a pool without queue is measured.
const RUNNING_ATTEMPTS: usize = 20;
/// The number of upstreams of a pool whose queue is measured.
const QUEUED_UPSTREAMS: usize = 50;
/// The number of customers over whom the requests are spread.
const CUSTOMERS: usize = 100;
/// The tokens of a prompt, and the number of its pieces of 2,000 tokens.
const PROMPT_TOKENS: Tokens = 8_000;
const PROMPT_PIECES: u64 = 4;
/// The simulated time between two operations, and its reciprocal.
const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: Tokens = 50;
/// The numbers of running attempts whose memory is measured with the largest pool.
const ATTEMPT_COUNTS: [usize; 3] = [100, 300, 1_000];

/// Measures the owner of a pool.
pub struct PoolOwnerRole;

impl RoleMeasurement for PoolOwnerRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn memory(
        &self,
        sizes: &Sizes,
        retained: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity, size| Series::new(ROLE, quantity, size, Method::Resident);
        let mut pools = new("idle pool [bytes]", "upstreams");
        for size in &sizes.upstreams {
            let engines = upstreams(*size);
            let copies = (sizes.min_objects / size).max(1);
            let grown = retained.growth(|| {
                let pools = (0..copies).map(|_| new_pool(&engines, Instant::now()));
                pools.collect::<Vec<_>>()
            })?;
            pools.push(*size, grown / copies as f64);
        }
        let mut attempts = new("pool with running attempts [bytes]", "attempts");
        let engines = upstreams(ATTEMPT_COUNTS[2] / 5);
        for size in ATTEMPT_COUNTS {
            let copies = (sizes.min_objects / size).clamp(1, 20);
            let grown = retained.growth(|| {
                let pools = (0..copies).map(|_| {
                    let mut pool = new_pool(&engines, Instant::now());
                    pool.take_over(
                        (0..size).map(|at| running_attempt(at, &engines)),
                        Instant::now(),
                    );
                    // Drops the pending changes, as if the standby had received them.
                    pool.take_changes();
                    pool
                });
                pools.collect::<Vec<_>>()
            })?;
            attempts.push(size, grown / copies as f64);
        }
        Ok(vec![pools, attempts])
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity, size| Series::new(ROLE, quantity, size, Method::Cpu);
        let mut place = new("place, no queue [us]", "upstreams");
        let mut release = new("release, no queue [us]", "upstreams");
        let mut report = new("load report, no queue [us]", "upstreams");
        for size in &sizes.upstreams {
            let mut bench = Bench::new(*size);
            let running = RUNNING_ATTEMPTS.min(bench.slots() / 2);
            (0..running).for_each(|_| bench.place());
            let [placed, released, reported] = bench.measure(sizes)?;
            place.push(*size, placed);
            release.push(*size, released);
            report.push(*size, reported);
        }
        let mut busy = new("place, busy links [us]", "upstreams");
        for size in &sizes.upstreams {
            let mut bench = Bench::with_busy_links(*size);
            (0..bench.slots() / 2).for_each(|_| bench.place());
            let [placed, ..] = bench.measure(sizes)?;
            busy.push(*size, placed);
        }
        let mut queued = new("place into a full pool [us]", "queue");
        let mut freed = new("release and place the next [us]", "queue");
        let mut full = new("load report of a full pool [us]", "queue");
        for size in &sizes.queue_lengths {
            let mut bench = Bench::new(QUEUED_UPSTREAMS);
            (0..bench.slots() + size).for_each(|_| bench.place());
            let [placed, released, reported] = bench.measure(sizes)?;
            queued.push(*size, placed);
            freed.push(*size, released);
            full.push(*size, reported);
        }
        Ok(vec![
            place,
            release,
            report,
            busy,
            queued,
            freed,
            full,
            messages()?,
            inflight()?,
        ])
    }
}

/// Returns the encoded sizes of the messages for one attempt.
fn messages() -> Result<Series, MeasureError> {
    let engines = upstreams(3);
    let attempt = running_attempt(1, &engines);
    let release = Release {
        request: attempt.request,
        attempt: 1,
        pool: pool_id(),
        outcome: ReleaseOutcome::Finished { output_tokens: 300 },
    };
    let placed = PlaceReply::Placed(attempt.placement.clone());
    let exchanges = [
        encode(&PeerRequest::Place(place_request(1))),
        encode(&PeerReply::Place(placed)),
        encode(&PeerRequest::Release(release)),
        encode(&PeerReply::Ack),
    ];
    let quantity = "bytes: 1 Place, 2 reply, 3 Release, 4 Ack";
    let mut bytes = Series::new(ROLE, quantity, "message", Method::Counted);
    for (index, exchange) in exchanges.into_iter().enumerate() {
        let exchange = exchange.map_err(MeasureError)?;
        let overhead = [REQUEST_OVERHEAD_BYTES, REPLY_OVERHEAD_BYTES][index % 2];
        bytes.push(index + 1, (exchange.len() + overhead) as f64);
    }
    Ok(bytes)
}

/// Returns the encoded sizes of `Inflight` batches in which as many attempts ended as were placed.
fn inflight() -> Result<Series, MeasureError> {
    let quantity = "Inflight with as many ended [bytes]";
    let mut bytes = Series::new(ROLE, quantity, "placed", Method::Counted);
    let engines = upstreams(6);
    for size in [1, 10, 100] {
        let mut batch = Inflight::empty(pool_id());
        batch.placed = (0..size).map(|at| running_attempt(at, &engines)).collect();
        batch.ended = (0..size).map(|at| (request_id(at), 1)).collect();
        let encoded = encode(&PeerRequest::Inflight(batch)).map_err(MeasureError)?;
        bytes.push(size, (encoded.len() + REQUEST_OVERHEAD_BYTES) as f64);
    }
    Ok(bytes)
}

/// Returns the id of the measured pool.
pub fn pool_id() -> PoolId {
    PoolId {
        data_centre: "a".into(),
        model: "model01".into(),
    }
}

/// Returns engines of one model in one data centre, every third of them for prefill.
pub fn upstreams(count: usize) -> Vec<Arc<Upstream>> {
    let upstream = |index: usize| {
        Arc::new(Upstream {
            id: format!("engine-{index:04}").into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            data_centre: "a".into(),
            role: if index.is_multiple_of(3) {
                Role::Prefill
            } else {
                Role::Decode
            },
            model: "model01".into(),
            slots: 20,
            prefill_rate: 20_000_000,
            link_rate: 20_000_000,
            fenced: false,
            model_version: String::new(),
            adapters: Vec::new(),
        })
    };
    (0..count).map(upstream).collect()
}

/// Creates a pool of these engines under the default settings and the joint policy.
pub fn new_pool(engines: &[Arc<Upstream>], now: Instant) -> Pool {
    let mut pool = Pool::new(
        pool_id(),
        PlacementSettings::default(),
        Arc::new(JointPolicy),
    );
    pool.set_upstreams(engines.iter().map(|u| (u.clone(), false)), now);
    pool
}

/// Returns an attempt that runs on the engines that `index` selects.
pub fn running_attempt(index: usize, engines: &[Arc<Upstream>]) -> RunningAttempt {
    let of_role = |role| {
        let ids: Vec<_> = engines.iter().filter(|u| u.role == role).collect();
        ids[index % ids.len()].id.clone()
    };
    let placement = Placement {
        prefill: Some(of_role(Role::Prefill)),
        target: of_role(Role::Decode),
        expected_cached: 0,
    };
    RunningAttempt::new(&place_request(index), placement)
}

/// Returns an id that is encoded in as many bytes as a random one.
fn request_id(index: usize) -> RequestId {
    RequestId::MAX / 3 + index as RequestId
}

fn place_request(index: usize) -> PlaceRequest {
    PlaceRequest {
        request: request_id(index),
        attempt: 1,
        host: "host-a001".into(),
        incarnation: u64::MAX / 3,
        pool: pool_id(),
        customer: customer_name(index % CUSTOMERS),
        weight: 10_000,
        prompt_tokens: PROMPT_TOKENS,
        max_tokens: 300,
        pieces: (0..PROMPT_PIECES).map(|p| u64::MAX / 7 + p).collect(),
        priority: Priority::Interactive,
        deadline: Duration::from_secs(1),
        late: LatePolicy::Wait,
        max_wait: Duration::from_hours(100),
        hold_limit: Duration::from_hours(100),
        avoid: SmallVec::new(),
    }
}

struct Bench {
    pool: Pool,
    engines: Vec<Arc<Upstream>>,
    now: Instant,
    asked: usize,
    placed: VecDeque<AttemptKey>,
    reported: usize,
}

impl Bench {
    fn new(size: usize) -> Self {
        let engines = upstreams(size);
        let now = Instant::now();
        Self {
            pool: new_pool(&engines, now),
            engines,
            now,
            asked: 0,
            placed: VecDeque::new(),
            reported: 0,
        }
    }

    /// Creates a pool in which every link carries a transfer most of the time: together they carry one prompt per
    /// placement.
    fn with_busy_links(size: usize) -> Self {
        let mut bench = Self::new(size);
        let targets = bench.engines.iter().filter(|u| u.role == Role::Decode);
        let link_rate = PROMPT_TOKENS * STEPS_PER_SECOND / (targets.count() as Tokens).max(1);
        let slower = |u: &Arc<Upstream>| {
            Arc::new(Upstream {
                link_rate,
                ..Upstream::clone(u)
            })
        };
        bench.engines = bench.engines.iter().map(slower).collect();
        bench.pool = new_pool(&bench.engines, bench.now);
        bench
    }

    fn slots(&self) -> usize {
        let decode = self.engines.iter().filter(|u| u.role == Role::Decode);
        decode.map(|u| u.slots as usize).sum()
    }

    fn record_placed(&mut self, actions: Vec<PoolAction>) {
        for action in actions {
            if let PoolAction::Reply {
                key,
                reply: PlaceReply::Placed(_),
            } = action
            {
                self.placed.push_back(key);
            }
        }
    }

    fn place(&mut self) {
        self.now += STEP;
        self.asked += 1;
        let actions = self.pool.place(place_request(self.asked), self.now);
        self.record_placed(actions);
    }

    fn release(&mut self) -> usize {
        self.now += STEP;
        let Some((request, attempt)) = self.placed.pop_front() else {
            return 0;
        };
        let release = Release {
            request,
            attempt,
            pool: pool_id(),
            outcome: ReleaseOutcome::Finished { output_tokens: 300 },
        };
        let actions = self.pool.release(&release, self.now);
        self.record_placed(actions);
        1
    }

    fn report(&mut self) {
        // In a fleet, one host polls each engine once per second.
        let upstream = self.engines[self.reported % self.engines.len()].id.clone();
        self.reported += 1;
        let held = self.pool.upstreams().find(|u| u.config.id == upstream);
        let load = EngineLoad {
            running: held.map_or(0, |u| u.held),
            ..EngineLoad::default()
        };
        let actions = self.pool.report_load(&upstream, &load, self.now);
        self.record_placed(actions);
    }

    /// Returns the processor time of a placement, a release and a load report in microseconds.
    fn measure(self, sizes: &Sizes) -> Result<[f64; 3], MeasureError> {
        let bench = RefCell::new(self);
        let [placed, released] = cpu_of_each(
            sizes,
            [
                &mut || {
                    let mut bench = bench.borrow_mut();
                    (0..BATCH).for_each(|_| bench.place());
                    BATCH
                },
                &mut || {
                    let mut bench = bench.borrow_mut();
                    let released = (0..BATCH).map(|_| bench.release()).sum();
                    bench.pool.take_changes();
                    released
                },
            ],
        )?;
        let reported = cpu_of(sizes, || {
            let mut bench = bench.borrow_mut();
            (0..BATCH).for_each(|_| bench.report());
            BATCH
        })?;
        Ok([placed, released, reported])
    }
}
