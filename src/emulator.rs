//! Emulators of external systems for tests, the demo and the load tool. They run in this process, listen on loopback
//! and draw random choices from seeds.

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
