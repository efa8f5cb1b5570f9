//! The tasks that follow the platform's store: configuration, upstreams, hosts.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::Registration;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::forwarding::state_codec::StateCodec;
use crate::process::shard::lock;

/// The prefix of the keys under which hosts register.
const HOST_PREFIX: &str = "hosts/";

/// The time for which another host has a newer version before this one reads it instead of waiting for its watch.
const BEHIND: Duration = Duration::from_millis(250);

/// Follows the store and keeps the host's state up to date.
pub struct StoreWatchers {
    /// The state.
    pub state: Arc<FleetState>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The encodings.
    pub codec: Arc<dyn StateCodec>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The settings.
    pub settings: ForwardingSettings,
    /// This host as it registers.
    pub registration: Registration,
    /// Wakes the task that reads the list of hosts, after each registration of this one.
    pub registered: Notify,
    /// The registrations of upstreams that could not be read, to log each once.
    pub logged_unreadable: Mutex<HashSet<String>>,
}

/// Waits longer after each failure in a row, by a random part so that hosts don't return together.
struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
    /// Whether the dependency is away, to log its loss and return once.
    away: bool,
    what: &'static str,
}

impl Backoff {
    fn new(what: &'static str, settings: &ForwardingSettings) -> Self {
        Self {
            least: settings.store_backoff,
            most: settings.max_store_backoff,
            next: settings.store_backoff,
            away: false,
            what,
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.away, true) {
            log::warn!(target: "store", "{} lost: {error}; what is known stays in force", self.what);
        }
        let wait = match error {
            StoreError::Throttled { retry_after } => self.next.max(*retry_after),
            _ => self.next,
        };
        self.next = (self.next * 2).min(self.most);
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.7..1.3))).await;
    }

    fn succeeded(&mut self) {
        self.next = self.least;
        if std::mem::replace(&mut self.away, false) {
            log::info!(target: "store", "{} regained", self.what);
        }
    }
}

impl StoreWatchers {
    /// Follows the configuration for good.
    pub async fn watch_configuration(&self) {
        let mut backoff = Backoff::new("configuration", &self.settings);
        let key = self.codec.configuration_key();
        loop {
            let listed = match self.store.list_as_of(key).await {
                Ok(listed) => listed,
                Err(e) => {
                    backoff.failed(&e).await;
                    continue;
                }
            };
            backoff.succeeded();
            for entry in listed.value.iter().filter(|entry| entry.key == key) {
                self.activate(entry);
            }
            if self.state.is_config_outdated() {
                // The other host's version is not readable here, or has been read in between.
                tokio::time::sleep(self.settings.max_store_backoff).await;
            }
            let mut after = listed.revision;
            loop {
                // A watch whose connection went silent hears nothing; the other hosts' reports show it.
                let watched = tokio::select! {
                    watched = self.store.watch_as_of(key, after, self.settings.watch_wait) => watched,
                    () = self.state.wait_until_outdated(BEHIND) => break,
                };
                match watched {
                    Ok(changes) => {
                        backoff.succeeded();
                        for change in &changes.value {
                            if let StoreChange::Put(entry) = change
                                && entry.key == key
                            {
                                self.activate(entry);
                            }
                        }
                        after = after.max(changes.revision);
                    }
                    Err(StoreError::Compacted) => break,
                    Err(e) => {
                        backoff.failed(&e).await;
                        // A change may have come while the watch was away; reading shows it at once.
                        break;
                    }
                }
            }
        }
    }

    fn activate(&self, entry: &StoreEntry) {
        match self.codec.read_configuration(&entry.value) {
            Ok(table) => {
                let (version, routes) = (table.version, table.route_count());
                let now = self.clock.now();
                let customers = table.customers.values().map(|customer| &**customer);
                self.state.usage.add_customers(customers, now);
                if self.state.config.advance(table) {
                    log::info!(target: "config", "version {version} in force: {routes} routes, revision {}", entry.revision);
                }
            }
            Err(e) => {
                log::error!(target: "config", "configuration at revision {} not taken over: {e}", entry.revision);
            }
        }
    }

    /// Reads the list of upstreams for good.
    pub async fn poll_upstreams(&self) {
        let mut backoff = Backoff::new("list of upstreams", &self.settings);
        loop {
            let asked = self.clock.now();
            match self.store.list(self.codec.upstream_prefix()).await {
                Ok(entries) => {
                    backoff.succeeded();
                    self.apply_list(&entries, asked);
                    self.wait_for_next_list(asked).await;
                }
                Err(e) => {
                    self.state.record_list_failure();
                    backoff.failed(&e).await;
                }
            }
        }
    }

