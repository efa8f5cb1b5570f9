//! The data centres whose upstreams get no new work because operators asked for it in the store. Performs no I/O and reads no clock.
//!
//! A host reads the set from the store and hears of it in other hosts' reports. Each set is complete as of a position in the store,
//! and the newest position wins, so that a host that the store turns away follows the others. A report can be wrong, a linearizable
//! store can't: a read that was requested after the report arrived and shows an older position refutes it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The position in the store as of which a set of evacuated data centres is complete.
pub type SetPosition = Revision;

/// The most data centres of one set; a deployment has a handful. Bounds the section of a report to about 4 KiB.
pub const MAX_EVACUATED: usize = 64;

/// The longest name of a data centre, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The most unknown names that are remembered so that each is logged once.
const MAX_LOGGED: usize = 256;

/// The evacuated data centres, as reports between hosts tell them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNews {
    /// The position in the store as of which the set is complete.
    pub position: SetPosition,
    /// The evacuated data centres.
    pub data_centres: Vec<DataCentreId>,
}

impl EvacuationNews {
    fn is_within_bounds(&self) -> bool {
        self.data_centres.len() <= MAX_EVACUATED
            && self.data_centres.iter().all(|name| is_usable_name(name))
    }
}

/// Returns whether `name` can be that of a data centre.
pub fn is_usable_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.chars().any(|c| c == '/' || c.is_control())
}

/// Why news of another host is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsError {
    /// It names too many data centres, or what can't be the name of one.
    OutOfBounds,
    /// Its position is not below one that a read of the store has refuted.
    Refuted,
}

/// What changed in the set that is in force.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centres that are evacuated from now on.
    pub began: Vec<DataCentreId>,
    /// The data centres that are back in service.
    pub ended: Vec<DataCentreId>,
    /// The position of a reported set that a read has refuted.
    pub refuted: Option<SetPosition>,
}

impl EvacuationChange {
    /// Returns whether the set in force stayed as it was.
    pub fn is_empty(&self) -> bool {
        self.began.is_empty() && self.ended.is_empty()
    }
}

/// A set of evacuated data centres and the position in the store as of which it is complete.
#[derive(Debug, Clone)]
struct KnownSet {
    data_centres: Arc<BTreeSet<DataCentreId>>,
    position: SetPosition,
}

/// The evacuated data centres as a host knows them.
#[derive(Debug, Default)]
pub struct EvacuationState {
    /// The set that this host read last.
    read: Option<KnownSet>,
    /// A newer set that another host reported, and when the report arrived.
    reported: Option<(KnownSet, Instant)>,
    /// Reported positions from this one on are not believed until a read has reached it, because a read has refuted it.
    refuted: Option<SetPosition>,
    /// Whether other hosts must be told of the set, although it may be empty: this host has known of an evacuation, or heard of one
    /// that has ended.
    has_news: bool,
    /// The data centres that are back in service, and when this host learned of it.
    returned: BTreeMap<DataCentreId, Instant>,
    /// The names of unknown data centres that were logged.
    logged: BTreeSet<DataCentreId>,
}

impl EvacuationState {
    /// Returns the data centres that are evacuated.
    pub fn evacuated(&self) -> Arc<BTreeSet<DataCentreId>> {
        self.in_force()
            .map(|set| set.data_centres.clone())
            .unwrap_or_default()
    }

    fn in_force(&self) -> Option<&KnownSet> {
        let reported = self.reported.as_ref().map(|(set, _)| set);
        reported.or(self.read.as_ref())
    }

