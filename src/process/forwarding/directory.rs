//! The upstreams that are registered in the store. Performs no I/O and reads no clock.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::recent_news::RecentNews;
use crate::process::forwarding::source::Reach;
use crate::process::shard::stable_hash;

/// The part of a generation that an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// All of a request: plain services, and engines that prefill and decode.
    Whole,
    /// Prefills prompts for decode engines.
    Prefill,
    /// Generates tokens; prefills a prompt itself only where no prefill engine does.
    Decode,
}

/// One run of an upstream's process, as registered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    /// The age of a list from which the store counts as having been unavailable; longer than any interval between two reads.
    pub outage_gap: Duration,
    /// The time for which reports to other hosts name an upstream that left; longer than those hosts take to read the list
    /// themselves.
    pub left_report_ttl: Duration,
    /// The time for which messages to other hosts repeat a change of the list, in case some are lost.
    pub change_report_ttl: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            outage_grace: Duration::from_millis(2200),
            outage_gap: Duration::from_millis(3500),
            left_report_ttl: Duration::from_secs(4),
            change_report_ttl: Duration::from_secs(4),
        }
    }
}

/// The changes that a new list made to the directory.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Upstreams that are new or were restarted.
    pub started: Vec<Arc<Instance>>,
    /// Those of `started` that were restarted under the id of a known one.
    pub restarted: HashSet<UpstreamId>,
    /// Whether this is the first list, which tells nothing of when upstreams started.
    pub is_first: bool,
    /// Upstreams that must get no new work from now on, because they drain or are no longer listed.
    pub left: Vec<Arc<Instance>>,
    /// The number of upstreams that are not listed but kept, because the store was just unavailable.
    pub kept: usize,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// An upstream is new, was restarted, or its entry changed.
    Put(Instance),
    /// An upstream is no longer listed.
    Removed(UpstreamId),
}

impl DirectoryChange {
    /// Adds an upstream that started; `known` is the one that was known under its id.
    fn add_started(&mut self, instance: &Arc<Instance>, known: Option<&Instance>) {
        self.started.push(instance.clone());
        if known.is_some() {
            self.restarted.insert(instance.id.clone());
        }
    }

    /// Returns whether the list stayed as it was.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.left.is_empty()
    }
}

/// The time for which an upstream that stated that it leaves is remembered after its entry has gone.
const LEAVING_TTL: Duration = Duration::from_mins(10);

/// The time for which an engine that was ordered to change its stage gets no work unless it registers the new stage before: it finishes
/// what runs, and changes in some seconds. An order that was not carried out costs no more.
const STAGE_CHANGE_TTL: Duration = Duration::from_secs(12);

/// The most changes of stages that are remembered, far more than are ordered at a time.
const MAX_STAGE_CHANGES: usize = 256;

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderedStage {
    /// The engine.
    pub upstream: UpstreamId,
    /// The start of its process in Unix milliseconds.
    pub born: u64,
    /// The stage that it changes to.
    pub stage: Stage,
}

/// The most changes of the list that a report tells; they fit into a datagram beside the rest of a report.
const MAX_REPORTED_CHANGES: usize = 128;

/// The newest changes of the list of upstreams, for hosts that don't read it from the store themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// The revision of the store up to which the list is complete.
    pub revision: Revision,
    /// The time since the list was requested from the store, as of the sending of this message.
    pub age: Duration,
    /// The digest of the whole list, by which a receiver finds that it misses a change.
    pub digest: u64,
    /// The changes within the last `DirectorySettings::change_report_ttl`, oldest first.
    pub changes: Vec<ListChange>,
}

/// What came of `ListNews`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsOutcome {
    /// The list was known already, or a newer one.
    Known,
    /// The list is now that of the news.
    Applied,
    /// More has changed than the news tells; the list must be read from the store.
    Incomplete,
}

