//! Code whose state lives as long as a connection: listeners, clients and the encodings of messages, which are only
//! here.

pub mod caller;
pub mod caller_body;
pub mod caller_io;
pub mod caller_listener;
pub mod codec;
pub mod completion;
pub mod engine;
pub mod forward;
pub mod headers;
pub mod host_list;
pub mod http_client;
pub mod operator;
pub mod peer;
pub mod probe;
pub mod record;
pub mod service;
pub mod store;
