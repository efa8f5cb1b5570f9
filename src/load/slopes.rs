//! Measures each role of a host separately at several sizes and fits a line to each quantity.

pub mod configuration;
pub mod customers;
pub mod documents;
pub mod fit;
pub mod front;
pub mod hosts;
pub mod link;
pub mod orders;
pub mod pools;
pub mod probe;
pub mod recovery;
pub mod store_calls;
pub mod table;

use std::time::Duration;

use crate::load::slopes::probe::RetainedObjects;
use crate::load::slopes::table::Series;

/// The sizes at which roles are measured, and the extent of the measurements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sizes {
    /// The numbers of customers of a configuration or an owner.
    pub customers: Vec<usize>,
    /// The numbers of upstreams of a pool.
    pub upstreams: Vec<usize>,
    /// The numbers of requests that wait at a full pool.
    pub queue_lengths: Vec<usize>,
    /// The numbers of running attempts of a pool that its standby takes over.
    pub attempt_counts: Vec<usize>,
    /// The numbers of hosts of a fleet.
    pub hosts: Vec<usize>,
    /// The number of hosts of the largest fleet whose store calls are counted, all of them in one process.
    pub counted_hosts: usize,
    /// The numbers of engines of a data centre.
    pub engines: Vec<usize>,
    /// The lengths of answers.
    pub answer_tokens: Vec<u32>,
    /// The lengths of prompts.
    pub prompt_tokens: Vec<u64>,
    /// The numbers of concurrent streams.
    pub streams: Vec<usize>,
    /// The number of requests in one measurement of processor time.
    pub requests: usize,
    /// The time over which the starts of streams are spread.
    pub start_spread: Duration,
    /// The number of tokens of an answer whose latencies are measured.
    pub timed_tokens: u32,
    /// The number of measurements of which the median is taken.
    pub repeats: usize,
    /// The minimum processor time of each of these measurements.
    pub min_cpu_time: Duration,
    /// The minimum number of objects that are built to measure the growth of memory.
    pub min_objects: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            customers: vec![500, 1_000, 4_000],
            upstreams: vec![5, 50, 150, 300],
            queue_lengths: vec![0, 100, 1_000],
            attempt_counts: vec![100, 1_000, 3_000],
            hosts: vec![9, 50, 100, 390],
            counted_hosts: 100,
            engines: vec![20, 100, 350],
            answer_tokens: vec![1, 64, 256],
            prompt_tokens: vec![32, 2_000, 8_000, 30_000],
            streams: vec![50, 150, 300],
            requests: 64,
            start_spread: Duration::from_secs(1),
            timed_tokens: 24,
            repeats: 5,
            min_cpu_time: Duration::from_millis(40),
            min_objects: 20_000,
        }
    }
}

impl Sizes {
    /// Returns sizes at which all measurements together take seconds, for tests that they run.
    pub fn tiny() -> Self {
        Self {
            customers: vec![10, 20, 40],
            upstreams: vec![4, 6, 8],
            queue_lengths: vec![0, 5, 10],
            attempt_counts: vec![5, 10, 20],
            hosts: vec![4, 8, 12],
            counted_hosts: 8,
            engines: vec![2, 4, 6],
            answer_tokens: vec![1, 4, 8],
            prompt_tokens: vec![32, 64, 128],
            streams: vec![1, 2, 4],
            requests: 8,
            start_spread: Duration::from_millis(20),
            timed_tokens: 3,
            repeats: 1,
            min_cpu_time: Duration::from_millis(1),
            min_objects: 50,
        }
    }
}

/// Why a measurement failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeasureError(pub String);

impl std::fmt::Display for MeasureError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "measurement failed: {}", self.0)
    }
}

impl std::error::Error for MeasureError {}

impl From<std::io::Error> for MeasureError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

/// A role of a host that can be measured separately.
pub trait RoleMeasurement {
    /// Returns the name of the role in the table and in the `role` option.
    fn role(&self) -> &'static str;

    /// Measures the memory of the role's state. The objects built are kept in `retained`, because reuse of freed memory
    /// would hide growth of the resident set.
    ///
    /// # Errors
    /// Returns an error if `/proc` can't be read or the role can't be built.
    fn memory(
        &self,
        _sizes: &Sizes,
        _held: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        Ok(Vec::new())
    }

    /// Measures processor time and counts messages and calls. `seed` drives random choices.
    ///
    /// # Errors
    /// Returns an error if the role can't be run or doesn't do the measured work.
    fn work(&self, sizes: &Sizes, seed: u64) -> Result<Vec<Series>, MeasureError>;
}

/// Returns all roles in the order of the table.
pub fn roles() -> Vec<Box<dyn RoleMeasurement>> {
    vec![
        Box::new(front::CallerFrontRole),
        Box::new(customers::CustomerOwnerRole),
        Box::new(pools::PoolOwnerRole),
        Box::new(configuration::ConfigurationRole),
        Box::new(hosts::MembershipRole),
        Box::new(link::PeerLinkRole),
        Box::new(recovery::RecoveryRole),
        Box::new(orders::OrderControllerRole),
        Box::new(store_calls::StoreRole),
    ]
}

/// Measures the named roles, or all if `only` is empty. Memory is measured first, while little freed memory can be
/// reused.
///
/// # Errors
/// Returns the first failure, or an error if a named role doesn't exist.
pub fn measure(sizes: &Sizes, seed: u64, only: &[String]) -> Result<Vec<Series>, MeasureError> {
    let mut roles = roles();
    if let Some(name) = only
        .iter()
        .find(|name| roles.iter().all(|r| r.role() != *name))
    {
        let names: Vec<_> = roles.iter().map(|r| r.role()).collect();
        let message = format!("no role {name:?}; the roles are {}", names.join(", "));
        return Err(MeasureError(message));
    }
    roles.retain(|r| only.is_empty() || only.iter().any(|name| name == r.role()));
    let mut retained = RetainedObjects::default();
    let mut memory = Vec::new();
    for role in &roles {
        memory.push(role.memory(sizes, &mut retained)?);
    }
    drop(retained);
    let mut series = Vec::new();
    for (role, memory) in roles.iter().zip(memory) {
        series.extend(memory);
        series.extend(role.work(sizes, seed)?);
    }
    Ok(series)
}
