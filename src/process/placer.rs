//! The interface through which requests get upstreams, and an implementation for a single host without a queue.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{CancelPlace, PlaceReply, PlaceRequest, Placement, Release};
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::compiled::{Role, Upstream};

/// Reserves upstreams for attempts.
#[async_trait]
pub trait Placer: Send + Sync {
    /// Waits until upstreams are reserved for the attempt, or returns why there are none.
    async fn place(&self, req: PlaceRequest) -> PlaceReply;
    /// Frees what is reserved for the attempt.
    async fn release(&self, release: Release);
    /// Withdraws a place request, whether it waits or was placed.
    async fn cancel(&self, cancel: CancelPlace);
}

/// Places attempts on the least loaded upstream by this host's own count; refuses them if it is full.
pub struct LocalPlacer {
    versions: Arc<VersionCell>,
    state: Mutex<LocalState>,
}

#[derive(Default)]
struct LocalState {
    running_by_target: HashMap<UpstreamId, u32>,
    attempts: HashMap<(RequestId, AttemptNo), UpstreamId>,
}

impl LocalPlacer {
    /// Creates a placer that uses the current configuration in `versions`.
    pub fn new(versions: Arc<VersionCell>) -> Self {
        Self {
            versions,
            state: Mutex::default(),
        }
    }

    fn free(&self, request: RequestId, attempt: AttemptNo) {
        let mut state = lock(&self.state);
        if let Some(upstream) = state.attempts.remove(&(request, attempt))
            && let Some(running) = state.running_by_target.get_mut(&upstream)
        {
            *running = running.saturating_sub(1);
        }
    }
}

#[async_trait]
impl Placer for LocalPlacer {
    async fn place(&self, req: PlaceRequest) -> PlaceReply {
        let compiled = self.versions.current();
        let upstreams = compiled.pool(&req.pool);
        let is_allowed = |u: &&Arc<Upstream>| !req.avoid.contains(&u.id);
        let mut state = lock(&self.state);
        let running_at =
            |u: &Arc<Upstream>| state.running_by_target.get(&u.id).copied().unwrap_or(0);
        let target = upstreams
            .iter()
            .filter(|u| u.role != Role::Prefill)
            .filter(is_allowed)
            .min_by_key(|u| running_at(u));
        let prefill = upstreams
            .iter()
            .filter(|u| u.role == Role::Prefill)
            .filter(is_allowed)
            .min_by_key(|u| running_at(u));
        let Some(target) = target else {
            return PlaceReply::NoUpstream;
        };
        if target.role == Role::Decode && prefill.is_none() {
            return PlaceReply::NoUpstream;
        }
        if running_at(target) >= target.slots {
            return PlaceReply::Busy {
                expected_wait: Duration::from_secs(1),
            };
        }
        let target = target.id.clone();
        *state.running_by_target.entry(target.clone()).or_default() += 1;
        state
            .attempts
            .insert((req.request, req.attempt), target.clone());
        PlaceReply::Placed(Placement {
            prefill: prefill.map(|u| u.id.clone()),
            target,
            expected_cached: 0,
        })
    }

    async fn release(&self, release: Release) {
        self.free(release.request, release.attempt);
    }

    async fn cancel(&self, cancel: CancelPlace) {
        self.free(cancel.request, cancel.attempt);
    }
}
