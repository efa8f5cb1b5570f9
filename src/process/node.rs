//! Wires the parts of one host together and runs it.

pub mod external;
pub mod fleet;
pub mod handler;
pub mod view;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connection::caller::ApiHandler;
use crate::connection::caller_listener::{CallerListener, StopPhase};
use crate::connection::operator::{self, OperatorView};
use crate::connection::probe::HttpProbe;
use crate::connection::service::HttpUpstreamClients;
use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::distribution::freshness::Freshness;
use crate::process::distribution::stops::wait_for_host_stop;
use crate::process::dump::Dump;
use crate::process::fleet_placer::{FleetPlacer, PlacerContext};
use crate::process::idempotency::LocalIdempotency;
use crate::process::limits::LocalLimits;
use crate::process::members::{Members, StaticMembers};
use crate::process::message::Member;
use crate::process::metrics;
use crate::process::node::external::ExternalServices;
use crate::process::node::fleet::FleetServices;
use crate::process::node::view::NodeView;
use crate::process::peer::{NoPeers, PeerLink};
use crate::process::pool_owner::{PoolOwner, PoolOwnerContext};
use crate::process::quarantine::CrashQuarantine;
use crate::process::settings::Settings;
use crate::request::flow::RequestContext;
use crate::version::cell::VersionCell;

/// A running host.
pub struct Node {
    /// The bound address of the callers' listener.
    pub callers_address: SocketAddr,
    /// The bound address of the operators' listener; `None` if the settings have none.
    pub operators_address: Option<SocketAddr>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    host: HostId,
    clock: Arc<dyn Clock>,
    drain_delay: Duration,
    fleet: Option<Arc<FleetServices>>,
    stop: watch::Sender<StopPhase>,
    caller_listener: JoinHandle<()>,
    metrics_upkeep: JoinHandle<()>,
    requests: Arc<RequestContext>,
}

impl Node {
    /// Starts a host without a fleet, with the configuration in `versions`.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn start(settings: Settings, versions: Arc<VersionCell>) -> std::io::Result<Self> {
        let cx = standalone(&settings, versions);
        Self::serve(settings, cx, None).await
    }

    /// Starts a host as a member of a fleet; its configuration comes from the platform's store.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn join(settings: Settings, external: ExternalServices) -> std::io::Result<Self> {
        let versions = Arc::new(VersionCell::default());
        let (fleet, cx) = FleetServices::join(&settings, &external, versions).await?;
        Self::serve(settings, cx, Some(fleet)).await
    }

    async fn serve(
        settings: Settings,
        cx: Arc<RequestContext>,
        fleet: Option<FleetServices>,
    ) -> std::io::Result<Self> {
        metrics::recorder();
        let fleet = fleet.map(Arc::new);
        let listener = TcpListener::bind(settings.callers_address).await?;
        let callers_address = listener.local_addr()?;
        let operators_address = match settings.operators_address {
            Some(address) => Some(start_operators(address, &cx, fleet.as_ref())?),
            None => None,
        };
        let (stop, stopped) = watch::channel(StopPhase::Serving);
        let handler = ApiHandler::new(cx.clone(), &settings.callers);
        let caller_listener = CallerListener::new(handler, settings.callers);
        Ok(Self {
            callers_address,
            operators_address,
            versions: cx.versions.clone(),
            host: settings.host,
            clock: cx.clock.clone(),
            drain_delay: settings.drain_delay,
            fleet,
            stop,
            requests: cx,
            caller_listener: tokio::spawn(caller_listener.serve(listener, stopped)),
            metrics_upkeep: tokio::spawn(async {
                loop {
                    tokio::time::sleep(metrics::UPKEEP_INTERVAL).await;
                    metrics::upkeep();
                }
            }),
        })
    }

    /// Returns why the host takes no new work; `None` if it is ready.
    pub fn not_ready(&self) -> Option<String> {
        self.fleet.as_ref().and_then(|fleet| fleet.not_ready())
    }

    /// Waits until the start of a planned stop of this host in the configuration.
    pub async fn wait_for_planned_stop(&self) {
        wait_for_host_stop(&self.versions, &*self.clock, &self.host).await;
    }

    /// Stops the host at once, as a crash does: ownership is not handed over, and open requests break.
    pub fn abort(self) {
        self.caller_listener.abort();
        self.metrics_upkeep.abort();
        if let Some(fleet) = self.fleet {
            fleet.abort();
        }
    }

    /// Hands over what the host owns, stops accepting connections and waits until open requests have finished.
    pub async fn drain(self) {
        if let Some(fleet) = &self.fleet {
            fleet.leave().await;
            // The load balancer needs time to see that the host is not ready.
            tokio::time::sleep(self.drain_delay).await;
        }
        self.stop.send_replace(StopPhase::Stopped);
        if let Err(e) = self.caller_listener.await {
            log::error!("caller listener failed while draining: {e}");
        }
        let within = self.requests.settings.background_wait;
        self.requests.finish_background(within).await;
        if let Some(fleet) = self.fleet {
            fleet.end().await;
        }
        self.metrics_upkeep.abort();
    }
}

