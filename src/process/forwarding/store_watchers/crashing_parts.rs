//! Keeps the parts of prompts that crash upstreams in the platform's store, so that hosts that start refuse them too.

use serde::{Deserialize, Serialize};

use super::{Backoff, StoreWatchers};
use crate::prelude::*;
use crate::process::quarantine::PART_TTL;

/// The prefix of the keys of parts that crash upstreams, before the fingerprint in hexadecimal digits.
const PART_PREFIX: &str = "crashing-parts/";

/// How often a change is written before it is left to the crashes that follow.
const MAX_WRITES: u32 = 5;

/// A stored part.
#[derive(Serialize, Deserialize)]
struct StoredPart {
    /// The requests that crashed an upstream, each with that upstream.
    crashes: Vec<(RequestId, UpstreamId)>,
}

impl StoreWatchers {
    /// Reads the parts that crashed upstreams before this host started, and stores those that it finds, until dropped.
    pub async fn keep_crashing_parts(&self) {
        let mut backoff = Backoff::new("crashing parts", &self.settings);
        let entries = loop {
            match self.store.list(PART_PREFIX).await {
                Ok(entries) => break entries,
                Err(e) => backoff.failed(&e, self.max_backoff()).await,
            }
        };
        backoff.succeeded();
        for entry in &entries {
            self.restore_part(entry);
        }
        loop {
            for part in self.state.next_part_changes().await {
                for _ in 0..MAX_WRITES {
                    match self.store_part(&part).await {
                        Ok(()) => {
                            backoff.succeeded();
                            break;
                        }
                        Err(e) => backoff.failed(&e, self.max_backoff()).await,
                    }
                }
            }
        }
    }

    fn restore_part(&self, entry: &StoreEntry) {
        let digits = entry.key.strip_prefix(PART_PREFIX).unwrap_or_default();
        let part = match blake3::Hash::from_hex(digits) {
            Ok(part) => part,
            Err(e) => {
                log::warn!(target: "upstream", "crashing part under {} ignored: {e}", entry.key);
                return;
            }
        };
        match serde_json::from_slice::<StoredPart>(&entry.value) {
            Ok(stored) => {
                log::info!(target: "upstream", "part {digits} of prompts crashed upstreams before the start");
                let now = self.clock.now();
                self.state
                    .restore_part(*part.as_bytes(), &stored.crashes, now);
            }
            Err(e) => {
                log::warn!(target: "upstream", "crashing part under {} ignored: {e}", entry.key);
            }
        }
    }

    /// Stores what is known of a part: its crashes while it is suspected, nothing otherwise.
    async fn store_part(&self, part: &Digest) -> Result<(), StoreError> {
        let digits = blake3::Hash::from_bytes(*part).to_hex();
        let key = format!("{PART_PREFIX}{digits}");
        let crashes = self.state.part_crashes(part, self.clock.now());
        if crashes.is_empty() {
            log::info!(target: "upstream", "part {digits} of prompts no longer suspected: an upstream ran a request with it");
            let Some(stored) = self.store.get(&key).await? else {
                return Ok(());
            };
            return self.store.delete(&key, stored.revision).await;
        }
        log::warn!(target: "upstream", "part {digits} of prompts crashed upstreams in {} requests; requests with it are refused", crashes.len());
        let value = serde_json::to_vec(&StoredPart { crashes }).unwrap_or_default();
        let lease = self.store.grant_lease(PART_TTL).await?;
        let stored = self.store.swap(&key, Expected::Absent, value, Some(lease));
        match stored.await {
            // Another host has stored it.
            Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }
}