    /// Applies a set that this host has read from the store in a call that it made at `requested_at`. Of too many names, those of
    /// `known` data centres are kept first.
    pub fn apply_read(
        &mut self,
        mut data_centres: BTreeSet<DataCentreId>,
        position: SetPosition,
        known: &BTreeSet<DataCentreId>,
        requested_at: Instant,
        now: Instant,
    ) -> EvacuationChange {
        if data_centres.len() > MAX_EVACUATED {
            let (first, others): (Vec<_>, Vec<_>) = data_centres
                .into_iter()
                .partition(|name| known.contains(name));
            let kept = first.into_iter().chain(others).take(MAX_EVACUATED);
            data_centres = kept.collect();
        }
        let before = self.evacuated();
        self.read = Some(KnownSet {
            data_centres: Arc::new(data_centres),
            position,
        });
        let mut refuted = None;
        if let Some((reported, arrived)) = &self.reported {
            let is_refuted = position < reported.position && requested_at > *arrived;
            if is_refuted {
                refuted = Some(reported.position);
            }
            if is_refuted || position >= reported.position {
                self.reported = None;
            }
        }
        let lowest = refuted.into_iter().chain(self.refuted).min();
        self.refuted = lowest.filter(|refuted| position < *refuted);
        EvacuationChange {
            refuted,
            ..self.change_since(&before, now)
        }
    }

    /// Applies a set that another host has reported.
    ///
    /// # Errors
    /// Returns why the news is not used.
    pub fn apply_news(
        &mut self,
        news: &EvacuationNews,
        now: Instant,
    ) -> Result<EvacuationChange, NewsError> {
        if !news.is_within_bounds() {
            return Err(NewsError::OutOfBounds);
        }
        if self.refuted.is_some_and(|refuted| news.position >= refuted) {
            return Err(NewsError::Refuted);
        }
        let data_centres: BTreeSet<_> = news.data_centres.iter().cloned().collect();
        let before = self.evacuated();
        if self
            .in_force()
            .is_some_and(|known| known.position >= news.position)
        {
            // The sender has missed the end of an evacuation.
            self.has_news |= data_centres != *before;
            return Ok(EvacuationChange::default());
        }
        let reported = KnownSet {
            data_centres: Arc::new(data_centres),
            position: news.position,
        };
        self.reported = Some((reported, now));
        Ok(self.change_since(&before, now))
    }

    fn change_since(&mut self, before: &BTreeSet<DataCentreId>, now: Instant) -> EvacuationChange {
        let evacuated = self.evacuated();
        let change = EvacuationChange {
            began: evacuated.difference(before).cloned().collect(),
            ended: before.difference(&evacuated).cloned().collect(),
            refuted: None,
        };
        self.has_news |= !evacuated.is_empty();
        self.returned.retain(|name, _| !evacuated.contains(name));
        for name in &change.ended {
            if self.returned.len() < MAX_EVACUATED || self.returned.contains_key(name) {
                self.returned.insert(name.clone(), now);
            }
        }
        change
    }

    /// Returns what other hosts are told; `None` if this host has known of no evacuation since it started.
    pub fn news(&self) -> Option<EvacuationNews> {
        let known = self.in_force().filter(|_| self.has_news)?;
        Some(EvacuationNews {
            position: known.position,
            data_centres: known.data_centres.iter().cloned().collect(),
        })
    }

    /// Returns whether the set in force is another one than this host has read itself.
    pub fn is_unverified(&self) -> bool {
        let read = self.read.as_ref().map(|set| &*set.data_centres);
        self.reported
            .as_ref()
            .is_some_and(|(reported, _)| read != Some(&*reported.data_centres))
    }

    /// Returns the data centres that are back in service since this host has started, each with when it learned of it.
    pub fn returned(&self) -> Vec<(DataCentreId, Instant)> {
        let returned = self.returned.iter();
        returned.map(|(name, at)| (name.clone(), *at)).collect()
    }

    /// Returns the evacuated data centres that are not among `known` ones and were not returned before.
    pub fn take_unknown(&mut self, known: &BTreeSet<DataCentreId>) -> Vec<DataCentreId> {
        let evacuated = self.evacuated();
        let unknown = evacuated
            .iter()
            .filter(|name| !known.contains(*name) && !self.logged.contains(*name));
        let room = MAX_LOGGED.saturating_sub(self.logged.len());
        let unknown: Vec<_> = unknown.take(room).cloned().collect();
        self.logged.extend(unknown.iter().cloned());
        unknown
    }
}
