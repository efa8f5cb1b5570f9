//! `serve` runs a host; `check` checks its settings file.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{CommandError, failed, logging, print, runtime};
use crate::connection::host_list::HttpHostList;
use crate::connection::service::HttpUpstreamClients;
use crate::connection::store::{HttpStore, StoreClientSettings};
use crate::platform;
use crate::prelude::*;
use crate::process::forwarding::host::ForwardHost;
use crate::process::forwarding::settings::ForwardingSettings;
use crate::process::node::Node;
use crate::process::node::external::ExternalServices;
use crate::process::panics::report_panics;
use crate::process::settings::Settings;
use crate::version::cell::VersionCell;
use crate::version::document::{compile, split_by_team};
use crate::version::fields::{Problem, list_problems};

/// Runs a host until SIGTERM or SIGINT, then lets open requests finish.
///
/// # Errors
/// Returns `Usage` for invalid settings and `Failed` if the host can't start.
pub fn run(path: &Path) -> Result<(), CommandError> {
    // Until it is handled, SIGHUP ends the process, and it may come while a slow host still reads its settings.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(failed("signals can't be handled"))?;
    let settings = load_settings(path)?;
    let _logger = logging::start_host(&settings.log_level)?;
    report_panics();
    if let Some(forwarding) = settings.forwarding.clone() {
        return runtime()?.block_on(forward(path, settings, forwarding, signals));
    }
    runtime()?.block_on(async {
        let node = start_node(settings).await?;
        log::info!(address:% = node.callers_address; "serving callers");
        let (tx, rx) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let signal = signals.forever().find(|signal| *signal != SIGHUP);
            let _ = tx.send(signal);
        });
        tokio::select! {
            _ = rx => log::info!("stop signal received; waiting for open requests"),
            () = node.wait_for_planned_stop() => log::info!("planned stop; waiting for open requests"),
        }
        node.drain().await;
        Ok(())
    })
}

/// The interval at which the settings file is read to detect a change that no signal announced.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a host that forwards whole requests, until SIGTERM or SIGINT. It reloads its settings on SIGHUP and when the
/// file changes.
async fn forward(
    path: &Path,
    settings: Settings,
    forwarding: ForwardingSettings,
    mut signals: Signals,
) -> Result<(), CommandError> {
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            // The receiver is dropped only when the process ends.
            let _ = tx.send(signal);
        }
    });
    let host = settings.host.clone();
    let mut text = std::fs::read(path).unwrap_or_default();
    let outside = platform::connect(forwarding.store_address);
    let started = ForwardHost::start(settings, forwarding, outside).await;
    let node = started.map_err(failed(
        "host can't start; check the addresses in [callers], [operators] and [peer]",
    ))?;
    log::info!(target: "host", "{host} started, version {}, serving callers at {}", env!("CARGO_PKG_VERSION"), node.callers_address);
    loop {
        match tokio::time::timeout(SETTINGS_POLL_INTERVAL, rx.recv()).await {
            Ok(Some(SIGHUP)) => reload(path, &node),
            Ok(_) => break,
            Err(_) => {
                // While the file can't be read, the settings stay in force; the next poll reads it again.
                let now = std::fs::read(path).unwrap_or_else(|_| text.clone());
                if now != text {
                    text = now;
                    reload(path, &node);
                }
            }
        }
    }
    log::info!(target: "host", "{host} is stopping; waiting for open requests");
    node.drain().await;
    log::info!(target: "host", "{host} stopped");
    Ok(())
}

/// Puts a changed settings file in force, or logs its problems and keeps the settings in force.
fn reload(path: &Path, node: &ForwardHost) {
    let loaded = Settings::load(path).map_err(|problems| list_problems(&problems));
    let forwarding = loaded.and_then(|settings| {
        let missing = "no section [forwarding]; add it, or restart the host without it";
        settings.forwarding.ok_or_else(|| missing.to_owned())
    });
    match forwarding {
        Ok(forwarding) => {
            node.reload(&forwarding);
            log::info!(target: "host", "settings reloaded; retry bounds and stop times are in force, other changes take effect after a restart");
        }
        Err(problems) => log::error!(target: "host", "settings not reloaded: {problems}"),
    }
}

async fn start_node(settings: Settings) -> Result<Node, CommandError> {
    let started = if let Some(store) = settings.store_address {
        let store = HttpStore::new(&store.to_string(), StoreClientSettings::default());
        // Settings with a store but without a list of hosts don't load, so the fallback is never used.
        let list = settings.host_list_address.unwrap_or(settings.peer.address);
        let outside = ExternalServices {
            clock: Arc::new(SystemClock),
            store: Arc::new(store),
            host_list: Arc::new(HttpHostList::new(&list.to_string())),
            weights: Arc::new(settings.weights),
            upstreams: Arc::new(HttpUpstreamClients::default()),
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
    load_settings(path)?;
    print(&format!("{}: no problems\n", path.display()))
}

fn load_settings(path: &Path) -> Result<Settings, CommandError> {
    Settings::load(path).map_err(|problems| usage_error(&problems))
}

fn load_document(file: &str, versions: &VersionCell) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(|e| {
        CommandError::Usage(format!("{file}: can't be read ({e}); check [config] file"))
    })?;
    let compiled = split_by_team(file, &text).and_then(|sections| compile(1, &sections));
    versions.advance(compiled.map_err(|problems| usage_error(&problems))?);
    Ok(())
}

fn usage_error(problems: &[Problem]) -> CommandError {
    CommandError::Usage(list_problems(problems))
}
