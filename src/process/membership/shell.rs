//! The I/O around the detector: its timers, messages and store calls.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{broadcast, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::prelude::*;
use crate::process::host_list::HostList;
use crate::process::members::Members;
use crate::process::membership::{
    Action, AddressBook, Detector, DetectorSettings, HeartbeatPayload, MemberEvent, Registration,
};
use crate::process::message::{Heartbeat, Member, PeerError, PeerReply, PeerRequest};
use crate::process::peer::PeerLink;
use crate::process::shard::lock;

/// The time between two ticks of the detector; half of `DetectorSettings::heartbeat_interval`.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two renewals of the lease, two reads of all records, and two reads of the platform's host list.
pub const READ_INTERVAL: Duration = Duration::from_secs(10);
/// The events that are buffered; a subscriber that falls further behind gets `Lagged`.
const EVENT_CAPACITY: usize = 1024;
/// The longest wait for the store when the host leaves; after it, the lease expires by itself.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings and dependencies of [`Membership`].
pub struct MembershipParts {
    /// The record of this host.
    pub me: Member,
    /// The intervals and limits of failure detection.
    pub settings: DetectorSettings,
    /// The link to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The addresses that `link` connects to, kept up to date by membership.
    pub address_book: Arc<AddressBook>,
    /// The store that holds the hosts' records.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts, which lags.
    pub host_list: Arc<dyn HostList>,
    /// The time source of failure detection.
    pub clock: Arc<dyn Clock>,
    /// The configuration data in heartbeats.
    pub payload: Arc<dyn HeartbeatPayload>,
}

/// Tracks which hosts are alive, and announces this one.
pub struct Membership {
    detector: Mutex<Detector>,
    /// The detector's live hosts, shared so that `Members::live` copies nothing.
    live: Mutex<Arc<[Member]>>,
    link: Arc<dyn PeerLink>,
    address_book: Arc<AddressBook>,
    registration: Registration,
    host_list: Arc<dyn HostList>,
    clock: Arc<dyn Clock>,
    payload: Arc<dyn HeartbeatPayload>,
    events: broadcast::Sender<MemberEvent>,
    changed: watch::Sender<u64>,
}

impl Membership {
    /// Creates the membership of a host; `run` starts it.
    pub fn new(parts: MembershipParts) -> Arc<Self> {
        let detector = Detector::new(parts.settings, parts.me, parts.clock.now());
        Arc::new(Self {
            live: Mutex::new(detector.live().into()),
            detector: Mutex::new(detector),
            link: parts.link,
            address_book: parts.address_book,
            registration: Registration::new(parts.store),
            host_list: parts.host_list,
            clock: parts.clock,
            payload: parts.payload,
            events: broadcast::Sender::new(EVENT_CAPACITY),
            changed: watch::Sender::new(0),
        })
    }

    /// Subscribes to all further events.
    pub fn events(&self) -> broadcast::Receiver<MemberEvent> {
        self.events.subscribe()
    }

    /// Handles a membership request of the authenticated host `from`; returns `None` for other requests.
    pub fn handle(self: &Arc<Self>, from: &HostId, req: &PeerRequest) -> Option<PeerReply> {
        let now = self.clock.now();
        match req {
            PeerRequest::Heartbeat(heartbeat) => {
                if heartbeat.from.host != *from {
                    let cause = format!("heartbeat of another host than {from}");
                    return Some(PeerReply::Failed(cause));
                }
                self.payload.receive(from, heartbeat.version, heartbeat.age);
                let mut detector = lock(&self.detector);
                detector.set_payload(self.payload.payload());
                let (reply, actions) = detector.handle_heartbeat(now, heartbeat);
                self.perform(&detector, actions);
                Some(PeerReply::Heartbeat(reply))
            }
            PeerRequest::HostDown(down) => {
                let mut detector = lock(&self.detector);
                let actions = detector.handle_host_down(now, down);
                self.perform(&detector, actions);
                Some(PeerReply::Ack)
            }
            PeerRequest::Leaving(leaving) => {
                if leaving.host != *from {
                    let cause = format!("leaving of another host than {from}");
                    return Some(PeerReply::Failed(cause));
                }
                let mut detector = lock(&self.detector);
                let actions = detector.handle_leaving(leaving);
                self.perform(&detector, actions);
                Some(PeerReply::Ack)
            }
            _ => None,
        }
    }

