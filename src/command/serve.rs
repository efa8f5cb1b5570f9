//! `serve` and `check`.

use std::path::Path;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{CommandError, failed, logging, print, runtime};
use crate::connection::host_list::HttpHostList;
use crate::connection::service::HttpUpstreams;
use crate::connection::store::{HttpStore, StoreClientSettings};
use crate::platform;
use crate::prelude::*;
use crate::process::forwarding::host::ForwardHost;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::node::Node;
use crate::process::node::outside::Outside;
use crate::process::settings::Settings;
use crate::version::cell::VersionCell;
use crate::version::document::{compile, split};
use crate::version::fields::{Problem, list_problems};

/// Runs a host until SIGTERM or SIGINT, then lets open requests finish.
///
/// # Errors
/// Returns `Usage` for wrong settings and `Failed` if the host can't start.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let settings = load(path)?;
    let _logger = logging::start(&settings.log_level)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|e| CommandError::Failed(format!("signals can't be handled: {e}")))?;
    if let Some(forwarding) = settings.forwarding.clone() {
        return runtime()?.block_on(forward(settings, forwarding, signals));
    }
    runtime()?.block_on(async {
        let node = start(settings).await?;
        log::info!(address:% = node.callers_address; "serving callers");
        let (tx, rx) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let signal = signals.forever().next();
            let _ = tx.send(signal);
        });
        tokio::select! {
            _ = rx => log::info!("signal to stop; open requests finish"),
            () = node.planned_stop() => log::info!("planned stop; open requests finish"),
        }
        node.drain().await;
        Ok(())
    })
}

/// Runs a host that forwards whole requests, until a signal.
async fn forward(
    settings: Settings,
    forwarding: ForwardingSettings,
    mut signals: Signals,
) -> Result<(), CommandError> {
    let host = settings.host.clone();
    let outside = platform::connect(forwarding.store_address);
    let started = ForwardHost::start(settings, forwarding, outside).await;
    let node = started.map_err(failed(
        "host can't start; check the addresses in [callers], [operators] and [peer]",
    ))?;
    log::info!(target: "host", "{host} started, version {}, serving callers at {}", env!("CARGO_PKG_VERSION"), node.callers_address);
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let signal = signals.forever().next();
        let _ = tx.send(signal);
    });
    // The sender lives until a signal has come.
    let _ = rx.await;
    log::info!(target: "host", "{host} stops; open requests finish");
    node.drain().await;
    log::info!(target: "host", "{host} ends");
    Ok(())
}

async fn start(settings: Settings) -> Result<Node, CommandError> {
    let started = if let Some(store) = settings.store_address {
        let store = HttpStore::new(&store.to_string(), StoreClientSettings::default());
        // The check of the settings requires the list's address beside the store's.
        let list = settings.host_list_address.unwrap_or(settings.peer.address);
        let outside = Outside {
            clock: Arc::new(SystemClock),
            store: Arc::new(store),
            host_list: Arc::new(HttpHostList::new(&list.to_string())),
            weights: Arc::new(settings.weights),
            upstreams: Arc::new(HttpUpstreams::default()),
        };
        Node::join(settings, outside).await
    } else {
        let versions = Arc::new(VersionCell::default());
        if let Some(file) = &settings.config_file {
            load_document(file, &versions)?;
        }
        Node::start(settings, versions).await
    };
    started.map_err(|e| {
        CommandError::Failed(format!(
            "host can't start: {e}; check the addresses in [callers], [operators] and [peer]"
        ))
    })
}

/// Checks a settings file.
///
/// # Errors
/// Returns `Usage` with every problem.
pub fn check(path: &Path) -> Result<(), CommandError> {
    load(path)?;
    print(&format!("{}: no problems\n", path.display()))
}

fn load(path: &Path) -> Result<Settings, CommandError> {
    Settings::load(path).map_err(|problems| usage(&problems))
}

fn load_document(file: &str, versions: &VersionCell) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(|e| {
        CommandError::Usage(format!("{file}: can't be read ({e}); check [config] file"))
    })?;
    let compiled = split(file, &text).and_then(|sections| compile(1, &sections));
    versions.advance(compiled.map_err(|problems| usage(&problems))?);
    Ok(())
}

fn usage(problems: &[Problem]) -> CommandError {
    CommandError::Usage(list_problems(problems))
}
