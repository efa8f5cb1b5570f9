//! A clock that tests advance manually.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use crate::prelude::*;
use crate::process::shard::lock;

/// A clock that moves only by `advance`.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    calendar_start: SystemTime,
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            calendar_start: SystemTime::UNIX_EPOCH + Duration::from_hours(500_000),
            elapsed: Mutex::default(),
        }
    }
}

impl ManualClock {
    /// Advances the monotonic and the calendar time.
    pub fn advance(&self, by: Duration) {
        *lock(&self.elapsed) += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + *lock(&self.elapsed)
    }

    fn wall_time(&self) -> SystemTime {
        self.calendar_start + *lock(&self.elapsed)
    }
}
