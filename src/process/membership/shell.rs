//! Performs the actions of failure detection.

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

/// Between ticks of the detector; half a heartbeat.
const TICK: Duration = Duration::from_millis(250);
/// Between renewals of the lease and readings of the records and the platform's list.
pub const READ_INTERVAL: Duration = Duration::from_secs(10);
/// The events that a slow subscriber may be behind; it then learns that it missed some.
const EVENTS_KEPT: usize = 1024;
/// The longest wait for the store when the host leaves; its lease lapses by itself.
const LEAVE_WAIT: Duration = Duration::from_secs(2);

/// What membership works with.
pub struct MembershipParts {
    /// This host.
    pub me: Member,
    /// The settings of failure detection.
    pub settings: DetectorSettings,
    /// The link to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// The addresses that the link uses.
    pub address_book: Arc<AddressBook>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// What heartbeats carry.
    pub payload: Arc<dyn HeartbeatPayload>,
}

/// Knows which hosts are there.
pub struct Membership {
    detector: Mutex<Detector>,
    /// The live hosts according to the detector, shared with everyone who asks.
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
            events: broadcast::Sender::new(EVENTS_KEPT),
            changed: watch::Sender::new(0),
        })
    }

    /// Returns a receiver of all further events.
    pub fn events(&self) -> broadcast::Receiver<MemberEvent> {
        self.events.subscribe()
    }

    /// Answers a question about membership of the authenticated host `from`; `None` for other questions.
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

    /// Sends heartbeats and reads the lists until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().run_ticks());
        tasks.spawn(self.clone().run_records());
        tasks.spawn(self.run_host_list());
        while tasks.join_next().await.is_some() {}
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        // After a pause, one tick shows the whole gap.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    /// Does what is due now.
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
                log::warn!("membership records not read; the last known ones stay: {e}");
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
            log::warn!("membership record not renewed: {e}");
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

    /// Tells all hosts that this one is leaving, and marks its record.
    pub async fn leave(self: &Arc<Self>) {
        {
            let mut detector = lock(&self.detector);
            let actions = detector.leave();
            self.share_live(&detector);
            self.perform(&detector, actions);
        }
        self.changed.send_modify(|count| *count += 1);
        let me = self.me();
        match tokio::time::timeout(LEAVE_WAIT, self.registration.renew(&me)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::warn!("leaving not recorded: {e}"),
            Err(_) => log::warn!("leaving not recorded: store too slow"),
        }
    }

    /// Deletes this host's record; called last, when its streams have finished.
    pub async fn deregister(&self) {
        match tokio::time::timeout(LEAVE_WAIT, self.registration.deregister()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::warn!("host record not deleted; it lapses by itself: {e}"),
            Err(_) => log::warn!("host record not deleted; it lapses by itself"),
        }
    }

    /// Starts the actions without waiting. Called under the detector's lock, so that events come in
    /// the order of the decisions.
    /// Performs the actions of a detector that is still locked, so that changes are published in order.
    fn perform(self: &Arc<Self>, detector: &Detector, actions: Vec<Action>) {
        // Every change of the live hosts but this host's own leaving comes with an event.
        if actions.iter().any(|a| matches!(a, Action::Publish(_))) {
            self.share_live(detector);
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
                    tokio::spawn(self.clone().ask(to, incarnation, seq, heartbeat));
                }
                Action::Notify { to, req } => {
                    let link = self.link.clone();
                    tokio::spawn(async move {
                        if let Err(e) = link.ask(&to, req).await {
                            log::debug!(host:% = to; "not told: {e}");
                        }
                    });
                }
                Action::Publish(event) => self.publish(event),
                Action::RemoveAddress(host) => self.address_book.remove(&host),
            }
        }
    }

    fn share_live(&self, detector: &Detector) {
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
        // Nobody may be listening.
        let _ = self.events.send(event);
        self.changed.send_modify(|count| *count += 1);
    }

    async fn ask(
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
