//! The upstreams that registered themselves. Holds no I/O and reads no clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;

/// The part of a generation that an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// All of a request: plain services, and engines that don't split it.
    Whole,
    /// Prompts only.
    Prefill,
    /// Tokens; prompts only where it must.
    Decode,
}

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The upstream.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds; distinguishes a restart under the same id.
    pub born: u64,
    /// The service.
    pub service: ModelId,
    /// The address of its HTTP listener.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it runs.
    pub stage: Stage,
    /// Whether it leaves and takes no new work.
    pub draining: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The models that it holds; empty for plain services.
    pub models: SmallVec<[Name; 2]>,
}

/// The settings of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectorySettings {
    /// The time after the store's return for which a missing entry means nothing: registrations that lapsed
    /// during the outage are back within about two seconds.
    pub outage_grace: Duration,
    /// The time for which other hosts are told of an upstream that left: longer than they take to read the list by themselves.
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

/// What a new list changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Upstreams that are new or were started again.
    pub started: Vec<Arc<Instance>>,
    /// Upstreams that take no new work from now on.
    pub left: Vec<Arc<Instance>>,
    /// Upstreams that are missing while that means nothing.
    pub kept: usize,
}

/// The upstreams known.
#[derive(Debug, Default)]
pub struct Directory {
    settings: DirectorySettings,
    instances: HashMap<UpstreamId, Arc<Instance>>,
    by_service: HashMap<ModelId, Arc<[Arc<Instance>]>>,
    /// Whether the last read failed, and since when the store answers again.
    away: bool,
    returned: Option<Instant>,
    /// When the last list was read.
    listed: Option<Instant>,
    /// The upstreams that left lately by the own list, to tell other hosts.
    news: Vec<(Instant, UpstreamId, u64)>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes note that the list could not be read.
    pub fn record_read_failure(&mut self) {
        self.away = true;
    }

    /// Replaces the list by one that was asked for at `asked` and is complete.
    pub fn apply(&mut self, listed: Vec<Instance>, asked: Instant) -> DirectoryChange {
        if self.away {
            self.away = false;
            self.returned = Some(asked);
        }
        let keeps_missing = self.listed.is_some()
            && self.returned.is_some_and(|returned| {
                asked.saturating_duration_since(returned) < self.settings.outage_grace
            });
        if !keeps_missing {
            self.returned = None;
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
        self.listed = Some(asked);
        self.news.retain(|(at, _, _)| {
            asked.saturating_duration_since(*at) < self.settings.left_report_ttl
        });
        let news = change
            .left
            .iter()
            .map(|left| (asked, left.id.clone(), left.born));
        self.news.extend(news);
        self.index();
        change
    }

    /// Takes out one instance that turned out to be gone: another one answers at its address. Other hosts are told, because each
    /// would find out by a call that is refused.
    pub fn remove(&mut self, id: &UpstreamId, born: u64, now: Instant) {
        if self
            .instances
            .get(id)
            .is_some_and(|known| known.born == born)
        {
            self.instances.remove(id);
            self.news.push((now, id.clone(), born));
            self.index();
        }
    }

    /// Takes over that another host found an upstream to have left; the next own list decides anew. Tells whether it was news.
    pub fn mark_left(&mut self, id: &UpstreamId, born: u64) -> bool {
        let known = self
            .instances
            .get(id)
            .filter(|known| known.born == born && !known.draining);
        let Some(known) = known else {
            return false;
        };
        let left = Instance {
            draining: true,
            ..(**known).clone()
        };
        self.instances.insert(id.clone(), Arc::new(left));
        self.index();
        true
    }

    /// Returns the upstreams that left lately.
    pub fn recently_left(&self) -> Vec<(UpstreamId, u64)> {
        self.news
            .iter()
            .map(|(_, id, born)| (id.clone(), *born))
            .collect()
    }

    /// Returns when the list was read last; `None` if it never was.
    pub fn last_listed(&self) -> Option<Instant> {
        self.listed
    }

    /// Returns the upstreams of a service that take new work.
    pub fn available(&self, service: &str) -> Option<Arc<[Arc<Instance>]>> {
        self.by_service.get(service).cloned()
    }

    /// Tells whether an upstream that was chosen a while ago still takes new work.
    pub fn is_available(&self, instance: &Instance) -> bool {
        let known = self.instances.get(&instance.id);
        known.is_some_and(|known| known.born == instance.born && !known.draining)
    }

    /// Returns the number of upstreams known, leaving ones included.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    fn index(&mut self) {
        let mut by_service: HashMap<ModelId, Vec<Arc<Instance>>> = HashMap::new();
        for instance in self.instances.values().filter(|i| !i.draining) {
            let takers = by_service.entry(instance.service.clone()).or_default();
            takers.push(instance.clone());
        }
        let sorted = by_service.into_iter().map(|(service, mut takers)| {
            takers.sort_by(|a, b| a.id.cmp(&b.id));
            (service, Arc::from(takers))
        });
        self.by_service = sorted.collect();
    }
}
