//! This host's share of the retries that all hosts together may make. Performs no I/O and reads no clock.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::{Shards, lock};

/// The retries allowed to all hosts together, per service. Each window allows `ratio` times its requests, plus `slack`.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudgetSettings {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed in each window regardless of its requests; divided evenly among the hosts.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// The fraction of the allowed retries that hosts take. The rest is a margin, because the limit may be checked over windows
    /// that begin at other times.
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

/// The times of the requests and retries of one service within the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl ServiceWindow {
    fn drop_older(&mut self, before: Option<Instant>) {
        let Some(before) = before else { return };
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// Counts the requests and retries of this host by service, and grants further retries within its share.
#[derive(Debug, Default)]
pub struct HostRetryBudget {
    settings: Mutex<RetryBudgetSettings>,
    services: Shards<HashMap<ModelId, ServiceWindow>>,
}

impl HostRetryBudget {
    /// Creates a budget in which no request was counted yet.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings: Mutex::new(settings),
            services: Shards::default(),
        }
    }

    /// Replaces the settings; requests and retries counted so far stay.
    pub fn update_settings(&self, settings: RetryBudgetSettings) {
        *lock(&self.settings) = settings;
    }

    /// Counts a request, which adds `ratio` to the allowed retries while it is in the window.
    pub fn record_request(&self, service: &ModelId, now: Instant) {
        let settings = lock(&self.settings).clone();
        let mut services = self.services.lock(service);
        let window = services.entry(service.clone()).or_default();
        window.drop_older(now.checked_sub(settings.window));
        window.requests.push_back(now);
    }

    /// Takes one retry from the share of this host, one of `hosts`. Returns whether one was left.
    pub fn try_take(&self, service: &ModelId, hosts: usize, now: Instant) -> bool {
        let settings = lock(&self.settings).clone();
        let mut services = self.services.lock(service);
        let window = services.entry(service.clone()).or_default();
        window.drop_older(now.checked_sub(settings.window));
        let slack = settings.slack / hosts.max(1) as f64;
        let earned = settings.ratio * window.requests.len() as f64;
        if (window.retries.len() + 1) as f64 > (slack + earned) * settings.used_fraction {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
