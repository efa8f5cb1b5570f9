//! The settings of the path of a forwarded request.

use std::time::Duration;

use crate::prelude::*;

/// The settings of the path of a forwarded request.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardSettings {
    /// The deadline of a request that states none.
    pub default_deadline: Duration,
    /// The time to open a connection to an upstream. Upstreams are a few milliseconds away.
    pub connect_timeout: Duration,
    /// The upstreams tried for a request in all, those that could not be reached and that refused included.
    pub max_tries: u32,
    /// The part of the time left for which an idempotent call waits for an upstream while another one could run it.
    pub attempt_timeout_fraction: f64,
    /// The least such time.
    pub min_attempt_timeout: Duration,
    /// The time that a prefill may take besides a multiple of the time expected.
    pub prefill_grace: Duration,
    /// The prompt tokens a second that a slow engine prefills behind a long queue.
    pub slow_prefill_rate: f64,
    /// The time between two events of a stream that may be resumed after which another upstream continues it.
    pub stall_timeout: Duration,
    /// The age from which a prefilled prompt is not sent for any more, as a part of the time for which it is kept.
    pub handle_ttl_fraction: f64,
    /// The part of the time for which engines keep memory at most, for which it is reserved before the prompt is prefilled. The
    /// rest covers the way.
    pub reservation_ttl_fraction: f64,
    /// The time for which a call that reserves memory is waited for; engines answer it at once.
    pub reservation_timeout: Duration,
    /// The engines asked for memory one after the other before the request waits again.
    pub max_reservation_tries: u32,
    /// The time for which an engine prefills no further prompts for this host after one that it held could not be fetched.
    pub lost_prompt_cooldown: Duration,
    /// The part of a route's target for which a request may wait for its customer's rate, and a stream for room. The rest is
    /// needed for the prompt and the first event.
    pub wait_fraction: f64,
    /// The target of a route that states none.
    pub default_target: Duration,
    /// The part of the time until its deadline, and of the time that its caller waits for the first event, for which a stream
    /// may wait for room, late as it is.
    pub late_wait_fraction: f64,
    /// The least time for which callers wait for the next event of a stream.
    pub caller_event_timeout: Duration,
    /// The same as a multiple of the target for the first event.
    pub caller_event_timeout_targets: u32,
    /// The same as a multiple of the longest pause that is on time.
    pub caller_event_timeout_gaps: u32,
    /// The part of an engine's memory that requests may fill which can still meet their target.
    pub max_kv_fill: f64,
    /// The part that other requests may fill, which leaves room for those.
    pub max_kv_fill_late: f64,
    /// The predicted time of a prefill from which requests wait for room instead: the prompts ahead of them are enough to
    /// keep the prefill engines busy.
    pub max_prefill_backlog: Duration,
    /// The longest prompt in tokens that a decode engine prefills by itself while the prefill engines are busy. It does so in
    /// pieces between the tokens of its other requests; a longer one would make a pause in their streams that is late.
    pub max_decode_prefill_tokens: Tokens,
    /// What is told to callers that are refused for want of an upstream.
    pub retry_after: Duration,
    /// The time since an upstream was heard within which a call that must run once is sent on a kept connection. An older
    /// one may have gone silent, and then it is unknown whether the call ran.
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
