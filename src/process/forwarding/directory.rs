//! The upstreams that are registered in the store. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;

/// The part of a generation that an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// All of a request: plain services, and engines that prefill and decode.
    Whole,
    /// Prefills prompts for decode engines.
    Prefill,
    /// Generates tokens; prefills a prompt itself only where no prefill engine does.
    Decode,
}

/// One run of an upstream's process, as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The id under which the upstream registers; a restarted one may keep it.
    pub id: UpstreamId,
    /// The start of its process in Unix milliseconds, which distinguishes a restart under the same id; 0 where restarts
    /// get a new id.
    pub born: u64,
    /// The model that an engine serves, or the plain service.
    pub service: ModelId,
    /// The address of its HTTP listener.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The part of a generation that it runs.
    pub stage: Stage,
    /// Whether it is shutting down and must get no new work.
    pub draining: bool,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The models that it has loaded; empty if it serves any, as plain services do.
    pub models: SmallVec<[Name; 2]>,
}

/// The time limits of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectorySettings {
    /// The time after a store outage for which upstreams missing from the list are kept: registrations that expired during the
    /// outage are renewed within about two seconds.
    pub outage_grace: Duration,
    /// The time for which reports to other hosts name an upstream that left; longer than those hosts take to read the list
    /// themselves.
    pub left_report_ttl: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            outage_grace: Duration::from_millis(2200),
            left_report_ttl: Duration::from_secs(4),
        }
    }
}

/// The changes that a new list made to the directory.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Upstreams that are new or were restarted.
    pub started: Vec<Arc<Instance>>,
    /// Upstreams that must get no new work from now on, because they drain or are no longer listed.
    pub left: Vec<Arc<Instance>>,
    /// The number of upstreams that are not listed but kept, because the store was just unavailable.
    pub kept: usize,
}

/// The registered upstreams, by id and by service.
#[derive(Debug, Default)]
pub struct Directory {
    settings: DirectorySettings,
    instances: HashMap<UpstreamId, Arc<Instance>>,
    by_service: HashMap<ModelId, Arc<[Arc<Instance>]>>,
    /// Whether the last read of the list failed.
    is_store_down: bool,
    /// When the first list after the last outage was requested; `None` once its grace period is over.
    outage_ended: Option<Instant>,
    /// When the last list was requested.
    last_listed: Option<Instant>,
    /// The upstreams to report as left: when this host found it, the id, and the start in Unix milliseconds.
    left: Vec<(Instant, UpstreamId, u64)>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that the list could not be read.
    pub fn record_read_failure(&mut self) {
        self.is_store_down = true;
    }

    /// Applies a complete list that was requested at `requested_at`.
    pub fn apply(&mut self, listed: Vec<Instance>, requested_at: Instant) -> DirectoryChange {
        if self.is_store_down {
            self.is_store_down = false;
            self.outage_ended = Some(requested_at);
        }
        let keeps_missing = self.last_listed.is_some()
            && self.outage_ended.is_some_and(|ended| {
                requested_at.saturating_duration_since(ended) < self.settings.outage_grace
            });
        if !keeps_missing {
            self.outage_ended = None;
        }
        let mut change = DirectoryChange::default();
        let mut next = HashMap::with_capacity(listed.len());
        for instance in listed {
            let known = self.instances.remove(&instance.id);
            let instance = match known {
                Some(known) if *known == instance => known,
                known => {
                    let instance = Arc::new(instance);
                    let is_restart = known.as_ref().is_none_or(|k| k.born != instance.born);
                    if instance.draining && known.is_some_and(|k| !k.draining) {
                        change.left.push(instance.clone());
                    } else if is_restart {
                        change.started.push(instance.clone());
                    }
                    instance
                }
            };
            next.insert(instance.id.clone(), instance);
        }
        for (id, missing) in std::mem::take(&mut self.instances) {
            if keeps_missing {
                change.kept += 1;
                next.insert(id, missing);
            } else {
                change.left.push(missing);
            }
        }
        self.instances = next;
        self.last_listed = Some(requested_at);
        self.left.retain(|(at, _, _)| {
            requested_at.saturating_duration_since(*at) < self.settings.left_report_ttl
        });
        let left = change
            .left
            .iter()
            .map(|instance| (requested_at, instance.id.clone(), instance.born));
        self.left.extend(left);
        self.rebuild_index();
        change
    }

    /// Removes an instance that is gone because another one answers at its address. It is reported to other hosts, each of which
    /// would otherwise need a refused call of its own to find out.
    pub fn remove(&mut self, id: &UpstreamId, born: u64, now: Instant) {
        if self
            .instances
            .get(id)
            .is_some_and(|known| known.born == born)
        {
            self.instances.remove(id);
            self.left.push((now, id.clone(), born));
            self.rebuild_index();
        }
    }

    /// Marks an upstream as draining that another host found to have left, until this host applies its next list. Returns whether
    /// this host did not know of it.
    pub fn mark_left(&mut self, id: &UpstreamId, born: u64) -> bool {
        let known = self
            .instances
            .get(id)
            .filter(|known| known.born == born && !known.draining);
        let Some(known) = known else {
            return false;
        };
        let drained = Instance {
            draining: true,
            ..(**known).clone()
        };
        self.instances.insert(id.clone(), Arc::new(drained));
        self.rebuild_index();
        true
    }

    /// Returns the upstreams that recently left, each with its start in Unix milliseconds.
    pub fn recently_left(&self) -> Vec<(UpstreamId, u64)> {
        self.left
            .iter()
            .map(|(_, id, born)| (id.clone(), *born))
            .collect()
    }

    /// Returns when the last list was requested; `None` if none was read yet.
    pub fn last_listed(&self) -> Option<Instant> {
        self.last_listed
    }

    /// Returns the upstreams of a service that may get new work, ordered by id; `None` if there are none.
    pub fn available(&self, service: &str) -> Option<Arc<[Arc<Instance>]>> {
        self.by_service.get(service).cloned()
    }

    /// Returns whether an instance that was chosen earlier is still the registered one and may get new work.
    pub fn is_available(&self, instance: &Instance) -> bool {
        let known = self.instances.get(&instance.id);
        known.is_some_and(|known| known.born == instance.born && !known.draining)
    }

    /// Returns the number of known upstreams, draining ones included.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no upstream is known, not even a draining one.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    fn rebuild_index(&mut self) {
        let mut by_service: HashMap<ModelId, Vec<Arc<Instance>>> = HashMap::new();
        for instance in self.instances.values().filter(|i| !i.draining) {
            let available = by_service.entry(instance.service.clone()).or_default();
            available.push(instance.clone());
        }
        let sorted = by_service.into_iter().map(|(service, mut available)| {
            available.sort_by(|a, b| a.id.cmp(&b.id));
            (service, Arc::from(available))
        });
        self.by_service = sorted.collect();
    }
}
