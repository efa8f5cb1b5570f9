//! Decides which engines switch between prefill and decode.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::version::compiled::Role;

/// The ratio of queue times above which the role with the longer queue is short of engines.
const SHORTAGE_RATIO: f64 = 2.0;

/// How long a shortage must last before an engine switches; shorter peaks pass before the switch takes effect.
const MIN_SHORTAGE: Duration = Duration::from_mins(1);

/// The minimum time between two role changes of one engine.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_mins(5);

/// The queue time up to which a role is never short of engines; shorter queue times give meaningless ratios.
const NEGLIGIBLE_QUEUE: Duration = Duration::from_millis(100);

/// An engine that can change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The engine's id in the configuration.
    pub upstream: UpstreamId,
    /// Its current role.
    pub role: Role,
    /// The number of requests that it runs now.
    pub running: u32,
}

/// The expected queue times of one pool.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct QueueTimes {
    /// The expected wait for a prefill.
    pub prefill: Duration,
    /// The expected wait for a decode slot.
    pub decode: Duration,
}

/// Plans the role changes of one pool.
#[derive(Debug, Default)]
pub struct RolePlanner {
    /// The role that is short of engines, and since when.
    short: Option<(Role, Instant)>,
    /// When each engine last changed its role.
    changed: HashMap<UpstreamId, Instant>,
}

impl RolePlanner {
    /// Returns the engine that should change its role and the new role; `None` if no change is due.
    pub fn plan(
        &mut self,
        queues: QueueTimes,
        engines: &[Candidate],
        now: Instant,
    ) -> Option<(UpstreamId, Role)> {
        let short = short_role(queues);
        let since = match (short, self.short) {
            (None, _) => {
                self.short = None;
                return None;
            }
            (Some(role), Some((last, since))) if role == last => since,
            (Some(role), _) => {
                self.short = Some((role, now));
                return None;
            }
        };
        let role = short?;
        if now.saturating_duration_since(since) < MIN_SHORTAGE {
            return None;
        }
        let upstream = self.pick(role, engines, now)?;
        self.changed.insert(upstream.clone(), now);
        self.short = None;
        Some((upstream, role))
    }

    /// Picks the least busy engine of the other role that may change. The last engine of a role keeps it.
    fn pick(&self, role: Role, engines: &[Candidate], now: Instant) -> Option<UpstreamId> {
        let others: Vec<_> = engines.iter().filter(|e| e.role != role).collect();
        if others.len() <= 1 {
            return None;
        }
        let may_change = |e: &&&Candidate| {
            let last = self.changed.get(&e.upstream);
            last.is_none_or(|last| now.saturating_duration_since(*last) >= MIN_CHANGE_INTERVAL)
        };
        others
            .iter()
            .filter(may_change)
            .min_by(|a, b| (a.running, &a.upstream).cmp(&(b.running, &b.upstream)))
            .map(|e| e.upstream.clone())
    }
}

fn short_role(queues: QueueTimes) -> Option<Role> {
    let (prefill, decode) = (queues.prefill, queues.decode);
    let exceeds = |a: Duration, b: Duration| {
        a > NEGLIGIBLE_QUEUE
            && a.as_secs_f64() > SHORTAGE_RATIO * b.max(NEGLIGIBLE_QUEUE).as_secs_f64()
    };
    if exceeds(prefill, decode) {
        Some(Role::Prefill)
    } else if exceeds(decode, prefill) {
        Some(Role::Decode)
    } else {
        None
    }
}
