//! Membership: which hosts are alive, by failure detection.
//!
//! `detector` decides and does no I/O; `shell` feeds it messages, records and the time, and performs its actions.

mod address_book;
mod detector;
mod event;
mod registration;
mod shell;

pub use address_book::AddressBook;
pub use detector::{Detector, DetectorSettings};
pub use event::{Action, EmptyPayload, HeartbeatPayload, MemberEvent};
pub use registration::{Registration, record_key};
pub use shell::{Membership, MembershipParts, READ_INTERVAL};