    /// Waits until the list that was asked for at `asked` is old. Looks anew how many other hosts are heard meanwhile: once this
    /// host is cut off from them, no other one tells it what has left.
    async fn wait_for_next_list(&self, asked: Instant) {
        loop {
            let age = self.clock.now().saturating_duration_since(asked);
            let left = self.list_interval().saturating_sub(age);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(self.settings.directory_interval)).await;
        }
    }

    /// Returns the time between two reads of the list: longer where many other hosts read it, too, and report what has left.
    fn list_interval(&self) -> Duration {
        let settings = &self.settings;
        let heard = self.state.peers().live_count(self.clock.now());
        let heard = u32::try_from(heard).unwrap_or(u32::MAX);
        let shared = settings.directory_interval_per_host.saturating_mul(heard);
        shared.clamp(settings.directory_interval, settings.max_directory_interval)
    }

    fn apply_list(&self, entries: &[StoreEntry], asked: Instant) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.codec.read_upstream(&entry.key, &entry.value) {
                Ok(instance) => listed.push(instance),
                Err(e) => {
                    if lock(&self.logged_unreadable).insert(entry.key.clone()) {
                        log::warn!(target: "upstream", "registration {} not used: {e}", entry.key);
                    }
                }
            }
        }
        let change = self.state.apply_list(listed, asked);
        for started in &change.started {
            log::info!(target: "upstream", "{} of {} known: {:?} at {} in {}", started.id, started.service, started.stage, started.address, started.data_centre);
        }
        for left in &change.left {
            let how = if left.draining { "drains" } else { "is gone" };
            log::info!(target: "upstream", "{} of {} {how}; no new work", left.id, left.service);
        }
        if !change.left.is_empty() {
            self.state.request_report();
        }
        if change.kept > 0 {
            log::info!(target: "upstream", "{} upstreams missing shortly after the store's return; kept", change.kept);
        }
    }

    /// Registers this host for good, again after each loss of its lease.
    pub async fn keep_registered(&self) {
        let mut backoff = Backoff::new("registration", &self.settings);
        loop {
            match self.register_once().await {
                Ok(lease) => {
                    backoff.succeeded();
                    self.registered.notify_one();
                    self.keep_lease(lease, &mut backoff).await;
                }
                Err(e) => backoff.failed(&e).await,
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
                // The entry of the process before; this one has the same address.
                Err(StoreError::Conflict { current }) => {
                    expected = current.map_or(Expected::Absent, Expected::At);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Renews a lease until it is gone.
    async fn keep_lease(&self, lease: LeaseId, backoff: &mut Backoff) {
        let interval = self.settings.registration_ttl / 3;
        loop {
            tokio::time::sleep(interval).await;
            loop {
                match self.store.renew_lease(lease).await {
                    Ok(()) => {
                        backoff.succeeded();
                        break;
                    }
                    Err(StoreError::LeaseGone) => return,
                    Err(e) => backoff.failed(&e).await,
                }
            }
        }
    }

    fn registration_key(&self) -> String {
        format!("{HOST_PREFIX}{}", self.registration.host)
    }

    /// Reads the list of hosts for good: once after this host has registered, so that of two hosts that start together at least
    /// one finds the other and reports to it, and seldom from then on.
    pub async fn poll_hosts(&self) {
        let mut backoff = Backoff::new("list of hosts", &self.settings);
        self.registered.notified().await;
        let mut is_first = true;
        loop {
            let listed = if is_first {
                self.store.list(HOST_PREFIX).await
            } else {
                self.store.list_recent(HOST_PREFIX).await
            };
            match listed {
                Ok(entries) => {
                    backoff.succeeded();
                    self.apply_hosts(&entries);
                    is_first = false;
                    let spread = rand::random_range(0.8..1.2);
                    tokio::time::sleep(self.settings.host_list_interval.mul_f64(spread)).await;
                }
                Err(e) => backoff.failed(&e).await,
            }
        }
    }

    fn apply_hosts(&self, entries: &[StoreEntry]) {
        let mut hosts = Vec::with_capacity(entries.len());
        for entry in entries {
            match serde_json::from_slice::<Registration>(&entry.value) {
                Ok(host) if host.host == self.registration.host => {}
                Ok(host) => hosts.push(host),
                Err(e) => {
                    log::warn!(target: "peers", "registration {} not readable: {e}", entry.key);
                }
            }
        }
        let now = self.clock.now();
        let gone = self.state.peers().apply_registrations(&hosts, now);
        for host in gone {
            log::info!(target: "peers", "{host} is gone: silent and not registered");
            self.state.usage.forget_host(&host);
        }
    }
}
