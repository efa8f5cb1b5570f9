//! `emulate`: the surroundings of a fleet in a process of their own, for hosts that run as separate processes.

use std::net::SocketAddr;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::watch;

use crate::command::{CommandError, failed, logging, runtime};
use crate::emulator::environment::{Environment, caller_key, hosts_of};
use crate::emulator::store_server::serve_store;
use crate::load::shape::Shape;

/// Runs store, list of hosts, engines and services until interrupted.
///
/// # Errors
/// Returns `Usage` for an unknown shape and `Failed` if an address can't be bound.
pub fn run(shape: &str, store: SocketAddr, host_list: SocketAddr) -> Result<(), CommandError> {
    let _logger = logging::start("warn")?;
    let shape = Shape::find(shape)?;
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(failed("signals can't be handled"))?;
    runtime()?.block_on(async {
        let environment = Environment::start(&shape)
            .await
            .map_err(failed("surroundings can't start"))?;
        // The store stays up as long as the sender is there.
        let (_up, is_up) = watch::channel(true);
        let _store = serve_store(environment.store.clone(), store, is_up)
            .await
            .map_err(failed("--store can't be served; give a free address"))?;
        let _list = environment
            .host_list
            .serve(host_list)
            .await
            .map_err(failed("--host-list can't be served; give a free address"))?;
        println!("store {store}, list of hosts {host_list}");
        for host in hosts_of(&shape) {
            println!("host {} in data centre {}", host.host, host.data_centre);
        }
        for customer in &shape.customers {
            println!("customer {}: key {}", customer.id, caller_key(&customer.id));
        }
        println!("ready");
        let wait = tokio::task::spawn_blocking(move || signals.forever().next());
        wait.await.map_err(failed("signals can't be awaited"))?;
        Ok(())
    })
}
