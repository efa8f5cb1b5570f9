//! Answers for the pools that this host owns, and keeps the standby lists of others.

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
use crate::version::compiled::{Compiled, Role, Upstream};

pub use handler::PoolHandler;

/// The times at which an unconfirmed cancel is sent; the engine's own deadline covers what fails after that.
const CANCEL_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_secs(1),
];

/// What a pool owner needs from the process.
pub struct PoolOwnerContext {
    /// Which hosts are there.
    pub members: Arc<dyn Members>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The link to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// Clients for upstreams.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// The settings.
    pub settings: PlacementSettings,
    /// The choice of upstreams.
    pub policy: Arc<dyn Policy>,
}

/// A pool with those who wait for its answers.
struct OwnedPool {
    pool: Pool,
    waiters: HashMap<AttemptKey, Vec<oneshot::Sender<PlaceReply>>>,
    /// Wakes the timer task.
    wake: Arc<Notify>,
    /// Wakes the task that copies changes to the standby.
    changed: Arc<Notify>,
    tasks: Vec<AbortHandle>,
}

impl Drop for OwnedPool {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// The pools that this host owns.
pub struct PoolOwner {
    cx: PoolOwnerContext,
    me: HostId,
    pools: Shards<HashMap<PoolId, OwnedPool>>,
    standby: Shards<HashMap<PoolId, StandbyList>>,
    /// Processes that are gone. A pool that is taken over later must refuse what they sent before.
    gone: Mutex<Vec<(Instant, HostDown)>>,
    /// Whether the members have changed since this process started.
    have_members_changed: AtomicBool,
    /// Counts the whole lists that were sent.
    lists: AtomicU64,
}

/// Returns the hosts that may own a pool, the owner first and its standby second.
pub fn pool_owners(members: &dyn Members, pool: &PoolId) -> Vec<HostId> {
    let key = format!("pool/{}/{}", pool.data_centre, pool.model);
    owners(members, &pool.data_centre, &key)
}

impl PoolOwner {
    /// Starts to answer for pools. Must be called within a tokio runtime.
    pub fn start(cx: PoolOwnerContext) -> Arc<Self> {
        let owner = Arc::new(Self {
            me: cx.members.me().host,
            cx,
            pools: Shards::default(),
            standby: Shards::default(),
            gone: Mutex::default(),
            have_members_changed: AtomicBool::new(false),
            lists: AtomicU64::default(),
        });
        owner.spawn_member_watch();
        owner
    }

    /// Tells whether this host owns a pool.
    pub fn owns(&self, pool: &PoolId) -> bool {
        pool_owners(&*self.cx.members, pool).first() == Some(&self.me)
    }

    /// Answers a question for upstreams, waiting as long as it is queued.
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

    /// Takes the end of an attempt. Returns false if this host does not own the pool.
    pub fn release(self: &Arc<Self>, release: &Release) -> bool {
        self.end(&release.pool, (release.request, release.attempt), |pool| {
            pool.release(release, self.cx.clock.now())
        })
    }

    /// Withdraws a question. Returns false if this host does not own the pool.
    pub fn cancel(self: &Arc<Self>, cancel: &CancelPlace) -> bool {
        self.end(&cancel.pool, (cancel.request, cancel.attempt), |pool| {
            pool.cancel(cancel, self.cx.clock.now())
        })
    }

    fn end(
        self: &Arc<Self>,
        pool: &PoolId,
        key: AttemptKey,
        act: impl FnOnce(&mut Pool) -> Vec<PoolAction>,
    ) -> bool {
        if !self.owns(pool) {
            if let Some(list) = self.standby.lock(pool).get_mut(pool) {
                list.end(key);
            }
            return false;
        }
        self.with_pool(pool, |owned| act(&mut owned.pool));
        true
    }

    /// Takes the running attempts of an entry host. Returns false if this host does not own the pool.
    pub fn adopt(self: &Arc<Self>, adopt: &Adopt) -> bool {
        let is_owner = self.owns(&adopt.pool);
        if is_owner {
            let now = self.cx.clock.now();
            self.with_pool(&adopt.pool, |owned| owned.pool.adopt(adopt, now));
        }
        is_owner
    }

    /// Takes the placements of a pool's owner, as its standby or its successor.
    pub fn receive_inflight(self: &Arc<Self>, batch: Inflight) {
        if !self.owns(&batch.pool) {
            let mut lists = self.standby.lock(&batch.pool);
            lists.entry(batch.pool.clone()).or_default().apply(batch);
        } else if batch.hands_over {
            let now = self.cx.clock.now();
            self.with_pool(&batch.pool.clone(), |owned| {
                owned.pool.take_over(batch.placed, now)
            });
        } else {
            // The sender still owns the pool in its own view, and so do entry hosts, perhaps: they would not
            // adopt in time what is taken over here, and it would be cut off.
            log::info!(pool:? = batch.pool; "another host owns the pool in its own view");
        }
    }

