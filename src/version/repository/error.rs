//! Why the configuration could not be read or edited.

use std::fmt;

use crate::prelude::*;
use crate::process::store::MAX_VALUE_BYTES;
use crate::version::fields::{Problem, list_problems};
use crate::version::repository::record::EditId;

/// Why the configuration could not be read or edited. The configuration is unchanged unless the variant says
/// otherwise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepositoryError {
    /// The document with the edit has problems.
    Invalid(Vec<Problem>),
    /// The team's section was changed after the version that the edit is based on.
    Conflict {
        /// The team of the section.
        team: TeamId,
        /// The version that the edit is based on.
        base: Version,
        /// The version that changed the section since.
        changed: Version,
    },
    /// The team has no section.
    NoSection {
        /// The team that was named.
        team: TeamId,
    },
    /// A value exceeds what the store accepts.
    TooLarge {
        /// The store key, or the section whose text is too large.
        key: String,
        /// The size in bytes.
        size: usize,
    },
    /// The store holds an older version than one that was read from it before.
    Older {
        /// The newest version known.
        known: Version,
        /// The version in the store.
        stored: Version,
    },
    /// An entry can't be read, or is not there although the head names it.
    Corrupt {
        /// The full key of the entry.
        key: String,
        /// Why the entry can't be used; does not repeat the key.
        cause: String,
    },
    /// Concurrent edits moved the head during each attempt.
    Contended {
        /// The number of attempts.
        attempts: u32,
    },
    /// The edit may or may not have taken effect.
    OutcomeUnknown {
        /// The id of the edit, as listed in the history.
        edit: EditId,
        /// The version that it made if it took effect.
        version: Version,
        /// The error of the store call.
        cause: StoreError,
    },
    /// The store call failed without effect.
    Store(StoreError),
}

impl fmt::Display for RepositoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(problems) => f.write_str(&list_problems(problems)),
            Self::Conflict {
                team,
                base,
                changed,
            } => write!(
                f,
                "section of team {team} changed in version {changed}, after version {base} that this edit is based \
                 on; run config show --team {team}, merge and put again with --base {changed}"
            ),
            Self::NoSection { team } => write!(
                f,
                "team {team} has no section; run config show for the list of teams"
            ),
            Self::TooLarge { key, size } => write!(
                f,
                "{key} has {size} bytes, above the store's limit of {MAX_VALUE_BYTES}; split the section between \
                 two teams"
            ),
            Self::Older { known, stored } => write!(
                f,
                "store holds version {stored}, older than the known version {known}; restore its newest backup, or \
                 put the document again with --above {known}"
            ),
            Self::Corrupt { key, cause } => write!(
                f,
                "store entry {key} can't be used ({cause}); restore it from a backup"
            ),
            Self::Contended { attempts } => {
                write!(f, "other edits came first {attempts} times; put again")
            }
            Self::OutcomeUnknown {
                edit,
                version,
                cause,
            } => write!(
                f,
                "edit may have taken effect ({cause}); run config history and look for edit {edit:032x} at version \
                 {version} before you put again"
            ),
            Self::Store(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for RepositoryError {}

impl From<StoreError> for RepositoryError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}
