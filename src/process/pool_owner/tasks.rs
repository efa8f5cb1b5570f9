//! The timers of owned pools: what is due, reports of engines, copies to the standby, changes of members.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::prelude::*;
use crate::process::message::{Inflight, ListPart, PeerRequest, PoolId};
use crate::process::peer::PeerLink;
use crate::process::pool_owner::{OwnedPool, PoolOwner, pool_owners};
use crate::request::engine::{CacheEvents, EngineLoad};
use crate::version::compiled::{Role, Upstream};

/// The time between two readings of an engine, and between two looks at planned stops. Loads are corrected by what
/// is sent and ended in between, so that readings four times as often serve callers no better.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The time over which changes are gathered for the standby.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two attempts to hand a pool to its new owner, which may not know yet that it is.
const HAND_OVER_RETRY: Duration = Duration::from_millis(250);

/// The attempts to hand a pool over; entry hosts announce their attempts as well.
const HAND_OVER_TRIES: u32 = 20;

struct Reading {
    upstream: UpstreamId,
    load: Result<EngineLoad, UpstreamError>,
    cache: Option<CacheEvents>,
}

impl PoolOwner {
    pub(super) fn spawn_pool_tasks(
        self: &Arc<Self>,
        id: &PoolId,
        owned: &OwnedPool,
    ) -> Vec<AbortHandle> {
        let this = Arc::downgrade(self);
        vec![
            tokio::spawn(run_timers(this.clone(), id.clone(), owned.wake.clone())).abort_handle(),
            tokio::spawn(read_reports(this.clone(), id.clone())).abort_handle(),
            tokio::spawn(copy_changes(this, id.clone(), owned.changed.clone())).abort_handle(),
        ]
    }

    pub(super) fn spawn_member_watch(self: &Arc<Self>) {
        let owner = Arc::downgrade(self);
        let mut changes = self.cx.members.subscribe();
        let mut versions = self.cx.versions.subscribe();
        tokio::spawn(async move {
            loop {
                let members_changed = tokio::select! {
                    result = changes.changed() => result.map(|()| true),
                    result = versions.changed() => result.map(|()| false),
                };
                let (Ok(members_changed), Some(owner)) = (members_changed, owner.upgrade()) else {
                    return;
                };
                if members_changed {
                    owner.follow_members();
                }
                owner.open_pools();
            }
        });
    }

    /// Creates the pools that this host owns before they are asked for, so that their first request does not wait
    /// until they have settled.
    fn open_pools(self: &Arc<Self>) {
        let compiled = self.cx.versions.current();
        for id in compiled.pools.keys().filter(|id| self.owns(id)) {
            self.with_pool(id, |_| Vec::new());
        }
    }

    /// Gives up pools that have another owner now, and takes over those that this host was standby for.
    fn follow_members(self: &Arc<Self>) {
        self.have_members_changed.store(true, Ordering::Relaxed);
        for id in self.pool_ids() {
            let ranked = pool_owners(&*self.cx.members, &id);
            if ranked.first() == Some(&self.me) {
                // The standby may be new and know nothing.
                if let Some(standby) = ranked.get(1) {
                    self.send_whole_list(&id, standby, false);
                }
            } else if let Some(new_owner) = ranked.first() {
                self.send_whole_list(&id, new_owner, true);
                let removed = self.pools.lock(&id).remove(&id);
                if let Some(mut owned) = removed {
                    owned.perform(|owned| owned.pool.step_down());
                }
            }
        }
        let lists: Vec<_> = self
            .standby
            .iter()
            .flat_map(|lists| lists.keys().cloned().collect::<Vec<_>>())
            .collect();
        for id in lists.into_iter().filter(|id| self.owns(id)) {
            self.with_pool(&id, |_| Vec::new());
        }
    }

    fn send_whole_list(&self, id: &PoolId, to: &HostId, hands_over: bool) {
        let tries = if hands_over { HAND_OVER_TRIES } else { 1 };
        // Taken before the list is read, so that a list with a higher number is not an older one.
        let list = self.lists.fetch_add(1, Ordering::SeqCst) + 1;
        let placed = {
            let pools = self.pools.lock(id);
            pools.get(id).map(|owned| owned.pool.running())
        };
        let batch = Inflight {
            whole: Some(ListPart::only(self.cx.members.me().incarnation, list)),
            hands_over,
            placed: placed.unwrap_or_default(),
            ..Inflight::empty(id.clone())
        };
        let (link, to) = (self.cx.link.clone(), to.clone());
        tokio::spawn(async move {
            for part in batch.split() {
                if !send_part(&*link, &to, part, tries).await {
                    return;
                }
            }
        });
    }

