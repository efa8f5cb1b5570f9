//! The settings of placement. Which measures weigh most is decided here, not in code.

use std::time::Duration;

/// The settings of one host's pools.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// The weight of the wait at the prefill engine in the predicted time to the first token.
    pub queue_weight: f64,
    /// The weight of the prefill itself.
    pub prefill_weight: f64,
    /// The weight of the transfer, waiting for the link included.
    pub transfer_weight: f64,
    /// The weight of the decode engine's batch step.
    pub decode_weight: f64,
    /// A decode batch step with one request; a full batch takes twice as long.
    pub decode_step: Duration,
    /// The longest wait at a prefill engine. Longer waits are spent in the pool's queue, because
    /// engines work in order of arrival and know nothing of fairness.
    pub prefill_wait: Duration,
    /// The longest wait for a link. Prefill engines evict KV caches in under a second, and a late
    /// transfer wastes the prefill.
    pub link_wait: Duration,
    /// Whether work past its deadline goes behind the same customer's work that can still meet it.
    /// It raises goodput in overload, and lets late work run into the longest wait more often.
    pub late_behind: bool,
    /// Work that is refused when late is refused on arrival if the expected wait is above this many times what
    /// its deadline leaves. Expected waits are estimates; a larger factor refuses less work wrongly.
    pub refuse_factor: f64,
    /// The interactive tokens placed for each batch token while both wait.
    pub interactive_per_batch: u32,
    /// The age above which a load report is ignored.
    pub report_max_age: Duration,
    /// The time for which an upstream is left out after its first failure; doubles with each further one.
    pub first_exclusion: Duration,
    /// The longest time for which a failed upstream is left out.
    pub max_exclusion: Duration,
    /// The time after which retries, and work that is refused when late, are refused because all upstreams failed. A
    /// restart that the next load report shows takes less.
    pub max_outage_wait: Duration,
    /// The time for which an ended or cancelled attempt is remembered.
    pub tombstone_ttl: Duration,
    /// The time for which a new owner places nothing, so that entry hosts can announce what already runs.
    /// Without it, questions that overtake the announcements overbook the upstreams.
    pub settle_time: Duration,
    /// The time after which a taken-over attempt that no entry host adopted is cancelled.
    pub adoption_timeout: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            queue_weight: 1.0,
            prefill_weight: 1.0,
            transfer_weight: 1.0,
            decode_weight: 1.0,
            decode_step: Duration::from_millis(20),
            prefill_wait: Duration::from_millis(200),
            link_wait: Duration::from_millis(50),
            late_behind: true,
            refuse_factor: 1.0,
            interactive_per_batch: 10,
            report_max_age: Duration::from_secs(5),
            first_exclusion: Duration::from_millis(500),
            max_exclusion: Duration::from_secs(10),
            max_outage_wait: Duration::from_secs(2),
            tombstone_ttl: Duration::from_mins(1),
            settle_time: Duration::from_millis(250),
            adoption_timeout: Duration::from_secs(5),
        }
    }
}
