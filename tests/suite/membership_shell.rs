//! The membership shell: store record, events, links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};
use tokio::task::JoinHandle;

use hibiscusspread::connection::peer::{PeerClient, PeerIdentity, PeerSecret, PeerServer};
use hibiscusspread::emulator::http::any_loopback;
use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::prelude::*;
use hibiscusspread::process::host_list::{HostList, ListedHost};
use hibiscusspread::process::members::{Members, owners};
use hibiscusspread::process::membership::{
    AddressBook, DetectorSettings, EmptyPayload, MemberEvent, Membership, MembershipParts,
};
use hibiscusspread::process::message::{Member, PeerReply, PeerRequest};
use hibiscusspread::process::peer::{PeerHandler, PeerLink};

use crate::fixtures::assert_matches;
use crate::fixtures::{self, RuntimeClock, lost_replies, outage};

struct NoList;

#[async_trait]
impl HostList for NoList {
    async fn hosts(&self) -> Option<Vec<ListedHost>> {
        None
    }
}

struct Handler(Arc<Membership>);

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        let reply = self.0.handle(from, &req);
        reply.unwrap_or_else(|| PeerReply::Failed("other question".to_owned()))
    }
}

struct Running {
    membership: Arc<Membership>,
    address_book: Arc<AddressBook>,
    task: JoinHandle<()>,
    events: broadcast::Receiver<MemberEvent>,
}

impl Running {
    fn names(&self) -> Vec<HostId> {
        let mut names: Vec<_> = self
            .membership
            .live()
            .iter()
            .map(|m| m.host.clone())
            .collect();
        names.sort();
        names
    }

    /// Waits for an event, at most `limit`.
    async fn expect(&mut self, limit: Duration, wanted: impl Fn(&MemberEvent) -> bool) {
        let found = tokio::time::timeout(limit, async {
            while !wanted(&self.events.recv().await.expect("membership runs")) {}
        });
        found.await.expect("event in time");
    }
}

fn member(host: &str, address: SocketAddr, incarnation: Incarnation) -> Member {
    Member {
        address,
        incarnation,
        ..fixtures::member(host, "a")
    }
}

fn run(
    me: Member,
    link: Arc<dyn PeerLink>,
    address_book: Arc<AddressBook>,
    store: Arc<MemoryStore>,
    clock: Arc<dyn Clock>,
) -> Running {
    let membership = Membership::new(MembershipParts {
        me,
        settings: DetectorSettings::default(),
        link,
        address_book: address_book.clone(),
        store,
        host_list: Arc::new(NoList),
        clock,
        payload: Arc::new(EmptyPayload),
    });
    Running {
        events: membership.events(),
        task: tokio::spawn(membership.clone().run()),
        membership,
        address_book,
    }
}

fn start(
    hub: &Arc<PeerHub>,
    store: &Arc<MemoryStore>,
    host: &str,
    incarnation: Incarnation,
) -> Running {
    let me = member(host, any_loopback(), incarnation);
    let link = hub.link(&me.host);
    let running = run(
        me,
        link,
        Arc::default(),
        store.clone(),
        RuntimeClock::start(),
    );
    hub.connect(&host.into(), Arc::new(Handler(running.membership.clone())));
    running
}

fn kill(hub: &PeerHub, running: &Running) {
    running.task.abort();
    hub.kill(&running.membership.me().host);
}

