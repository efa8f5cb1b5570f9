//! Puts the set of evacuated data centres in force: in the directory, in reports to other hosts, in the log and in metrics.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::FleetState;
use crate::prelude::*;
use crate::process::forwarding::directory::Directory;
use crate::process::forwarding::evacuation::{
    EvacuationChange, EvacuationNews, EvacuationState, NewsError, SetPosition,
};
use crate::process::metrics;
use crate::process::shard::lock;

impl FleetState {
    /// Applies a set of evacuated data centres that this host has read from the store in a call that it made at `requested_at`.
    pub fn apply_evacuations(
        &self,
        data_centres: BTreeSet<DataCentreId>,
        position: SetPosition,
        requested_at: Instant,
        now: Instant,
    ) {
        let known = if data_centres.is_empty() {
            BTreeSet::new()
        } else {
            self.known_data_centres()
        };
        let change = self.change_evacuations(now, |state| {
            state.apply_read(data_centres, position, &known, requested_at, now)
        });
        if let Some(refuted) = change.refuted {
            ::metrics::counter!(metrics::EVACUATIONS_IGNORED, "reason" => "refuted").increment(1);
            log::warn!(target: "evacuation", "evacuated data centres as of position {refuted}, reported by another host, refuted: the store is at {position}");
        }
        self.follow_evacuations(&change, position, "read", now);
    }

    /// Applies the set of evacuated data centres that another host has reported.
    pub(super) fn apply_evacuation_news(&self, news: &EvacuationNews, now: Instant) {
        let mut outcome = Ok(EvacuationChange::default());
        self.change_evacuations(now, |state| {
            outcome = state.apply_news(news, now);
            outcome.clone().unwrap_or_default()
        });
        match outcome {
            Ok(change) => self.follow_evacuations(&change, news.position, "reported", now),
            Err(NewsError::OutOfBounds) => {
                ::metrics::counter!(metrics::REPORT_SECTIONS_DROPPED, "reason" => "out_of_bounds")
                    .increment(1);
                log::debug!(target: "evacuation", "reported evacuated data centres dropped: out of bounds");
            }
            Err(NewsError::Refuted) => {
                ::metrics::counter!(metrics::REPORT_SECTIONS_DROPPED, "reason" => "refuted")
                    .increment(1);
            }
        }
    }

    /// Changes the set, and the directory if another set is in force then. Both change under the lock of the set, so that the
    /// directory never keeps an older one.
    fn change_evacuations(
        &self,
        now: Instant,
        change: impl FnOnce(&mut EvacuationState) -> EvacuationChange,
    ) -> EvacuationChange {
        let mut state = lock(&self.evacuations);
        let change = change(&mut state);
        if !change.is_empty() {
            let evacuated = state.evacuated();
            ::metrics::gauge!(metrics::EVACUATED_DATA_CENTRES).set(evacuated.len() as f64);
            // Before they are candidates again, so that no host sends them all its requests at once.
            for data_centre in &change.ended {
                self.cold.data_centre_returned(data_centre, now);
            }
            self.change_directory(|d| d.set_evacuated(evacuated));
        }
        let is_unverified = state.is_unverified();
        self.evacuations_unverified.send_if_modified(|known| {
            let is_new = *known != is_unverified;
            *known = is_unverified;
            is_new
        });
        change
    }

    fn follow_evacuations(
        &self,
        change: &EvacuationChange,
        position: SetPosition,
        learned: &str,
        now: Instant,
    ) {
        if change.is_empty() {
            return;
        }
        let unknown = self.log_unknown_evacuations();
        let began = change.began.iter().filter(|name| !unknown.contains(name));
        for name in began {
            log::info!(target: "evacuation", "data centre {name} evacuated: its upstreams get no new work; position {position}, {learned}");
        }
        for name in &change.ended {
            log::info!(target: "evacuation", "data centre {name} is back in service; position {position}, {learned}");
        }
        // Requests that wait may find memory in a data centre that is back, or nowhere any more.
        self.queues.wake_heads(now);
        self.request_report();
    }

    /// Logs each evacuated data centre that does not exist, once, and returns those that it logs. Nothing is excluded for them.
    pub(super) fn log_unknown_evacuations(&self) -> Vec<DataCentreId> {
        let is_any_evacuated = !lock(&self.evacuations).evacuated().is_empty();
        let is_listed = || self.with_directory(Directory::last_listed).is_some();
        if !is_any_evacuated || (self.regions.is_empty() && !is_listed()) {
            return Vec::new();
        }
        let known = self.known_data_centres();
        let unknown = lock(&self.evacuations).take_unknown(&known);
        for name in &unknown {
            ::metrics::counter!(metrics::EVACUATIONS_IGNORED, "reason" => "unknown").increment(1);
            log::warn!(target: "evacuation", "request to evacuate {name:?} ignored: no upstream or host is in a data centre of that name");
        }
        unknown
    }

    fn known_data_centres(&self) -> BTreeSet<DataCentreId> {
        let mut known = self.with_directory(Directory::data_centres);
        known.append(&mut self.peers().data_centres());
        known.extend(self.regions.keys().cloned());
        known
    }

    /// Returns what other hosts are told of evacuated data centres; `None` if there is nothing to tell.
    pub fn evacuation_news(&self) -> Option<EvacuationNews> {
        lock(&self.evacuations).news()
    }

    /// Returns the names of the evacuated data centres.
    pub fn evacuated_data_centres(&self) -> Vec<DataCentreId> {
        let evacuated = lock(&self.evacuations).evacuated();
        evacuated.iter().cloned().collect()
    }

    /// Returns the data centres that are back in service since this host has started, each with when it learned of it. Their
    /// upstreams may be cold.
    pub fn returned_data_centres(&self) -> Vec<(DataCentreId, Instant)> {
        lock(&self.evacuations).returned()
    }

    /// Waits until a set of evacuated data centres that other hosts reported has been in force for `delay` and this host has not
    /// read it itself.
    pub async fn wait_for_unverified_evacuations(&self, delay: Duration) {
        let mut unverified = self.evacuations_unverified.subscribe();
        loop {
            // The sender lives as long as `self`.
            let _ = unverified.wait_for(|is_unverified| *is_unverified).await;
            tokio::time::sleep(delay).await;
            if *unverified.borrow() {
                return;
            }
        }
    }
}