    /// Returns the engines of a pool with the number of the next cache event of each.
    fn engines(&self, id: &PoolId) -> Vec<(Arc<Upstream>, u64)> {
        let pools = self.pools.lock(id);
        let Some(owned) = pools.get(id) else {
            return Vec::new();
        };
        let upstreams = owned.pool.upstreams();
        let engines = upstreams.filter(|u| u.config.role != Role::Service);
        engines
            .map(|u| (u.config.clone(), u.cache.next_event()))
            .collect()
    }

    async fn read(&self, upstream: Arc<Upstream>, next: u64) -> Reading {
        let engine = self.cx.upstreams.engine(&upstream.address.to_string());
        let load = engine.load().await;
        let cache = if load.is_ok() && upstream.role == Role::Prefill {
            engine.cache_events(next).await.ok()
        } else {
            None
        };
        Reading {
            upstream: upstream.id.clone(),
            load,
            cache,
        }
    }
}

/// Sends a part of a list of placements. Returns false if the receiver did not take it in several tries.
async fn send_part(link: &dyn PeerLink, to: &HostId, part: Inflight, tries: u32) -> bool {
    for _ in 0..tries {
        match link.ask(to, PeerRequest::Inflight(part.clone())).await {
            Ok(_) => return true,
            Err(e) => log::info!(host:% = to; "list of placements not sent: {e}"),
        }
        tokio::time::sleep(HAND_OVER_RETRY).await;
    }
    false
}

/// Ends what is due and places what becomes placeable, at the time at which it does.
async fn run_timers(owner: Weak<PoolOwner>, id: PoolId, wake: Arc<Notify>) {
    loop {
        let wait = {
            let Some(owner) = owner.upgrade() else { return };
            let pools = owner.pools.lock(&id);
            let next = pools.get(&id).and_then(|owned| owned.pool.next_timer());
            next.map(|at| at.saturating_duration_since(owner.cx.clock.now()))
        };
        // Timers of the runtime have a granularity of 1 ms; a shorter wait would only return early.
        let wait = wait.map(|wait| wait.max(Duration::from_millis(1)));
        let is_woken = if let Some(wait) = wait {
            tokio::time::timeout(wait, wake.notified()).await.is_ok()
        } else {
            wake.notified().await;
            true
        };
        if is_woken {
            continue;
        }
        let Some(owner) = owner.upgrade() else { return };
        let now = owner.cx.clock.now();
        owner.with_existing(&id, |owned| owned.pool.tick(now));
    }
}

/// Reads load reports and cache events, and follows the configuration.
async fn read_reports(owner: Weak<PoolOwner>, id: PoolId) {
    let Some(mut versions) = owner.upgrade().map(|owner| owner.cx.versions.subscribe()) else {
        return;
    };
    loop {
        {
            let Some(owner) = owner.upgrade() else { return };
            let members = owner.members_of(&id);
            let now = owner.cx.clock.now();
            owner.with_existing(&id, |owned| owned.pool.set_upstreams(members, now));
            let engines = owner.engines(&id).into_iter();
            let readings = engines.map(|(upstream, next)| owner.read(upstream, next));
            let readings = join_all(readings).await;
            let now = owner.cx.clock.now();
            owner.with_existing(&id, |owned| {
                let mut actions = Vec::new();
                for reading in &readings {
                    if let Some(events) = &reading.cache {
                        owned.pool.report_cache(&reading.upstream, events);
                    }
                    match &reading.load {
                        Ok(load) => {
                            actions.extend(owned.pool.report_load(&reading.upstream, load, now));
                        }
                        Err(e) if e.kind == UpstreamErrorKind::Unreachable => {
                            owned.pool.report_unreachable(&reading.upstream, now);
                        }
                        Err(e)
                            if matches!(
                                e.kind,
                                UpstreamErrorKind::Broken | UpstreamErrorKind::Timeout
                            ) => {}
                        Err(_) => {
                            actions.extend(owned.pool.report_reachable(&reading.upstream, now));
                        }
                    }
                }
                actions
            });
        }
        // A new version may stop upstreams, so it is followed at once.
        let _ = tokio::time::timeout(REPORT_INTERVAL, versions.changed()).await;
    }
}

/// Copies new placements to the standby in batches.
async fn copy_changes(owner: Weak<PoolOwner>, id: PoolId, changed: Arc<Notify>) {
    loop {
        changed.notified().await;
        tokio::time::sleep(COPY_INTERVAL).await;
        let Some(owner) = owner.upgrade() else { return };
        let batch = {
            let mut pools = owner.pools.lock(&id);
            pools
                .get_mut(&id)
                .and_then(|owned| owned.pool.take_changes())
        };
        let standby = pool_owners(&*owner.cx.members, &id).into_iter().nth(1);
        if let (Some(batch), Some(standby)) = (batch, standby) {
            for part in batch.split() {
                let question = PeerRequest::Inflight(part);
                if let Err(e) = owner.cx.link.ask(&standby, question).await {
                    // Entry hosts announce what the standby misses.
                    log::info!(host:% = standby; "placements not copied: {e}");
                }
            }
        }
    }
}
