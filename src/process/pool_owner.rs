//! The pools that this host owns, and its standby lists for pools of other owners.

mod handler;
mod tasks;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::prelude::*;
use crate::process::members::{Members, owners};
use crate::process::message::{
    Adopt, CancelPlace, HostDown, Inflight, PlaceReply, PlaceRequest, PoolId, Release,
};
use crate::process::peer::PeerLink;
use crate::process::placement::Policy;
use crate::process::pool::dump::PoolView;
use crate::process::pool::settings::PlacementSettings;
use crate::process::pool::{AttemptKey, Pool, PoolAction, attempt_key};
use crate::process::recovery::StandbyList;
use crate::process::shard::{Shards, lock};
use crate::version::cell::VersionCell;
use crate::version::compiled::{CompiledConfig, Role, Upstream};

pub use handler::PoolHandler;

/// The delays before each try to cancel at an engine. If all of them fail, the engine's own deadline ends the attempt.
const CANCEL_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_secs(1),
];

/// The parts of the process that a pool owner uses.
pub struct PoolOwnerContext {
    /// The live hosts, from which the owner of each pool follows.
    pub members: Arc<dyn Members>,
    /// The configuration in force, with the upstreams of each pool.
    pub versions: Arc<VersionCell>,
    /// The clock for deadlines, and for planned stops of upstreams.
    pub clock: Arc<dyn Clock>,
    /// The link to other hosts, for copies to standbys and handovers.
    pub link: Arc<dyn PeerLink>,
    /// The clients of upstreams, for polls and cancels.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// The settings of all pools of this host.
    pub settings: PlacementSettings,
    /// The policy that chooses upstreams in all pools.
    pub policy: Arc<dyn Policy>,
}

/// A pool with its tasks and the callers that wait for its replies.
struct OwnedPool {
    pool: Pool,
    waiters: HashMap<AttemptKey, Vec<oneshot::Sender<PlaceReply>>>,
    /// Wakes the task that runs the pool's timers.
    timer_wake: Arc<Notify>,
    /// Wakes the task that copies changes to the standby.
    copy_wake: Arc<Notify>,
    tasks: Vec<AbortHandle>,
}

impl Drop for OwnedPool {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// The pools that this host owns, each with its tasks, and the standby lists for pools of other owners.
pub struct PoolOwner {
    cx: PoolOwnerContext,
    me: HostId,
    pools: Shards<HashMap<PoolId, OwnedPool>>,
    standby_lists: Shards<HashMap<PoolId, StandbyList>>,
    /// Entry-host processes that are gone. A pool that is created later must refuse their late place requests.
    gone_processes: Mutex<Vec<(Instant, HostDown)>>,
    /// Whether the live hosts have changed since this process started.
    have_members_changed: AtomicBool,
    /// The number of the latest full list sent, by which receivers tell a newer one from an older one.
    last_list: AtomicU64,
}

/// Returns the hosts that may own a pool in order of preference: the owner is first, its standby second.
pub fn pool_owners(members: &dyn Members, pool: &PoolId) -> Vec<HostId> {
    let key = format!("pool/{}/{}", pool.data_centre, pool.model);
    owners(members, &pool.data_centre, &key)
}

impl PoolOwner {
    /// Starts an owner that creates its pools as they are needed.
    ///
    /// # Panics
    ///
    /// Panics when called outside a tokio runtime.
    pub fn start(cx: PoolOwnerContext) -> Arc<Self> {
        let owner = Arc::new(Self {
            me: cx.members.me().host,
            cx,
            pools: Shards::default(),
            standby_lists: Shards::default(),
            gone_processes: Mutex::default(),
            have_members_changed: AtomicBool::new(false),
            last_list: AtomicU64::default(),
        });
        owner.spawn_change_watch();
        owner
    }

    /// Returns whether this host owns a pool, by its own view of the live hosts.
    pub fn owns(&self, pool: &PoolId) -> bool {
        pool_owners(&*self.cx.members, pool).first() == Some(&self.me)
    }

    /// Handles a place request, and returns its reply once it is placed or refused.
    pub async fn place(self: &Arc<Self>, req: PlaceRequest) -> PlaceReply {
        let pool = req.pool.clone();
        if !self.owns(&pool) {
            return PlaceReply::NotOwner;
        }
        let (tx, rx) = oneshot::channel();
        let now = self.cx.clock.now();
        self.with_pool(&pool, |owned| {
            let waiters = owned.waiters.entry(attempt_key(&req)).or_default();
            waiters.retain(|waiter| !waiter.is_closed());
            waiters.push(tx);
            owned.pool.place(req, now)
        });
        rx.await.unwrap_or(PlaceReply::NotOwner)
    }

