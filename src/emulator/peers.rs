//! An emulated network between hosts in one process, with cut links, lost replies and delays.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{PeerError, PeerReply, PeerRequest};
use crate::process::peer::{PeerHandler, PeerLink};
use crate::process::shard::lock;

/// Delivers requests between the handlers of several hosts.
#[derive(Default)]
pub struct PeerHub {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    handlers: HashMap<HostId, Arc<dyn PeerHandler>>,
    /// The hosts whose process has ended, so that connections to them are refused.
    refusing: HashSet<HostId>,
    /// The pairs of hosts whose link is cut, in both orders.
    cuts: HashSet<(HostId, HostId)>,
    /// The number of upcoming replies to drop.
    replies_to_drop: u32,
    /// The one-way delay.
    delay: Duration,
}

impl PeerHub {
    /// Creates a network without hosts.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Connects a host, or replaces its handler after a restart.
    pub fn connect(&self, host: &HostId, handler: Arc<dyn PeerHandler>) {
        let mut state = lock(&self.state);
        state.refusing.remove(host);
        state.handlers.insert(host.clone(), handler);
    }

    /// Emulates the end of a host's process. Connections to it are refused until `connect`.
    pub fn kill(&self, host: &HostId) {
        let mut state = lock(&self.state);
        state.handlers.remove(host);
        state.refusing.insert(host.clone());
    }

    /// Cuts or restores the link between two hosts.
    pub fn set_cut(&self, a: &HostId, b: &HostId, cut: bool) {
        let mut state = lock(&self.state);
        for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
            if cut {
                state.cuts.insert(pair);
            } else {
                state.cuts.remove(&pair);
            }
        }
    }

    /// Drops the replies to the next `count` requests after they were handled.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.state).replies_to_drop = count;
    }

    /// Sets the one-way delay between hosts.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Returns the link over which `host` sends requests to others.
    pub fn link(self: &Arc<Self>, host: &HostId) -> Arc<dyn PeerLink> {
        Arc::new(HubLink {
            hub: self.clone(),
            from: host.clone(),
        })
    }

    fn handler(
        &self,
        from: &HostId,
        to: &HostId,
    ) -> Result<(Arc<dyn PeerHandler>, Duration), PeerError> {
        let state = lock(&self.state);
        if state.cuts.contains(&(from.clone(), to.clone())) {
            return Err(PeerError::NotSent("cut off".to_owned()));
        }
        if state.refusing.contains(to) {
            return Err(PeerError::ConnectionRefused);
        }
        let handler = state.handlers.get(to).cloned();
        let handler = handler.ok_or_else(|| PeerError::UnknownHost(to.clone()))?;
        Ok((handler, state.delay))
    }

    fn drops_reply(&self) -> bool {
        let mut state = lock(&self.state);
        let lost = state.replies_to_drop > 0;
        state.replies_to_drop = state.replies_to_drop.saturating_sub(1);
        lost
    }
}

struct HubLink {
    hub: Arc<PeerHub>,
    from: HostId,
}

#[async_trait]
impl PeerLink for HubLink {
    async fn ask(&self, host: &HostId, req: PeerRequest) -> Result<PeerReply, PeerError> {
        let (handler, delay) = self.hub.handler(&self.from, host)?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let reply = handler.handle(&self.from, req).await;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        // The link may have been cut while the request was handled.
        if self.hub.handler(&self.from, host).is_err() || self.hub.drops_reply() {
            return Err(PeerError::Unanswered("reply lost".to_owned()));
        }
        Ok(reply)
    }
}
