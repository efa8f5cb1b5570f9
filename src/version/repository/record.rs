//! The records of the configuration in the store, apart from the sections' texts.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::connection::record::decode_record;
use crate::prelude::*;
use crate::process::message::{Head, SectionRef};

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";

/// The id of an edit; drawn at random, so that an edit is recognised after a lost reply.
pub type EditId = u128;

/// The time for which a replaced list of data centres may be in use: a host that is cut off serves with it for up to
/// `key_trust` (90 min by default, 2 h at most), and loans made under it end within seconds after that.
pub const PAST_FLEET_LIFETIME: Duration = Duration::from_hours(2);

/// One edit of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The version that the edit made.
    pub version: Version,
    /// The version that it replaced.
    pub parent: Version,
    /// The id of the edit.
    pub edit: EditId,
    /// The name that the editor stated.
    pub by: String,
    /// When the edit was made, by the editor's clock.
    pub at: SystemTime,
    /// The team whose section it changed.
    pub team: TeamId,
    /// The section after the edit; `None` if the edit removed it.
    pub section: Option<SectionRef>,
    /// The section before the edit; `None` if the edit created it.
    pub previous: Option<SectionRef>,
}

/// A list of data centres that hosts may still use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastFleet {
    /// The data centres of the replaced list.
    pub data_centres: Vec<DataCentreId>,
    /// The number of equal parts into which limits were divided.
    pub shares: u32,
    /// When it was replaced.
    pub replaced: SystemTime,
}

impl PastFleet {
    /// Returns whether hosts may still use the list at `time`.
    pub fn is_in_use(&self, time: SystemTime) -> bool {
        time < self.replaced + PAST_FLEET_LIFETIME
    }
}

/// The value under `HEAD_KEY`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The newest version and its sections.
    pub head: Head,
    /// The edit that made it; it is copied into the history before the head moves on.
    pub last: Option<HistoryRecord>,
    /// The version up to which replaced section texts have been deleted.
    pub swept: Version,
    /// The teams without a section, with the version in which it was removed.
    pub removed: BTreeMap<TeamId, Version>,
    /// The lists of data centres that hosts may still use.
    pub past_fleets: Vec<PastFleet>,
}

/// The prefix of the keys of pending records.
pub const PENDING_PREFIX: &str = "config/pending/";

/// Records a section text before it is written, so that it is found and deleted if its edit fails and nothing else
/// refers to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingText {
    /// The section whose text is written.
    pub section: SectionRef,
    /// When the attempt began.
    pub at: SystemTime,
}

impl PendingText {
    /// Decodes a record; `None` if it does not parse.
    pub fn decode(value: &[u8]) -> Option<Self> {
        decode_record(value).ok()
    }
}

/// Returns the key of the pending record of an edit's attempt to make `version`.
pub fn pending_key(edit: EditId, version: Version) -> String {
    format!("{PENDING_PREFIX}{edit:032x}/{version}")
}

/// Returns the key of a section's text. The hash separates concurrent edits of a team, which would otherwise write
/// different texts under one version.
pub fn section_key(section: &SectionRef) -> String {
    let hash = blake3::Hash::from_bytes(section.hash).to_hex();
    format!("config/section/{}/{}/{hash}", section.team, section.version)
}

/// Returns the key of a history record.
pub fn history_key(version: Version) -> String {
    format!("config/history/{version}")
}
