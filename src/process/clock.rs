//! The time source. Modules that decide receive instants as arguments; the modules that do I/O read them here.

use std::time::{Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, used for leases and deadlines.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, for what is compared across processes or shown: planned stops, stored records and
    /// logs.
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
