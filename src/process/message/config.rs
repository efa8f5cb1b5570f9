//! Messages about the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Refers to one stored section of the configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRef {
    /// The team that owns the section.
    pub team: TeamId,
    /// The configuration version in which the section last changed.
    pub version: Version,
    /// The BLAKE3 hash of its text.
    pub hash: Digest,
}

/// The manifest of one configuration version: its sections by reference.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version; 0 if nothing was stored yet.
    pub version: Version,
    /// The sections, sorted by team.
    pub sections: Vec<SectionRef>,
}

impl Head {
    /// Returns the section of a team, if it has one.
    pub fn section(&self, team: &str) -> Option<&SectionRef> {
        self.sections.iter().find(|section| &*section.team == team)
    }

    /// Returns a hash of the version and all section references.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_le_bytes());
        for section in &self.sections {
            hasher.update(&(section.team.len() as u64).to_le_bytes());
            hasher.update(section.team.as_bytes());
            hasher.update(&section.version.to_le_bytes());
            hasher.update(&section.hash);
        }
        hasher.finalize().into()
    }
}

/// A section with its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionText {
    /// The team, version and hash of the text.
    pub section: SectionRef,
    /// The text, in INI format.
    pub text: String,
}

/// The difference between two versions: only the sections that differ. It applies to any version from `base` on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The oldest version that the delta applies to; 0 if it holds the whole document.
    pub base: Version,
    /// The version that the delta leads to.
    pub version: Version,
    /// The sections that are new or changed.
    pub changed: Vec<SectionText>,
    /// The teams whose sections were removed.
    pub removed: Vec<TeamId>,
    /// The last team in this part; `None` if no further part follows.
    pub next: Option<TeamId>,
    /// The digest of the head that the delta leads to.
    pub result: Digest,
    /// The time since the store last confirmed `version` as the newest, as known to the sender; `None` if it never
    /// did.
    pub age: Option<Duration>,
}

/// Requests the sections that changed since a version from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchSections {
    /// The version that the sender has; 0 if it has none.
    pub base: Version,
    /// The team after which the reply continues, if an earlier part ended there.
    pub after: Option<TeamId>,
}
