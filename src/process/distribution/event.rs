//! What a host hears about the configuration, and what it does.

use std::time::Instant;

use crate::prelude::*;
use crate::process::distribution::catch_up::KnownTexts;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::freshness::Confirmation;
use crate::process::message::{ConfigDelta, FetchSections, Head, Member};
use crate::version::compiled::CompiledConfig;
use crate::version::repository::SectionTexts;

/// What a host hears.
#[derive(Debug, Clone)]
pub enum Fact {
    /// The live hosts changed.
    Members(Vec<Member>),
    /// It is time to read the head.
    PollDue,
    /// The store answered with this head.
    StoreHead {
        /// When the store was asked.
        asked: Instant,
        /// The head.
        head: Head,
    },
    /// The store answered that the head of this version did not change.
    StoreUnchanged {
        /// When the store was asked.
        asked: Instant,
        /// The version.
        version: Version,
    },
    /// The store answered with the texts of a head.
    StoreTexts {
        /// When the store was asked for the head.
        asked: Instant,
        /// The head.
        head: Head,
        /// The texts.
        texts: SectionTexts,
    },
    /// The head could not be read.
    StoreFailed,
    /// The texts of a version could not be read.
    TextsFailed {
        /// The version.
        version: Version,
    },
    /// The store's records can't be used.
    StoreUnusable(String),
    /// A peer passed on a change.
    Pushed {
        /// The peer.
        from: HostId,
        /// The change.
        delta: ConfigDelta,
    },
    /// A peer answered a fetch.
    Fetched {
        /// The peer.
        from: HostId,
        /// When it was asked.
        asked: Instant,
        /// The answer.
        delta: ConfigDelta,
    },
    /// A peer did not answer a fetch.
    FetchFailed {
        /// The peer.
        from: HostId,
    },
}

/// What a host does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Watches the head, or stops to.
    Watch(bool),
    /// Reads the head from the store.
    ReadHead,
    /// Reads the texts of a head from the store.
    ReadTexts {
        /// When the store was asked for the head.
        asked: Instant,
        /// The head.
        head: Head,
        /// The texts that need not be read.
        have: KnownTexts,
    },
    /// Asks a peer for what changed.
    Fetch {
        /// The peer.
        host: HostId,
        /// The question.
        question: FetchSections,
    },
    /// Puts a version in force.
    PutInForce(Box<CompiledConfig>),
    /// Notes that the version in force was confirmed.
    Confirm(Confirmation),
    /// Passes a change on.
    Relay {
        /// The hosts.
        hosts: Vec<HostId>,
        /// The change.
        delta: ConfigDelta,
    },
    /// Counts and logs a refused configuration.
    Reject(DistributionError),
}
