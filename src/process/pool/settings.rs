//! The settings of placement: the weights of a prediction, limits on waits, and timeouts.

use std::time::Duration;

/// The settings of the pools that one host owns.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// The weight of the wait at the prefill engine in the predicted time to the first token; not negative, like all
    /// weights.
    pub queue_weight: f64,
    /// The weight of the prefill of the uncached prompt tokens.
    pub prefill_weight: f64,
    /// The weight of the transfer, including the wait for the link.
    pub transfer_weight: f64,
    /// The weight of the decode engine's batch step.
    pub decode_weight: f64,
    /// The base time of a decode batch step; with a full batch a step takes twice as long.
    pub decode_step: Duration,
    /// The longest wait at a prefill engine. Longer waits are spent in the pool's queue, because
    /// engines work in order of arrival, without fairness between customers.
    pub prefill_wait: Duration,
    /// The longest wait for a link. Prefill engines evict KV caches in under a second, and an eviction before
    /// the transfer wastes the prefill.
    pub link_wait: Duration,
    /// Whether requests past their deadline go behind requests of the same customer that can still meet theirs.
    /// This raises goodput in overload, but more late requests reach their longest wait and are refused.
    pub late_behind: bool,
    /// A request with `LatePolicy::Refuse` is refused on arrival if the expected wait exceeds this factor times the
    /// time that its deadline leaves for waiting. Expected waits are estimates: a larger factor refuses fewer requests
    /// wrongly. Above 0.
    pub refuse_factor: f64,
    /// The interactive tokens placed for each batch token while requests of both priorities wait.
    pub interactive_per_batch: u32,
    /// The age above which a load report is ignored.
    pub report_max_age: Duration,
    /// The time for which an upstream is excluded after its first failure; doubles with each further one.
    pub first_exclusion: Duration,
    /// The longest exclusion after a failure; caps the doubling of `first_exclusion`.
    pub max_exclusion: Duration,
    /// The time after which retries, and requests with `LatePolicy::Refuse`, are refused because all upstreams failed.
    /// Longer than a restart and the wait for the load report that shows it.
    pub max_outage_wait: Duration,
    /// The time for which ended, cancelled and refused attempts and processes that are gone are remembered.
    pub tombstone_ttl: Duration,
    /// The time for which a new owner places nothing, so that entry hosts can announce their running attempts.
    /// Without it, place requests that overtake the announcements overbook the upstreams.
    pub settle_time: Duration,
    /// The time after which an attempt taken over from a former owner is cancelled unless its entry host adopted it.
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
