//! This host's part of the retries that all hosts together may make. Holds no I/O and reads no clock.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::{Shards, lock};

/// The bounds on retries over all hosts together.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudgetSettings {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed besides, in each window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
    /// The part of both that is used; the rest covers requests that are counted in different windows here and
    /// where the bound is checked.
    pub used_fraction: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
            used_fraction: 0.8,
        }
    }
}

/// The requests and retries of one service within the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl ServiceWindow {
    fn forget(&mut self, before: Option<Instant>) {
        let Some(before) = before else { return };
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// The retries of one host, by service.
#[derive(Debug, Default)]
pub struct HostRetryBudget {
    bounds: Mutex<RetryBudgetSettings>,
    services: Shards<HashMap<ModelId, ServiceWindow>>,
}

impl HostRetryBudget {
    /// Creates a share of `bounds`.
    pub fn new(bounds: RetryBudgetSettings) -> Self {
        Self {
            bounds: Mutex::new(bounds),
            services: Shards::default(),
        }
    }

    /// Replaces the bounds.
    pub fn update_settings(&self, bounds: RetryBudgetSettings) {
        *lock(&self.bounds) = bounds;
    }

    /// Counts a request to a service.
    pub fn record_request(&self, service: &ModelId, now: Instant) {
        let bounds = lock(&self.bounds).clone();
        let mut services = self.services.lock(service);
        let window = services.entry(service.clone()).or_default();
        window.forget(now.checked_sub(bounds.window));
        window.requests.push_back(now);
    }

    /// Takes one retry if this host, one of `hosts`, has one left; tells whether it had.
    pub fn try_take(&self, service: &ModelId, hosts: usize, now: Instant) -> bool {
        let bounds = lock(&self.bounds).clone();
        let mut services = self.services.lock(service);
        let window = services.entry(service.clone()).or_default();
        window.forget(now.checked_sub(bounds.window));
        let slack = bounds.slack / hosts.max(1) as f64;
        let earned = bounds.ratio * window.requests.len() as f64;
        if (window.retries.len() + 1) as f64 > (slack + earned) * bounds.used_fraction {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
