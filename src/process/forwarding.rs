//! Forwarding of whole requests: what a host knows of upstreams, other hosts and customers' use of their limits.

pub mod directory;
pub mod exchange;
pub mod fleet;
pub mod host;
pub mod line;
pub mod load;
pub mod order_giver;
pub mod peers;
pub mod retry_share;
pub mod roles;
pub mod rooms;
pub mod selection;
pub mod settings;
pub mod state_source;
pub mod usage;
pub mod watchers;
