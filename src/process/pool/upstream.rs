//! What the pool owner knows about one upstream.

use std::sync::Arc;
use std::time::Instant;

use crate::process::placement::Transfer;
use crate::process::pool::AttemptKey;
use crate::process::pool::cache::CacheIndex;
use crate::process::pool::health::Health;
use crate::process::pool::load::CorrectedLoad;
use crate::process::pool::settings::PlacementSettings;
use crate::version::compiled::{Role, Upstream};

/// The state of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// Its configuration.
    pub config: Arc<Upstream>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Its attempts, counted by this owner.
    pub held: u32,
    /// Its corrected load.
    pub load: CorrectedLoad,
    /// Its health.
    pub health: Health,
    /// The prefixes that it has cached.
    pub cache: CacheIndex,
    /// The transfers held on its link.
    links: Vec<(AttemptKey, Transfer)>,
    /// The same transfers, as policies see them.
    transfers: Vec<Transfer>,
}

impl UpstreamState {
    /// Creates the state of an upstream without work.
    pub fn new(config: Arc<Upstream>) -> Self {
        Self {
            leaving: false,
            held: 0,
            load: CorrectedLoad::default(),
            health: Health::new(config.role != Role::Service),
            cache: CacheIndex::default(),
            links: Vec::new(),
            transfers: Vec::new(),
            config,
        }
    }

    /// Returns the requests running: the larger of this owner's count and the corrected report. The report
    /// includes what an earlier owner placed; the count includes what has not reached the engine yet.
    pub fn running(&self, settings: &PlacementSettings, now: Instant) -> u32 {
        let reported = self.load.running(settings.report_max_age, now);
        self.held.max(reported.unwrap_or(0))
    }

    /// Tells whether it may get an attempt, apart from slots.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.leaving && self.health.is_usable(now)
    }

    /// Tells whether it has a free slot.
    pub fn has_slot(&self, settings: &PlacementSettings, now: Instant) -> bool {
        self.running(settings, now) < self.config.slots
    }

    /// Holds link capacity.
    pub fn reserve_link(&mut self, key: AttemptKey, transfer: Transfer) {
        self.links.push((key, transfer));
        self.transfers.push(transfer);
    }

    /// Frees link capacity.
    pub fn free_link(&mut self, key: AttemptKey) {
        self.links.retain(|(k, _)| *k != key);
        self.transfers = self.links.iter().map(|(_, t)| *t).collect();
    }

    /// Frees the link capacity of transfers that are over.
    pub fn expire_links(&mut self, now: Instant) {
        if self.transfers.iter().any(|t| t.end <= now) {
            self.links.retain(|(_, t)| t.end > now);
            self.transfers.retain(|t| t.end > now);
        }
    }

    /// Returns the transfers held on the link.
    pub fn transfers(&self) -> &[Transfer] {
        &self.transfers
    }
}
