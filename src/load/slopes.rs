//! Measures the roles of a host one by one at several sizes and fits a line through each quantity.

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

/// The sizes at which roles are measured, and how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sizes {
    /// The customers of a configuration or an owner.
    pub customers: Vec<usize>,
    /// The upstreams of a pool.
    pub upstreams: Vec<usize>,
    /// The waiting requests of a full pool.
    pub queue_lengths: Vec<usize>,
    /// The running attempts of a pool that is taken over.
    pub attempt_counts: Vec<usize>,
    /// The hosts of a fleet.
    pub hosts: Vec<usize>,
    /// The largest fleet whose hosts all make their calls to the store in one process.
    pub counted_hosts: usize,
    /// The engines of a data centre.
    pub engines: Vec<usize>,
    /// The tokens of an answer.
    pub answer_tokens: Vec<u32>,
    /// The tokens of a prompt.
    pub prompt_tokens: Vec<u64>,
    /// The streams open at once.
    pub streams: Vec<usize>,
    /// The requests sent for one value of the caller front.
    pub requests: usize,
    /// The time over which the starts of timed streams are spread.
    pub start_spread: Duration,
    /// The tokens of an answer whose times are measured.
    pub timed_tokens: u32,
    /// The measurements of which the median is taken.
    pub repeats: usize,
    /// The processor time of one such measurement at least.
    pub min_cpu_time: Duration,
    /// The least growth of memory to measure, as the number of objects built.
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
    /// Returns sizes at which all measurements together take seconds, to check that they run.
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

/// A role of a host that can be measured alone.
pub trait RoleMeasurement {
    /// Returns the name of the role.
    fn role(&self) -> &'static str;

    /// Measures the memory of the role's state. What is built is kept in `retained`, because memory that is freed and
    /// used again would hide the growth of the resident set.
    ///
    /// # Errors
    /// Returns why the memory can't be measured.
    fn memory(
        &self,
        _sizes: &Sizes,
        _held: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        Ok(Vec::new())
    }

    /// Measures processor time and messages.
    ///
    /// # Errors
    /// Returns why the role can't be measured.
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
        Box::new(orders::OrderGiverRole),
        Box::new(store_calls::StoreRole),
    ]
}

/// Measures the named roles, or all if none is named: memory first, while little freed memory can be used again.
///
/// # Errors
/// Returns the first failure, or that a named role does not exist.
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
