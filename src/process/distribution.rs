//! Brings each version of the configuration into force on this host and passes it on.
//!
//! Two hosts of each data centre watch the head in the store. Every host passes a change on when it first hears of it
//! (`route`), and reads the head itself every 30 s. `core` decides; this shell reads clock and store, asks peers, and
//! reports back what it heard.

pub mod catch_up;
pub mod core;
pub mod document;
pub mod error;
pub mod event;
pub mod freshness;
pub mod route;
pub mod stops;

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
use crate::process::distribution::event::{Action, Fact};
use crate::process::distribution::freshness::Freshness;
use crate::process::members::Members;
use crate::process::message::{ConfigDelta, FetchSections, Head, PeerReply, PeerRequest};
use crate::process::peer::{PeerHandler, PeerLink};
use crate::process::shard::lock;
use crate::version::cell::VersionCell;
use crate::version::repository::error::RepositoryError;
use crate::version::repository::{Repository, SectionTexts};

/// The time between two reads of the head on each host; 390 hosts make 13 of the store's 2,000 reads a second.
pub const POLL: Duration = Duration::from_secs(30);

/// The time between two reads until the first confirmation.
const FIRST_POLL: Duration = Duration::from_secs(1);

/// The time that a watch waits in the store. A change whose notification was lost is found by the next watch, so
/// this keeps the worst case within 3 s.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The time after which a watch is taken for silent and the head is read instead.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The time for reading the head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// The time for reading all texts of a document, when no peer has it; a change needs one text.
const TEXTS_TIMEOUT: Duration = Duration::from_mins(1);

/// The time for a peer's answer; a link that is silent for 2 s is replaced.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The first and the longest pause of a watch after a failure.
const WATCH_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// What distribution needs from the process.
pub struct DistributionParts {
    /// The configuration in the store.
    pub repository: Repository,
    /// The link to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The live hosts.
    pub members: Arc<dyn Members>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// The age of the last confirmation.
    pub freshness: Arc<Freshness>,
}

/// Brings each version of the configuration into force on this host and passes it on.
pub struct Distribution {
    parts: DistributionParts,
    core: Mutex<DistributionCore>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    watching: watch::Sender<bool>,
}

