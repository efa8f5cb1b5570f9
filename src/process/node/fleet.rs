//! The parts by which a host belongs to a fleet.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, watch};
use tokio::task::JoinSet;

use crate::connection::peer::{PeerClient, PeerIdentity, PeerSecret, PeerServer};
use crate::connection::probe::HttpProbe;
use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::distribution::freshness::Freshness;
use crate::process::distribution::{Distribution, DistributionParts};
use crate::process::dump::Dump;
use crate::process::fleet_limits::{FleetLimits, FleetLimitsParts};
use crate::process::fleet_placer::{FleetPlacer, PlacerContext};
use crate::process::idempotency::{IdempotencyOwner, SharedIdempotency};
use crate::process::members::Members;
use crate::process::membership::{
    AddressBook, DetectorSettings, HeartbeatPayload, MemberEvent, Membership, MembershipParts,
};
use crate::process::message::Member;
use crate::process::node::handler::NodeHandler;
use crate::process::node::outside::Outside;
use crate::process::orders::{OrderGiver, OrderGiverParts};
use crate::process::peer::PeerLink;
use crate::process::pool_owner::{PoolHandler, PoolOwner, PoolOwnerContext};
use crate::process::quarantine::CrashQuarantine;
use crate::process::settings::Settings;
use crate::process::shard::lock;
use crate::request::flow::RequestContext;
use crate::version::cell::VersionCell;
use crate::version::repository::Repository;

/// The longest wait for handing back what the host holds when it leaves; leases lapse by themselves.
const HAND_BACK_WAIT: Duration = Duration::from_secs(5);

/// The parts of a host that deal with other hosts and the platform.
pub struct FleetLink {
    membership: Arc<Membership>,
    distribution: Arc<Distribution>,
    limits: Arc<FleetLimits>,
    owner: Arc<PoolOwner>,
    orders: Arc<OrderGiver>,
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    clock: Arc<dyn Clock>,
    stop: watch::Sender<bool>,
    tasks: Mutex<JoinSet<()>>,
}

/// What heartbeats tell about this host's configuration.
struct ConfigContent {
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    clock: Arc<dyn Clock>,
}

impl HeartbeatPayload for ConfigContent {
    fn payload(&self) -> (Version, Option<Duration>) {
        let age = self.freshness.age(self.clock.now());
        (self.versions.current().version, age)
    }

    // Distribution passes changes on by itself, and polls against lost messages.
    fn receive(&self, _from: &HostId, _version: Version, _age: Option<Duration>) {}
}

/// Who this host is, and its ways to the others.
struct Base<'a> {
    settings: &'a Settings,
    outside: &'a Outside,
    me: Member,
    identity: PeerIdentity,
    secret: PeerSecret,
    book: Arc<AddressBook>,
    link: Arc<dyn PeerLink>,
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    membership: Arc<Membership>,
    members: Arc<dyn Members>,
}

impl<'a> Base<'a> {
    fn new(
        settings: &'a Settings,
        outside: &'a Outside,
        address: SocketAddr,
        versions: Arc<VersionCell>,
    ) -> Self {
        let me = Member {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address,
            incarnation: rand::random(),
            leaving: false,
        };
        let identity = PeerIdentity {
            host: me.host.clone(),
            data_centre: me.data_centre.clone(),
            incarnation: me.incarnation,
        };
        let secret = PeerSecret::new(&settings.peer.secret);
        let book = Arc::new(AddressBook::default());
        let client = PeerClient::new(identity.clone(), secret.clone(), book.clone());
        let link: Arc<dyn PeerLink> = Arc::new(client);
        let freshness = Arc::new(Freshness::new(settings.key_trust));
        let membership = Membership::new(MembershipParts {
            me: me.clone(),
            settings: DetectorSettings::default(),
            link: link.clone(),
            address_book: book.clone(),
            store: outside.store.clone(),
            host_list: outside.host_list.clone(),
            clock: outside.clock.clone(),
            payload: Arc::new(ConfigContent {
                versions: versions.clone(),
                freshness: freshness.clone(),
                clock: outside.clock.clone(),
            }),
        });
        Self {
            settings,
            outside,
            me,
            identity,
            secret,
            book,
            link,
            versions,
            freshness,
            members: membership.clone(),
            membership,
        }
    }

