//! Whose work and grants a message reports, and how far a piece of news spreads.

use crate::prelude::*;

/// Whose unfinished work and grants were reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// One host.
    Host(HostId),
    /// All hosts of a data centre together.
    DataCentre(DataCentreId),
    /// All other hosts together.
    Fleet,
}

/// The hosts whose state a message summarizes, or the part of the fleet in which a piece of news was found.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Reach {
    /// The sender alone.
    Host,
    /// The hosts of the sender's data centre.
    DataCentre,
    /// All hosts.
    Fleet,
}
