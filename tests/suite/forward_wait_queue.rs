//! The order in which queued requests get engine memory, under one load pattern each.

use std::time::{Duration, Instant};

use hibiscusspread::process::forwarding::wait_queue::{WaitQueue, Waiter};

/// Serves requests that arrive 1.5 times as fast as engine memory is freed. Returns the fraction served with enough time left for
/// the prompt.
fn served_on_time_under_overload() -> f64 {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    // A request is on time for 540 ms, but served at the last moment it would become late while its prompt is prefilled.
    let (allowed, needed) = (Duration::from_millis(540), Duration::from_millis(200));
    let (arrival_gap, memory_gap, length) = (20, 30, 6000);
    let mut queue = WaitQueue::default();
    let mut waiting = std::collections::HashMap::new();
    let (mut served, mut on_time) = (0u32, 0u32);
    for ms in 0..length {
        let now = at(ms);
        if ms % arrival_gap == 0 {
            let id = queue.enqueue(Waiter {
                priority: 1,
                since: now,
                on_time_until: now + allowed,
                tokens: 5000,
            });
            waiting.insert(id, now + allowed);
        }
        if ms % memory_gap == 0
            && let Some(id) = queue.head(now)
        {
            queue.remove(id);
            let until = waiting.remove(&id).expect("request waits");
            served += 1;
            on_time += u32::from(now + needed < until);
        }
    }
    f64::from(on_time) / f64::from(served)
}

/// Load pattern: steady overload. Guards against serving each request just before it becomes late, so that all of them are late.
#[test]
fn overloaded_queue_serves_most_requests_on_time() {
    let fraction = served_on_time_under_overload();
    assert!(fraction > 0.8, "{fraction}");
}

/// Guards against serving requests out of order in a short queue.
#[test]
fn short_queue_is_served_in_order() {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    let mut enter = |ms: u64| {
        let since = start + Duration::from_millis(ms);
        queue.enqueue(Waiter {
            priority: 1,
            since,
            on_time_until: since + Duration::from_millis(540),
            tokens: 5000,
        })
    };
    let (first, second) = (enter(0), enter(100));
    assert_eq!(queue.head(start + Duration::from_millis(200)), Some(first));
    assert_eq!(queue.head(start + Duration::from_millis(400)), Some(second));
    assert_eq!(queue.head(start + Duration::from_secs(2)), Some(first));
}
