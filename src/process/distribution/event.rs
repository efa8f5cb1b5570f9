//! The events that the core handles, and the actions that it returns.

use std::time::Instant;

use crate::prelude::*;
use crate::process::distribution::catch_up::KnownTexts;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::freshness::Confirmation;
use crate::process::message::{ConfigDelta, FetchSections, Head, Member};
use crate::version::compiled::CompiledConfig;
use crate::version::repository::SectionTexts;

/// An event that can change the configuration or the hosts to ask for it.
#[derive(Debug, Clone)]
pub enum Event {
    /// The live hosts changed.
    Members(Vec<Member>),
    /// It is time to read the head.
    PollDue,
    /// The store returned its head.
    StoreHead {
        /// When the store was asked.
        asked_at: Instant,
        /// The newest version and its sections.
        head: Head,
    },
    /// A watch ended without a change of the head.
    StoreUnchanged {
        /// When the store was asked.
        asked_at: Instant,
        /// The version of the head.
        version: Version,
    },
    /// The store returned the texts of a head.
    StoreTexts {
        /// When the store was asked for the head.
        asked_at: Instant,
        /// The head that names the texts.
        head: Head,
        /// The text of each of its sections.
        texts: SectionTexts,
    },
    /// The head could not be read.
    StoreFailed,
    /// The texts of a version could not be read.
    TextsFailed {
        /// The version that names the texts.
        version: Version,
    },
    /// The store's records can't be used, for this cause.
    StoreUnusable(String),
    /// A peer relayed a change.
    Pushed {
        /// The peer that relayed it, which is asked for changes that this host missed.
        from: HostId,
        /// One part of the change.
        delta: ConfigDelta,
    },
    /// A peer answered a fetch.
    Fetched {
        /// The host that was asked.
        from: HostId,
        /// When it was asked.
        asked_at: Instant,
        /// One part of the changes.
        delta: ConfigDelta,
    },
    /// A peer did not answer a fetch.
    FetchFailed {
        /// The host that was asked.
        from: HostId,
    },
}

/// An action that `Distribution` performs for the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts (`true`) or stops watching the head.
    Watch(bool),
    /// Reads the head from the store.
    ReadHead,
    /// Reads the texts of a head from the store.
    ReadTexts {
        /// When the store was asked for the head.
        asked_at: Instant,
        /// The head that names the texts.
        head: Head,
        /// The texts that need not be read.
        have: KnownTexts,
    },
    /// Asks a peer for the changes since a version.
    Fetch {
        /// The host to ask.
        host: HostId,
        /// The base version and the part.
        request: FetchSections,
    },
    /// Puts a version in force.
    PutInForce(Box<CompiledConfig>),
    /// Stores a confirmation of the version in force.
    Confirm(Confirmation),
    /// Sends a change to other hosts.
    Relay {
        /// The hosts that `topology::relay_targets` selects.
        hosts: Vec<HostId>,
        /// The first part of the change.
        delta: ConfigDelta,
    },
    /// Counts and logs a rejected configuration.
    Reject(DistributionError),
}
