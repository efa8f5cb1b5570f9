//! Places attempts through the owners of pools, on this host or others, and spills over to other data centres.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::members::Members;
use crate::process::message::{
    CancelPlace, LatePolicy, PeerError, PeerReply, PeerRequest, PlaceReply, PlaceRequest, PoolId,
    Release, RunningAttempt,
};
use crate::process::peer::PeerLink;
use crate::process::placer::Placer;
use crate::process::pool::{AttemptKey, attempt_key};
use crate::process::pool_owner::{PoolOwner, pool_owners};
use crate::process::recovery::{PossibleHolders, RunningAttempts};
use crate::version::cell::VersionCell;

/// The longest time for which a place request waits for an owner that answers. Failures of hosts are detected in less.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// As `OWNER_TIMEOUT`, for an owner in another data centre, which may be cut off.
const SPILL_OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which an owner that gave no answer is tried again, unless the live hosts change first.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time for which a message is repeated until an owner confirms it. Failed hosts are declared dead within
/// 10 s, and a new owner cancels by itself what no entry host adopts.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(15);

/// The parts of the process that a fleet placer uses.
pub struct PlacerContext {
    /// This host's data centre, whose pools are tried first.
    pub data_centre: DataCentreId,
    /// The live hosts, from which the owner of each pool follows.
    pub members: Arc<dyn Members>,
    /// The configuration in force, with the pools of each model.
    pub versions: Arc<VersionCell>,
    /// The clock that deadlines and waits are measured by.
    pub clock: Arc<dyn Clock>,
    /// The link to other hosts, for messages to owners.
    pub link: Arc<dyn PeerLink>,
    /// The pools that this host owns.
    pub owner: Arc<PoolOwner>,
}

/// Places attempts through the owners of pools, and tells new owners which attempts of this host run.
pub struct FleetPlacer {
    cx: PlacerContext,
    me: HostId,
    attempts: Arc<RunningAttempts>,
}

impl FleetPlacer {
    /// Starts a placer that announces its attempts whenever the live hosts change.
    ///
    /// # Panics
    ///
    /// Panics when called outside a tokio runtime.
    pub fn start(cx: PlacerContext) -> Arc<Self> {
        let me = cx.members.me();
        let placer = Arc::new(Self {
            me: me.host.clone(),
            attempts: Arc::new(RunningAttempts::new(me.host, me.incarnation)),
            cx,
        });
        tokio::spawn(announce_attempts(
            Arc::downgrade(&placer),
            placer.cx.members.subscribe(),
        ));
        placer
    }

    /// Returns the attempts for which this host is the entry host.
    pub fn attempts(&self) -> &RunningAttempts {
        &self.attempts
    }

    /// Returns the pools that serve the request's model or service: this data centre's first, then those of the data
    /// centres that follow it in the configuration, wrapping around.
    fn pools_in_order(&self, req: &PlaceRequest) -> SmallVec<[PoolId; 4]> {
        let compiled = self.cx.versions.current();
        let centres = &compiled.data_centres;
        let here = centres.iter().position(|c| *c == self.cx.data_centre);
        let here = here.unwrap_or(0);
        let others = centres.iter().cycle().skip(here + 1).take(centres.len());
        let others = others.filter(|c| **c != self.cx.data_centre).cloned();
        let data_centres = std::iter::once(self.cx.data_centre.clone()).chain(others);
        data_centres
            .map(|data_centre| PoolId {
                data_centre,
                model: req.pool.model.clone(),
            })
            .filter(|pool| !compiled.pool(pool).is_empty())
            .collect()
    }

    fn owner_of(&self, pool: &PoolId) -> Option<HostId> {
        pool_owners(&*self.cx.members, pool).into_iter().next()
    }

    /// Sends a place request to a host; `None` if it gave no reply, or is not the owner.
    async fn place_at_host(&self, host: &HostId, req: PlaceRequest) -> Option<PlaceReply> {
        let (key, pool) = (attempt_key(&req), req.pool.clone());
        self.attempts.record_owner_asked(key, &pool, host);
        let reply = if *host == self.me {
            self.cx.owner.place(req).await
        } else {
            match self.cx.link.ask(host, PeerRequest::Place(req)).await {
                Ok(PeerReply::Place(reply)) => reply,
                Ok(other) => {
                    log::warn!(host:%; "unexpected reply to a place request: {other:?}");
                    return None;
                }
                Err(e) => {
                    if matches!(e, PeerError::ConnectionRefused) {
                        self.attempts.record_owner_answered(key, &pool, host);
                    }
                    log::info!(host:%; "place request not answered: {e}");
                    return None;
                }
            }
        };
        self.attempts.record_owner_answered(key, &pool, host);
        (reply != PlaceReply::NotOwner).then_some(reply)
    }

