//! What lives as long as one request.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod charge;
pub mod engine;
pub mod flow;
pub mod forward;
pub mod once;
pub mod prefix;
pub mod record;
pub mod retry;
pub mod run;
pub mod service;
