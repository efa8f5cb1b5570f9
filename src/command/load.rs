//! `load`: drives the real path and prints one table.

use std::path::PathBuf;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::watch;

use crate::command::{CommandError, failed, logging, print, runtime};
use crate::emulator::environment::caller_key;
use crate::emulator::fleet::{Fleet, WARM_UP};
use crate::load::arrivals::draw;
use crate::load::report::{Row, json, text};
use crate::load::runner::{RunResult, Target, run as run_arrivals};
use crate::load::shape::Shape;
use crate::process::settings::{PolicyKind, Settings};

/// The options of `load`.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The name of the shape.
    pub shape: String,
    /// The loads as parts of the fleet's capacity, separated by commas.
    pub loads: String,
    /// The policies that choose upstreams, separated by commas.
    pub policies: String,
    /// The length of each run.
    pub length: Duration,
    /// The seed.
    pub seed: u64,
    /// The file for the table as JSON.
    pub json: Option<PathBuf>,
    /// The callers' address of a running host; an emulated fleet is started without it.
    pub target: Option<String>,
    /// The key for a running host.
    pub key: Option<String>,
}

/// Runs the load tool.
///
/// # Errors
/// Returns `Usage` for options that do not parse and `Failed` for a dead target, an unwritable file or an interrupted
/// run.
pub fn run(options: &LoadOptions) -> Result<(), CommandError> {
    let _logger = logging::start("error")?;
    let shape = Shape::find(&options.shape)?;
    let runs = plan_runs(options)?;
    if let Some(path) = &options.json {
        // Found out now rather than after the run.
        write_file(path, "[]")?;
    }
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(failed("signals can't be handled"))?;
    let (tx, rx) = watch::channel(false);
    std::thread::spawn(move || {
        signals.forever().next();
        tx.send_replace(true);
    });
    let rows = runtime()?.block_on(run_all(&shape, &runs, options, rx))?;
    print(&text(&rows))?;
    if let Some(path) = &options.json {
        write_file(path, &json(&rows))?;
    }
    if rows.len() < runs.len() || rows.iter().any(|row| row.partial) {
        let message = format!(
            "interrupted in run {} of {}; the figures so far are marked partial",
            rows.len(),
            runs.len()
        );
        return Err(CommandError::Failed(message));
    }
    Ok(())
}

async fn run_all(
    shape: &Shape,
    runs: &[(f64, PolicyKind)],
    options: &LoadOptions,
    stop: watch::Receiver<bool>,
) -> Result<Vec<Row>, CommandError> {
    let mut rows = Vec::new();
    for run in runs {
        if *stop.borrow() {
            break;
        }
        rows.push(run_one(shape, *run, options, stop.clone()).await?);
    }
    Ok(rows)
}

async fn run_one(
    shape: &Shape,
    (load, policy): (f64, PolicyKind),
    options: &LoadOptions,
    mut stop: watch::Receiver<bool>,
) -> Result<Row, CommandError> {
    let arrivals = draw(shape, shape.capacity() * load, options.length, options.seed);
    let name = format!("{} {load:.2} {}", shape.name, policy.name());
    let stopped = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    if let Some(address) = &options.target {
        check_target(address).await?;
        let key = options.key.clone().unwrap_or_default();
        let target = Target {
            addresses: vec![address.clone()],
            keys: vec![key; shape.customers.len()],
        };
        let finished = run_arrivals(shape, &target, arrivals, options.seed, stopped).await;
        return Ok(row(name, &finished, finished.meter.answered_prompt_tokens));
    }
    let settings = Settings {
        policy,
        ..Settings::default()
    };
    let fleet = Fleet::start(shape, settings).await;
    let fleet = fleet.map_err(failed("emulated fleet can't start"))?;
    tokio::time::sleep(WARM_UP).await;
    let target = Target {
        addresses: fleet.callers_addresses(),
        keys: shape.customers.iter().map(|c| caller_key(&c.id)).collect(),
    };
    let finished = run_arrivals(shape, &target, arrivals, options.seed, stopped).await;
    let row = row(name, &finished, fleet.environment.prefilled_tokens());
    fleet.drain().await;
    Ok(row)
}

fn row(name: String, finished: &RunResult, prefilled: u64) -> Row {
    Row::new(
        name,
        &finished.meter,
        finished.length,
        prefilled,
        finished.partial,
    )
}

/// Fails at once for a dead address, rather than after a run of failures.
async fn check_target(address: &str) -> Result<(), CommandError> {
    let connected = tokio::net::TcpStream::connect(address).await;
    connected.map(drop).map_err(|e| {
        CommandError::Failed(format!(
            "{address} does not answer ({e}); check [callers] address and that the host runs"
        ))
    })
}

/// Lists the runs: each policy at each load, with the same arrivals.
fn plan_runs(options: &LoadOptions) -> Result<Vec<(f64, PolicyKind)>, CommandError> {
    let loads = parse_loads(&options.loads)?;
    let names = options.policies.split(',').map(str::trim);
    let policies: Vec<_> = names
        .map(|name| {
            PolicyKind::from_name(name).ok_or_else(|| {
                let message =
                    format!("unknown policy {name:?}; use joint, least_loaded or round_robin");
                CommandError::Usage(message)
            })
        })
        .collect::<Result<_, _>>()?;
    let runs = loads
        .into_iter()
        .flat_map(|load| policies.iter().map(move |p| (load, *p)));
    Ok(runs.collect())
}

fn parse_loads(loads: &str) -> Result<Vec<f64>, CommandError> {
    let parse = |load: &str| {
        let value = load.trim().parse::<f64>().ok();
        value.filter(|v| *v > 0.0 && *v <= 100.0).ok_or_else(|| {
            CommandError::Usage(format!(
                "{load:?} is not a load; write for example 0.5,1,1.3"
            ))
        })
    };
    loads.split(',').map(parse).collect()
}

pub(super) fn write_file(path: &std::path::Path, content: &str) -> Result<(), CommandError> {
    std::fs::write(path, content).map_err(failed(&format!(
        "{} can't be written; give another file",
        path.display()
    )))
}