    /// Ends everything of an entry host that is gone: proven, or suspected for long enough to be declared dead.
    pub fn host_down(self: &Arc<Self>, down: &HostDown) {
        let now = self.cx.clock.now();
        {
            let mut gone = lock(&self.gone);
            gone.retain(|(at, _)| {
                now.saturating_duration_since(*at) < self.cx.settings.tombstone_ttl
            });
            gone.push((now, down.clone()));
        }
        for pool in self.pool_ids() {
            self.with_existing(&pool, |owned| {
                owned.pool.host_down(&down.host, down.incarnation, now)
            });
        }
    }

    /// Ends what is due in all pools. Pools also do so by timers of their own.
    pub fn tick(self: &Arc<Self>) {
        let now = self.cx.clock.now();
        for pool in self.pool_ids() {
            self.with_existing(&pool, |owned| owned.pool.tick(now));
        }
    }

    /// Returns the numbers of waiting and of placed attempts in a pool of this host.
    pub fn queued_and_placed(&self, pool: &PoolId) -> (usize, usize) {
        let pools = self.pools.lock(pool);
        pools
            .get(pool)
            .map_or((0, 0), |owned| (owned.pool.queued(), owned.pool.placed()))
    }

    /// Returns what the dump shows of the pools of this host.
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

    /// Acts on a pool, which is created at its first use, and performs what it decides.
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
                let (owned, actions) = self.create(id);
                let owned = pools.entry(id.clone()).or_insert(owned);
                let mut cancels = owned.perform(|_| actions);
                cancels.extend(owned.perform(act));
                cancels
            }
        };
        self.cancel_at_engines(cancels);
    }

    /// Acts on a pool unless it was given up meanwhile.
    fn with_existing(&self, id: &PoolId, act: impl FnOnce(&mut OwnedPool) -> Vec<PoolAction>) {
        let cancels = {
            let mut pools = self.pools.lock(id);
            pools.get_mut(id).map(|owned| owned.perform(act))
        };
        self.cancel_at_engines(cancels.unwrap_or_default());
    }

    /// Creates a pool, with what its former owner copied to this host.
    fn create(self: &Arc<Self>, id: &PoolId) -> (OwnedPool, Vec<PoolAction>) {
        let settings = self.cx.settings.clone();
        let mut pool = Pool::new(id.clone(), settings, self.cx.policy.clone());
        let now = self.cx.clock.now();
        let mut actions = pool.set_upstreams(self.members_of(id), now);
        // Only a host that was always alone can't have a predecessor.
        let is_alone = pool_owners(&*self.cx.members, id).len() == 1;
        if !is_alone || self.have_members_changed.load(Ordering::Relaxed) {
            pool.start_settling(now);
        }
        if let Some(list) = self.standby.lock(id).remove(id) {
            actions.extend(pool.take_over(list.into_attempts(), now));
        }
        for (_, down) in lock(&self.gone).iter() {
            actions.extend(pool.host_down(&down.host, down.incarnation, now));
        }
        let mut owned = OwnedPool {
            pool,
            waiters: HashMap::new(),
            wake: Arc::default(),
            changed: Arc::default(),
            tasks: Vec::new(),
        };
        owned.tasks = self.spawn_pool_tasks(id, &owned);
        (owned, actions)
    }

    /// Returns a pool's upstreams with whether a planned stop keeps new work from them.
    fn members_of(&self, id: &PoolId) -> Vec<(Arc<Upstream>, bool)> {
        let compiled: Arc<Compiled> = self.cx.versions.current();
        let time = self.cx.clock.calendar();
        let members = compiled.pool(id).iter();
        members
            .map(|u| (u.clone(), compiled.is_stopping(&u.id, time)))
            .collect()
    }

    fn cancel_at_engines(&self, cancels: Vec<Cancel>) {
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

/// An attempt to cancel at its engines.
struct Cancel {
    request: RequestId,
    attempt: AttemptNo,
    engines: Vec<Arc<Upstream>>,
}

impl OwnedPool {
    /// Acts on the pool and answers waiters; returns what is to be cancelled.
    fn perform(&mut self, act: impl FnOnce(&mut Self) -> Vec<PoolAction>) -> Vec<Cancel> {
        let mut cancels = Vec::new();
        for action in act(self) {
            match action {
                PoolAction::Reply { key, reply } => {
                    for waiter in self.waiters.remove(&key).unwrap_or_default() {
                        // A waiter that is gone asks again or withdraws its question.
                        let _ = waiter.send(reply.clone());
                    }
                }
                PoolAction::Cancel {
                    request,
                    attempt,
                    engines,
                } => cancels.push(Cancel {
                    request,
                    attempt,
                    engines,
                }),
            }
        }
        self.wake.notify_one();
        self.changed.notify_one();
        cancels
    }
}