    /// Handles the end of an attempt. Returns false if this host does not own the pool.
    pub fn release(self: &Arc<Self>, release: &Release) -> bool {
        self.end_attempt(&release.pool, (release.request, release.attempt), |pool| {
            pool.release(release, self.cx.clock.now())
        })
    }

    /// Withdraws a place request. Returns false if this host does not own the pool.
    pub fn cancel(self: &Arc<Self>, cancel: &CancelPlace) -> bool {
        self.end_attempt(&cancel.pool, (cancel.request, cancel.attempt), |pool| {
            pool.cancel(cancel, self.cx.clock.now())
        })
    }

    fn end_attempt(
        self: &Arc<Self>,
        pool: &PoolId,
        key: AttemptKey,
        act: impl FnOnce(&mut Pool) -> Vec<PoolAction>,
    ) -> bool {
        if !self.owns(pool) {
            if let Some(list) = self.standby_lists.lock(pool).get_mut(pool) {
                list.remove(key);
            }
            return false;
        }
        self.with_pool(pool, |owned| act(&mut owned.pool));
        true
    }

    /// Adopts the running attempts that an entry host announces. Returns false if this host does not own the pool.
    pub fn adopt(self: &Arc<Self>, adopt: &Adopt) -> bool {
        let is_owner = self.owns(&adopt.pool);
        if is_owner {
            let now = self.cx.clock.now();
            self.with_pool(&adopt.pool, |owned| owned.pool.adopt(adopt, now));
        }
        is_owner
    }

    /// Receives placements from a pool's owner, as its standby or its successor.
    pub fn receive_inflight(self: &Arc<Self>, batch: Inflight) {
        if !self.owns(&batch.pool) {
            let mut lists = self.standby_lists.lock(&batch.pool);
            lists.entry(batch.pool.clone()).or_default().apply(batch);
        } else if batch.hands_over {
            let now = self.cx.clock.now();
            self.with_pool(&batch.pool.clone(), |owned| {
                owned.pool.take_over(batch.placed, now)
            });
        } else {
            // The sender still considers itself the owner, and entry hosts may agree with it. They would not adopt the
            // placements here in time, and running attempts would be cancelled.
            log::info!(pool:? = batch.pool; "placements ignored: sender and receiver both claim to own the pool");
        }
    }

    /// Ends all attempts of an entry-host process that is gone: its end is proven, or it was suspected for long enough
    /// to be declared dead.
    pub fn host_down(self: &Arc<Self>, down: &HostDown) {
        let now = self.cx.clock.now();
        {
            let mut gone = lock(&self.gone_processes);
            gone.retain(|(at, _)| {
                now.saturating_duration_since(*at) < self.cx.settings.tombstone_ttl
            });
            gone.push((now, down.clone()));
        }
        for pool in self.pool_ids() {
            self.with_existing_pool(&pool, |owned| {
                owned.pool.host_down(&down.host, down.incarnation, now)
            });
        }
    }

    /// Runs the timers that are due in all pools. Each pool also has a task that does this.
    pub fn tick(self: &Arc<Self>) {
        let now = self.cx.clock.now();
        for pool in self.pool_ids() {
            self.with_existing_pool(&pool, |owned| owned.pool.tick(now));
        }
    }

    /// Returns the numbers of queued and of placed attempts in a pool; zeros if this host does not have it.
    pub fn queued_and_placed(&self, pool: &PoolId) -> (usize, usize) {
        let pools = self.pools.lock(pool);
        pools
            .get(pool)
            .map_or((0, 0), |owned| (owned.pool.queued(), owned.pool.placed()))
    }

    /// Returns the state of the pools of this host for the dump, in order of their ids.
    pub fn dump(&self) -> Vec<PoolView> {
        let now = self.cx.clock.now();
        let mut views = Vec::new();
        for pools in self.pools.iter() {
            views.extend(pools.values().map(|owned| owned.pool.view(now)));
        }
        views.sort_by(|a, b| a.pool.cmp(&b.pool));
        views
    }

