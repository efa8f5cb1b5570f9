//! Forwards whole requests to upstreams and their responses back to the caller.

pub mod attempt;
pub mod call;
pub mod codec;
pub mod events;
pub mod flow;
pub mod generation;
pub mod plain;
pub mod record;
pub mod relay;
pub mod response;
pub mod settings;
pub mod stream;
pub mod transport;