/// The registered upstreams, by id and by service.
#[derive(Debug)]
pub struct Directory {
    settings: DirectorySettings,
    instances: HashMap<UpstreamId, Arc<Instance>>,
    by_service: HashMap<ModelId, Arc<[Arc<Instance>]>>,
    /// Whether the last read of the list failed.
    is_store_down: bool,
    /// When the first list after the last outage was requested; `None` once its grace period is over.
    outage_ended: Option<Instant>,
    /// When the last list was requested from the store, by this host or the one whose news it applied.
    last_listed: Option<Instant>,
    /// When this host itself requested its last list.
    last_read: Option<Instant>,
    /// The revision of the store up to which the list is complete.
    revision: Revision,
    /// The digest of the list, see `ListNews`.
    digest: u64,
    /// The changes of the list, with the time at which this host learned of each.
    changes: VecDeque<(Instant, ListChange)>,
    /// The upstreams that were found to have left although they are listed, each with its start in Unix milliseconds and the time.
    /// They get no work until a list that was requested later.
    marked: HashMap<UpstreamId, (u64, Instant)>,
    /// The upstreams that stated that they leave, each with its start in Unix milliseconds and the time. They get no work although the
    /// list may go on naming them as ready.
    leaving: HashMap<UpstreamId, (u64, Instant)>,
    /// The data centres whose upstreams get no work.
    evacuated: Arc<BTreeSet<DataCentreId>>,
    /// The upstreams to report as left: the id, and the start in Unix milliseconds.
    left: RecentNews<(UpstreamId, u64)>,
    /// The engines that change their stage. They get no work until they register it.
    changing: RecentNews<OrderedStage>,
}

