//! The tasks of owned pools: timers, polls of engines, copies to the standby, and changes of the live hosts.

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

/// The time between two polls of an engine, and between two checks for planned stops. Loads are corrected by what is
/// sent and ended in between, so polling four times as often did not serve callers better.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which changes are collected before they are copied to the standby.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two tries to hand a pool over to its new owner, which may not know yet that it is the owner.
const HAND_OVER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The number of tries to hand a pool over. If all fail, the new owner still learns of placements from entry hosts.
const MAX_HAND_OVER_TRIES: u32 = 20;

/// The result of one poll of an engine. Cache events are only fetched from prefill engines.
struct EngineReport {
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
            tokio::spawn(run_timers(
                this.clone(),
                id.clone(),
                owned.timer_wake.clone(),
            ))
            .abort_handle(),
            tokio::spawn(poll_engines(this.clone(), id.clone())).abort_handle(),
            tokio::spawn(copy_changes(this, id.clone(), owned.copy_wake.clone())).abort_handle(),
        ]
    }

    pub(super) fn spawn_change_watch(self: &Arc<Self>) {
        let owner = Arc::downgrade(self);
        let mut members = self.cx.members.subscribe();
        let mut versions = self.cx.versions.subscribe();
        tokio::spawn(async move {
            loop {
                let members_changed = tokio::select! {
                    result = members.changed() => result.map(|()| true),
                    result = versions.changed() => result.map(|()| false),
                };
                let (Ok(members_changed), Some(owner)) = (members_changed, owner.upgrade()) else {
                    return;
                };
                if members_changed {
                    owner.handle_member_change();
                }
                owner.create_owned_pools();
            }
        });
    }

    /// Creates the pools that this host owns before their first request, so that it does not wait for `settle_time`.
    fn create_owned_pools(self: &Arc<Self>) {
        let compiled = self.cx.versions.current();
        for id in compiled.pools.keys().filter(|id| self.owns(id)) {
            self.with_pool(id, |_| Vec::new());
        }
    }

    /// Hands over pools that have another owner now, and creates those for which this host was the standby.
    fn handle_member_change(self: &Arc<Self>) {
        self.have_members_changed.store(true, Ordering::Relaxed);
        for id in self.pool_ids() {
            let ranked = pool_owners(&*self.cx.members, &id);
            if ranked.first() == Some(&self.me) {
                // The standby may be new and have no copy yet.
                if let Some(standby) = ranked.get(1) {
                    self.send_full_list(&id, standby, false);
                }
            } else if let Some(new_owner) = ranked.first() {
                self.send_full_list(&id, new_owner, true);
                let removed = self.pools.lock(&id).remove(&id);
                if let Some(mut owned) = removed {
                    owned.perform(|owned| owned.pool.step_down());
                }
            }
        }
        let lists: Vec<_> = self
            .standby_lists
            .iter()
            .flat_map(|lists| lists.keys().cloned().collect::<Vec<_>>())
            .collect();
        for id in lists.into_iter().filter(|id| self.owns(id)) {
            self.with_pool(&id, |_| Vec::new());
        }
    }

    /// Sends all placements of a pool, in parts, to its standby or its new owner.
    fn send_full_list(&self, id: &PoolId, to: &HostId, hands_over: bool) {
        let tries = if hands_over { MAX_HAND_OVER_TRIES } else { 1 };
        // Numbered before the placements are read, so that a list with a higher number is never older.
        let list = self.last_list.fetch_add(1, Ordering::SeqCst) + 1;
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

    /// Returns the engines of a pool, each with the sequence number of the next cache event to fetch.
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

    async fn poll_engine(&self, upstream: Arc<Upstream>, next: u64) -> EngineReport {
        let engine = self.cx.upstreams.engine(&upstream.address.to_string());
        let load = engine.load().await;
        let cache = if load.is_ok() && upstream.role == Role::Prefill {
            engine.cache_events(next).await.ok()
        } else {
            None
        };
        EngineReport {
            upstream: upstream.id.clone(),
            load,
            cache,
        }
    }
}

/// Sends a part of a full list. Returns false if the receiver did not confirm it within this number of tries.
async fn send_part(link: &dyn PeerLink, to: &HostId, part: Inflight, tries: u32) -> bool {
    for _ in 0..tries {
        match link.ask(to, PeerRequest::Inflight(part.clone())).await {
            Ok(_) => return true,
            Err(e) => log::info!(host:% = to; "part of a placement list not confirmed: {e}"),
        }
        tokio::time::sleep(HAND_OVER_RETRY_DELAY).await;
    }
    false
}

/// Calls `Pool::tick` whenever a timer of the pool is due.
async fn run_timers(owner: Weak<PoolOwner>, id: PoolId, wake: Arc<Notify>) {
    loop {
        let wait = {
            let Some(owner) = owner.upgrade() else { return };
            let pools = owner.pools.lock(&id);
            let next = pools.get(&id).and_then(|owned| owned.pool.next_timer());
            next.map(|at| at.saturating_duration_since(owner.cx.clock.now()))
        };
        // Timers of the runtime have a granularity of 1 ms; with a shorter wait the loop would only run early.
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
        owner.with_existing_pool(&id, |owned| owned.pool.tick(now));
    }
}

/// Polls load reports and cache events of a pool's engines, and applies changes of the configuration.
async fn poll_engines(owner: Weak<PoolOwner>, id: PoolId) {
    let Some(mut versions) = owner.upgrade().map(|owner| owner.cx.versions.subscribe()) else {
        return;
    };
    loop {
        {
            let Some(owner) = owner.upgrade() else { return };
            let upstreams = owner.configured_upstreams(&id);
            let now = owner.cx.clock.now();
            owner.with_existing_pool(&id, |owned| owned.pool.set_upstreams(upstreams, now));
            let engines = owner.engines(&id).into_iter();
            let reports = engines.map(|(upstream, next)| owner.poll_engine(upstream, next));
            let reports = join_all(reports).await;
            let now = owner.cx.clock.now();
            owner.with_existing_pool(&id, |owned| {
                let mut actions = Vec::new();
                for report in &reports {
                    if let Some(events) = &report.cache {
                        owned.pool.report_cache(&report.upstream, events);
                    }
                    match &report.load {
                        Ok(load) => {
                            actions.extend(owned.pool.report_load(&report.upstream, load, now));
                        }
                        Err(e) if e.kind == UpstreamErrorKind::Unreachable => {
                            owned.pool.report_unreachable(&report.upstream, now);
                        }
                        // These show neither that the engine is up nor that it is down.
                        Err(e)
                            if matches!(
                                e.kind,
                                UpstreamErrorKind::Broken | UpstreamErrorKind::Timeout
                            ) => {}
                        Err(_) => {
                            actions.extend(owned.pool.report_reachable(&report.upstream, now));
                        }
                    }
                }
                actions
            });
        }
        // A new version may stop upstreams, so it is applied at once.
        let _ = tokio::time::timeout(POLL_INTERVAL, versions.changed()).await;
    }
}

/// Copies new placements to the standby in batches.
async fn copy_changes(owner: Weak<PoolOwner>, id: PoolId, wake: Arc<Notify>) {
    loop {
        wake.notified().await;
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
                let copy = PeerRequest::Inflight(part);
                if let Err(e) = owner.cx.link.ask(&standby, copy).await {
                    // If the standby becomes owner, entry hosts announce what its list lacks.
                    log::info!(host:% = standby; "placements not copied to the standby: {e}");
                }
            }
        }
    }
}