    fn clock(&self) -> Arc<dyn Clock> {
        self.outside.clock.clone()
    }

    fn distribution(&self) -> Arc<Distribution> {
        Distribution::new(DistributionParts {
            repository: Repository::new(self.outside.store.clone(), self.clock()),
            link: self.link.clone(),
            members: self.members.clone(),
            clock: self.clock(),
            versions: self.versions.clone(),
            freshness: self.freshness.clone(),
        })
    }

    fn limits(&self) -> Arc<FleetLimits> {
        FleetLimits::new(FleetLimitsParts {
            versions: self.versions.clone(),
            clock: self.clock(),
            store: self.outside.store.clone(),
            peers: self.link.clone(),
            members: self.members.clone(),
        })
    }

    fn pool_owner(&self) -> Arc<PoolOwner> {
        PoolOwner::start(PoolOwnerContext {
            members: self.members.clone(),
            versions: self.versions.clone(),
            clock: self.clock(),
            link: self.link.clone(),
            upstreams: self.outside.upstreams.clone(),
            settings: self.settings.placement.clone(),
            policy: self.settings.policy.create(),
        })
    }

    fn placer(&self, owner: Arc<PoolOwner>) -> Arc<FleetPlacer> {
        FleetPlacer::start(PlacerContext {
            data_centre: self.me.data_centre.clone(),
            members: self.members.clone(),
            versions: self.versions.clone(),
            clock: self.clock(),
            link: self.link.clone(),
            owner,
        })
    }

    fn quarantine(&self) -> Arc<CrashQuarantine> {
        let alone = CrashQuarantine::new(self.clock(), Arc::new(HttpProbe::default()));
        Arc::new(alone.with_peers(self.members.clone(), self.link.clone()))
    }

    fn orders(&self) -> Arc<OrderGiver> {
        Arc::new(OrderGiver::new(OrderGiverParts {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            members: self.members.clone(),
            store: self.outside.store.clone(),
            upstreams: self.outside.upstreams.clone(),
            weights: self.outside.weights.clone(),
            clock: self.clock(),
            versions: self.versions.clone(),
        }))
    }

    /// Returns what requests need.
    fn services(&self, handler: &NodeHandler) -> Arc<RequestContext> {
        let (members, link) = (self.members.clone(), self.link.clone());
        Arc::new(RequestContext {
            host: self.me.host.clone(),
            data_centre: self.me.data_centre.clone(),
            incarnation: self.me.incarnation,
            settings: self.settings.requests.clone(),
            clock: self.clock(),
            versions: self.versions.clone(),
            freshness: self.freshness.clone(),
            limits: handler.limits.clone(),
            placer: self.placer(handler.pools.0.clone()),
            retry_budgets: Arc::default(),
            upstreams: self.outside.upstreams.clone(),
            quarantine: handler.quarantine.clone(),
            idempotency: Arc::new(SharedIdempotency::new(members, link, handler.once.clone())),
            journal: Arc::default(),
            tasks: BackgroundTasks::default(),
        })
    }

    fn peer_server(&self, handler: Arc<NodeHandler>) -> Arc<PeerServer> {
        let (identity, secret) = (self.identity.clone(), self.secret.clone());
        Arc::new(PeerServer::new(
            identity,
            secret,
            self.book.clone(),
            handler,
        ))
    }
}

