//! The settings of forwarded requests.

use std::time::Duration;

use crate::prelude::*;

/// The timeouts, limits and thresholds of forwarded requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardSettings {
    /// The time limit of a request that states no deadline.
    pub default_deadline: Duration,
    /// The time limit for opening a connection to an upstream. Upstreams are a few milliseconds away.
    pub connect_timeout: Duration,
    /// The upstreams tried for one request, including those that were unreachable or refused.
    pub max_tries: u32,
    /// The time limit of one attempt of an idempotent call while another attempt may follow, as a fraction of the time left.
    pub attempt_timeout_fraction: f64,
    /// The lower bound of that time limit.
    pub min_attempt_timeout: Duration,
    /// The time that a prefill may take on top of what `slow_prefill_rate` gives.
    pub prefill_grace: Duration,
    /// The prompt tokens per second that a slow engine prefills behind a long queue.
    pub slow_prefill_rate: f64,
    /// The time without data after which another upstream continues a resumable stream.
    pub stall_timeout: Duration,
    /// The age above which a prefilled prompt is no longer fetched, as a fraction of the time for which its engine keeps it.
    pub handle_ttl_fraction: f64,
    /// The age above which a reservation is no longer used, as a fraction of the time for which its engine keeps it. The rest
    /// covers the network latency.
    pub reservation_ttl_fraction: f64,
    /// The time limit of a call that reserves memory; engines answer it at once.
    pub reservation_timeout: Duration,
    /// The engines asked in turn to reserve memory before the request waits again.
    pub max_reservation_tries: u32,
    /// The time for which an engine gets no work after a prompt that it had prefilled could not be fetched.
    pub lost_prompt_cooldown: Duration,
    /// The fraction of a route's target for which a request may wait for its customer's rate, and a stream for capacity. The rest
    /// is needed for the prompt and the first event.
    pub wait_fraction: f64,
    /// The target latency of a route that states none.
    pub default_target: Duration,
    /// The fraction of the time until its deadline, or until its caller gives up on the first event if that is earlier, for
    /// which a stream that misses its target may still wait for capacity.
    pub late_wait_fraction: f64,
    /// How long callers are assumed to wait for the next event of a stream: the longest of this and of the two limits below.
    pub caller_event_timeout: Duration,
    /// How many times the route's target for the first event callers are assumed to wait.
    pub caller_event_timeout_targets: u32,
    /// How many times the route's target for the gap between events callers are assumed to wait.
    pub caller_event_timeout_gaps: u32,
    /// The fraction of an engine's memory that may be in use after adding a request that can still meet its target.
    pub max_kv_fill: f64,
    /// The same for late requests; the difference is left for those on time.
    pub max_kv_fill_late: f64,
    /// The predicted time to work off an engine's queued prompts above which new prompts wait instead: the queue is enough to
    /// keep the prefill engines busy.
    pub max_prefill_backlog: Duration,
    /// The longest prompt that a decode engine prefills itself while the prefill engines are busy. It does so in pieces between
    /// the tokens of its other requests; a longer prompt would pause their streams beyond their gap target.
    pub max_decode_prefill_tokens: Tokens,
    /// The `Retry-After` of requests that are refused because no upstream could take them.
    pub retry_after: Duration,
    /// The time since the last contact with an upstream within which a call that must not run twice may be sent on a
    /// kept connection. After a longer time the connection may be dead, and then it is unknown whether the call ran.
    pub reuse_window_once: Duration,
    /// The same for streams, which cost more to lose.
    pub reuse_window_stream: Duration,
    /// The same for calls that may be repeated.
    pub reuse_window_repeatable: Duration,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(150),
            max_tries: 5,
            attempt_timeout_fraction: 0.4,
            min_attempt_timeout: Duration::from_millis(150),
            prefill_grace: Duration::from_millis(400),
            slow_prefill_rate: 12_000.0,
            stall_timeout: Duration::from_millis(1500),
            handle_ttl_fraction: 0.8,
            reservation_ttl_fraction: 0.95,
            reservation_timeout: Duration::from_millis(250),
            max_reservation_tries: 4,
            lost_prompt_cooldown: Duration::from_secs(1),
            wait_fraction: 0.6,
            default_target: Duration::from_secs(1),
            late_wait_fraction: 0.75,
            caller_event_timeout: Duration::from_secs(2),
            caller_event_timeout_targets: 4,
            caller_event_timeout_gaps: 8,
            max_kv_fill: 1.0,
            max_kv_fill_late: 0.95,
            max_prefill_backlog: Duration::from_millis(350),
            max_decode_prefill_tokens: 6500,
            retry_after: Duration::from_millis(500),
            reuse_window_once: Duration::from_secs(1),
            reuse_window_stream: Duration::from_millis(400),
            reuse_window_repeatable: Duration::from_secs(5),
        }
    }
}
