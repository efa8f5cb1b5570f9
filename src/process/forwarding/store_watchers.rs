//! The tasks that keep this host registered in the platform's store and follow the configuration, the upstreams and the other
//! hosts there.

mod configuration;
mod crashing_parts;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::forwarding::cold::ColdStatement;
use crate::process::forwarding::directory::Directory;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::Registration;
use crate::process::forwarding::relays::Role;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::forwarding::source::Source;
use crate::process::forwarding::state_codec::StateCodec;
use crate::process::shard::{lock, stable_hash};

/// The prefix of the keys under which hosts register.
const HOST_PREFIX: &str = "hosts/";

/// The longest time that a host waits before it reads the list of upstreams because the news of it was incomplete. The news of
/// another relay may be complete, and hosts that miss the same change should not all read at once.
const MAX_INCOMPLETE_DELAY: Duration = Duration::from_millis(400);

/// Applies changes in the store to the host's state, and registers the host there.
pub struct StoreWatchers {
    /// The state to which changes are applied.
    pub state: Arc<FleetState>,
    /// The store that is watched, and in which the host registers.
    pub store: Arc<dyn Store>,
    /// Decodes the configuration and the registrations of upstreams.
    pub codec: Arc<dyn StateCodec>,
    /// The clock by which the age of stored state and the silence of other hosts are measured.
    pub clock: Arc<dyn Clock>,
    /// The intervals, timeouts and backoff of the tasks.
    pub settings: ForwardingSettings,
    /// This host's own entry in the store.
    pub registration: Registration,
    /// Notified after each registration of this host; the first one starts the reads of the list of hosts.
    pub registered: Notify,
    /// The keys of upstreams whose registration could not be decoded, to log each once.
    pub logged_unreadable: Mutex<HashSet<String>>,
}

/// An exponential backoff with jitter, so that hosts don't retry in step after an outage.
struct Backoff {
    min: Duration,
    next: Duration,
    /// Whether the last call failed, to log the loss and the recovery once each.
    is_failing: bool,
    /// The name of what is read or written, for the log.
    what: &'static str,
}

impl Backoff {
    fn new(what: &'static str, settings: &ForwardingSettings) -> Self {
        Self {
            min: settings.store_backoff,
            next: settings.store_backoff,
            is_failing: false,
            what,
        }
    }

    /// Records a failed call and waits until the next one, for about `max` at most.
    async fn failed(&mut self, error: &StoreError, max: Duration) {
        tokio::time::sleep(self.pause(error, max)).await;
    }

    /// Records a failed call and returns the time until the next one, about `max` at most.
    fn pause(&mut self, error: &StoreError, max: Duration) -> Duration {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::warn!(target: "store", "{} unavailable: {error}; the last known state stays in force", self.what);
        }
        let wait = match error {
            StoreError::Throttled { retry_after } => self.next.max(*retry_after),
            _ => self.next,
        };
        self.next = (self.next * 2).min(max);
        wait.mul_f64(rand::random_range(0.7..1.3))
    }

    fn succeeded(&mut self) {
        self.next = self.min;
        if std::mem::replace(&mut self.is_failing, false) {
            log::info!(target: "store", "{} available again", self.what);
        }
    }
}

impl StoreWatchers {
    /// Reads the list of upstreams repeatedly until dropped.
    pub async fn poll_upstreams(&self) {
        let mut backoff = Backoff::new("list of upstreams", &self.settings);
        let mut last_read = None;
        loop {
            self.wait_for_next_list(last_read).await;
            let requested_at = self.clock.now();
            let lacks_relayed_news = self.lacks_relayed_news(requested_at);
            match self.store.list_as_of(self.codec.upstream_prefix()).await {
                Ok(listed) => {
                    backoff.succeeded();
                    if lacks_relayed_news {
                        self.state.request_operator_read();
                    }
                    self.apply_list(&listed.value, listed.revision, requested_at);
                    last_read = Some(requested_at);
                }
                Err(e) => {
                    self.state.record_list_failure();
                    backoff.failed(&e, self.max_backoff()).await;
                }
            }
        }
    }

