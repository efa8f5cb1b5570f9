//! The settings of the request path.

use std::time::Duration;

use crate::prelude::*;

/// The settings of the request path.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowSettings {
    /// The longest wait of an interactive request for its customer's token bucket to refill.
    pub admission_wait: Duration,
    /// The same for a batch request, which no user waits for.
    pub batch_admission_wait: Duration,
    /// The longest wait in a pool's queue, for each attempt.
    pub queue_wait: Duration,
    /// The time after which engines free by themselves what they hold for an attempt.
    pub engine_deadline: Duration,
    /// The largest number of attempts of one request; resumes on the same engine don't count.
    pub max_attempts: u32,
    /// The largest number of tokens generated if the caller sets none.
    pub default_max_tokens: u32,
    /// The largest number of tokens that a caller may set.
    pub max_tokens: u32,
    /// How long a stopping host without open requests waits for engines to confirm cancels.
    pub background_wait: Duration,
}

impl FlowSettings {
    /// Returns the longest wait for a customer's token bucket to refill.
    pub fn admission_wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.admission_wait,
            Priority::Batch => self.batch_admission_wait,
        }
    }
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            // Half of the target for the time to first token; the other half is for queue, prefill and transfer.
            admission_wait: Duration::from_millis(500),
            batch_admission_wait: Duration::from_secs(30),
            queue_wait: Duration::from_secs(30),
            engine_deadline: Duration::from_mins(10),
            max_attempts: 3,
            default_max_tokens: 256,
            max_tokens: 32_768,
            background_wait: Duration::from_secs(5),
        }
    }
}