    /// Sends a place request to the owner of its pool, and to the next owner if that changes. Returns `NotOwner` if no
    /// owner answers in time.
    async fn place_in_pool(&self, req: PlaceRequest) -> PlaceReply {
        self.attempts.record_asked(attempt_key(&req), &req.pool);
        let asked_at = self.cx.clock.now();
        let mut changes = self.cx.members.subscribe();
        let mut unreachable_since: Option<Instant> = None;
        let timeout = if req.pool.data_centre == self.cx.data_centre {
            OWNER_TIMEOUT
        } else {
            SPILL_OWNER_TIMEOUT
        };
        loop {
            if let Some(owner) = self.owner_of(&req.pool) {
                let now = self.cx.clock.now();
                let reply_future = self.place_at_host(&owner, with_time_left(&req, now - asked_at));
                tokio::pin!(reply_future);
                let reply = loop {
                    tokio::select! {
                        reply = &mut reply_future => break reply,
                        Ok(()) = changes.changed() => {
                            // A former owner that is gone may never reply.
                            if self.owner_of(&req.pool).as_ref() != Some(&owner) {
                                break None;
                            }
                        }
                    }
                };
                if let Some(reply) = reply {
                    return reply;
                }
                if self.owner_of(&req.pool).is_some_and(|next| next != owner) {
                    continue;
                }
            }
            let now = self.cx.clock.now();
            if now - *unreachable_since.get_or_insert(now) >= timeout {
                return PlaceReply::NotOwner;
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, changes.changed()).await;
        }
    }

    /// Tries the pools in turn for a placement within the deadline, then waits at the one with the shortest expected
    /// wait.
    async fn place_in_pools(&self, req: &PlaceRequest) -> PlaceReply {
        let pools = self.pools_in_order(req);
        let started = self.cx.clock.now();
        let request_for = |pool: &PoolId, late: LatePolicy| PlaceRequest {
            pool: pool.clone(),
            late,
            ..with_time_left(req, self.cx.clock.now() - started)
        };
        if let [pool] = &pools[..] {
            return self.place_in_pool(request_for(pool, req.late)).await;
        }
        let mut shortest: Option<(Duration, &PoolId)> = None;
        for pool in &pools {
            match self
                .place_in_pool(request_for(pool, LatePolicy::Refuse))
                .await
            {
                PlaceReply::Busy { expected_wait } => {
                    if shortest.is_none_or(|(wait, _)| expected_wait < wait) {
                        shortest = Some((expected_wait, pool));
                    }
                }
                PlaceReply::NoUpstream => {}
                PlaceReply::NotOwner => self.withdraw(req, pool),
                reply => return reply,
            }
        }
        match (shortest, req.late) {
            (None, _) => PlaceReply::NoUpstream,
            (Some((expected_wait, _)), LatePolicy::Refuse) => PlaceReply::Busy { expected_wait },
            (Some((_, pool)), LatePolicy::Wait) => {
                self.place_in_pool(request_for(pool, LatePolicy::Wait))
                    .await
            }
        }
    }

    /// Withdraws a place request that may have reached an owner whose reply was lost.
    fn withdraw(&self, req: &PlaceRequest, pool: &PoolId) {
        let cancel = CancelPlace {
            request: req.request,
            attempt: req.attempt,
            pool: pool.clone(),
        };
        let message = PeerRequest::CancelPlace(cancel);
        tokio::spawn(self.send_until_confirmed(pool.clone(), move || vec![message.clone()]));
    }

    /// Sends messages to the owner of a pool, and to the next owner if that changes, until one confirms all of them in
    /// order. `messages` is called anew for each try.
    fn send_until_confirmed<F>(
        &self,
        pool: PoolId,
        messages: F,
    ) -> impl Future<Output = ()> + use<F>
    where
        F: Fn() -> Vec<PeerRequest> + Send + 'static,
    {
        let members = self.cx.members.clone();
        let (link, local, me) = (self.cx.link.clone(), self.cx.owner.clone(), self.me.clone());
        async move {
            let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
            let mut retry_delay = RETRY_INTERVAL;
            loop {
                let owner = pool_owners(&*members, &pool).into_iter().next();
                let is_confirmed = match owner {
                    Some(owner) if owner == me => messages()
                        .iter()
                        .all(|message| apply_locally(&local, message)),
                    Some(owner) => send_all(&*link, &owner, messages()).await,
                    None => false,
                };
                if is_confirmed {
                    return;
                }
                if tokio::time::Instant::now() >= deadline {
                    log::warn!(pool:? = pool; "message to the owner of the pool not confirmed in time; reservations end by timeout");
                    return;
                }
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(Duration::from_secs(1));
            }
        }
    }