fn network() -> (Arc<PeerHub>, Arc<MemoryStore>) {
    (PeerHub::new(), MemoryStore::new(RuntimeClock::start()))
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against hosts that don't find each other, a death that other modules don't hear of, and a restart
/// that keeps the old process's place.
#[tokio::test(start_paused = true)]
async fn hosts_find_each_other_and_notice_death_and_restart() {
    let (hub, store) = network();
    let mut a = start(&hub, &store, "a", 1);
    let b = start(&hub, &store, "b", 2);
    let c = start(&hub, &store, "c", 3);
    tokio::time::sleep(12 * SECOND).await;
    for host in [&a, &b, &c] {
        assert_eq!(host.names(), ["a".into(), "b".into(), "c".into()]);
    }
    assert_eq!(
        owners(&*a.membership, "a", "k"),
        owners(&*b.membership, "a", "k")
    );
    kill(&hub, &b);
    let down = |e: &MemberEvent| matches!(e, MemberEvent::HostDown(d) if &*d.host == "b" && d.incarnation == 2 && d.proven);
    a.expect(3 * SECOND, down).await;
    assert!(a.address_book.is_retired(&"b".into(), 2));
    assert_eq!(a.names(), ["a".into(), "c".into()]);
    let _again = start(&hub, &store, "b", 4);
    let joined = |e: &MemberEvent| matches!(e, MemberEvent::Joined(m) if m.incarnation == 4);
    a.expect(3 * SECOND, joined).await;
    assert_eq!(c.names(), ["a".into(), "b".into(), "c".into()]);
}

/// Guards against a record that stays after a clean leave, and a leaving host that is given work.
#[tokio::test(start_paused = true)]
async fn clean_leave_marks_and_then_deletes_the_record() {
    let (hub, store) = network();
    let a = start(&hub, &store, "a", 1);
    let b = start(&hub, &store, "b", 2);
    tokio::time::sleep(12 * SECOND).await;
    b.membership.leave().await;
    tokio::time::sleep(SECOND).await;
    assert_eq!(owners(&*a.membership, "a", "k"), ["a".into()]);
    assert_eq!(owners(&*b.membership, "a", "k"), ["a".into()]);
    b.membership.deregister().await;
    assert_eq!(store.list("host/").await.unwrap().len(), 1);
    tokio::time::sleep(12 * SECOND).await;
    assert_eq!(
        store.list("host/").await.unwrap().len(),
        1,
        "registered again after the end"
    );
}

/// Guards against a host that stays unregistered after an outage outlasted its lease, or after a lost reply.
#[tokio::test(start_paused = true)]
async fn record_comes_back_after_outage_and_lost_reply() {
    let (hub, store) = network();
    store.set_faults(lost_replies(2));
    let a = start(&hub, &store, "a", 1);
    let b = start(&hub, &store, "b", 2);
    tokio::time::sleep(25 * SECOND).await;
    assert_eq!(store.list("host/").await.unwrap().len(), 2);
    store.set_faults(outage());
    tokio::time::sleep(60 * SECOND).await;
    assert_eq!(
        (a.names().len(), b.names().len()),
        (2, 2),
        "last known hosts lost"
    );
    store.set_faults(StoreFaults::default());
    tokio::time::sleep(25 * SECOND).await;
    assert_eq!(store.list("host/").await.unwrap().len(), 2);
}

/// Guards against a host that speaks in another one's name.
#[tokio::test(start_paused = true)]
async fn heartbeat_in_another_name_is_refused() {
    let (hub, store) = network();
    let a = start(&hub, &store, "a", 1);
    let heartbeat = PeerRequest::Heartbeat(fixtures::heartbeat(member("x", any_loopback(), 9)));
    let found = hub.link(&"y".into()).ask(&"a".into(), heartbeat).await;
    assert_matches!(found => Ok(PeerReply::Failed(_)));
    assert_eq!(a.names(), ["a".into()]);
}

/// Forwards to the membership that is created after the server.
#[derive(Default)]
struct Late(std::sync::OnceLock<Arc<Membership>>);

#[async_trait]
impl PeerHandler for Late {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        let reply = self.0.get().and_then(|m| m.handle(from, &req));
        reply.unwrap_or_else(|| PeerReply::Failed("not ready".to_owned()))
    }
}

async fn start_linked(
    store: &Arc<MemoryStore>,
    host: &str,
    incarnation: Incarnation,
) -> (Running, JoinHandle<()>, watch::Sender<bool>) {
    let listener = TcpListener::bind(any_loopback()).await.unwrap();
    let me = member(host, listener.local_addr().unwrap(), incarnation);
    let identity = PeerIdentity {
        host: host.into(),
        data_centre: "a".into(),
        incarnation,
    };
    let (address_book, handler) = (Arc::new(AddressBook::default()), Arc::new(Late::default()));
    let secret = PeerSecret::new("tide-table");
    let server = PeerServer::new(
        identity.clone(),
        secret.clone(),
        address_book.clone(),
        handler.clone(),
    );
    let (stop, stopped) = watch::channel(false);
    let server = tokio::spawn(Arc::new(server).serve(listener, stopped));
    let link = Arc::new(PeerClient::new(identity, secret, address_book.clone()));
    let running = run(me, link, address_book, store.clone(), Arc::new(SystemClock));
    let _ = handler.0.set(running.membership.clone());
    (running, server, stop)
}

/// Guards against parts that work alone but not together over real connections.
#[tokio::test]
async fn real_links_carry_membership() {
    let store = MemoryStore::new(Arc::new(SystemClock));
    let (a, _server_a, _stop_a) = start_linked(&store, "a", 1).await;
    let (b, server_b, _stop_b) = start_linked(&store, "b", 2).await;
    let mut a = a;
    let joined = |e: &MemberEvent| matches!(e, MemberEvent::Joined(m) if &*m.host == "b");
    a.expect(5 * SECOND, joined).await;
    b.task.abort();
    server_b.abort();
    let down =
        |e: &MemberEvent| matches!(e, MemberEvent::HostDown(d) if &*d.host == "b" && d.proven);
    // Failure detection takes less than 3 s (design, section 6).
    a.expect(3 * SECOND, down).await;
}