    fn pool_ids(&self) -> Vec<PoolId> {
        let pools = self.pools.iter();
        pools
            .flat_map(|pools| pools.keys().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Calls `act` on a pool, which is created on first use, and performs the returned actions.
    fn with_pool(
        self: &Arc<Self>,
        id: &PoolId,
        act: impl FnOnce(&mut OwnedPool) -> Vec<PoolAction>,
    ) {
        let cancels = {
            let mut pools = self.pools.lock(id);
            if let Some(owned) = pools.get_mut(id) {
                owned.perform(act)
            } else {
                let (owned, actions) = self.create_pool(id);
                let owned = pools.entry(id.clone()).or_insert(owned);
                let mut cancels = owned.perform(|_| actions);
                cancels.extend(owned.perform(act));
                cancels
            }
        };
        self.cancel_at_engines(cancels);
    }

    /// Calls `act` on a pool and performs the returned actions; does nothing if this host does not have the pool.
    fn with_existing_pool(&self, id: &PoolId, act: impl FnOnce(&mut OwnedPool) -> Vec<PoolAction>) {
        let cancels = {
            let mut pools = self.pools.lock(id);
            pools.get_mut(id).map(|owned| owned.perform(act))
        };
        self.cancel_at_engines(cancels.unwrap_or_default());
    }

    /// Creates a pool, with the placements that its former owner copied to this host.
    fn create_pool(self: &Arc<Self>, id: &PoolId) -> (OwnedPool, Vec<PoolAction>) {
        let settings = self.cx.settings.clone();
        let mut pool = Pool::new(id.clone(), settings, self.cx.policy.clone());
        let now = self.cx.clock.now();
        let mut actions = pool.set_upstreams(self.configured_upstreams(id), now);
        // There is no former owner only if this host has been the only candidate since it started.
        let is_alone = pool_owners(&*self.cx.members, id).len() == 1;
        if !is_alone || self.have_members_changed.load(Ordering::Relaxed) {
            pool.start_settling(now);
        }
        if let Some(list) = self.standby_lists.lock(id).remove(id) {
            actions.extend(pool.take_over(list.into_attempts(), now));
        }
        for (_, down) in lock(&self.gone_processes).iter() {
            actions.extend(pool.host_down(&down.host, down.incarnation, now));
        }
        let mut owned = OwnedPool {
            pool,
            waiters: HashMap::new(),
            timer_wake: Arc::default(),
            copy_wake: Arc::default(),
            tasks: Vec::new(),
        };
        owned.tasks = self.spawn_pool_tasks(id, &owned);
        (owned, actions)
    }

    /// Returns a pool's configured upstreams, each with a flag that says whether a planned stop keeps new work from it.
    fn configured_upstreams(&self, id: &PoolId) -> Vec<(Arc<Upstream>, bool)> {
        let compiled: Arc<CompiledConfig> = self.cx.versions.current();
        let time = self.cx.clock.wall_time();
        let upstreams = compiled.pool(id).iter();
        upstreams
            .map(|u| (u.clone(), compiled.is_upstream_stopping(&u.id, time)))
            .collect()
    }

    fn cancel_at_engines(&self, cancels: Vec<EngineCancel>) {
        for cancel in cancels {
            let is_engine = |u: &Arc<Upstream>| u.role != Role::Service;
            for upstream in cancel.engines.into_iter().filter(is_engine) {
                let engine = self.cx.upstreams.engine(&upstream.address.to_string());
                tokio::spawn(cancel_until_confirmed(
                    engine,
                    upstream.id.clone(),
                    cancel.request,
                    cancel.attempt,
                ));
            }
        }
    }
}

async fn cancel_until_confirmed(
    engine: Arc<dyn Engine>,
    upstream: UpstreamId,
    request: RequestId,
    attempt: AttemptNo,
) {
    for delay in CANCEL_DELAYS {
        tokio::time::sleep(delay).await;
        match engine.cancel(request, attempt).await {
            Ok(()) => return,
            Err(e) => log::warn!(
                request:% = format!("{request:032x}"), upstream:%;
                "cancel not confirmed: {e}"
            ),
        }
    }
}

/// Attempts of a request up to `attempt`, to be cancelled at its engines.
struct EngineCancel {
    request: RequestId,
    attempt: AttemptNo,
    engines: Vec<Arc<Upstream>>,
}

impl OwnedPool {
    /// Calls `act`, sends replies to the waiters, and returns what is to be cancelled at engines.
    fn perform(&mut self, act: impl FnOnce(&mut Self) -> Vec<PoolAction>) -> Vec<EngineCancel> {
        let mut cancels = Vec::new();
        for action in act(self) {
            match action {
                PoolAction::Reply { key, reply } => {
                    for waiter in self.waiters.remove(&key).unwrap_or_default() {
                        // A waiter that is gone repeats its place request or withdraws it.
                        let _ = waiter.send(reply.clone());
                    }
                }
                PoolAction::Cancel {
                    request,
                    attempt,
                    engines,
                } => cancels.push(EngineCancel {
                    request,
                    attempt,
                    engines,
                }),
            }
        }
        self.timer_wake.notify_one();
        self.copy_wake.notify_one();
        cancels
    }
}
