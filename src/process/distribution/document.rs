//! The configuration document on this host: texts, parsed sections, and the changes since earlier versions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::process::distribution::error::DistributionError;
use crate::process::message::{ConfigDelta, FetchSections, Head, SectionRef, SectionText};
use crate::version::compiled::Compiled;
use crate::version::document::merge;
use crate::version::document::section::ParsedSection;

/// The size of the texts in one part of a change, unless a single one is larger; far below the 1 MB limit of a frame,
/// and small enough to relay without a request.
const MAX_PART_BYTES: usize = 64 << 10;

/// The versions for which removed sections are remembered. Hosts with an older version receive the whole document.
/// 1,024 versions cover 10 h at 2,300 changes a day.
const MAX_HISTORY: usize = 1_024;

/// The document of the version in force.
#[derive(Debug, Default, Clone)]
pub struct HeldDocument {
    head: Head,
    sections: BTreeMap<TeamId, HeldSection>,
    /// The versions that were in force on this host, each with the sections removed by the change to it.
    ///
    /// The changes since a version that this host skipped are not known exactly: a section may have been added and
    /// removed in between.
    history: VecDeque<(Version, Vec<TeamId>)>,
}

#[derive(Debug, Clone)]
struct HeldSection {
    section: SectionRef,
    text: Arc<str>,
    parsed: Arc<ParsedSection>,
}

impl HeldDocument {
    /// Returns the head of the version in force.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the texts of all sections with their references.
    pub fn texts(&self) -> BTreeMap<TeamId, (SectionRef, Arc<str>)> {
        let texts = self.sections.iter();
        texts
            .map(|(team, held)| (team.clone(), (held.section.clone(), held.text.clone())))
            .collect()
    }

    /// Applies a change to a newer version and compiles it; on an error nothing changes.
    ///
    /// # Errors
    /// Fails if a text differs from its hash, the result from its digest, or the document has problems.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<Compiled, DistributionError> {
        let version = delta.version;
        let mut sections = if delta.base == 0 {
            BTreeMap::new()
        } else {
            self.sections.clone()
        };
        for team in &delta.removed {
            sections.remove(team);
        }
        for SectionText { section, text } in &delta.changed {
            let team = section.team.clone();
            let known = self.sections.get(&team);
            let held = if let Some(held) = known.filter(|held| held.section.hash == section.hash) {
                HeldSection {
                    section: section.clone(),
                    ..held.clone()
                }
            } else if blake3::hash(text.as_bytes()) == blake3::Hash::from_bytes(section.hash) {
                HeldSection {
                    section: section.clone(),
                    text: text.as_str().into(),
                    parsed: Arc::new(ParsedSection::parse(&team, &team, text)),
                }
            } else {
                return Err(DistributionError::WrongHash { team, version });
            };
            sections.insert(team, held);
        }
        let head = Head {
            version,
            sections: sections.values().map(|held| held.section.clone()).collect(),
        };
        if head.digest() != delta.result {
            return Err(DistributionError::WrongResult { version });
        }
        let parsed = sections
            .iter()
            .map(|(team, held)| (team.clone(), held.parsed.clone()))
            .collect();
        let compiled = merge(version, &parsed)
            .map_err(|problems| DistributionError::Invalid { version, problems })?;
        let removed = self
            .sections
            .keys()
            .filter(|team| !sections.contains_key(*team));
        self.history
            .push_back((version, removed.cloned().collect()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.head = head;
        self.sections = sections;
        Ok(compiled)
    }

    /// Returns one part of the changes since the requested base, or of the whole document if the base is not in the
    /// history.
    pub fn changes(&self, request: &FetchSections, age: Option<Duration>) -> ConfigDelta {
        let is_known_base = self
            .history
            .iter()
            .any(|(version, _)| *version == request.base);
        let base = if is_known_base { request.base } else { 0 };
        let mut delta = ConfigDelta {
            base,
            version: self.head.version,
            changed: Vec::new(),
            removed: Vec::new(),
            next: None,
            result: self.head.digest(),
            age,
        };
        let mut size = 0;
        for (team, held) in &self.sections {
            let is_later = request.after.as_ref().is_none_or(|after| team > after);
            if held.section.version <= base || !is_later {
                continue;
            }
            if size > 0 && size + held.text.len() > MAX_PART_BYTES {
                delta.next = delta.changed.last().map(|last| last.section.team.clone());
                return delta;
            }
            size += held.text.len();
            delta.changed.push(SectionText {
                section: held.section.clone(),
                text: held.text.to_string(),
            });
        }
        let later = self
            .history
            .iter()
            .filter(|(version, _)| *version > base && base > 0);
        let removed = later.flat_map(|(_, teams)| teams);
        let removed = removed.filter(|team| !self.sections.contains_key(*team));
        delta.removed = removed.cloned().collect();
        delta
    }
}
