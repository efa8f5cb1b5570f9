//! The services of a host that make it a member of a fleet.

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
use crate::process::node::external::ExternalServices;
use crate::process::node::handler::NodeHandler;
use crate::process::orders::{OrderController, OrderControllerParts};
use crate::process::peer::PeerLink;
use crate::process::pool_owner::{PoolHandler, PoolOwner, PoolOwnerContext};
use crate::process::quarantine::CrashQuarantine;
use crate::process::settings::Settings;
use crate::process::shard::lock;
use crate::request::flow::RequestContext;
use crate::version::cell::VersionCell;
use crate::version::repository::Repository;

/// The longest wait for handing over what a leaving host owns. What is left expires with its leases.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// The services of a host that deal with other hosts and the platform.
pub struct FleetServices {
    membership: Arc<Membership>,
    distribution: Arc<Distribution>,
    limits: Arc<FleetLimits>,
    owner: Arc<PoolOwner>,
    orders: Arc<OrderController>,
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    clock: Arc<dyn Clock>,
    stop: watch::Sender<bool>,
    tasks: Mutex<JoinSet<()>>,
}

/// Supplies the version and age of this host's configuration to its heartbeats.
struct ConfigPayload {
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    clock: Arc<dyn Clock>,
}

impl HeartbeatPayload for ConfigPayload {
    fn payload(&self) -> (Version, Option<Duration>) {
        let age = self.freshness.age(self.clock.now());
        (self.versions.current().version, age)
    }

    // `Distribution` forwards changes itself and polls in case messages are lost.
    fn receive(&self, _from: &HostId, _version: Version, _age: Option<Duration>) {}
}

/// Creates the services of this host from its identity, its settings and its links to other hosts.
struct FleetBuilder<'a> {
    settings: &'a Settings,
    external: &'a ExternalServices,
    me: Member,
    identity: PeerIdentity,
    secret: PeerSecret,
    address_book: Arc<AddressBook>,
    link: Arc<dyn PeerLink>,
    versions: Arc<VersionCell>,
    freshness: Arc<Freshness>,
    membership: Arc<Membership>,
    members: Arc<dyn Members>,
}

impl<'a> FleetBuilder<'a> {
    fn new(
        settings: &'a Settings,
        external: &'a ExternalServices,
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
        let address_book = Arc::new(AddressBook::default());
        let client = PeerClient::new(identity.clone(), secret.clone(), address_book.clone());
        let link: Arc<dyn PeerLink> = Arc::new(client);
        let freshness = Arc::new(Freshness::new(settings.key_trust));
        let membership = Membership::new(MembershipParts {
            me: me.clone(),
            settings: DetectorSettings::default(),
            link: link.clone(),
            address_book: address_book.clone(),
            store: external.store.clone(),
            host_list: external.host_list.clone(),
            clock: external.clock.clone(),
            payload: Arc::new(ConfigPayload {
                versions: versions.clone(),
                freshness: freshness.clone(),
                clock: external.clock.clone(),
            }),
        });
        Self {
            settings,
            external,
            me,
            identity,
            secret,
            address_book,
            link,
            versions,
            freshness,
            members: membership.clone(),
            membership,
        }
    }

    fn clock(&self) -> Arc<dyn Clock> {
        self.external.clock.clone()
    }

