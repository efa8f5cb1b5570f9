//! The wait queues of all services. Requests wait here for free memory at engines; the one to serve next is woken when some may
//! have been freed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::forwarding::wait_queue::{WaitQueue, Waiter, WaiterId};
use crate::process::shard::Shards;

/// Names a queue: the service or, for requests that are confined to regions, the service and these regions.
pub type QueueId = Name;

/// The queue of one service, with a waker for each request in it.
#[derive(Debug, Default)]
struct ServiceQueue {
    waiters: WaitQueue,
    wakers: HashMap<WaiterId, Arc<Notify>>,
}

impl ServiceQueue {
    fn wake_head(&self, now: Instant) {
        let head = self.waiters.head(now);
        if let Some(waker) = head.and_then(|head| self.wakers.get(&head)) {
            waker.notify_one();
        }
    }
}

/// The wait queues by service, in shards under a lock each.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    services: Shards<HashMap<ModelId, ServiceQueue>>,
}

/// A request's entry in a queue. Dropping it removes the request and wakes the next one.
pub struct QueueEntry {
    queues: Arc<ServiceQueues>,
    clock: Arc<dyn Clock>,
    service: ModelId,
    id: WaiterId,
    waker: Arc<Notify>,
}

impl ServiceQueues {
    /// Predicts the wait of a request that is queued now, see `WaitQueue::predicted_wait`; zero if none was queued before.
    pub fn predicted_wait(
        &self,
        service: &ModelId,
        tokens: Tokens,
        capacity: Tokens,
        hosts: usize,
    ) -> Duration {
        let services = self.services.lock(service);
        let queue = services.get(service);
        queue.map_or(Duration::ZERO, |queue| {
            queue.waiters.predicted_wait(tokens, capacity, hosts)
        })
    }

    /// Returns whether no request waits for a service.
    pub fn is_empty(&self, service: &ModelId) -> bool {
        let services = self.services.lock(service);
        services
            .get(service)
            .is_none_or(|queue| queue.waiters.is_empty())
    }

    /// Adds a request to the queue of a service.
    pub fn enqueue(
        self: &Arc<Self>,
        service: &ModelId,
        waiter: Waiter,
        clock: &Arc<dyn Clock>,
    ) -> QueueEntry {
        let waker = Arc::new(Notify::new());
        let mut services = self.services.lock(service);
        let queue = services.entry(service.clone()).or_default();
        let id = queue.waiters.enqueue(waiter);
        queue.wakers.insert(id, waker.clone());
        QueueEntry {
            queues: self.clone(),
            clock: clock.clone(),
            service: service.clone(),
            id,
            waker,
        }
    }

    /// Wakes the next request of each queue, because engine memory may have been freed.
    pub fn wake_heads(&self, now: Instant) {
        for services in self.services.iter() {
            for queue in services.values() {
                queue.wake_head(now);
            }
        }
    }

    /// Records the time for which a request held its engine memory, see `WaitQueue::record_hold_time`.
    pub fn record_hold_time(&self, service: &ModelId, time: Duration, output: Tokens) {
        let mut services = self.services.lock(service);
        let queue = services.entry(service.clone()).or_default();
        queue.waiters.record_hold_time(time, output);
    }

    /// Predicts for how long a request holds its engine memory, see `WaitQueue::predicted_hold_time`.
    pub fn predicted_hold_time(&self, service: &ModelId, output: Tokens) -> Duration {
        let mut services = self.services.lock(service);
        let queue = services.entry(service.clone()).or_default();
        queue.waiters.predicted_hold_time(output)
    }

    /// Returns whether any queued request can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        let mut shards = self.services.iter();
        shards.any(|services| {
            services
                .values()
                .any(|queue| queue.waiters.has_on_time_waiter(now))
        })
    }
}

impl QueueEntry {
    /// Returns whether the request is the one to serve next.
    pub fn is_head(&self) -> bool {
        let services = self.queues.services.lock(&self.service);
        let head = services
            .get(&self.service)
            .and_then(|queue| queue.waiters.head(self.clock.now()));
        head == Some(self.id)
    }

    /// Waits until engine memory may have been freed or the queue has changed, at most until `until`.
    pub async fn wait(&self, until: Instant) {
        // The caller checks the queue again in both cases.
        let _ = tokio::time::timeout_at(until.into(), self.waker.notified()).await;
    }

    /// Wakes the request that is next now, after this one has become late.
    pub fn wake_next(&self) {
        let services = self.queues.services.lock(&self.service);
        if let Some(queue) = services.get(&self.service) {
            queue.wake_head(self.clock.now());
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut services = self.queues.services.lock(&self.service);
        if let Some(queue) = services.get_mut(&self.service) {
            queue.waiters.remove(self.id);
            queue.wakers.remove(&self.id);
            queue.wake_head(self.clock.now());
        }
    }
}
