//! Types that live as long as one configuration version.

pub mod cell;
pub mod compiled;
pub mod document;
pub mod fields;
pub mod forwarding;
pub mod key;
pub mod repository;