    fn distribution(&self) -> Arc<Distribution> {
        Distribution::new(DistributionParts {
            repository: Repository::new(self.external.store.clone(), self.clock()),
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
            store: self.external.store.clone(),
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
            upstreams: self.external.upstreams.clone(),
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

    fn orders(&self) -> Arc<OrderController> {
        Arc::new(OrderController::new(OrderControllerParts {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            members: self.members.clone(),
            store: self.external.store.clone(),
            upstreams: self.external.upstreams.clone(),
            weights: self.external.weights.clone(),
            clock: self.clock(),
            versions: self.versions.clone(),
        }))
    }

    /// Creates the context that requests are handled in.
    fn request_context(&self, handler: &NodeHandler) -> Arc<RequestContext> {
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
            upstreams: self.external.upstreams.clone(),
            quarantine: handler.quarantine.clone(),
            idempotency: Arc::new(SharedIdempotency::new(
                members,
                link,
                handler.idempotency.clone(),
            )),
            journal: Arc::default(),
            tasks: BackgroundTasks::default(),
        })
    }

    fn peer_server(&self, handler: Arc<NodeHandler>) -> Arc<PeerServer> {
        let (identity, secret) = (self.identity.clone(), self.secret.clone());
        Arc::new(PeerServer::new(
            identity,
            secret,
            self.address_book.clone(),
            handler,
        ))
    }
}

impl FleetServices {
    /// Joins the fleet; also returns the context that requests are handled in.
    ///
    /// # Errors
    /// Returns the I/O error if the address for peers can't be bound.
    pub async fn join(
        settings: &Settings,
        external: &ExternalServices,
        versions: Arc<VersionCell>,
    ) -> std::io::Result<(Self, Arc<RequestContext>)> {
        let listener = TcpListener::bind(settings.peer.address).await?;
        let builder = FleetBuilder::new(settings, external, listener.local_addr()?, versions);
        let handler = Arc::new(NodeHandler {
            membership: builder.membership.clone(),
            distribution: builder.distribution(),
            limits: builder.limits(),
            pools: PoolHandler(builder.pool_owner()),
            idempotency: IdempotencyOwner::new(external.store.clone(), external.clock.clone()),
            quarantine: builder.quarantine(),
        });
        let cx = builder.request_context(&handler);
        let fleet = Self {
            membership: handler.membership.clone(),
            distribution: handler.distribution.clone(),
            limits: handler.limits.clone(),
            owner: handler.pools.0.clone(),
            orders: builder.orders(),
            versions: builder.versions.clone(),
            freshness: builder.freshness.clone(),
            clock: builder.clock(),
            stop: watch::Sender::new(false),
            tasks: Mutex::default(),
        };
        fleet.start(listener, &builder.peer_server(handler));
        Ok((fleet, cx))
    }

    fn start(&self, listener: TcpListener, server: &Arc<PeerServer>) {
        let mut tasks = lock(&self.tasks);
        let events = self.membership.events();
        let (limits, owner) = (self.limits.clone(), self.owner.clone());
        tasks.spawn(handle_member_events(events, limits, owner));
        tasks.spawn(server.clone().serve(listener, self.stop.subscribe()));
        tasks.spawn(self.membership.clone().run());
        tasks.spawn(self.distribution.clone().run(self.stop.subscribe()));
        let orders = self.orders.clone();
        tasks.spawn(async move { orders.run().await });
        self.limits.start();
    }

    /// Returns why the host takes no new work; `None` if it is ready.
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

    /// Adds the views of these services to the dump.
    pub fn add_dump_views(&self, dump: Dump) -> Dump {
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

    /// Tells the fleet that this host takes no new work, and hands over what it owns.
    pub async fn leave(&self) {
        let hand_over = async {
            self.membership.leave().await;
            self.limits.hand_over_all().await;
            self.orders.leave().await;
        };
        if tokio::time::timeout(HAND_OVER_TIMEOUT, hand_over)
            .await
            .is_err()
        {
            log::warn!(
                "hand-over not complete after {HAND_OVER_TIMEOUT:?}; the rest expires with its leases"
            );
        }
    }

    /// Leaves the fleet after the requests of this host have finished.
    pub async fn end(&self) {
        self.membership.deregister().await;
        self.abort();
    }

    /// Stops all services at once, as a crash does.
    pub fn abort(&self) {
        self.limits.stop();
        self.stop.send_replace(true);
        lock(&self.tasks).abort_all();
    }
}

/// Notifies the services that hold loans or slots for other hosts when one of these goes down.
async fn handle_member_events(
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
                // If a host's failure was missed, its reservations end at their deadline.
                log::warn!("{missed} membership events missed");
            }
            Err(RecvError::Closed) => return,
        }
    }
}
