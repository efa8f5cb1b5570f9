//! Connections of a host that forwards whole requests: to callers, upstreams and other hosts.

pub mod handler;
pub mod reports;
pub mod upstream_pool;
