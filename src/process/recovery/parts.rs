//! Which parts of a list have arrived.

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
    /// Takes a part.
    pub fn record(&mut self, part: &ListPart) {
        self.indexes.insert(part.index);
        if part.is_last {
            self.last = Some(part.index);
        }
    }

    /// Tells whether no part is missing.
    pub fn is_complete(&self) -> bool {
        self.last
            .is_some_and(|last| self.indexes.range(..=last).count() as u64 == u64::from(last) + 1)
    }
}

/// The lists that the process of one entry host announces to a pool owner.
#[derive(Debug, Default)]
pub struct Announcements {
    complete: Option<ListNo>,
    incomplete: BTreeMap<ListNo, ReceivedParts>,
}

impl Announcements {
    /// Takes a part.
    pub fn record(&mut self, part: &ListPart) {
        if self.complete.is_some_and(|list| part.list <= list) {
            return;
        }
        let parts = self.incomplete.entry(part.list).or_default();
        parts.record(part);
        if parts.is_complete() {
            self.complete = Some(part.list);
            // What an earlier list holds and still runs is also in the later one.
            self.incomplete.retain(|list, _| *list > part.list);
        }
    }

    /// Tells whether a list has begun of which parts are missing.
    pub fn has_missing_parts(&self) -> bool {
        !self.incomplete.is_empty()
    }
}
