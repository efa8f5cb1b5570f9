//! A randomised soak test: hosts run as separate processes, faults are injected from outside them, and guarantees are
//! checked from what callers and upstreams see.
//! `SOAK_SEEDS=50 SOAK_FIRST=100 SOAK_JOBS=6 cargo test soak -- --nocapture` runs fifty seeds from 100.

use std::collections::{HashMap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use hibiscusspread::emulator::store::StoreFaults;
use hibiscusspread::process::shard::lock;

use crate::platform_stand_in::{
    ALLOWED_OVERLAP, Behaviour, StandIns, configuration, configuration_with_reservations,
    overlapping_runs,
};
use crate::processes::is_ready;
use crate::soak_callers::{Caller, Findings};
use crate::soak_hosts::{SoakHost, host_folder};
use crate::soak_proxy::{LinkMode, Proxy};

/// The seeds that run by default: seeds that once failed, each to be added with its cause, and one more.
/// In 21034, SIGHUP ended a host that was starting. In 70002, stalled streams went on at a second engine beside the first.
const SEEDS: [u64; 3] = [1, 21034, 70002];

/// The number of hosts.
const HOSTS: usize = 3;

/// The number of callers of each host.
const CALLERS_PER_HOST: usize = 4;

/// The time during which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// The time after the last fault within which all hosts must serve all kinds of requests again, as the platform
/// requires.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// The time during which engines stall.
const STALL_PERIOD: Duration = Duration::from_secs(5);

/// The time without faults before hosts are stopped in turn; longer than any upstream is left out after a failure.
const QUIET_PERIOD: Duration = Duration::from_millis(4500);

/// A fleet under fault injection.
struct Soak {
    seed: u64,
    rng: StdRng,
    stand_ins: StandIns,
    /// The proxies in front of the upstreams, then the one in front of the store.
    proxies: Vec<Proxy>,
    hosts: Vec<Arc<SoakHost>>,
    findings: Arc<Findings>,
    version: u64,
    folder: PathBuf,
}

impl Soak {
    async fn start(seed: u64, folder: &Path) -> Self {
        let mut stand_ins = StandIns::start().await;
        let mut proxies = Vec::new();
        for address in &mut stand_ins.addresses {
            let proxy = Proxy::start(*address).await;
            *address = proxy.address;
            proxies.push(proxy);
        }
        let store = Proxy::start(stand_ins.store_address).await;
        let store_address = store.address;
        proxies.push(store);
        stand_ins.register_all().await;
        stand_ins.configure(&document(seed, 1)).await;
        let hosts = (0..HOSTS).map(|no| Arc::new(SoakHost::start(no, store_address, folder)));
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            stand_ins,
            proxies,
            hosts: hosts.collect(),
            findings: Arc::default(),
            version: 1,
            folder: folder.to_owned(),
        }
    }

    /// Runs the soak; returns the violated guarantees.
    async fn run(mut self) -> Vec<String> {
        self.recover("start").await;
        let mut callers = Vec::new();
        for (host, no) in self
            .hosts
            .iter()
            .flat_map(|host| (0..CALLERS_PER_HOST).map(move |no| (host, no)))
        {
            let seed = self.seed.wrapping_mul(31) + no as u64;
            let (caller, findings) = (Caller::new(host.callers, seed), self.findings.clone());
            callers.push(tokio::spawn(async move { caller.run(&findings).await }));
        }
        self.inject_faults().await;
        self.end_faults().await;
        self.recover("faults").await;
        self.stall_engines().await;
        self.end_faults().await;
        self.recover("stalls").await;
        tokio::time::sleep(QUIET_PERIOD).await;
        self.restart_in_turn().await;
        for caller in callers {
            caller.abort();
        }
        self.check_runs();
        for host in &self.hosts {
            for panic in host.panics() {
                self.findings.report(panic);
            }
        }
        let served = *lock(&self.findings.served);
        let (refused, cut) = (
            lock(&self.findings.refused).len(),
            lock(&self.findings.cut).len(),
        );
        let violations = lock(&self.findings.violations).clone();
        println!(
            "seed {}: {served} served, {refused} refused, {cut} cut, {} violations; logs in {}",
            self.seed,
            violations.len(),
            self.folder.display()
        );
        violations
    }

    /// Injects faults that overlap and follow each other.
    async fn inject_faults(&mut self) {
        let end = Instant::now() + FAULT_PERIOD;
        let mut tasks = Vec::new();
        while Instant::now() < end {
            let pause = Duration::from_millis(self.rng.random_range(50..600));
            tokio::time::sleep(pause).await;
            self.check_exits();
            match self.rng.random_range(0..10) {
                0..4 => tasks.push(self.inject_host_fault()),
                4..6 => self.inject_link_fault(),
                6 => self.inject_store_fault(),
                7..9 => self.inject_upstream_fault(),
                _ => self.change_configuration().await,
            }
        }
        for task in tasks {
            task.await.expect("fault is carried out");
        }
    }

    /// Sends one or several signals to a host.
    fn inject_host_fault(&mut self) -> tokio::task::JoinHandle<()> {
        let host = self.hosts[self.rng.random_range(0..HOSTS)].clone();
        let kind = self.rng.random_range(0..5);
        let pause = Duration::from_millis(self.rng.random_range(20..1500));
        tokio::spawn(async move {
            match kind {
                0 => host.kill(),
                1 => {
                    host.signal("-STOP");
                    tokio::time::sleep(pause).await;
                    host.signal("-CONT");
                }
                2 => host.signal("-HUP"),
                3 => {
                    // A reload, a stop, and a kill that may come before the stop is over.
                    host.signal("-HUP");
                    host.signal("-TERM");
                    tokio::time::sleep(pause).await;
                    host.kill();
                }
                _ => {
                    // Another fault may pause or kill the host meanwhile, so that it may end otherwise or late.
                    if let Err(what) = host.stop().await {
                        println!("stop among other faults: {what}");
                    }
                }
            }
            tokio::time::sleep(pause / 2).await;
            host.run();
        })
    }

    fn inject_link_fault(&mut self) {
        let delay = Duration::from_millis(self.rng.random_range(5..400));
        let modes = [
            LinkMode::Forward,
            LinkMode::Delay(delay),
            LinkMode::DropToTarget,
            LinkMode::DropFromTarget,
            LinkMode::DropBoth,
            LinkMode::Reset,
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        let proxy = self.rng.random_range(0..self.proxies.len());
        self.proxies[proxy].set(mode);
        // One of the other links may recover, so that faults of links don't only add up.
        let recovered = self.rng.random_range(0..self.proxies.len());
        if recovered != proxy {
            self.proxies[recovered].set(LinkMode::Forward);
        }
    }

    fn inject_store_fault(&mut self) {
        self.stand_ins.store.set_faults(StoreFaults {
            outage: self.rng.random_range(0..3) == 0,
            delay: Duration::from_millis(self.rng.random_range(0..300)),
            lost_replies: self.rng.random_range(0..3),
            ..StoreFaults::default()
        });
    }

    fn inject_upstream_fault(&mut self) {
        let behaviours = [
            Behaviour::Run,
            Behaviour::Run,
            Behaviour::Shed,
            Behaviour::VagueRefusal,
            Behaviour::LoseAnswer,
            Behaviour::OtherId,
            Behaviour::Unsigned,
            Behaviour::Truncate,
            Behaviour::Fail,
            Behaviour::Slow,
            Behaviour::Hang,
            Behaviour::LosePrompt,
        ];
        let upstream = self.rng.random_range(0..self.stand_ins.upstreams.len());
        let behaviour = behaviours[self.rng.random_range(0..behaviours.len())];
        self.stand_ins.upstreams[upstream].set_behaviour(behaviour);
    }

    /// Lets decode engines stall, pause and lose answers while hosts and links are in order. Then no request may go on at a second
    /// engine while the first one works on it.
    async fn stall_engines(&mut self) {
        let behaviours = [
            Behaviour::Run,
            Behaviour::Stall,
            Behaviour::PausedEvents,
            Behaviour::SlowEvents,
            Behaviour::Truncate,
            Behaviour::LoseAnswer,
            Behaviour::Slow,
            Behaviour::Hang,
        ];
        let started = Instant::now();
        while started.elapsed() < STALL_PERIOD {
            for id in ["d-0", "d-1"] {
                let behaviour = behaviours[self.rng.random_range(0..behaviours.len())];
                self.stand_ins.upstream(id).set_behaviour(behaviour);
            }
            let pause = Duration::from_millis(self.rng.random_range(200..1200));
            tokio::time::sleep(pause).await;
        }
        // Runs that began last may overlap only later.
        tokio::time::sleep(2 * ALLOWED_OVERLAP).await;
        let overlaps = overlapping_runs(&self.stand_ins.runs).into_iter();
        for (earlier, later) in overlaps.filter(|(earlier, _)| earlier.began > started) {
            self.findings.report(format!(
                "{}: went on at {} while {} worked on it",
                later.request, later.upstream, earlier.upstream
            ));
        }
    }

    /// Changes the configuration, or has an upstream drain or become ready again.
    async fn change_configuration(&mut self) {
        // Operators and upstreams reach the store by other paths, which the injected faults must not affect.
        self.stand_ins.store.set_faults(StoreFaults::default());
        if self.rng.random() {
            self.version += 1;
            self.stand_ins
                .configure(&document(self.seed, self.version))
                .await;
        } else {
            let id = ["p-0", "d-0", "s-0"][self.rng.random_range(0..3)];
            let condition = ["ready", "draining"][self.rng.random_range(0..2)];
            self.stand_ins.register(id, condition).await;
        }
    }

    /// Ends all faults.
    async fn end_faults(&self) {
        self.stand_ins.store.set_faults(StoreFaults::default());
        for proxy in &self.proxies {
            proxy.set(LinkMode::Forward);
        }
        for upstream in &self.stand_ins.upstreams {
            upstream.set_behaviour(Behaviour::Run);
        }
        for host in &self.hosts {
            host.signal("-CONT");
            host.run();
        }
        self.stand_ins.register_all().await;
    }

    /// Waits until all hosts are ready and serve all kinds of requests.
    async fn recover(&self, after: &str) {
        let started = Instant::now();
        for host in &self.hosts {
            let mut caller = Caller::new(host.callers, self.seed);
            loop {
                if is_ready(host.operators).await && caller.all_served(&self.findings).await {
                    break;
                }
                if started.elapsed() > RECOVERY_TIMEOUT {
                    let what = format!(
                        "{} does not serve {RECOVERY_TIMEOUT:?} after {after}",
                        host.name
                    );
                    self.findings.report(what);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Stops and restarts one host after the other while callers use its connections; no request that reached an
    /// upstream may be cut off.
    async fn restart_in_turn(&self) {
        for host in &self.hosts {
            lock(&self.findings.cut).clear();
            if let Err(what) = host.stop().await {
                self.findings.report(what);
            }
            let arrived = self.arrived();
            for id in lock(&self.findings.cut)
                .iter()
                .filter(|id| arrived.contains(*id))
            {
                self.findings.report(format!(
                    "{id}: passed on and cut off by the stop of {}",
                    host.name
                ));
            }
            host.run();
        }
    }

    /// Returns the ids of all requests that reached an upstream.
    fn arrived(&self) -> HashSet<String> {
        let seen = lock(&self.stand_ins.seen);
        let ids = seen.iter().filter_map(|seen| seen.header("x-request-id"));
        ids.map(str::to_owned).collect()
    }

    fn check_exits(&self) {
        for host in &self.hosts {
            if let Some(status) = host.exit_status()
                && !status.success()
            {
                self.findings
                    .report(format!("{} ended by itself with {status}", host.name));
            }
        }
    }

    /// Checks the requests that upstreams received against the answers that callers got.
    fn check_runs(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for seen in lock(&self.stand_ins.seen).iter() {
            let text = format!("{:?}", seen.headers);
            if text.contains(crate::platform_stand_in::KEY) {
                self.findings
                    .report(format!("{} got a caller's key", seen.upstream));
            }
            let Some(id) = seen.header("x-request-id").filter(|_| seen.may_have_run) else {
                continue;
            };
            if seen.header("x-tenant") != Some("coast") {
                self.findings
                    .report(format!("{id}: wrong customer at {}", seen.upstream));
            }
            let count = runs.entry(id.to_owned()).or_default();
            *count += 1;
            let is_once =
                seen.request_line.contains("/book/") || seen.request_line.contains("/text/");
            if is_once && *count > 1 {
                self.findings
                    .report(format!("{id} {}: ran {count} times", seen.request_line));
            }
        }
        for id in lock(&self.findings.refused).iter() {
            if runs.contains_key(id) {
                self.findings
                    .report(format!("{id}: refused as not run, and ran"));
            }
        }
    }
}

/// Returns version `version` of the configuration; half of the seeds have engines that reserve memory.
fn document(seed: u64, version: u64) -> serde_json::Value {
    let mut document = if seed.is_multiple_of(2) {
        configuration(version)
    } else {
        configuration_with_reservations(version)
    };
    // High enough that no request is refused by customer limits.
    document["tenants"][0]["ratePerS"] = 100_000_000.into();
    document["tenants"][0]["burst"] = 100_000_000.into();
    document["routes"][0]["timeoutMs"] = (3000 + version * 10).into();
    document
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against guarantees that hold under each fault alone but not under overlapping or successive ones: bookings
/// that run twice, refusals of requests that ran, answers that are cut, mixed up or wrongly complete, hosts that exit
/// or don't recover.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    let seeds: Vec<u64> = match env_number("SOAK_SEEDS") {
        Some(count) => {
            let first = env_number("SOAK_FIRST").unwrap_or_else(|| rand::random::<u32>().into());
            (first..first + count).collect()
        }
        None => SEEDS.to_vec(),
    };
    let jobs = env_number("SOAK_JOBS").unwrap_or(2);
    let jobs = usize::try_from(jobs).expect("jobs are few");
    let folder = host_folder();
    let runs = seeds.into_iter().map(|seed| {
        let folder = folder.join(seed.to_string());
        async move {
            std::fs::create_dir_all(&folder).expect("folder is created");
            let violations = Soak::start(seed, &folder).await.run().await;
            if violations.is_empty() {
                let _ = std::fs::remove_dir_all(&folder);
            }
            violations
                .into_iter()
                .map(move |what| format!("seed {seed}: {what}"))
                .collect::<Vec<_>>()
        }
    });
    let violations: Vec<_> = futures_util::stream::iter(runs)
        .buffer_unordered(jobs)
        .collect()
        .await;
    let violations = violations.concat();
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    assert!(
        violations.is_empty(),
        "logs in {}:\n{}",
        folder.display(),
        violations.join("\n")
    );
}
