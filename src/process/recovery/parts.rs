//! Reassembly of lists that are sent in parts: tracks which parts have arrived.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::process::message::ListPart;

/// The parts of one list that have arrived, in any order and perhaps more than once.
#[derive(Debug, Default)]
pub struct ReceivedParts {
    indexes: BTreeSet<u32>,
    last: Option<u32>,
}

impl ReceivedParts {
    /// Records that a part has arrived.
    pub fn record(&mut self, part: &ListPart) {
        self.indexes.insert(part.index);
        if part.is_last {
            self.last = Some(part.index);
        }
    }

    /// Returns whether no part is missing.
    pub fn is_complete(&self) -> bool {
        self.last
            .is_some_and(|last| self.indexes.range(..=last).count() as u64 == u64::from(last) + 1)
    }
}

/// The lists of running attempts that one process of an entry host announces to a pool owner.
#[derive(Debug, Default)]
pub struct Announcements {
    /// The newest list of which all parts have arrived.
    complete: Option<ListNo>,
    incomplete: BTreeMap<ListNo, ReceivedParts>,
}

impl Announcements {
    /// Records that a part has arrived.
    pub fn record(&mut self, part: &ListPart) {
        if self.complete.is_some_and(|list| part.list <= list) {
            return;
        }
        let parts = self.incomplete.entry(part.list).or_default();
        parts.record(part);
        if parts.is_complete() {
            self.complete = Some(part.list);
            // Attempts of an earlier list that still run are in this one, too.
            self.incomplete.retain(|list, _| *list > part.list);
        }
    }

    /// Returns whether a list has arrived only in part.
    pub fn has_missing_parts(&self) -> bool {
        !self.incomplete.is_empty()
    }
}