/// Starts the operators' listener; returns its bound address.
fn start_operators(
    address: SocketAddr,
    cx: &Arc<RequestContext>,
    fleet: Option<&Arc<FleetServices>>,
) -> std::io::Result<SocketAddr> {
    let mut dump = Dump::default();
    let host = cx.host.clone();
    let incarnation = cx.incarnation;
    dump = dump.with_view(
        "host",
        move || serde_json::json!({ "name": host, "incarnation": format!("{incarnation:016x}") }),
    );
    let journal = cx.journal.clone();
    dump = dump.with_view("journal", move || journal.recent());
    if let Some(fleet) = fleet {
        dump = fleet.add_dump_views(dump);
    }
    let fleet = fleet.map(Arc::downgrade);
    let not_ready = move || match &fleet {
        None => None,
        Some(fleet) => match fleet.upgrade() {
            Some(fleet) => fleet.not_ready(),
            None => Some("stopped".to_owned()),
        },
    };
    let view: Arc<dyn OperatorView> = NodeView::new(dump, Box::new(not_ready));
    operator::start(address, &view)
}

/// Creates the request context of a host without a fleet.
fn standalone(settings: &Settings, versions: Arc<VersionCell>) -> Arc<RequestContext> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let incarnation = rand::random();
    let members: Arc<dyn Members> = Arc::new(StaticMembers::new(
        Member {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            // A host without a fleet has no peer listener.
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            incarnation,
            leaving: false,
        },
        [],
    ));
    let link: Arc<dyn PeerLink> = Arc::new(NoPeers);
    let upstreams: Arc<dyn UpstreamClients> = Arc::new(HttpUpstreamClients::default());
    let owner = PoolOwner::start(PoolOwnerContext {
        members: members.clone(),
        versions: versions.clone(),
        clock: clock.clone(),
        link: link.clone(),
        upstreams: upstreams.clone(),
        settings: settings.placement.clone(),
        policy: settings.policy.create(),
    });
    let placer = FleetPlacer::start(PlacerContext {
        data_centre: settings.data_centre.clone(),
        members,
        versions: versions.clone(),
        clock: clock.clone(),
        link,
        owner,
    });
    Arc::new(RequestContext {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        settings: settings.requests.clone(),
        limits: Arc::new(LocalLimits::new(versions.clone(), clock.clone())),
        placer,
        retry_budgets: Arc::default(),
        versions,
        // The document comes from a file, so that no store confirms it.
        freshness: Arc::new(Freshness::unlimited()),
        upstreams,
        quarantine: Arc::new(CrashQuarantine::new(
            clock.clone(),
            Arc::new(HttpProbe::default()),
        )),
        idempotency: Arc::new(LocalIdempotency::new(clock.clone())),
        journal: Arc::default(),
        tasks: BackgroundTasks::default(),
        clock,
    })
}
