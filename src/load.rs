//! The load tool: sends seeded arrivals over HTTP to a deployment of a known shape and prints one table of results.

pub mod arrivals;
pub mod client;
pub mod meter;
pub mod report;
pub mod runner;
pub mod shape;
pub mod slopes;
