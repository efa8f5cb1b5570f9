//! A randomised fault soak: hosts as separate processes, faults from outside them, promises checked from what callers and
//! upstreams see. `SOAK_SEEDS=50 SOAK_FIRST=100 SOAK_JOBS=6 cargo test soak -- --nocapture` runs fifty fresh seeds.

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
    Behaviour, StandIns, configuration, configuration_with_reservations,
};
use crate::processes::is_ready;
use crate::soak_callers::{Caller, Findings};
use crate::soak_hosts::SoakHost;
use crate::soak_proxy::{Passage, Proxy};

/// The seeds that run with all tests: those that failed once, each with its cause, and one more.
const SEEDS: [u64; 1] = [1];

/// The hosts.
const HOSTS: usize = 3;

/// The callers of each host.
const CALLERS: usize = 4;

/// The time for which faults come.
const LENGTH: Duration = Duration::from_secs(8);

/// The time after the last fault within which all hosts serve all kinds of requests again. The platform's bound.
const RECOVERY: Duration = Duration::from_secs(12);

/// The time for which callers go on before hosts are stopped in the calm at the end: longer than any upstream rests.
const CALM: Duration = Duration::from_millis(4500);

/// A fleet under faults.
struct Soak {
    seed: u64,
    rng: StdRng,
    fixtures: StandIns,
    /// The proxies before the runners, then the one before the store.
    proxies: Vec<Proxy>,
    hosts: Vec<Arc<SoakHost>>,
    findings: Arc<Findings>,
    version: u64,
    folder: PathBuf,
}

