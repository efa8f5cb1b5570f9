//! Wires the parts of a forwarding host together and runs it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::connection::caller_listener::{CallerListener, StopPhase};
use crate::connection::forward::handler::ForwardHandler;
use crate::connection::forward::reports::ReportSocket;
use crate::connection::forward::upstream_pool::{PooledTransport, UpstreamPool};
use crate::connection::operator::{self, OperatorView};
use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::dump::Dump;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::Registration;
use crate::process::forwarding::report_exchange::ReportExchange;
use crate::process::forwarding::selection;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::forwarding::stage_controller::StageController;
use crate::process::forwarding::state_codec::StateCodec;
use crate::process::forwarding::store_watchers::StoreWatchers;
use crate::process::metrics;
use crate::process::node::view::NodeView;
use crate::process::settings::Settings;
use crate::process::shard::lock;
use crate::request::forward::codec::CallCodec;
use crate::request::forward::flow::ForwardContext;

/// The time before the end of the grace period at which a draining host cuts off open requests, to announce that it leaves.
const GRACE_MARGIN: Duration = Duration::from_millis(350);

/// The time before open connections are closed in which a draining host answers requests that no upstream has answered, and ends the
/// responses that are still being passed on.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(150);

/// The longest time after its start for which a host is not ready because it has not heard of the others' grants.
const MAX_INTRODUCTION_TIME: Duration = Duration::from_secs(3);

/// Added to `order_quiet`, the shortest time between stage orders of two hosts: the last order may still be under way.
const ORDER_QUIET_MARGIN: Duration = Duration::from_millis(500);

/// What the platform provides to a forwarding host.
pub struct ForwardDependencies {
    /// The store of the configuration and of registrations.
    pub store: Arc<dyn Store>,
    /// Decodes what others write to the store.
    pub state_codec: Arc<dyn StateCodec>,
    /// Encodes and decodes requests to upstreams and from callers.
    pub call_codec: Arc<dyn CallCodec>,
    /// The clock that all parts of the host share.
    pub clock: Arc<dyn Clock>,
}

/// The times of a graceful shutdown, see `ForwardingSettings`.
#[derive(Debug, Clone, Copy)]
struct DrainTimes {
    grace: Duration,
    drain_delay: Duration,
}

impl DrainTimes {
    fn of(settings: &ForwardingSettings) -> Self {
        Self {
            grace: settings.grace,
            drain_delay: settings.drain_delay,
        }
    }
}

/// A running forwarding host.
pub struct ForwardHost {
    /// The address at which callers are served.
    pub callers_address: SocketAddr,
    /// The address of the operators' endpoints; `None` if they are not configured.
    pub operators_address: Option<SocketAddr>,
    drain_times: Mutex<DrainTimes>,
    cx: Arc<ForwardContext>,
    exchange: Arc<ReportExchange>,
    stop: watch::Sender<StopPhase>,
    serving: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl ForwardHost {
    /// Starts a host and its tasks.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn start(
        settings: Settings,
        forwarding: ForwardingSettings,
        platform: ForwardDependencies,
    ) -> std::io::Result<Self> {
        metrics::recorder();
        let clock = platform.clock;
        let mut forwarding = forwarding;
        forwarding.usage.starts_full = forwarding.first_start;
        let state = Arc::new(FleetState::new(&forwarding));
        state.set_starts_until(Some(clock.now() + MAX_INTRODUCTION_TIME));
        let reports = ReportSocket::bind(settings.peer.address).await?;
        let registration = Registration {
            host: settings.host.clone(),
            address: reports.address()?,
            incarnation: rand::random(),
            data_centre: settings.data_centre.clone(),
            capacity: forwarding.capacity,
        };
        let exchange = Arc::new(ReportExchange {
            own: registration.clone(),
            started: clock.now(),
            state: state.clone(),
            clock: clock.clone(),
            link: Arc::new(reports),
            settings: forwarding.exchange.clone(),
            reported_work: Mutex::default(),
        });
        let watchers = Arc::new(StoreWatchers {
            state: state.clone(),
            store: platform.store,
            codec: platform.state_codec,
            clock: clock.clone(),
            settings: forwarding.clone(),
            registration,
            registered: Notify::new(),
            logged_unreadable: Mutex::default(),
        });
        let pooled_transport = Arc::new(PooledTransport(UpstreamPool::new()));
        let stage_controller = StageController {
            own: exchange.own.clone(),
            state: state.clone(),
            store: watchers.store.clone(),
            transport: pooled_transport.clone(),
            codec: platform.call_codec.clone(),
            clock: clock.clone(),
            settings: forwarding.stage_plan.clone(),
            handover_delay: forwarding.order_quiet + ORDER_QUIET_MARGIN,
            is_first_start: forwarding.first_start,
            started: exchange.started,
        };
        let cx = Arc::new(ForwardContext {
            data_centre: settings.data_centre.clone(),
            state: state.clone(),
            selection: selection::create(settings.policy, forwarding.selection.clone()),
            transport: pooled_transport,
            codec: platform.call_codec,
            clock,
            settings: forwarding.requests.clone(),
            tasks: BackgroundTasks::default(),
        });
        let operators_address = match settings.operators_address {
            Some(address) => Some(start_operators(address, &settings, &state, &cx.clock)?),
            None => None,
        };
        let tasks = spawn_tasks(&watchers, &exchange, stage_controller);
        let listener = TcpListener::bind(settings.callers_address).await?;
        let callers_address = listener.local_addr()?;
        let handler = ForwardHandler::new(cx.clone(), &settings.callers);
        let (stop, stopped) = watch::channel(StopPhase::Serving);
        let serving = CallerListener::new(handler, settings.callers);
        Ok(Self {
            callers_address,
            operators_address,
            drain_times: Mutex::new(DrainTimes::of(&forwarding)),
            cx,
            exchange,
            stop,
            serving: tokio::spawn(serving.serve(listener, stopped)),
            tasks,
        })
    }

