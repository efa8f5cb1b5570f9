//! Stand-ins for outside systems, for tests, the demo and the load tool: in-process, seeded, on loopback.

pub mod booking;
pub mod clock;
pub mod engine;
pub mod environment;
pub mod fleet;
pub mod host_list;
pub mod http;
pub mod peers;
pub mod store;
pub mod store_server;