    /// Withdraws an ended attempt at the hosts whose reply did not arrive. A host that this host no longer considers
    /// the owner may have placed the attempt, and would hold its slot until the attempt's `hold_limit`.
    fn withdraw_unanswered(&self, (request, attempt): AttemptKey, ended: &PossibleHolders) {
        for (host, pool) in ended.unanswered.iter().cloned() {
            let cancel = CancelPlace {
                request,
                attempt,
                pool,
            };
            if host == self.me {
                self.cx.owner.cancel(&cancel);
                continue;
            }
            let link = self.cx.link.clone();
            tokio::spawn(async move {
                let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
                let mut retry_delay = RETRY_INTERVAL;
                while tokio::time::Instant::now() < deadline {
                    let message = PeerRequest::CancelPlace(cancel.clone());
                    match link.ask(&host, message).await {
                        // A host that does not own the pool holds nothing.
                        Ok(_) | Err(PeerError::ConnectionRefused) => return,
                        Err(_) => tokio::time::sleep(retry_delay).await,
                    }
                    retry_delay = (retry_delay * 2).min(Duration::from_secs(1));
                }
                log::warn!(host:%; "cancel not confirmed by a host that may hold the attempt; its reservation ends by timeout");
            });
        }
    }

    /// Announces this host's running attempts of a pool to its owner.
    fn announce(&self, pool: PoolId) {
        // The list is made anew for each try, because an attempt may end in between: the next owner may not get its
        // release, and would hold the attempt until its `hold_limit`.
        let (attempts, of_pool) = (self.attempts.clone(), pool.clone());
        tokio::spawn(self.send_until_confirmed(pool, move || {
            let parts = attempts.announcement(&of_pool).split();
            parts.into_iter().map(PeerRequest::Adopt).collect()
        }));
    }
}

/// Sends messages to a host in order. Returns false at the first one that is not confirmed.
async fn send_all(link: &dyn PeerLink, host: &HostId, messages: Vec<PeerRequest>) -> bool {
    for message in messages {
        if !matches!(link.ask(host, message).await, Ok(PeerReply::Ack)) {
            return false;
        }
    }
    true
}

fn apply_locally(owner: &Arc<PoolOwner>, message: &PeerRequest) -> bool {
    match message {
        PeerRequest::Release(release) => owner.release(release),
        PeerRequest::CancelPlace(cancel) => owner.cancel(cancel),
        PeerRequest::Adopt(adopt) => owner.adopt(adopt),
        _ => false,
    }
}

/// Returns a place request whose deadline and longest wait are reduced by the time that has passed.
fn with_time_left(req: &PlaceRequest, passed: Duration) -> PlaceRequest {
    PlaceRequest {
        deadline: req.deadline.saturating_sub(passed),
        max_wait: req.max_wait.saturating_sub(passed),
        ..req.clone()
    }
}

async fn announce_attempts(
    placer: Weak<FleetPlacer>,
    mut changes: tokio::sync::watch::Receiver<u64>,
) {
    while changes.changed().await.is_ok() {
        let Some(placer) = placer.upgrade() else {
            return;
        };
        // Announces all pools, whether or not their owner changed: repeats are harmless, and an owner that changed
        // twice between two checks is not missed.
        for pool in placer.attempts.pools() {
            placer.announce(pool);
        }
    }
}

#[async_trait]
impl Placer for FleetPlacer {
    async fn place(&self, req: PlaceRequest) -> PlaceReply {
        let key = attempt_key(&req);
        let changes = self.cx.members.subscribe();
        let reply = self.place_in_pools(&req).await;
        let PlaceReply::Placed(placement) = reply else {
            let ended = self.attempts.remove(key);
            self.withdraw_unanswered(key, &ended);
            return match reply {
                PlaceReply::NotOwner => {
                    self.withdraw(&req, &req.pool);
                    PlaceReply::NoUpstream
                }
                reply => reply,
            };
        };
        let compiled = self.cx.versions.current();
        let target = compiled.upstreams.get(&placement.target);
        let pool = target.map_or_else(|| req.pool.clone(), |u| u.pool());
        let running = RunningAttempt::new(&req, placement.clone());
        let is_live = self.attempts.record_placed(pool.clone(), running);
        if !is_live {
            self.withdraw(&req, &pool);
            return PlaceReply::Withdrawn;
        }
        if changes.has_changed().unwrap_or(false) {
            // The owner may have replied after this host's attempts were announced to the next one.
            self.announce(pool);
        }
        PlaceReply::Placed(placement)
    }

    async fn release(&self, release: Release) {
        let key = (release.request, release.attempt);
        let ended = self.attempts.remove(key);
        self.withdraw_unanswered(key, &ended);
        let pool = ended.pools.into_iter().next();
        let pool = pool.unwrap_or_else(|| release.pool.clone());
        let release = Release {
            pool: pool.clone(),
            ..release
        };
        self.send_until_confirmed(pool, move || vec![PeerRequest::Release(release.clone())])
            .await;
    }

    async fn cancel(&self, cancel: CancelPlace) {
        let key = (cancel.request, cancel.attempt);
        let ended = self.attempts.remove(key);
        self.withdraw_unanswered(key, &ended);
        for pool in ended.pools {
            let cancel = CancelPlace {
                pool: pool.clone(),
                ..cancel.clone()
            };
            let message = PeerRequest::CancelPlace(cancel);
            tokio::spawn(self.send_until_confirmed(pool, move || vec![message.clone()]));
        }
    }
}
