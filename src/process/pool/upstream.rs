//! The state of one upstream, as its pool's owner knows it.

use std::sync::Arc;
use std::time::Instant;

use crate::process::placement::Transfer;
use crate::process::pool::AttemptKey;
use crate::process::pool::cache::CacheIndex;
use crate::process::pool::health::Health;
use crate::process::pool::load::CorrectedLoad;
use crate::process::pool::settings::PlacementSettings;
use crate::version::compiled::{Role, Upstream};

/// An upstream of a pool, with its load, health and cache.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// The configuration that was applied last.
    pub config: Arc<Upstream>,
    /// Whether it gets no new work, because of a planned stop or its removal from the configuration.
    pub leaving: bool,
    /// The number of attempts that hold it, counted by this owner.
    pub held: u32,
    /// The last load report, corrected by what was sent and ended since.
    pub load: CorrectedLoad,
    /// Whether it is excluded after failures.
    pub health: Health,
    /// The prompt prefixes that it has cached; only filled for prefill engines.
    pub cache: CacheIndex,
    /// The transfers expected on its link, by attempt.
    link_reservations: Vec<(AttemptKey, Transfer)>,
    /// The same transfers as a slice for policies.
    transfers: Vec<Transfer>,
}

impl UpstreamState {
    /// Creates the state of an upstream that holds no attempts and has not failed.
    pub fn new(config: Arc<Upstream>) -> Self {
        Self {
            leaving: false,
            held: 0,
            load: CorrectedLoad::default(),
            health: Health::new(config.role != Role::Service),
            cache: CacheIndex::default(),
            link_reservations: Vec::new(),
            transfers: Vec::new(),
            config,
        }
    }

    /// Returns the number of running requests: the larger of this owner's count and the corrected report. The report
    /// includes what an earlier owner placed; the count includes what has not reached the engine yet.
    pub fn running(&self, settings: &PlacementSettings, now: Instant) -> u32 {
        let reported = self.load.running(settings.report_max_age, now);
        self.held.max(reported.unwrap_or(0))
    }

    /// Returns whether it may get an attempt, regardless of free slots.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.leaving && self.health.is_usable(now)
    }

    /// Returns whether it has a free slot.
    pub fn has_slot(&self, settings: &PlacementSettings, now: Instant) -> bool {
        self.running(settings, now) < self.config.slots
    }

    /// Reserves the link for a transfer.
    pub fn reserve_link(&mut self, key: AttemptKey, transfer: Transfer) {
        self.link_reservations.push((key, transfer));
        self.transfers.push(transfer);
    }

    /// Frees the link reservation of an attempt, if there is one.
    pub fn free_link(&mut self, key: AttemptKey) {
        self.link_reservations.retain(|(k, _)| *k != key);
        self.transfers = self.link_reservations.iter().map(|(_, t)| *t).collect();
    }

    /// Frees the link reservations of transfers that have ended.
    pub fn expire_links(&mut self, now: Instant) {
        if self.transfers.iter().any(|t| t.end <= now) {
            self.link_reservations.retain(|(_, t)| t.end > now);
            self.transfers.retain(|t| t.end > now);
        }
    }

    /// Returns the transfers for which the link is reserved.
    pub fn transfers(&self) -> &[Transfer] {
        &self.transfers
    }
}