impl Soak {
    async fn start(seed: u64, folder: &Path) -> Self {
        let mut fixtures = StandIns::start().await;
        let mut proxies = Vec::new();
        for address in &mut fixtures.addresses {
            let proxy = Proxy::start(*address).await;
            *address = proxy.address;
            proxies.push(proxy);
        }
        let store = Proxy::start(fixtures.store_address).await;
        let store_address = store.address;
        proxies.push(store);
        fixtures.register_all().await;
        fixtures.configure(&document(seed, 1)).await;
        let hosts = (0..HOSTS).map(|no| Arc::new(SoakHost::start(no, store_address, folder)));
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            fixtures,
            proxies,
            hosts: hosts.collect(),
            findings: Arc::default(),
            version: 1,
            folder: folder.to_owned(),
        }
    }

    /// Runs to the end; returns the promises that were broken.
    async fn run(mut self) -> Vec<String> {
        self.recover("start").await;
        let mut callers = Vec::new();
        for (host, no) in self
            .hosts
            .iter()
            .flat_map(|host| (0..CALLERS).map(move |no| (host, no)))
        {
            let seed = self.seed.wrapping_mul(31) + no as u64;
            let (caller, findings) = (Caller::new(host.callers, seed), self.findings.clone());
            callers.push(tokio::spawn(async move { caller.run(&findings).await }));
        }
        self.inject().await;
        self.calm().await;
        self.recover("faults").await;
        tokio::time::sleep(CALM).await;
        self.stop_in_turn().await;
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
        let broken = lock(&self.findings.broken).clone();
        println!(
            "seed {}: {served} served, {refused} refused, {cut} cut, {} broken; logs in {}",
            self.seed,
            broken.len(),
            self.folder.display()
        );
        broken
    }

    /// Injects faults that come in series and overlap.
    async fn inject(&mut self) {
        let end = Instant::now() + LENGTH;
        let mut tasks = Vec::new();
        while Instant::now() < end {
            let pause = Duration::from_millis(self.rng.random_range(50..600));
            tokio::time::sleep(pause).await;
            self.check_ends();
            match self.rng.random_range(0..10) {
                0..4 => tasks.push(self.disturb_host()),
                4..6 => self.disturb_link(),
                6 => self.disturb_store(),
                7..9 => self.disturb_runner(),
                _ => self.change().await,
            }
        }
        for task in tasks {
            task.await.expect("fault is carried out");
        }
    }

    /// Lets a signal, or a series of them, come to a host.
    fn disturb_host(&mut self) -> tokio::task::JoinHandle<()> {
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
                    // A reload and a stop in a row, and the kill before the stop is over.
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

    fn disturb_link(&mut self) {
        let delay = Duration::from_millis(self.rng.random_range(5..400));
        let passages = [
            Passage::Open,
            Passage::Delayed(delay),
            Passage::CutForth,
            Passage::CutBack,
            Passage::Silent,
            Passage::Reset,
        ];
        let passage = passages[self.rng.random_range(0..passages.len())];
        let proxy = self.rng.random_range(0..self.proxies.len());
        self.proxies[proxy].set(passage);
        // At most two links are harmed at a time.
        let healed = self.rng.random_range(0..self.proxies.len());
        if healed != proxy {
            self.proxies[healed].set(Passage::Open);
        }
    }

    fn disturb_store(&mut self) {
        self.fixtures.store.set_faults(StoreFaults {
            outage: self.rng.random_range(0..3) == 0,
            delay: Duration::from_millis(self.rng.random_range(0..300)),
            lost_replies: self.rng.random_range(0..3),
            ..StoreFaults::default()
        });
    }

    fn disturb_runner(&mut self) {
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
        let upstream = self.rng.random_range(0..self.fixtures.upstreams.len());
        let behaviour = behaviours[self.rng.random_range(0..behaviours.len())];
        self.fixtures.upstreams[upstream].set_behaviour(behaviour);
    }

    /// Changes the configuration, or has a runner leave or come back.
    async fn change(&mut self) {
        // The stand-in's operators and runners reach the store by a way of their own; an outage must not stop them.
        self.fixtures.store.set_faults(StoreFaults::default());
        if self.rng.random() {
            self.version += 1;
            self.fixtures
                .configure(&document(self.seed, self.version))
                .await;
        } else {
            let id = ["p-0", "d-0", "s-0"][self.rng.random_range(0..3)];
            let condition = ["ready", "draining"][self.rng.random_range(0..2)];
            self.fixtures.register(id, condition).await;
        }
    }

    /// Ends all faults.
    async fn calm(&self) {
        self.fixtures.store.set_faults(StoreFaults::default());
        for proxy in &self.proxies {
            proxy.set(Passage::Open);
        }
        for upstream in &self.fixtures.upstreams {
            upstream.set_behaviour(Behaviour::Run);
        }
        for host in &self.hosts {
            host.signal("-CONT");
            host.run();
        }
        self.fixtures.register_all().await;
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
                if started.elapsed() > RECOVERY {
                    let what = format!("{} does not serve {RECOVERY:?} after {after}", host.name);
                    self.findings.report(what);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Stops and restarts one host after the other while callers use its connections; none may be cut off.
    async fn stop_in_turn(&self) {
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

    /// Returns the ids of all requests that reached a runner.
    fn arrived(&self) -> HashSet<String> {
        let seen = lock(&self.fixtures.seen);
        let ids = seen.iter().filter_map(|seen| seen.header("x-request-id"));
        ids.map(str::to_owned).collect()
    }

    fn check_ends(&self) {
        for host in &self.hosts {
            if let Some(status) = host.ended()
                && !status.success()
            {
                self.findings
                    .report(format!("{} ended by itself with {status}", host.name));
            }
        }
    }

    /// Checks what runners saw against what callers were told.
    fn check_runs(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for seen in lock(&self.fixtures.seen).iter() {
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
    // Limits are not what is tested here.
    document["tenants"][0]["ratePerS"] = 100_000_000.into();
    document["tenants"][0]["burst"] = 100_000_000.into();
    document["routes"][0]["timeoutMs"] = (3000 + version * 10).into();
    document
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against promises that hold for each fault alone and not for faults in series and at the same time: bookings that run twice,
/// refusals of requests that ran, answers that are cut, mixed or wrongly complete, hosts that end or don't recover.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let seeds: Vec<u64> = match number("SOAK_SEEDS") {
        Some(count) => {
            let first = number("SOAK_FIRST").unwrap_or_else(|| rand::random::<u32>().into());
            (first..first + count).collect()
        }
        None => SEEDS.to_vec(),
    };
    let jobs = number("SOAK_JOBS").unwrap_or(2);
    let jobs = usize::try_from(jobs).expect("jobs are few");
    let name = format!("hibiscusspread-soak-{:08x}", rand::random::<u32>());
    let folder = std::env::temp_dir().join(name);
    let runs = seeds.into_iter().map(|seed| {
        let folder = folder.join(seed.to_string());
        async move {
            std::fs::create_dir_all(&folder).expect("folder is created");
            let broken = Soak::start(seed, &folder).await.run().await;
            if broken.is_empty() {
                let _ = std::fs::remove_dir_all(&folder);
            }
            broken
                .into_iter()
                .map(move |what| format!("seed {seed}: {what}"))
                .collect::<Vec<_>>()
        }
    });
    let broken: Vec<_> = futures_util::stream::iter(runs)
        .buffer_unordered(jobs)
        .collect()
        .await;
    let broken = broken.concat();
    if broken.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    assert!(
        broken.is_empty(),
        "logs in {}:\n{}",
        folder.display(),
        broken.join("\n")
    );
}