    /// Returns the longest time between two failed calls. While the store is down, the first hosts call it often and report what they
    /// read; the others hear of that. A host that lacks something that only the store can tell it calls as often.
    fn max_backoff(&self) -> Duration {
        let settings = &self.settings;
        let now = self.clock.now();
        let lacks_state = self.state.not_ready(now).is_some() || self.state.is_config_outdated();
        let peers = self.state.peers();
        if lacks_state || peers.is_among_first(&self.registration, settings.store_probers, now) {
            settings.max_store_backoff
        } else {
            settings.max_member_store_backoff
        }
    }

    /// Waits until the list must be read again, which this host read last at `last_read`. The interval is computed again meanwhile: a
    /// host that receives nothing from the others must read the list more often, as none reports to it what has left.
    async fn wait_for_next_list(&self, last_read: Option<Instant>) {
        loop {
            let listed = self.state.with_directory(Directory::last_listed);
            let Some(listed) = listed.max(last_read) else {
                return;
            };
            let age = self.clock.now().saturating_duration_since(listed);
            let left = self.list_interval().saturating_sub(age);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left.min(self.settings.list.interval)) => {}
                () = self.state.list_incomplete() => {
                    tokio::time::sleep(MAX_INCOMPLETE_DELAY.mul_f64(rand::random())).await;
                    if self.state.with_directory(Directory::last_listed) <= Some(listed) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns the age of the list of upstreams at which this host reads it again.
    fn list_interval(&self) -> Duration {
        let (role, live_before) = {
            let peers = self.state.peers();
            let before = peers.live_before(&self.registration, self.clock.now());
            (peers.role(), before.count())
        };
        let place = stable_hash(&self.registration.host) % 1000;
        let schedule = &self.settings.list;
        schedule.max_age(role, live_before, place as f64 / 1000.0)
    }

    /// Returns whether this host hears of changes from relays, so that it need not read the store itself.
    fn hears_relays(&self) -> bool {
        let peers = self.state.peers();
        peers.role() == Role::Member && peers.hears_relays(self.clock.now())
    }

    /// Returns whether this host hears relays none of which has read the list of upstreams for long, so that they may not reach the store.
    fn lacks_relayed_news(&self, now: Instant) -> bool {
        let listed = self.state.with_directory(Directory::last_listed);
        let age = listed.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age >= self.settings.list.member_interval) && self.hears_relays()
    }

    fn apply_list(&self, entries: &[StoreEntry], revision: Revision, requested_at: Instant) {
        let mut listed = Vec::with_capacity(entries.len());
        let mut cold = Vec::new();
        for entry in entries {
            match self.codec.read_upstream(&entry.key, &entry.value) {
                Ok(registered) => {
                    let instance = registered.instance;
                    if let Some(e) = registered.ignored
                        && self.state.is_first_invalid_value(&instance.id)
                    {
                        log::warn!(target: "upstream", "part of the registration of an upstream under {} ignored: {e}", entry.key);
                    }
                    if !registered.cold_left.is_zero() {
                        cold.push(ColdStatement {
                            upstream: instance.id.clone(),
                            born: instance.born,
                            service: instance.service.clone(),
                            left: registered.cold_left,
                            digest: stable_hash(&entry.value),
                        });
                    }
                    listed.push(instance);
                }
                Err(e) => {
                    if lock(&self.logged_unreadable).insert(entry.key.clone()) {
                        log::warn!(target: "upstream", "registration of an upstream under {} ignored: {e}", entry.key);
                    }
                }
            }
        }
        let now = self.clock.now();
        self.state
            .apply_list(listed, &cold, revision, requested_at, now);
        // Others need not read the list while they hear that it is young.
        self.state.request_report();
    }

    /// Registers this host and renews its lease until dropped; registers again after each loss of the lease.
    pub async fn keep_registered(&self) {
        let mut backoff = Backoff::new("registration", &self.settings);
        loop {
            match self.register_once().await {
                Ok(lease) => {
                    backoff.succeeded();
                    self.registered.notify_one();
                    self.keep_lease(lease, &mut backoff).await;
                }
                Err(e) => backoff.failed(&e, self.max_backoff()).await,
            }
        }
    }

    async fn register_once(&self) -> Result<LeaseId, StoreError> {
        let lease = self
            .store
            .grant_lease(self.settings.registration_ttl)
            .await?;
        let key = self.registration_key();
        let value = serde_json::to_vec(&self.registration).unwrap_or_default();
        let mut expected = Expected::Absent;
        loop {
            match self
                .store
                .swap(&key, expected, value.clone(), Some(lease))
                .await
            {
                Ok(_) => return Ok(lease),
                // The entry of a previous process of this host is still there; it is replaced.
                Err(StoreError::Conflict { current }) => {
                    expected = current.map_or(Expected::Absent, Expected::At);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Renews a lease until the store no longer has it.
    async fn keep_lease(&self, lease: LeaseId, backoff: &mut Backoff) {
        let interval = self.settings.registration_ttl / 2;
        loop {
            tokio::time::sleep(interval).await;
            loop {
                match self.store.renew_lease(lease).await {
                    Ok(()) => {
                        backoff.succeeded();
                        break;
                    }
                    Err(StoreError::LeaseGone) => return,
                    Err(e) => backoff.failed(&e, self.max_backoff()).await,
                }
            }
        }
    }

    fn registration_key(&self) -> String {
        format!("{HOST_PREFIX}{}", self.registration.host)
    }

    /// Reads the list of hosts until dropped: first after this host has registered, so that of two hosts that start together at
    /// least one finds the other and reports to it, then once per `host_list_interval`.
    pub async fn poll_hosts(&self) {
        let mut backoff = Backoff::new("list of hosts", &self.settings);
        self.registered.notified().await;
        let mut reads = 0u32;
        loop {
            let listed = if reads == 0 {
                self.store.list(HOST_PREFIX).await
            } else {
                self.store.list_allow_stale(HOST_PREFIX).await
            };
            match listed {
                Ok(entries) => {
                    backoff.succeeded();
                    self.apply_hosts(&entries);
                    reads += 1;
                    let jitter = rand::random_range(0.8..1.2);
                    tokio::time::sleep(self.host_list_interval(reads).mul_f64(jitter)).await;
                }
                Err(e) => backoff.failed(&e, self.max_backoff()).await,
            }
        }
    }

    /// Returns the time until the list of hosts is read again after `reads` reads.
    fn host_list_interval(&self, reads: u32) -> Duration {
        let settings = &self.settings;
        if reads == 1 {
            // Of hosts that start together, each finds in its first list only those that registered before it.
            return settings
                .second_host_list_delay
                .min(settings.host_list_interval);
        }
        // Relays find the hosts that are gone.
        let factor = if self.hears_relays() { 3 } else { 1 };
        settings.host_list_interval * factor
    }

    fn apply_hosts(&self, entries: &[StoreEntry]) {
        let mut hosts = Vec::with_capacity(entries.len());
        for entry in entries {
            match serde_json::from_slice::<Registration>(&entry.value) {
                Ok(host) if host.host == self.registration.host => {}
                Ok(host) => hosts.push(host),
                Err(e) => {
                    log::warn!(target: "peers", "registration of a host under {} ignored: {e}", entry.key);
                }
            }
        }
        let now = self.clock.now();
        let gone = self.state.peers().apply_registrations(&hosts, now);
        for host in gone {
            log::info!(target: "peers", "host {host} removed: it is silent and not registered");
            self.state.usage.forget(&Source::Host(host));
        }
        self.state.request_report();
    }
}