impl Default for Directory {
    fn default() -> Self {
        Self::new(DirectorySettings::default())
    }
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            left: RecentNews::new(settings.left_report_ttl),
            changing: RecentNews::new(STAGE_CHANGE_TTL),
            settings,
            instances: HashMap::new(),
            by_service: HashMap::new(),
            is_store_down: false,
            outage_ended: None,
            last_listed: None,
            last_read: None,
            revision: 0,
            digest: 0,
            changes: VecDeque::new(),
            marked: HashMap::new(),
            leaving: HashMap::new(),
            evacuated: Arc::default(),
        }
    }

    /// Records that the list could not be read.
    pub fn record_read_failure(&mut self) {
        self.is_store_down = true;
    }

    /// Applies a complete list that was requested at `requested_at` and has all changes up to `revision` of the store.
    pub fn apply(
        &mut self,
        listed: Vec<Instance>,
        revision: Revision,
        requested_at: Instant,
    ) -> DirectoryChange {
        let gap = self
            .last_listed
            .map(|at| requested_at.saturating_duration_since(at));
        // Relays that told nothing of the list for so long could not read it either.
        let was_down = self.is_store_down || gap.is_some_and(|gap| gap > self.settings.outage_gap);
        if was_down {
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
        let is_first = self.last_listed.is_none();
        let mut change = DirectoryChange {
            is_first,
            ..DirectoryChange::default()
        };
        let mut next = HashMap::with_capacity(listed.len());
        for instance in listed {
            let known = self.instances.remove(&instance.id);
            let instance = match known {
                Some(known) if *known == instance => known,
                known => {
                    if !is_first {
                        let put = ListChange::Put(instance.clone());
                        self.record_change(put, requested_at);
                    }
                    let instance = Arc::new(instance);
                    let is_restart = known.as_ref().is_none_or(|k| k.born != instance.born);
                    if instance.draining && known.as_ref().is_some_and(|k| !k.draining) {
                        change.left.push(instance.clone());
                    } else if is_restart {
                        change.add_started(&instance, known.as_deref());
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
                self.record_change(ListChange::Removed(id), requested_at);
                change.left.push(missing);
            }
        }
        self.instances = next;
        self.last_listed = Some(requested_at);
        self.last_read = Some(requested_at);
        self.marked.retain(|_, (_, at)| *at >= requested_at);
        self.changing.drop_expired(requested_at);
        self.leaving.retain(|id, (_, at)| {
            // The entry of one that leaves may lapse during an outage and come back.
            let age = requested_at.saturating_duration_since(*at);
            self.instances.contains_key(id) || age < LEAVING_TTL
        });
        self.revision = self.revision.max(revision);
        for instance in &change.left {
            let left = (instance.id.clone(), instance.born);
            self.left.add(left, Reach::Host, requested_at);
        }
        self.rebuild_index();
        change
    }

    /// Returns the news of the list for other hosts; `None` before the first list.
    pub fn news(&mut self, now: Instant) -> Option<ListNews> {
        let ttl = self.settings.change_report_ttl;
        self.changes
            .retain(|(at, _)| now.saturating_duration_since(*at) < ttl);
        Some(ListNews {
            revision: self.revision,
            age: now.saturating_duration_since(self.last_listed?),
            digest: self.digest,
            changes: self.changes.iter().map(|(_, c)| c.clone()).collect(),
        })
    }

    /// Returns whether this host read the newest list that it knows of itself, within `change_report_ttl`. Only such a host need tell
    /// the others of it.
    pub fn is_newest_reader(&self, now: Instant) -> bool {
        let ttl = self.settings.change_report_ttl;
        self.last_read == self.last_listed
            && self
                .last_read
                .is_some_and(|at| now.saturating_duration_since(at) < ttl)
    }

    /// Returns whether applying news that arrived at `now` would change nothing.
    pub fn is_known(&self, news: &ListNews, now: Instant) -> bool {
        let age = self.last_listed.map(|at| now.saturating_duration_since(at));
        news.digest == self.digest
            && news.revision <= self.revision
            && age.is_some_and(|age| age <= news.age)
    }

    /// Applies news that arrived at `now`. They don't make the list newer than the store's reply from which they come.
    pub fn apply_news(&mut self, news: &ListNews, now: Instant) -> (NewsOutcome, DirectoryChange) {
        let mut change = DirectoryChange::default();
        let Some(last_listed) = self.last_listed else {
            return (NewsOutcome::Incomplete, change);
        };
        if news.revision < self.revision {
            return (NewsOutcome::Known, change);
        }
        let requested_at = now.checked_sub(news.age).unwrap_or(last_listed);
        let is_known = news.digest == self.digest;
        let marks = self.marked.len();
        if !is_known {
            for listed in &news.changes {
                self.apply_change(listed, now, &mut change);
            }
        }
        if self.listed_digest() == news.digest {
            self.marked.retain(|_, (_, at)| *at >= requested_at);
        }
        if !is_known || self.marked.len() < marks {
            self.rebuild_index();
        }
        if news.digest != self.digest {
            return (NewsOutcome::Incomplete, change);
        }
        self.revision = news.revision;
        self.last_listed = Some(last_listed.max(requested_at));
        let outcome = if is_known {
            NewsOutcome::Known
        } else {
            NewsOutcome::Applied
        };
        (outcome, change)
    }

    fn apply_change(&mut self, listed: &ListChange, now: Instant, change: &mut DirectoryChange) {
        match listed {
            ListChange::Put(instance) => {
                let known = self.instances.get(&instance.id).cloned();
                if known.as_ref().is_some_and(|known| **known == *instance) {
                    return;
                }
                let is_restart = known
                    .as_ref()
                    .is_none_or(|known| known.born != instance.born);
                let drains =
                    instance.draining && known.as_ref().is_some_and(|known| !known.draining);
                let instance = Arc::new(instance.clone());
                if drains {
                    change.left.push(instance.clone());
                } else if is_restart {
                    change.add_started(&instance, known.as_deref());
                }
                self.instances.insert(instance.id.clone(), instance);
            }
            ListChange::Removed(id) => {
                let Some(removed) = self.instances.remove(id) else {
                    return;
                };
                change.left.push(removed);
            }
        }
        self.record_change(listed.clone(), now);
    }

    /// Records a change to tell other hosts of it. Of too many, the oldest are dropped: hosts that miss one read the list themselves.
    fn record_change(&mut self, change: ListChange, now: Instant) {
        if self.changes.len() == MAX_REPORTED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, change));
    }

    /// Marks an instance as left because another one answers at its address. It is reported to other hosts, each of which would
    /// otherwise need a refused call of its own to find out.
    pub fn remove(&mut self, id: &UpstreamId, born: u64, now: Instant) {
        self.mark_left(id, born, Reach::Host, now);
    }

    /// Marks an upstream that a host within `reach` found to have left, until this host applies a list requested later. Returns
    /// whether this host did not know of it.
    pub fn mark_left(&mut self, id: &UpstreamId, born: u64, reach: Reach, now: Instant) -> bool {
        let known = self.instances.get(id);
        if known.is_none_or(|known| known.born != born) {
            return false;
        }
        let is_news = self.left.add((id.clone(), born), reach, now);
        if known.is_some_and(|known| known.draining) || !is_news {
            return false;
        }
        self.marked.insert(id.clone(), (born, now));
        self.rebuild_index();
        true
    }

    /// Records that an upstream stated that it leaves: it gets no more work in its present incarnation. Returns whether this host did not
    /// know of it.
    pub fn mark_leaving(&mut self, id: &UpstreamId, born: u64, now: Instant) -> bool {
        let before = self.leaving.insert(id.clone(), (born, now));
        if before.is_some_and(|(known, _)| known == born) {
            return false;
        }
        self.mark_left(id, born, Reach::Host, now);
        self.rebuild_index();
        true
    }

    /// Sets the data centres whose upstreams get no work.
    pub fn set_evacuated(&mut self, data_centres: Arc<BTreeSet<DataCentreId>>) {
        self.evacuated = data_centres;
        self.rebuild_index();
    }

    /// Returns whether upstreams that can serve requests for a service get none only because their data centres are evacuated.
    pub fn has_evacuated(&self, service: &str) -> bool {
        let mut instances = self.instances.values();
        let serves = |i: &Instance| &*i.service == service && i.stage != Stage::Prefill;
        !self.evacuated.is_empty()
            && instances.any(|i| serves(i) && self.is_evacuated(i) && self.is_ready(i))
    }

    /// Returns the data centres of all known upstreams.
    pub fn data_centres(&self) -> BTreeSet<DataCentreId> {
        let instances = self.instances.values();
        instances.map(|i| i.data_centre.clone()).collect()
    }

    /// Records that an engine is ordered to change its stage, as a host within `reach` told. Returns whether this host did not know of it.
    pub fn mark_changing(&mut self, ordered: OrderedStage, reach: Reach, now: Instant) -> bool {
        let known = self.instances.get(&ordered.upstream);
        let applies = known.is_some_and(|known| {
            known.born == ordered.born
                && known.stage != ordered.stage
                && known.stage != Stage::Whole
        });
        if !applies || self.changing.len() >= MAX_STAGE_CHANGES {
            return false;
        }
        let is_new = self.changing.add(ordered, reach, now);
        if is_new {
            self.rebuild_index();
        }
        is_new
    }

    /// Returns the engines that change their stage, as told within `reach`.
    pub fn changing(&mut self, reach: Reach, now: Instant) -> Vec<OrderedStage> {
        self.changing.within(reach, now)
    }

    /// Returns the upstreams of a service that may get work now or once they have changed their stage.
    pub fn staying(&self, service: &str) -> Vec<Arc<Instance>> {
        let of_service = self.instances.values().filter(|i| *i.service == *service);
        let staying = of_service.filter(|i| self.stays(i));
        staying.cloned().collect()
    }

    /// Returns whether an instance that was chosen earlier is still the registered one and may get work now or once it has changed its
    /// stage.
    pub fn is_staying(&self, instance: &Instance) -> bool {
        let known = self.instances.get(&instance.id);
        known.is_some_and(|known| known.born == instance.born && self.stays(known))
    }

    /// Returns the upstreams that recently left as found within `reach`, each with its start in Unix milliseconds.
    pub fn recently_left(&mut self, reach: Reach, now: Instant) -> Vec<(UpstreamId, u64)> {
        self.left.within(reach, now)
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
        known.is_some_and(|known| known.born == instance.born && self.takes_work(known))
    }

    /// Returns the upstream of this id, which may drain; `None` if it is not listed.
    pub fn instance(&self, id: &str) -> Option<Arc<Instance>> {
        self.instances.get(id).cloned()
    }

    /// Returns the number of known upstreams, draining ones included.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no upstream is known, not even a draining one.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns whether an instance stays and does not change its stage.
    fn takes_work(&self, instance: &Instance) -> bool {
        let changes = self.changing.iter().any(|ordered| {
            ordered.upstream == instance.id
                && ordered.born == instance.born
                && ordered.stage != instance.stage
        });
        self.stays(instance) && !changes
    }

    /// Returns whether an instance is ready for work and its data centre is not evacuated.
    fn stays(&self, instance: &Instance) -> bool {
        self.is_ready(instance) && !self.is_evacuated(instance)
    }

    fn is_evacuated(&self, instance: &Instance) -> bool {
        self.evacuated.contains(&instance.data_centre)
    }

    /// Returns whether an instance neither drains, nor leaves, nor was found to have left.
    fn is_ready(&self, instance: &Instance) -> bool {
        let mut marks = [&self.marked, &self.leaving].into_iter();
        let is_marked = marks.any(|marked| {
            let mark = marked.get(&instance.id);
            mark.is_some_and(|(born, _)| *born == instance.born)
        });
        !instance.draining && !is_marked
    }

    /// Returns a digest of all instances that does not depend on their order.
    fn listed_digest(&self) -> u64 {
        let hashes = self
            .instances
            .values()
            .map(|instance| stable_hash(&**instance));
        hashes.fold(0, u64::wrapping_add)
    }

    fn rebuild_index(&mut self) {
        self.digest = self.listed_digest();
        let mut by_service: HashMap<ModelId, Vec<Arc<Instance>>> = HashMap::new();
        for instance in self.instances.values().filter(|i| self.takes_work(i)) {
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
