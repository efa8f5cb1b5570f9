//! A router for separate prefill and decode pools of LLM engines, and for plain services.
//!
//! Modules are laid out by life span: `request`, `connection`, `version` and `process` contain the state that lives as
//! long as one of these. `command` contains the command line, `load` the load generator and its measurements,
//! `emulator` the emulators of external systems. `platform` translates the protocol of the platform that the router
//! runs on. See `ARCHITECTURE.md`.

pub mod command;
pub mod connection;
pub mod emulator;
pub mod load;
#[path = "../platform/platform.rs"]
pub mod platform;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
