//! The clock border: decision modules receive instants, shells read them here.

use std::time::{Instant, SystemTime};

/// Tells the time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, used for leases and deadlines.
    fn now(&self) -> Instant;
    /// Returns the calendar time, used for planned stops and logs only.
    fn wall_time(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
