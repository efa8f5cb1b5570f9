//! The order in which requests get room at engines, under loads of one pattern each.

use std::time::{Duration, Instant};

use hibiscusspread::process::forwarding::wait_queue::{WaitQueue, Waiter};

/// Serves requests that arrive 1.5 times as fast as room comes free; returns the part served with enough time left for the
/// prompt.
fn served_on_time_under_overload() -> f64 {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    // A request is on time for 540 ms; with room at the last moment its prompt would make it late.
    let (allowed, needed) = (Duration::from_millis(540), Duration::from_millis(200));
    let (arrival_gap, room_gap, length) = (20, 30, 6000);
    let mut line = WaitQueue::default();
    let mut waiting = std::collections::HashMap::new();
    let (mut served, mut on_time) = (0u32, 0u32);
    for ms in 0..length {
        let now = at(ms);
        if ms % arrival_gap == 0 {
            let no = line.enqueue(Waiter {
                priority: 1,
                since: now,
                on_time_until: now + allowed,
                tokens: 5000,
            });
            waiting.insert(no, now + allowed);
        }
        if ms % room_gap == 0
            && let Some(no) = line.head(now)
        {
            line.remove(no);
            let until = waiting.remove(&no).expect("waits");
            served += 1;
            on_time += u32::from(now + needed < until);
        }
    }
    f64::from(on_time) / f64::from(served)
}

/// Guards against the pattern of a burst in which each request gets room just before it becomes late, so that all are late.
#[test]
fn overloaded_line_serves_most_requests_on_time() {
    let part = served_on_time_under_overload();
    assert!(part > 0.8, "{part}");
}

/// Guards against requests that overtake others in a short queue.
#[test]
fn short_line_is_served_in_order() {
    let start = Instant::now();
    let mut line = WaitQueue::default();
    let mut enter = |ms: u64| {
        let since = start + Duration::from_millis(ms);
        line.enqueue(Waiter {
            priority: 1,
            since,
            on_time_until: since + Duration::from_millis(540),
            tokens: 5000,
        })
    };
    let (first, second) = (enter(0), enter(100));
    assert_eq!(line.head(start + Duration::from_millis(200)), Some(first));
    assert_eq!(line.head(start + Duration::from_millis(400)), Some(second));
    assert_eq!(line.head(start + Duration::from_secs(2)), Some(first));
}
