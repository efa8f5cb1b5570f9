//! Errors of configurations that are not put in force.

use std::fmt;

use crate::prelude::*;
use crate::version::fields::{Problem, list_problems};

/// The reason why a configuration was rejected. The version in force stays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionError {
    /// Older than the version in force.
    Older {
        /// The version in force.
        known: Version,
        /// The rejected version, lower than `known`.
        offered: Version,
        /// The peer that offered it; `None` for the store.
        from: Option<HostId>,
    },
    /// Same number as the version in force, but another content.
    Forked {
        /// The version of both.
        version: Version,
    },
    /// A section's text differs from its hash.
    WrongHash {
        /// The team of the section.
        team: TeamId,
        /// The version that the change with this text leads to.
        version: Version,
    },
    /// The sections after the change differ from the digest of the new head.
    WrongResult {
        /// The version that the change leads to.
        version: Version,
    },
    /// The document doesn't compile.
    Invalid {
        /// The version of the rejected document.
        version: Version,
        /// The problems with their places in the document.
        problems: Vec<Problem>,
    },
    /// The store's records can't be used.
    Unusable {
        /// The cause, with the remedy.
        cause: String,
    },
}

impl DistributionError {
    /// Returns the reason in the metric and in the counts of the dump.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Older { from: None, .. } => "store_older",
            Self::Older { from: Some(_), .. } => "peer_older",
            Self::Forked { .. } => "forked",
            Self::WrongHash { .. } => "wrong_hash",
            Self::WrongResult { .. } => "wrong_result",
            Self::Invalid { .. } => "invalid",
            Self::Unusable { .. } => "unusable",
        }
    }
}

impl fmt::Display for DistributionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older {
                known,
                offered,
                from: None,
            } => write!(
                f,
                "version {offered} in the store is older than version {known} in force; restore the store's newest \
                 backup or put the document again with --above {known}"
            ),
            Self::Older {
                known,
                offered,
                from: Some(host),
            } => write!(
                f,
                "version {offered} from host {host} is older than version {known} in force; that host gets the \
                 newer one with its next poll"
            ),
            Self::Forked { version } => write!(
                f,
                "version {version} differs from the one in force; put the document again with --above {version}"
            ),
            Self::WrongHash { team, version } => write!(
                f,
                "section of team {team} in version {version} differs from its hash; it is read from the store with \
                 the next poll"
            ),
            Self::WrongResult { version } => write!(
                f,
                "sections after the change to version {version} differ from its head; it is read from the store \
                 with the next poll"
            ),
            Self::Invalid { version, problems } => write!(
                f,
                "version {version} has problems; put a correct section: {}",
                list_problems(problems)
            ),
            Self::Unusable { cause } => f.write_str(cause),
        }
    }
}

impl std::error::Error for DistributionError {}
