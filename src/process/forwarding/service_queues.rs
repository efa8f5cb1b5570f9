//! Lets requests wait for room at engines, and wakes the one that is next when room may have come free.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::forwarding::wait_queue::{WaitQueue, Waiter, WaiterId};
use crate::process::shard::Shards;

/// The line of one service with the means to wake each request.
#[derive(Debug, Default)]
struct Waiting {
    line: WaitQueue,
    wakers: HashMap<WaiterId, Arc<Notify>>,
}

impl Waiting {
    fn wake_head(&self, now: Instant) {
        let head = self.line.head(now);
        if let Some(waker) = head.and_then(|head| self.wakers.get(&head)) {
            waker.notify_one();
        }
    }
}

/// The lines of all services.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    services: Shards<HashMap<ModelId, Waiting>>,
}

/// A place in a line. Dropping it leaves the line and wakes the next request.
pub struct QueueEntry {
    rooms: Arc<ServiceQueues>,
    clock: Arc<dyn Clock>,
    service: ModelId,
    no: WaiterId,
    waker: Arc<Notify>,
}

impl ServiceQueues {
    /// Predicts the wait of a request that enters now, see `WaitQueue::predicted_wait`.
    pub fn predicted_wait(
        &self,
        service: &ModelId,
        tokens: Tokens,
        room: Tokens,
        hosts: usize,
    ) -> Duration {
        let services = self.services.lock(service);
        let waiting = services.get(service);
        waiting.map_or(Duration::ZERO, |waiting| {
            waiting.line.predicted_wait(tokens, room, hosts)
        })
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self, service: &ModelId) -> bool {
        let services = self.services.lock(service);
        services
            .get(service)
            .is_none_or(|waiting| waiting.line.is_empty())
    }

    /// Enters the line of a service.
    pub fn enqueue(
        self: &Arc<Self>,
        service: &ModelId,
        waiter: Waiter,
        clock: &Arc<dyn Clock>,
    ) -> QueueEntry {
        let waker = Arc::new(Notify::new());
        let mut services = self.services.lock(service);
        let waiting = services.entry(service.clone()).or_default();
        let no = waiting.line.enqueue(waiter);
        waiting.wakers.insert(no, waker.clone());
        QueueEntry {
            rooms: self.clone(),
            clock: clock.clone(),
            service: service.clone(),
            no,
            waker,
        }
    }

    /// Wakes the request that is next in each line, because room may have come free.
    pub fn wake_heads(&self, now: Instant) {
        for services in self.services.iter() {
            for waiting in services.values() {
                waiting.wake_head(now);
            }
        }
    }

    /// Takes note of the time for which a request held its room.
    pub fn record_hold_time(&self, service: &ModelId, time: Duration, output: Tokens) {
        let mut services = self.services.lock(service);
        let waiting = services.entry(service.clone()).or_default();
        waiting.line.record_hold_time(time, output);
    }

    /// Predicts the time for which a request holds its room, see `WaitQueue::predicted_hold_time`.
    pub fn predicted_hold_time(&self, service: &ModelId, output: Tokens) -> Duration {
        let mut services = self.services.lock(service);
        let waiting = services.entry(service.clone()).or_default();
        waiting.line.predicted_hold_time(output)
    }

    /// Tells whether a request waits that can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        let mut shards = self.services.iter();
        shards.any(|services| {
            services
                .values()
                .any(|waiting| waiting.line.has_on_time_waiter(now))
        })
    }
}

impl QueueEntry {
    /// Tells whether the request is next.
    pub fn is_head(&self) -> bool {
        let services = self.rooms.services.lock(&self.service);
        let head = services
            .get(&self.service)
            .and_then(|waiting| waiting.line.head(self.clock.now()));
        head == Some(self.no)
    }

    /// Waits until room may have come free or the line has moved, at most until `until`.
    pub async fn wait(&self, until: Instant) {
        // Both outcomes lead to the same look at the line.
        let _ = tokio::time::timeout_at(until.into(), self.waker.notified()).await;
    }

    /// Has the line look anew who is next, after this request has become late.
    pub fn wake_next(&self) {
        let services = self.rooms.services.lock(&self.service);
        if let Some(waiting) = services.get(&self.service) {
            waiting.wake_head(self.clock.now());
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut services = self.rooms.services.lock(&self.service);
        if let Some(waiting) = services.get_mut(&self.service) {
            waiting.line.remove(self.no);
            waiting.wakers.remove(&self.no);
            waiting.wake_head(self.clock.now());
        }
    }
}