/// What the dump shows about the configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DistributionDump {
    /// The version in force.
    pub version: Version,
    /// The seconds since the store confirmed it; `None` if it never did.
    pub confirmed_seconds_ago: Option<f64>,
    /// Whether this host holds a watch.
    pub watching: bool,
    /// How often each event happened, such as the refusal of an older version.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Distribution {
    /// Creates the distribution of a host that knows no version yet.
    pub fn new(parts: DistributionParts) -> Arc<Self> {
        let me = parts.members.me();
        Arc::new(Self {
            parts,
            core: Mutex::new(DistributionCore::new(me)),
            counts: Mutex::default(),
            watching: watch::Sender::new(false),
        })
    }

    /// Runs until `stop` becomes true or its sender is gone.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => {}
            () = self.follow_members() => {}
            () = self.poll() => {}
            () = self.hold_watch() => {}
        }
    }

    /// Handles a change passed on by the authenticated host `from`.
    pub fn handle_delta(self: &Arc<Self>, from: &HostId, delta: ConfigDelta) -> PeerReply {
        let from = from.clone();
        self.handle_fact(Fact::Pushed { from, delta });
        PeerReply::Ack
    }

    /// Answers a peer that asks for what changed.
    pub fn handle_fetch(&self, question: &FetchSections) -> PeerReply {
        let now = self.parts.clock.now();
        PeerReply::Sections(lock(&self.core).answer(question, now))
    }

    /// Returns what the dump shows.
    pub fn dump(&self) -> DistributionDump {
        let age = self.parts.freshness.age(self.parts.clock.now());
        DistributionDump {
            version: self.parts.versions.current().version,
            confirmed_seconds_ago: age.map(|age| age.as_secs_f64()),
            watching: lock(&self.core).is_watching(),
            counts: lock(&self.counts).clone(),
        }
    }

    fn handle_fact(self: &Arc<Self>, fact: Fact) {
        let now = self.parts.clock.now();
        let actions = lock(&self.core).handle(fact, now);
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
            Action::ReadTexts { asked, head, have } => {
                let this = self.clone();
                tokio::spawn(async move {
                    let fact = match this.read_texts(&head, &have).await {
                        Some(texts) => Fact::StoreTexts { asked, head, texts },
                        None => Fact::TextsFailed {
                            version: head.version,
                        },
                    };
                    this.handle_fact(fact);
                });
            }
            Action::Fetch { host, question } => {
                let this = self.clone();
                tokio::spawn(async move { this.fetch(host, question).await });
            }
        }
    }

    fn reject(&self, error: &DistributionError) {
        self.count(error.reason());
        metrics::counter!("hibiscusspread_config_rejected_total", "reason" => error.reason())
            .increment(1);
        // Peers that hear of a version late are usual.
        if error.reason() == "peer_older" {
            log::debug!("configuration refused: {error}");
        } else {
            log::warn!("configuration refused: {error}");
        }
    }

    fn count(&self, event: &'static str) {
        *lock(&self.counts).entry(event).or_default() += 1;
    }

    async fn follow_members(self: &Arc<Self>) {
        let mut changed = self.parts.members.subscribe();
        loop {
            self.handle_fact(Fact::Members(self.parts.members.live().to_vec()));
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn poll(self: &Arc<Self>) {
        loop {
            self.handle_fact(Fact::PollDue);
            let now = self.parts.clock.now();
            let pause = match self.parts.freshness.age(now) {
                None => FIRST_POLL,
                Some(_) => POLL,
            };
            sleep(jittered(pause)).await;
        }
    }

    async fn hold_watch(self: &Arc<Self>) {
        let mut watching = self.watching.subscribe();
        let mut pause = WATCH_PAUSES.0;
        // The head seen last, so that a watch continues where the one before ended.
        let mut seen: Option<(Version, Revision)> = None;
        while watching.wait_for(|watching| *watching).await.is_ok() {
            let next = match seen {
                None => self.read_head().await,
                Some(seen) => self.watch_head(seen).await,
            };
            if next.is_some() {
                pause = WATCH_PAUSES.0;
            } else {
                sleep(jittered(pause)).await;
                pause = (pause * 2).min(WATCH_PAUSES.1);
            }
            seen = next;
        }
    }

    /// Watches the head once; returns the head seen last, or `None` after a failure.
    async fn watch_head(
        self: &Arc<Self>,
        (version, revision): (Version, Revision),
    ) -> Option<(Version, Revision)> {
        let asked = self.parts.clock.now();
        let watch = self.parts.repository.watch_head(revision, WATCH_WAIT);
        match timeout(WATCH_TIMEOUT, watch).await {
            Ok(Ok(None)) => {
                self.handle_fact(Fact::StoreUnchanged { asked, version });
                Some((version, revision))
            }
            Ok(Ok(Some((head, revision)))) => {
                let version = head.version;
                self.handle_fact(Fact::StoreHead { asked, head });
                Some((version, revision))
            }
            Ok(Err(error)) => {
                self.report_failure(&error);
                None
            }
            Err(_) => {
                self.count("watch_silent");
                self.read_head().await
            }
        }
    }

    /// Reads the head; returns it as seen, or `None` after a failure.
    async fn read_head(self: &Arc<Self>) -> Option<(Version, Revision)> {
        let asked = self.parts.clock.now();
        match timeout(
            HEAD_TIMEOUT,
            self.parts.repository.read_head_with_revision(),
        )
        .await
        {
            Ok(Ok((head, revision))) => {
                let version = head.version;
                self.handle_fact(Fact::StoreHead { asked, head });
                Some((version, revision))
            }
            Ok(Err(error)) => {
                self.report_failure(&error);
                None
            }
            Err(_) => {
                self.count("store_silent");
                self.handle_fact(Fact::StoreFailed);
                None
            }
        }
    }

    async fn read_texts(self: &Arc<Self>, head: &Head, have: &KnownTexts) -> Option<SectionTexts> {
        let read = self.parts.repository.read_texts(head, have);
        match timeout(TEXTS_TIMEOUT, read).await {
            Ok(Ok(texts)) => return Some(texts),
            Ok(Err(error)) => self.report_error(&error),
            Err(_) => self.count("store_silent"),
        }
        None
    }

    fn report_failure(self: &Arc<Self>, error: &RepositoryError) {
        self.report_error(error);
        self.handle_fact(Fact::StoreFailed);
    }

    fn report_error(self: &Arc<Self>, error: &RepositoryError) {
        if let RepositoryError::Store(cause) = error {
            self.count("store_failed");
            log::debug!("configuration not read: {cause}");
        } else {
            self.handle_fact(Fact::StoreUnusable(error.to_string()));
        }
    }

    async fn fetch(self: Arc<Self>, host: HostId, question: FetchSections) {
        let asked = self.parts.clock.now();
        let req = PeerRequest::FetchSections(question);
        let answer = timeout(PEER_TIMEOUT, self.parts.link.ask(&host, req)).await;
        let from = host;
        let fact = if let Ok(Ok(PeerReply::Sections(delta))) = answer {
            Fact::Fetched { from, asked, delta }
        } else {
            self.count("fetch_failed");
            Fact::FetchFailed { from }
        };
        self.handle_fact(fact);
    }

    /// Passes a change on once. A host that doesn't get it hears it from others, or with its next poll.
    async fn push(&self, host: &HostId, delta: ConfigDelta) {
        let req = PeerRequest::ConfigDelta(delta);
        let answer = timeout(PEER_TIMEOUT, self.parts.link.ask(host, req)).await;
        if !matches!(answer, Ok(Ok(PeerReply::Ack))) {
            self.count("push_failed");
        }
    }
}

#[async_trait]
impl PeerHandler for Arc<Distribution> {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::ConfigDelta(delta) => self.handle_delta(from, delta),
            PeerRequest::FetchSections(question) => self.handle_fetch(&question),
            _ => PeerReply::Failed("not a question about the configuration".to_owned()),
        }
    }
}

/// Spreads the hosts' calls, so that a fleet that starts together doesn't stay in step.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.8..1.2))
}
