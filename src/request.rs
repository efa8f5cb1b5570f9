//! What lives as long as one request.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod charge;
pub mod engine;
pub mod flow;
pub mod forward;
pub mod idempotency;
pub mod prefix;
pub mod record;
pub mod refusal;
pub mod retry;
pub mod service;
