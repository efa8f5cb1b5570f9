//! Places through the pools' owners, here or at other hosts, and spills to other data centres.

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
use crate::process::recovery::{Ended, RunningAttempts};
use crate::version::cell::VersionCell;

/// The time for which a question waits for the next owner. Failures are detected in less.
const OWNER_AWAY: Duration = Duration::from_secs(3);

/// The time for which a question waits for the next owner in another data centre, which may be cut off.
const SPILL_OWNER_AWAY: Duration = Duration::from_millis(500);

/// The time after which an owner that is away is asked again, unless the members change first.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The time for which a message is repeated until an owner confirms it. Deaths are declared within 10 s, and a
/// new owner drops by itself what no entry host adopts.
const TELL_FOR: Duration = Duration::from_secs(15);

/// What the placer needs from the process.
pub struct PlacerContext {
    /// This host's data centre.
    pub data_centre: DataCentreId,
    /// Which hosts are there.
    pub members: Arc<dyn Members>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The link to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The pools that this host owns.
    pub owner: Arc<PoolOwner>,
}

/// Places through the owners of pools.
pub struct FleetPlacer {
    cx: PlacerContext,
    me: HostId,
    attempts: Arc<RunningAttempts>,
}

impl FleetPlacer {
    /// Starts a placer. Must be called within a tokio runtime.
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

    /// Returns the attempts of this host.
    pub fn attempts(&self) -> &RunningAttempts {
        &self.attempts
    }

