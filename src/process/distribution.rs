//! Puts each version of the configuration in force on this host and relays it to others.
//!
//! Two hosts of each data centre watch the head in the store. Every host relays a change when it first receives it
//! (`topology`), and polls the head every 30 s. `core` decides and does no I/O; this module reads the clock and the
//! store, sends requests to peers, and passes the results to `core` as events.

pub mod catch_up;
pub mod core;
pub mod document;
pub mod error;
pub mod event;
pub mod freshness;
pub mod stops;
pub mod topology;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use rand::RngExt;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::prelude::*;
use crate::process::distribution::catch_up::KnownTexts;
use crate::process::distribution::core::DistributionCore;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::event::{Action, Event};
use crate::process::distribution::freshness::Freshness;
use crate::process::members::Members;
use crate::process::message::{ConfigDelta, FetchSections, Head, PeerReply, PeerRequest};
use crate::process::peer::{PeerHandler, PeerLink};
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::repository::error::RepositoryError;
use crate::version::repository::{Repository, Texts};

/// The time between two reads of the head by each host. 390 hosts make 13 of the store's 2,000 reads a second.
pub const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// The time between two reads of the head until the store's first confirmation.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which the store answers a watch without a change. The next watch finds a change whose notification
/// was lost, so this keeps the slowest propagation within 3 s.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The time after which a watch without an answer is given up and the head is read instead.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for reading the head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for reading texts: all of a document if no peer has it, usually one.
const TEXTS_TIMEOUT: Duration = Duration::from_mins(1);

/// The timeout for a peer's reply; a link that is silent for 2 s is replaced.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The first and the longest pause after a failed watch; each pause is twice the one before.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// The dependencies of [`Distribution`].
pub struct DistributionParts {
    /// The repository of configurations in the store.
    pub repository: Repository,
    /// Sends requests to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The live hosts, which decide about watches and relays.
    pub members: Arc<dyn Members>,
    /// The time source of the ages of confirmations.
    pub clock: Arc<dyn Clock>,
    /// Receives each version that is put in force.
    pub versions: Arc<VersionCell>,
    /// Receives the store's confirmations.
    pub freshness: Arc<Freshness>,
}

/// Puts each version of the configuration in force on this host and relays it to others.
pub struct Distribution {
    parts: DistributionParts,
    core: Mutex<DistributionCore>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    watching: watch::Sender<bool>,
}