    /// Returns why the host is not ready for requests, or `None` if it is.
    pub fn not_ready(&self) -> Option<&'static str> {
        self.cx.state.not_ready(self.cx.clock.now())
    }

    /// Applies the settings that need no restart: the retry budget and the times of a graceful shutdown.
    pub fn reload(&self, settings: &ForwardingSettings) {
        self.cx
            .state
            .retries
            .update_settings(settings.retries.clone());
        *lock(&self.drain_times) = DrainTimes::of(settings);
    }

    /// Shuts the host down gracefully: it reports that it is not ready, closes kept-alive connections after the answers under way,
    /// accepts new connections until the load balancer has noticed, and lets open requests finish within the grace period. Requests
    /// without an answer get one shortly before its end; responses that are still being passed on then are cut off.
    pub async fn drain(self) {
        let times = *lock(&self.drain_times);
        let open = times.grace.saturating_sub(GRACE_MARGIN);
        let deadline = self.cx.clock.now() + open.saturating_sub(FINAL_ANSWER_TIME);
        self.cx.state.set_drain_deadline(deadline);
        self.stop.send_replace(StopPhase::Draining);
        tokio::time::sleep(times.drain_delay).await;
        self.stop.send_replace(StopPhase::Stopped);
        let left = open.saturating_sub(times.drain_delay);
        if tokio::time::timeout(left, self.serving).await.is_err() {
            log::warn!(target: "host", "open requests cut off: the grace period ends");
        }
        self.exchange.announce_leaving().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

fn spawn_tasks(
    watchers: &Arc<StoreWatchers>,
    exchange: &Arc<ReportExchange>,
    stage_controller: StageController,
) -> Vec<JoinHandle<()>> {
    let (configuration, upstreams, registration, hosts, crashing_parts) = (
        watchers.clone(),
        watchers.clone(),
        watchers.clone(),
        watchers.clone(),
        watchers.clone(),
    );
    let (sender, receiver) = (exchange.clone(), exchange.clone());
    vec![
        tokio::spawn(async move { configuration.watch_configuration().await }),
        tokio::spawn(async move { upstreams.poll_upstreams().await }),
        tokio::spawn(async move { registration.keep_registered().await }),
        tokio::spawn(async move { hosts.poll_hosts().await }),
        tokio::spawn(async move { crashing_parts.keep_crashing_parts().await }),
        tokio::spawn(async move { stage_controller.run().await }),
        tokio::spawn(async move { sender.send_reports().await }),
        tokio::spawn(async move { receiver.receive_reports().await }),
        tokio::spawn(async {
            loop {
                tokio::time::sleep(metrics::UPKEEP_INTERVAL).await;
                metrics::upkeep();
            }
        }),
    ]
}

fn start_operators(
    address: SocketAddr,
    settings: &Settings,
    state: &Arc<FleetState>,
    clock: &Arc<dyn Clock>,
) -> std::io::Result<SocketAddr> {
    let host = settings.host.clone();
    let (versions, usage, peers) = (state.clone(), state.clone(), state.clone());
    let evacuations = state.clone();
    let (peers_clock, clock) = (clock.clone(), clock.clone());
    let dump = Dump::default()
        .with_view("host", move || host.clone())
        .with_view("configuration", move || versions.config.current().version)
        .with_view("evacuations", move || evacuations.evacuation_news())
        .with_view("usage", move || usage.usage.levels())
        .with_view("peers", move || {
            peers.peers().report_ages(peers_clock.now())
        });
    let state = state.clone();
    let not_ready = move || state.not_ready(clock.now()).map(str::to_owned);
    let view: Arc<dyn OperatorView> = NodeView::new(dump, Box::new(not_ready));
    operator::start(address, &view)
}