    /// Returns the pools that serve a model or service: this data centre's first, then the others from the next
    /// one in the configuration on.
    fn pools(&self, req: &PlaceRequest) -> SmallVec<[PoolId; 4]> {
        let compiled = self.cx.versions.current();
        let centres = &compiled.data_centres;
        let here = centres.iter().position(|c| *c == self.cx.data_centre);
        let here = here.unwrap_or(0);
        let others = centres.iter().cycle().skip(here + 1).take(centres.len());
        let others = others.filter(|c| **c != self.cx.data_centre).cloned();
        let pools = std::iter::once(self.cx.data_centre.clone()).chain(others);
        pools
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

    /// Asks a host; `None` if it gave no answer that counts.
    async fn ask_host(&self, host: &HostId, req: PlaceRequest) -> Option<PlaceReply> {
        let (key, pool) = (attempt_key(&req), req.pool.clone());
        self.attempts.ask_owner(key, &pool, host);
        let reply = if *host == self.me {
            self.cx.owner.place(req).await
        } else {
            match self.cx.link.ask(host, PeerRequest::Place(req)).await {
                Ok(PeerReply::Place(reply)) => reply,
                Ok(other) => {
                    log::warn!(host:%; "question for upstreams answered with {other:?}");
                    return None;
                }
                Err(e) => {
                    if matches!(e, PeerError::ConnectionRefused) {
                        self.attempts.hear_owner(key, &pool, host);
                    }
                    log::info!(host:%; "question for upstreams not answered: {e}");
                    return None;
                }
            }
        };
        self.attempts.hear_owner(key, &pool, host);
        (reply != PlaceReply::NotOwner).then_some(reply)
    }

    /// Asks the owner of the pool, and the next one if it goes away. Returns `NotOwner` if there is none in time.
    async fn ask(&self, req: PlaceRequest) -> PlaceReply {
        self.attempts.ask(attempt_key(&req), &req.pool);
        let asked_at = self.cx.clock.now();
        let mut changes = self.cx.members.subscribe();
        let mut away_since: Option<Instant> = None;
        let longest_away = if req.pool.data_centre == self.cx.data_centre {
            OWNER_AWAY
        } else {
            SPILL_OWNER_AWAY
        };
        loop {
            if let Some(owner) = self.owner_of(&req.pool) {
                let now = self.cx.clock.now();
                let question = self.ask_host(&owner, shortened(&req, now - asked_at));
                tokio::pin!(question);
                let reply = loop {
                    tokio::select! {
                        reply = &mut question => break reply,
                        Ok(()) = changes.changed() => {
                            // An owner that is gone may leave the question without any answer.
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
            if now - *away_since.get_or_insert(now) >= longest_away {
                return PlaceReply::NotOwner;
            }
            let _ = tokio::time::timeout(ASK_AGAIN, changes.changed()).await;
        }
    }

    /// Asks the pools in turn for a place in time, then waits where the wait is shortest.
    async fn ask_pools(&self, req: &PlaceRequest) -> PlaceReply {
        let pools = self.pools(req);
        let started = self.cx.clock.now();
        let at = |pool: &PoolId, late: LatePolicy| PlaceRequest {
            pool: pool.clone(),
            late,
            ..shortened(req, self.cx.clock.now() - started)
        };
        if let [pool] = &pools[..] {
            return self.ask(at(pool, req.late)).await;
        }
        let mut shortest: Option<(Duration, &PoolId)> = None;
        for pool in &pools {
            match self.ask(at(pool, LatePolicy::Refuse)).await {
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
            (Some((_, pool)), LatePolicy::Wait) => self.ask(at(pool, LatePolicy::Wait)).await,
        }
    }

    /// Withdraws a question that may have reached an owner whose answer was lost.
    fn withdraw(&self, req: &PlaceRequest, pool: &PoolId) {
        let cancel = CancelPlace {
            request: req.request,
            attempt: req.attempt,
            pool: pool.clone(),
        };
        let message = PeerRequest::CancelPlace(cancel);
        tokio::spawn(self.tell(pool.clone(), move || vec![message.clone()]));
    }

    /// Tells the owner of a pool, and the next one if it goes away, until one confirms all messages in turn. They
    /// are made anew for each try.
    fn tell<F>(&self, pool: PoolId, messages: F) -> impl Future<Output = ()> + use<F>
    where
        F: Fn() -> Vec<PeerRequest> + Send + 'static,
    {
        let members = self.cx.members.clone();
        let (link, local, me) = (self.cx.link.clone(), self.cx.owner.clone(), self.me.clone());
        async move {
            let give_up = tokio::time::Instant::now() + TELL_FOR;
            let mut pause = ASK_AGAIN;
            loop {
                let owner = pool_owners(&*members, &pool).into_iter().next();
                let is_told = match owner {
                    Some(owner) if owner == me => messages()
                        .iter()
                        .all(|message| tell_locally(&local, message)),
                    Some(owner) => tell_all(&*link, &owner, messages()).await,
                    None => false,
                };
                if is_told {
                    return;
                }
                if tokio::time::Instant::now() >= give_up {
                    log::warn!(pool:? = pool; "owner of the pool not reached; its deadlines free what is held");
                    return;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(Duration::from_secs(1));
            }
        }
    }

    /// Withdraws an ended attempt at the hosts whose answer was not heard. A host that no longer owns the pool in the
    /// view of this one may have placed the attempt, and would hold its slot until the attempt's limit.
    fn withdraw_unanswered(&self, (request, attempt): AttemptKey, ended: &Ended) {
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
                let give_up = tokio::time::Instant::now() + TELL_FOR;
                let mut pause = ASK_AGAIN;
                while tokio::time::Instant::now() < give_up {
                    let message = PeerRequest::CancelPlace(cancel.clone());
                    match link.ask(&host, message).await {
                        // A host that does not own the pool holds nothing.
                        Ok(_) | Err(PeerError::ConnectionRefused) => return,
                        Err(_) => tokio::time::sleep(pause).await,
                    }
                    pause = (pause * 2).min(Duration::from_secs(1));
                }
                log::warn!(host:%; "owner that gave no answer not reached; its deadlines free what it holds");
            });
        }
    }

    /// Announces this host's attempts of a pool to its owner.
    fn announce(&self, pool: PoolId) {
        // An attempt may end between two questions. The next owner need not know of its release, and would hold the
        // attempt until its limit.
        let (attempts, of_pool) = (self.attempts.clone(), pool.clone());
        tokio::spawn(self.tell(pool, move || {
            let parts = attempts.adopt(&of_pool).split();
            parts.into_iter().map(PeerRequest::Adopt).collect()
        }));
    }
}

/// Tells a host several messages in turn. Returns false at the first one that is not confirmed.
async fn tell_all(link: &dyn PeerLink, host: &HostId, messages: Vec<PeerRequest>) -> bool {
    for message in messages {
        if !matches!(link.ask(host, message).await, Ok(PeerReply::Ack)) {
            return false;
        }
    }
    true
}

fn tell_locally(owner: &Arc<PoolOwner>, message: &PeerRequest) -> bool {
    match message {
        PeerRequest::Release(release) => owner.release(release),
        PeerRequest::CancelPlace(cancel) => owner.cancel(cancel),
        PeerRequest::Adopt(adopt) => owner.adopt(adopt),
        _ => false,
    }
}

/// Returns a question with the time that has passed taken off.
fn shortened(req: &PlaceRequest, passed: Duration) -> PlaceRequest {
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
        // All pools are announced, whether or not their owner changed: repeats are harmless, and an owner that
        // changed twice is not missed.
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
        let reply = self.ask_pools(&req).await;
        let PlaceReply::Placed(placement) = reply else {
            let ended = self.attempts.end(key);
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
        let is_wanted = self.attempts.place(pool.clone(), running);
        if !is_wanted {
            self.withdraw(&req, &pool);
            return PlaceReply::Withdrawn;
        }
        if changes.has_changed().unwrap_or(false) {
            // The owner may have answered after this host's attempts were announced to the next one.
            self.announce(pool);
        }
        PlaceReply::Placed(placement)
    }

    async fn release(&self, release: Release) {
        let key = (release.request, release.attempt);
        let ended = self.attempts.end(key);
        self.withdraw_unanswered(key, &ended);
        let pool = ended.pools.into_iter().next();
        let pool = pool.unwrap_or_else(|| release.pool.clone());
        let release = Release {
            pool: pool.clone(),
            ..release
        };
        self.tell(pool, move || vec![PeerRequest::Release(release.clone())])
            .await;
    }

    async fn cancel(&self, cancel: CancelPlace) {
        let key = (cancel.request, cancel.attempt);
        let ended = self.attempts.end(key);
        self.withdraw_unanswered(key, &ended);
        for pool in ended.pools {
            let cancel = CancelPlace {
                pool: pool.clone(),
                ..cancel.clone()
            };
            let message = PeerRequest::CancelPlace(cancel);
            tokio::spawn(self.tell(pool, move || vec![message.clone()]));
        }
    }
}