    /// Sends heartbeats, renews the record and reads both lists of hosts until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().run_ticks());
        tasks.spawn(self.clone().run_records());
        tasks.spawn(self.run_host_list());
        while tasks.join_next().await.is_some() {}
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        // After a suspension of the process, a single tick shows the whole gap.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    /// Runs one tick of the detector.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut detector = lock(&self.detector);
        detector.set_payload(self.payload.payload());
        let actions = detector.tick(now);
        self.perform(&detector, actions);
    }

    async fn run_records(self: Arc<Self>) {
        let mut reads = tokio::time::interval(READ_INTERVAL);
        reads.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            reads.tick().await;
            if let Err(e) = self.sync_records().await {
                log::warn!("host records not read, using the last known ones: {e}");
            }
        }
    }

    /// Renews this host's record and reads those of all hosts.
    ///
    /// # Errors
    /// Returns the store's error; the last known records stay in use.
    pub async fn sync_records(self: &Arc<Self>) -> Result<(), StoreError> {
        let me = self.me();
        if let Err(e) = self.registration.renew(&me).await {
            log::warn!("host record not renewed: {e}");
        }
        let records = self.registration.read_all().await?;
        let mut detector = lock(&self.detector);
        let actions = detector.handle_records(self.clock.now(), &records);
        self.perform(&detector, actions);
        Ok(())
    }

    async fn run_host_list(self: Arc<Self>) {
        let mut reads = tokio::time::interval(READ_INTERVAL);
        reads.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            reads.tick().await;
            if let Some(hosts) = self.host_list.hosts().await {
                let mut detector = lock(&self.detector);
                let actions = detector.handle_host_list(self.clock.now(), &hosts);
                self.perform(&detector, actions);
            }
        }
    }

    /// Notifies all hosts that this one is leaving, and marks its record.
    pub async fn leave(self: &Arc<Self>) {
        {
            let mut detector = lock(&self.detector);
            let actions = detector.leave();
            self.update_live(&detector);
            self.perform(&detector, actions);
        }
        self.changed.send_modify(|count| *count += 1);
        let me = self.me();
        match tokio::time::timeout(LEAVE_TIMEOUT, self.registration.renew(&me)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::warn!("host record not marked as leaving: {e}"),
            Err(_) => log::warn!("host record not marked as leaving: timeout"),
        }
    }

    /// Deletes this host's record. Called last, after its streams have finished.
    pub async fn deregister(&self) {
        match tokio::time::timeout(LEAVE_TIMEOUT, self.registration.deregister()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::warn!("host record not deleted, it expires with its lease: {e}"),
            Err(_) => log::warn!("host record not deleted, it expires with its lease: timeout"),
        }
    }

    /// Starts the actions without waiting for them. The detector is still locked, so that events are published in the
    /// order of its decisions.
    fn perform(self: &Arc<Self>, detector: &Detector, actions: Vec<Action>) {
        // Every change of the live hosts, except that this host is leaving, comes with an event.
        if actions.iter().any(|a| matches!(a, Action::Publish(_))) {
            self.update_live(detector);
        }
        debug_assert_eq!(*self.live(), *detector.live());
        for action in actions {
            match action {
                Action::SendHeartbeat {
                    to,
                    incarnation,
                    seq,
                    heartbeat,
                } => {
                    tokio::spawn(self.clone().send_heartbeat(to, incarnation, seq, heartbeat));
                }
                Action::Notify { to, req } => {
                    let link = self.link.clone();
                    tokio::spawn(async move {
                        if let Err(e) = link.ask(&to, req).await {
                            log::debug!(host:% = to; "notification failed: {e}");
                        }
                    });
                }
                Action::Publish(event) => self.publish(event),
                Action::RemoveAddress(host) => self.address_book.remove(&host),
            }
        }
    }

    fn update_live(&self, detector: &Detector) {
        *lock(&self.live) = detector.live().into();
    }

    fn publish(&self, event: MemberEvent) {
        log::info!("membership: {event:?}");
        match &event {
            MemberEvent::Joined(member) => self.address_book.set(member.clone()),
            MemberEvent::HostDown(down) if down.proven => {
                self.address_book.retire(&down.host, down.incarnation);
            }
            _ => {}
        }
        // Fails only without subscribers.
        let _ = self.events.send(event);
        self.changed.send_modify(|count| *count += 1);
    }

    async fn send_heartbeat(
        self: Arc<Self>,
        to: HostId,
        incarnation: Incarnation,
        seq: u64,
        heartbeat: Heartbeat,
    ) {
        let reply = self.link.ask(&to, PeerRequest::Heartbeat(heartbeat)).await;
        let now = self.clock.now();
        match reply {
            Ok(PeerReply::Heartbeat(heartbeat)) => {
                self.payload.receive(&to, heartbeat.version, heartbeat.age);
                let mut detector = lock(&self.detector);
                let actions = detector.handle_reply(now, &to, seq, &heartbeat);
                self.perform(&detector, actions);
            }
            Ok(_) => {}
            Err(e) => {
                let refused = e == PeerError::ConnectionRefused;
                let mut detector = lock(&self.detector);
                let actions = detector.handle_failure(now, &to, incarnation, refused);
                self.perform(&detector, actions);
            }
        }
    }
}

impl Members for Membership {
    fn me(&self) -> Member {
        lock(&self.detector).me().clone()
    }

    fn live(&self) -> Arc<[Member]> {
        lock(&self.live).clone()
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
