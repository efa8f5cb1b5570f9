//! A stand-in for the platform's lagging list of hosts, and its HTTP server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::Response;

use crate::connection::host_list::{HOSTS_PATH, WireHost};
use crate::emulator::http::{Body, BufferedRequest, EmulatorServer, Handler, json};
use crate::prelude::*;
use crate::process::host_list::{HostList, ListedHost};
use crate::process::shard::lock;

/// A list of hosts that shows changes only after a lag.
pub struct LaggingHostList {
    clock: Arc<dyn Clock>,
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The list shown now.
    shown: Vec<ListedHost>,
    /// The lists to come, in order, with the instants from which they are shown.
    coming: Vec<(Instant, Vec<ListedHost>)>,
    outage: bool,
}

impl LaggingHostList {
    /// Creates a list that shows `hosts` at once and later changes after `lag`.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration, hosts: Vec<ListedHost>) -> Arc<Self> {
        let state = State {
            shown: hosts,
            ..State::default()
        };
        Arc::new(Self {
            clock,
            lag,
            state: Mutex::new(state),
        })
    }

    /// Changes the list; readers see it after the lag.
    pub fn set(&self, hosts: Vec<ListedHost>) {
        let shown_from = self.clock.now() + self.lag;
        lock(&self.state).coming.push((shown_from, hosts));
    }

    /// Switches an outage, in which the list can't be had, on or off.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }

    /// Starts a server for the list.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<EmulatorServer> {
        EmulatorServer::start(address, Arc::new(ListHandler(self.clone()))).await
    }
}

#[async_trait]
impl HostList for LaggingHostList {
    async fn hosts(&self) -> Option<Vec<ListedHost>> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let due = state.coming.partition_point(|(from, _)| *from <= now);
        let newest = state.coming.drain(..due).next_back();
        if let Some((_, newest)) = newest {
            state.shown = newest;
        }
        (!state.outage).then(|| state.shown.clone())
    }
}

struct ListHandler(Arc<LaggingHostList>);

#[async_trait]
impl Handler for ListHandler {
    async fn answer(&self, req: BufferedRequest) -> Option<Response<Body>> {
        if req.uri().path() != HOSTS_PATH {
            return Some(json(404, &"unknown path"));
        }
        Some(match self.0.hosts().await {
            Some(hosts) => {
                let hosts: Vec<_> = hosts.into_iter().map(WireHost::from).collect();
                json(200, &hosts)
            }
            None => json(503, &"list not available"),
        })
    }
}
