//! The messages between hosts. `connection::peer` encodes them.

pub mod allowance;
pub mod config;
pub mod idempotency;
pub mod membership;
pub mod placement;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub use allowance::*;
pub use config::*;
pub use idempotency::*;
pub use membership::*;
pub use placement::*;

/// A request from one host to another. Requests that change state carry ids, so that a repeat is answered with the
/// first result.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Tells that the sender is alive, and what it knows of the configuration and of failed hosts.
    Heartbeat(Heartbeat),
    /// Charges a customer's bucket at its owner.
    Charge(Charge),
    /// Returns the unused part of a charge.
    Settle(Settle),
    /// Requests a loan from the owner in another data centre.
    Borrow(Borrow),
    /// Returns a loan early.
    ReturnLoan(ReturnLoan),
    /// Requests upstreams for an attempt from the pool owner.
    Place(PlaceRequest),
    /// Tells the pool owner that an attempt ended.
    Release(Release),
    /// Withdraws a place request that may still be queued.
    CancelPlace(CancelPlace),
    /// Announces running attempts to a new pool owner.
    Adopt(Adopt),
    /// Copies the pool owner's placements to its standby.
    Inflight(Inflight),
    /// Forwards a change of the configuration.
    ConfigDelta(ConfigDelta),
    /// Requests the sections of the configuration that changed since a version.
    FetchSections(FetchSections),
    /// Claims an idempotency key.
    ClaimOnce(ClaimOnce),
    /// Records the outcome of a claim.
    FinishOnce(FinishOnce),
    /// Tells that a request crashed an upstream.
    CrashReport(CrashReport),
    /// Tells that a host's process is gone or does not respond.
    HostDown(HostDown),
    /// Tells that the sender is leaving.
    Leaving(Leaving),
    /// Hands a partition of customers over to its next owner.
    HandOver(HandOver),
    /// Forwards a charge that its owner can't grant to the customer's lead data centre.
    ForwardCharge(Charge),
}

impl PeerRequest {
    /// Fills in the fields that are not encoded because the receiver knows them from the connection: the entry host of
    /// a place request.
    pub fn set_sender(&mut self, host: &HostId, incarnation: Incarnation) {
        if let Self::Place(req) = self {
            req.host = host.clone();
            req.incarnation = incarnation;
        }
    }
}

/// The reply to a `PeerRequest`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers `Heartbeat` with the receiver's own heartbeat.
    Heartbeat(Heartbeat),
    /// Answers `Charge` and `ForwardCharge`.
    Charge(ChargeReply),
    /// Answers `Borrow`.
    Borrow(BorrowReply),
    /// Answers `Place`, after the time in the queue.
    Place(PlaceReply),
    /// Answers `FetchSections` with one part of the changes.
    Sections(ConfigDelta),
    /// Answers `ClaimOnce`.
    Once(OnceReply),
    /// Acknowledges a request that needs no data back.
    Ack,
    /// The receiver can't handle the request now, for the reason given.
    Failed(String),
}

/// Why a request to another host failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The host is not a known member.
    UnknownHost(HostId),
    /// The host's kernel refused the connection, which proves that its process is gone.
    ConnectionRefused,
    /// No connection could be opened, or it broke before the request was sent. The request was not handled.
    NotSent(String),
    /// No reply arrived. The request may have been handled.
    Unanswered(String),
    /// The reply has the wrong type, or the receiver rejected the request.
    Rejected(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownHost(host) => write!(f, "host {host} is not a member; check its settings"),
            Self::ConnectionRefused => f.write_str("connection refused; the process is gone"),
            Self::NotSent(cause) => write!(f, "request not sent ({cause}); it can be retried"),
            Self::Unanswered(cause) => write!(f, "no reply ({cause}); retry with the same id"),
            Self::Rejected(cause) => write!(f, "request rejected: {cause}"),
        }
    }
}

impl std::error::Error for PeerError {}
