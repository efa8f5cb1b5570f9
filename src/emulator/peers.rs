//! A stand-in network between hosts in one process, with cuts and lost answers.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{PeerError, PeerReply, PeerRequest};
use crate::process::peer::{PeerHandler, PeerLink};
use crate::process::shard::lock;

/// Connects the handlers of several hosts.
#[derive(Default)]
pub struct PeerHub {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    handlers: HashMap<HostId, Arc<dyn PeerHandler>>,
    /// Hosts whose process is gone: their kernel refuses connections.
    refused: HashSet<HostId>,
    /// Pairs of hosts between which nothing passes, in either order.
    cuts: HashSet<(HostId, HostId)>,
    lost_answers: u32,
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
        state.refused.remove(host);
        state.handlers.insert(host.clone(), handler);
    }

    /// Ends a host's process: connections to it are refused.
    pub fn kill(&self, host: &HostId) {
        let mut state = lock(&self.state);
        state.handlers.remove(host);
        state.refused.insert(host.clone());
    }

    /// Cuts or restores the connection between two hosts.
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

    /// Loses the answers of the next `count` questions after they were handled.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.state).lost_answers = count;
    }

    /// Sets the one-way delay between hosts.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Returns the link with which `host` asks others.
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
        if state.refused.contains(to) {
            return Err(PeerError::ConnectionRefused);
        }
        let handler = state.handlers.get(to).cloned();
        let handler = handler.ok_or_else(|| PeerError::UnknownHost(to.clone()))?;
        Ok((handler, state.delay))
    }

    fn loses_answer(&self) -> bool {
        let mut state = lock(&self.state);
        let lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
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
        // The cut may have come while the question was handled.
        if self.hub.handler(&self.from, host).is_err() || self.hub.loses_answer() {
            return Err(PeerError::Unanswered("answer lost".to_owned()));
        }
        Ok(reply)
    }
}
