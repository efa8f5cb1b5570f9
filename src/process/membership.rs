//! Which hosts are there: failure detection and the shell that feeds it.

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