impl FleetLink {
    /// Joins the fleet and returns what requests need.
    ///
    /// # Errors
    /// Returns the I/O error if the peers' address can't be bound.
    pub async fn join(
        settings: &Settings,
        outside: &Outside,
        versions: Arc<VersionCell>,
    ) -> std::io::Result<(Self, Arc<RequestContext>)> {
        let listener = TcpListener::bind(settings.peer.address).await?;
        let base = Base::new(settings, outside, listener.local_addr()?, versions);
        let handler = Arc::new(NodeHandler {
            membership: base.membership.clone(),
            distribution: base.distribution(),
            limits: base.limits(),
            pools: PoolHandler(base.pool_owner()),
            once: IdempotencyOwner::new(outside.store.clone(), outside.clock.clone()),
            quarantine: base.quarantine(),
        });
        let cx = base.services(&handler);
        let fleet = Self {
            membership: handler.membership.clone(),
            distribution: handler.distribution.clone(),
            limits: handler.limits.clone(),
            owner: handler.pools.0.clone(),
            orders: base.orders(),
            versions: base.versions.clone(),
            freshness: base.freshness.clone(),
            clock: base.clock(),
            stop: watch::Sender::new(false),
            tasks: Mutex::default(),
        };
        fleet.start(listener, &base.peer_server(handler));
        Ok((fleet, cx))
    }

    fn start(&self, listener: TcpListener, server: &Arc<PeerServer>) {
        let mut tasks = lock(&self.tasks);
        let events = self.membership.events();
        let (limits, owner) = (self.limits.clone(), self.owner.clone());
        tasks.spawn(follow_members(events, limits, owner));
        tasks.spawn(server.clone().serve(listener, self.stop.subscribe()));
        tasks.spawn(self.membership.clone().run());
        tasks.spawn(self.distribution.clone().run(self.stop.subscribe()));
        let orders = self.orders.clone();
        tasks.spawn(async move { orders.run().await });
        self.limits.start();
    }

    /// Returns why the host takes no new work, or `None` if it does.
    pub fn not_ready(&self) -> Option<String> {
        if self.membership.me().leaving {
            return Some("leaving".to_owned());
        }
        let unconfirmed = self.freshness.not_ready(self.clock.now());
        unconfirmed.or_else(|| {
            let unconfigured = self.versions.current().version == 0;
            unconfigured.then(|| "no configuration yet; put one with `config put`".to_owned())
        })
    }

    /// Adds this host's part in the fleet to the dump.
    pub fn add_to(&self, dump: Dump) -> Dump {
        let membership = self.membership.clone();
        let distribution = self.distribution.clone();
        let limits = self.limits.clone();
        let owner = self.owner.clone();
        let orders = self.orders.clone();
        dump.with_view("members", move || membership.live())
            .with_view("configuration", move || distribution.dump())
            .with_view("allowances", move || limits.dump())
            .with_view("pools", move || owner.dump())
            .with_view("orders", move || orders.view())
    }

    /// Tells the fleet that this host takes no new work, and hands back what it owns.
    pub async fn leave(&self) {
        let handing_back = async {
            self.membership.leave().await;
            self.limits.hand_over_all().await;
            self.orders.leave().await;
        };
        if tokio::time::timeout(HAND_BACK_WAIT, handing_back)
            .await
            .is_err()
        {
            log::warn!("not everything handed back in {HAND_BACK_WAIT:?}; the leases lapse");
        }
    }

    /// Ends this host's part in the fleet after its requests have finished.
    pub async fn end(&self) {
        self.membership.deregister().await;
        self.abort();
    }

    /// Ends this host's part in the fleet at once, as a crash does.
    pub fn abort(&self) {
        self.limits.stop();
        self.stop.send_replace(true);
        lock(&self.tasks).abort_all();
    }
}

/// Passes the fates of other hosts to the parts that hold something for them.
async fn follow_members(
    mut events: broadcast::Receiver<MemberEvent>,
    limits: Arc<FleetLimits>,
    owner: Arc<PoolOwner>,
) {
    loop {
        match events.recv().await {
            Ok(MemberEvent::HostDown(down)) => {
                if down.proven {
                    limits.note_process_gone(down.host.clone(), down.incarnation);
                }
                owner.host_down(&down);
            }
            Ok(event) => log::info!("membership: {event:?}"),
            Err(RecvError::Lagged(missed)) => {
                // Reservations of a host whose death was missed end at their deadline.
                log::warn!("{missed} changes of membership missed");
            }
            Err(RecvError::Closed) => return,
        }
    }
}
