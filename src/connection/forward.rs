//! Connections of a host that forwards whole requests: callers, upstreams, other hosts.

pub mod handler;
pub mod reports;
pub mod upstream_pool;
