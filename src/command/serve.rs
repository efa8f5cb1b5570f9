//! `serve` and `check`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
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
use crate::process::node::external::ExternalServices;
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
    let _logger = logging::start_host(&settings.log_level)?;
    if let Some(forwarding) = settings.forwarding.clone() {
        return runtime()?.block_on(forward(path, settings, forwarding));
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|e| CommandError::Failed(format!("signals can't be handled: {e}")))?;
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
            () = node.wait_for_planned_stop() => log::info!("planned stop; open requests finish"),
        }
        node.drain().await;
        Ok(())
    })
}

/// The time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a host that forwards whole requests, until SIGTERM or SIGINT. SIGHUP, or a changed file, has it read its settings again.
async fn forward(
    path: &Path,
    settings: Settings,
    forwarding: ForwardingSettings,
) -> Result<(), CommandError> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(failed("signals can't be handled"))?;
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            // The receiver is gone only when the process ends.
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
        match tokio::time::timeout(SETTINGS_INTERVAL, rx.recv()).await {
            Ok(Some(SIGHUP)) => reload(path, &node),
            Ok(_) => break,
            Err(_) => {
                // A file that can't be read now is read later; the settings in force stay.
                let now = std::fs::read(path).unwrap_or_else(|_| text.clone());
                if now != text {
                    text = now;
                    reload(path, &node);
                }
            }
        }
    }
    log::info!(target: "host", "{host} stops; open requests finish");
    node.drain().await;
    log::info!(target: "host", "{host} ends");
    Ok(())
}

/// Puts a changed settings file in force, or logs why it is not.
fn reload(path: &Path, node: &ForwardHost) {
    let loaded = Settings::load(path).map_err(|problems| list_problems(&problems));
    let forwarding = loaded.and_then(|settings| {
        let missing = "no section [forwarding]; add it, or restart the host without it";
        settings.forwarding.ok_or_else(|| missing.to_owned())
    });
    match forwarding {
        Ok(forwarding) => {
            node.reload(&forwarding);
            log::info!(target: "host", "settings read again; bounds on retries and times of a stop are in force, the rest with the next start");
        }
        Err(problems) => log::error!(target: "host", "settings not taken over: {problems}"),
    }
}

async fn start(settings: Settings) -> Result<Node, CommandError> {
    let started = if let Some(store) = settings.store_address {
        let store = HttpStore::new(&store.to_string(), StoreClientSettings::default());
        // The check of the settings requires the list's address beside the store's.
        let list = settings.host_list_address.unwrap_or(settings.peer.address);
        let outside = ExternalServices {
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
