//! What lives as long as one version of the configuration.

pub mod cell;
pub mod compiled;
pub mod document;
pub mod fields;
pub mod forwarding;
pub mod key;
pub mod repository;