/// The state of distribution in the dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DistributionDump {
    /// The version in force.
    pub version: Version,
    /// The seconds since the store confirmed it as the newest; `None` if it never did.
    pub confirmed_seconds_ago: Option<f64>,
    /// Whether this host holds a watch.
    pub watching: bool,
    /// The number of failures and refused configurations by reason, since the start.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Distribution {
    /// Creates the distribution of a host without a configuration; `run` starts it.
    pub fn new(parts: DistributionParts) -> Arc<Self> {
        let me = parts.members.me();
        Arc::new(Self {
            parts,
            core: Mutex::new(DistributionCore::new(me)),
            counts: Mutex::default(),
            watching: watch::Sender::new(false),
        })
    }

    /// Runs until `stop` becomes true or its sender is dropped.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => {}
            () = self.follow_members() => {}
            () = self.run_poll() => {}
            () = self.run_watch() => {}
        }
    }

    /// Handles a change relayed by the authenticated host `from`.
    pub fn handle_delta(self: &Arc<Self>, from: &HostId, delta: ConfigDelta) -> PeerReply {
        let from = from.clone();
        self.handle_event(Event::Pushed { from, delta });
        PeerReply::Ack
    }

    /// Returns the part of the changes that a peer asks for.
    pub fn handle_fetch(&self, request: &FetchSections) -> PeerReply {
        let now = self.parts.clock.now();
        PeerReply::Sections(lock(&self.core).answer(request, now))
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> DistributionDump {
        let age = self.parts.freshness.age(self.parts.clock.now());
        DistributionDump {
            version: self.parts.versions.current().version,
            confirmed_seconds_ago: age.map(|age| age.as_secs_f64()),
            watching: lock(&self.core).is_watching(),
            counts: lock(&self.counts).clone(),
        }
    }

    fn handle_event(self: &Arc<Self>, event: Event) {
        let now = self.parts.clock.now();
        let actions = lock(&self.core).handle(event, now);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Watch(watching) => {
                self.watching.send_replace(watching);
            }
            Action::PutInForce(compiled) => {
                log::info!(version = compiled.version; "configuration in force");
                self.parts.versions.advance(*compiled);
            }
            Action::Confirm(confirmation) => self.parts.freshness.confirm(confirmation),
            Action::Reject(error) => self.reject(&error),
            Action::Relay { hosts, delta } => {
                for host in hosts {
                    let (this, delta) = (self.clone(), delta.clone());
                    tokio::spawn(async move { this.push(&host, delta).await });
                }
            }
            Action::ReadHead => {
                let this = self.clone();
                tokio::spawn(async move { this.read_head().await });
            }
            Action::ReadTexts {
                asked_at,
                head,
                have,
            } => {
                let this = self.clone();
                tokio::spawn(async move {
                    let event = match this.read_texts(&head, &have).await {
                        Some(texts) => Event::StoreTexts {
                            asked_at,
                            head,
                            texts,
                        },
                        None => Event::TextsFailed {
                            version: head.version,
                        },
                    };
                    this.handle_event(event);
                });
            }
            Action::Fetch { host, request } => {
                let this = self.clone();
                tokio::spawn(async move { this.fetch(host, request).await });
            }
        }
    }

    fn reject(&self, error: &DistributionError) {
        self.increment(error.reason());
        metrics::counter!("hibiscusspread_config_rejected_total", "reason" => error.reason())
            .increment(1);
        // Hosts often relay a version after a newer one has arrived by another path.
        if error.reason() == "peer_older" {
            log::debug!("configuration refused: {error}");
        } else {
            log::warn!("configuration refused: {error}");
        }
    }

    fn increment(&self, event: &'static str) {
        *lock(&self.counts).entry(event).or_default() += 1;
    }

    async fn follow_members(self: &Arc<Self>) {
        let mut changed = self.parts.members.subscribe();
        loop {
            self.handle_event(Event::Members(self.parts.members.live().to_vec()));
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn run_poll(self: &Arc<Self>) {
        loop {
            self.handle_event(Event::PollDue);
            let now = self.parts.clock.now();
            let pause = match self.parts.freshness.age(now) {
                None => INITIAL_POLL_INTERVAL,
                Some(_) => POLL_INTERVAL,
            };
            sleep(jittered(pause)).await;
        }
    }

    async fn run_watch(self: &Arc<Self>) {
        let mut watching = self.watching.subscribe();
        let mut backoff = WATCH_BACKOFF.0;
        // The last head, so that each watch continues where the one before ended.
        let mut seen: Option<(Version, Revision)> = None;
        while watching.wait_for(|watching| *watching).await.is_ok() {
            let next = match seen {
                None => self.read_head().await,
                Some(seen) => self.watch_head(seen).await,
            };
            if next.is_some() {
                backoff = WATCH_BACKOFF.0;
            } else {
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(WATCH_BACKOFF.1);
            }
            seen = next;
        }
    }

    /// Watches the head once. Returns the version and revision of the last head, or `None` after a failure.
    async fn watch_head(
        self: &Arc<Self>,
        (version, revision): (Version, Revision),
    ) -> Option<(Version, Revision)> {
        let asked_at = self.parts.clock.now();
        let watch = self.parts.repository.watch_head(revision, WATCH_WAIT);
        match timeout(WATCH_TIMEOUT, watch).await {
            Ok(Ok(None)) => {
                self.handle_event(Event::StoreUnchanged { asked_at, version });
                Some((version, revision))
            }
            Ok(Ok(Some((head, revision)))) => {
                let version = head.version;
                self.handle_event(Event::StoreHead { asked_at, head });
                Some((version, revision))
            }
            Ok(Err(error)) => {
                self.report_failure(&error);
                None
            }
            Err(_) => {
                self.increment("watch_silent");
                self.read_head().await
            }
        }
    }

    /// Reads the head. Returns its version and revision, or `None` after a failure.
    async fn read_head(self: &Arc<Self>) -> Option<(Version, Revision)> {
        let asked_at = self.parts.clock.now();
        match timeout(HEAD_TIMEOUT, self.parts.repository.read_head_at()).await {
            Ok(Ok((head, revision))) => {
                let version = head.version;
                self.handle_event(Event::StoreHead { asked_at, head });
                Some((version, revision))
            }
            Ok(Err(error)) => {
                self.report_failure(&error);
                None
            }
            Err(_) => {
                self.increment("store_silent");
                self.handle_event(Event::StoreFailed);
                None
            }
        }
    }

    async fn read_texts(self: &Arc<Self>, head: &Head, have: &KnownTexts) -> Option<Texts> {
        let read = self.parts.repository.read_texts(head, have);
        match timeout(TEXTS_TIMEOUT, read).await {
            Ok(Ok(texts)) => return Some(texts),
            Ok(Err(error)) => self.report_error(&error),
            Err(_) => self.increment("store_silent"),
        }
        None
    }

    fn report_failure(self: &Arc<Self>, error: &RepositoryError) {
        self.report_error(error);
        self.handle_event(Event::StoreFailed);
    }

    fn report_error(self: &Arc<Self>, error: &RepositoryError) {
        if let RepositoryError::Store(cause) = error {
            self.increment("store_failed");
            log::debug!("configuration not read from the store: {cause}");
        } else {
            self.handle_event(Event::StoreUnusable(error.to_string()));
        }
    }

    async fn fetch(self: Arc<Self>, host: HostId, request: FetchSections) {
        let asked_at = self.parts.clock.now();
        let req = PeerRequest::FetchSections(request);
        let answer = timeout(PEER_TIMEOUT, self.parts.link.ask(&host, req)).await;
        let from = host;
        let event = if let Ok(Ok(PeerReply::Sections(delta))) = answer {
            Event::Fetched {
                from,
                asked_at,
                delta,
            }
        } else {
            self.increment("fetch_failed");
            Event::FetchFailed { from }
        };
        self.handle_event(event);
    }

    /// Sends a change once. A host that doesn't receive it gets it from others, or with its next poll.
    async fn push(&self, host: &HostId, delta: ConfigDelta) {
        let req = PeerRequest::ConfigDelta(delta);
        let answer = timeout(PEER_TIMEOUT, self.parts.link.ask(host, req)).await;
        if !matches!(answer, Ok(Ok(PeerReply::Ack))) {
            self.increment("push_failed");
        }
    }
}

#[async_trait]
impl PeerHandler for Arc<Distribution> {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::ConfigDelta(delta) => self.handle_delta(from, delta),
            PeerRequest::FetchSections(request) => self.handle_fetch(&request),
            _ => PeerReply::Failed("not a question about the configuration".to_owned()),
        }
    }
}

/// Varies a pause by up to 20%, so that hosts that start together don't poll at the same moments.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.8..1.2))
}
