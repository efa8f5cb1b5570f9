//! Wires the parts of a forwarding host together and runs it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::connection::caller_listener::{CallerListener, StopPhase};
use crate::connection::forward::front::ForwardFront;
use crate::connection::forward::reports::ReportSocket;
use crate::connection::forward::upstream_pool::{PooledLink, UpstreamPool};
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
use crate::request::forward::flow::ForwardServices;

/// The time before the end of the grace at which a draining host gives up on open requests.
const GRACE_MARGIN: Duration = Duration::from_millis(350);

/// What is added to the least time between the orders of two hosts, for orders under way.
const ORDER_QUIET_MARGIN: Duration = Duration::from_millis(500);

/// What a forwarding host needs of the platform.
pub struct ForwardDependencies {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The encodings of what is stored.
    pub state_codec: Arc<dyn StateCodec>,
    /// The encodings of requests.
    pub call_codec: Arc<dyn CallCodec>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// The times of a graceful stop.
#[derive(Debug, Clone, Copy)]
struct StopTimes {
    grace: Duration,
    drain_delay: Duration,
}

impl StopTimes {
    fn of(settings: &ForwardingSettings) -> Self {
        Self {
            grace: settings.grace,
            drain_delay: settings.drain_delay,
        }
    }
}

/// A running host.
pub struct ForwardHost {
    /// The callers' address.
    pub callers_address: SocketAddr,
    /// The operators' address.
    pub operators_address: Option<SocketAddr>,
    stop_times: Mutex<StopTimes>,
    cx: Arc<ForwardServices>,
    exchange: Arc<ReportExchange>,
    stop: watch::Sender<StopPhase>,
    serving: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl ForwardHost {
    /// Starts a host.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn start(
        settings: Settings,
        forwarding: ForwardingSettings,
        outside: ForwardDependencies,
    ) -> std::io::Result<Self> {
        metrics::recorder();
        let clock = outside.clock;
        let mut forwarding = forwarding;
        if forwarding.first_start {
            // No host can have granted anything before.
            forwarding.usage.initial_level = 1.0;
        }
        let state = Arc::new(FleetState::new(&forwarding));
        let reports = ReportSocket::bind(settings.peer.address).await?;
        let registration = Registration {
            host: settings.host.clone(),
            address: reports.address()?,
            incarnation: rand::random(),
        };
        let exchange = Arc::new(ReportExchange {
            host: settings.host.clone(),
            address: registration.address,
            incarnation: registration.incarnation,
            started: clock.now(),
            state: state.clone(),
            clock: clock.clone(),
            link: Arc::new(reports),
            delay_per_host: forwarding.report_delay_per_host,
            interval: forwarding.report_interval,
        });
        let watchers = Arc::new(StoreWatchers {
            state: state.clone(),
            store: outside.store,
            codec: outside.state_codec,
            clock: clock.clone(),
            settings: forwarding.clone(),
            registration,
            registered: Notify::new(),
            logged_unreadable: Mutex::default(),
        });
        let link = Arc::new(PooledLink(UpstreamPool::new()));
        let orders = StageController {
            host: settings.host.clone(),
            incarnation: exchange.incarnation,
            state: state.clone(),
            store: watchers.store.clone(),
            link: link.clone(),
            codec: outside.call_codec.clone(),
            clock: clock.clone(),
            settings: forwarding.stage_plan.clone(),
            handover_delay: forwarding.order_quiet + ORDER_QUIET_MARGIN,
            is_first_start: forwarding.first_start,
            started: exchange.started,
        };
        let cx = Arc::new(ForwardServices {
            data_centre: settings.data_centre.clone(),
            state: state.clone(),
            selection: selection::create(settings.policy, forwarding.selection.clone()),
            link,
            codec: outside.call_codec,
            clock,
            settings: forwarding.requests.clone(),
            tasks: BackgroundTasks::default(),
        });
        let operators_address = match settings.operators_address {
            Some(address) => Some(start_operators(address, &settings, &state)?),
            None => None,
        };
        let tasks = spawn_tasks(&watchers, &exchange, orders);
        let listener = TcpListener::bind(settings.callers_address).await?;
        let callers_address = listener.local_addr()?;
        let front = ForwardFront::new(cx.clone(), &settings.callers);
        let (stop, stopped) = watch::channel(StopPhase::Serving);
        let serving = CallerListener::new(front, settings.callers);
        Ok(Self {
            callers_address,
            operators_address,
            stop_times: Mutex::new(StopTimes::of(&forwarding)),
            cx,
            exchange,
            stop,
            serving: tokio::spawn(serving.serve(listener, stopped)),
            tasks,
        })
    }

    /// Returns why the host takes no new work, or `None` if it does.
    pub fn not_ready(&self) -> Option<&'static str> {
        self.cx.state.not_ready()
    }

    /// Puts the parts of changed settings in force that need no restart: the bounds on retries and the times of a stop.
    pub fn reload(&self, settings: &ForwardingSettings) {
        self.cx
            .state
            .retries
            .update_settings(settings.retries.clone());
        *lock(&self.stop_times) = StopTimes::of(settings);
    }

    /// Ends the host gracefully: it is no longer ready, closes kept connections after the answers under way, takes new
    /// connections until the balancer has noticed, and lets open requests finish within the grace.
    pub async fn drain(self) {
        let times = *lock(&self.stop_times);
        let open = times.grace.saturating_sub(GRACE_MARGIN);
        self.cx.state.set_drain_deadline(self.cx.clock.now() + open);
        self.stop.send_replace(StopPhase::Closing);
        tokio::time::sleep(times.drain_delay).await;
        self.stop.send_replace(StopPhase::Stopped);
        let left = open.saturating_sub(times.drain_delay);
        if tokio::time::timeout(left, self.serving).await.is_err() {
            log::warn!(target: "host", "requests still open at the end of the grace are cut off");
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
    orders: StageController,
) -> Vec<JoinHandle<()>> {
    let (a, b, c, d) = (
        watchers.clone(),
        watchers.clone(),
        watchers.clone(),
        watchers.clone(),
    );
    let (sender, receiver) = (exchange.clone(), exchange.clone());
    vec![
        tokio::spawn(async move { a.watch_configuration().await }),
        tokio::spawn(async move { b.poll_upstreams().await }),
        tokio::spawn(async move { c.keep_registered().await }),
        tokio::spawn(async move { d.poll_hosts().await }),
        tokio::spawn(async move { orders.run().await }),
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
) -> std::io::Result<SocketAddr> {
    let host = settings.host.clone();
    let (versions, usage, peers) = (state.clone(), state.clone(), state.clone());
    let dump = Dump::default()
        .with_view("host", move || host.clone())
        .with_view("configuration", move || versions.config.current().version)
        .with_view("usage", move || usage.usage.levels())
        .with_view("peers", move || peers.peers().report_ages(Instant::now()));
    let state = state.clone();
    let not_ready = move || state.not_ready().map(str::to_owned);
    let view: Arc<dyn OperatorView> = NodeView::new(dump, Box::new(not_ready));
    operator::start(address, &view)
}
