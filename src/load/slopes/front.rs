//! The request path of a host that serves alone, compared with the same requests sent to the engines directly.
//!
//! The host runs on threads of its own, whose processor time is read apart from that of the callers and engines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

use crate::connection::service::HttpUpstreams;
use crate::emulator::engine::{EngineEmulator, EngineSettings};
use crate::emulator::http::{EmulatorServer, any_loopback};
use crate::load::client::{LoadClient, Outcome, TimedOutcome, prompt};
use crate::load::slopes::probe::{RetainedObjects, median, micros, resident_bytes, threads_cpu};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::node::Node;
use crate::process::settings::Settings;
use crate::request::engine::{DecodeJob, PrefillJob};
use crate::version::cell::VersionCell;
use crate::version::document::compile_text;
use crate::version::fields::list_problems;
use crate::version::key::{hash_key, write_hash};

const ROLE: &str = "caller front";
/// Thread names; the kernel keeps 15 bytes.
const HOST_THREADS: &str = "slopes-host";
const LOAD_THREADS: &str = "slopes-load";
const THREADS: usize = 4;
const KEY: &str = "slopes-key";
const CUSTOMER: &str = "slopes";
const MODEL: &str = "forecast";
/// The requests under way while processor time is measured.
const PARALLEL: usize = 64;
/// The time between two tokens while processor time, and while streams, are measured. The second one is the target.
const FAST: Duration = Duration::from_millis(10);
const SLOW: Duration = Duration::from_millis(50);
/// The runs of which the median of times is taken; each takes seconds.
const TIMED_RUNS: usize = 3;
/// The tokens of streams that stay open.
const OPEN_TOKENS: u32 = 1_000;

/// The caller front with the rest of the request path.
pub struct CallerFrontRole;

impl RoleMeasurement for CallerFrontRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn memory(
        &self,
        sizes: &Sizes,
        _held: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        let bench = Bench::start(SLOW)?;
        let new = |quantity| Series::new(ROLE, quantity, "streams", Method::Resident);
        let mut direct = new("process with streams to engines [bytes]");
        let mut hosted = new("process with streams through a host [bytes]");
        for (series, through_host) in [(&mut direct, false), (&mut hosted, true)] {
            let base = resident_bytes()?;
            let mut open = JoinSet::new();
            for size in &sizes.streams {
                while open.len() < *size {
                    let call = bench.call(open.len(), 100, OPEN_TOKENS, through_host);
                    open.spawn_on(call, bench.load.handle());
                }
                // A first token takes 50 ms.
                std::thread::sleep(sizes.start_spread + SLOW * 4);
                series.push(*size, resident_bytes()? - base);
            }
            bench.load.block_on(open.shutdown());
        }
        Ok(vec![direct, hosted])
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let bench = Bench::start(FAST)?;
        let quantity = "host's cpu per request of 100 prompt tokens [us]";
        let mut answers = Series::new(ROLE, quantity, "answer", Method::Cpu);
        for tokens in &sizes.answer_tokens {
            answers.push(
                *tokens as usize,
                bench.cpu_per_request(sizes, 100, *tokens)?,
            );
        }
        let quantity = "host's cpu per request of 1 answer token [us]";
        let mut prompts = Series::new(ROLE, quantity, "prompt", Method::Cpu);
        for tokens in &sizes.prompt_tokens {
            let size = usize::try_from(*tokens).unwrap_or_default();
            prompts.push(size, bench.cpu_per_request(sizes, *tokens, 1)?);
        }
        drop(bench);
        let mut series = vec![answers, prompts];
        series.extend(times(sizes)?);
        Ok(series)
    }
}

/// Measures the times of first and further tokens, directly and through a host.
fn times(sizes: &Sizes) -> Result<Vec<Series>, MeasureError> {
    let bench = Bench::start(SLOW)?;
    let names = [
        [
            "first token p50, direct [ms]",
            "first token p99, direct [ms]",
            "gap p50, direct [ms]",
            "gap p99, direct [ms]",
        ],
        [
            "first token p50, through a host [ms]",
            "first token p99, through a host [ms]",
            "gap p50, through a host [ms]",
            "gap p99, through a host [ms]",
        ],
    ];
    let mut all = Vec::new();
    for (names, through_host) in names.into_iter().zip([false, true]) {
        let mut series = names.map(|name| Series::new(ROLE, name, "streams", Method::Wall));
        for size in &sizes.streams {
            let mut runs: [Vec<f64>; 4] = Default::default();
            for _ in 0..TIMED_RUNS.min(sizes.repeats) {
                let timed = bench.timed(sizes, *size, through_host)?;
                for (run, value) in runs.iter_mut().zip(timed) {
                    run.push(value);
                }
            }
            for (series, run) in series.iter_mut().zip(runs) {
                series.push(*size, median(run));
            }
        }
        all.extend(series);
    }
    Ok(all)
}

struct Bench {
    // Dropped before the runtimes on which they run.
    node: Option<Node>,
    _servers: Vec<EmulatorServer>,
    prefill: String,
    decode: String,
    address: String,
    upstreams: Arc<dyn UpstreamClients>,
    client: LoadClient,
    host: Runtime,
    load: Runtime,
}

impl Drop for Bench {
    fn drop(&mut self) {
        if let Some(node) = self.node.take() {
            self.host.block_on(node.drain());
        }
    }
}

impl Bench {
    fn start(interval: Duration) -> Result<Self, MeasureError> {
        let load = runtime(LOAD_THREADS)?;
        let host = runtime(HOST_THREADS)?;
        let settings = EngineSettings {
            slots: 4_096,
            prefill_rate: 100_000_000,
            link_rate: 1_000_000_000,
            token_interval: interval,
            kv_ttl: Duration::from_secs(10),
            ..EngineSettings::default()
        };
        let mut servers = Vec::new();
        for _ in 0..2 {
            let engine = EngineEmulator::new(settings.clone());
            servers.push(load.block_on(engine.start(any_loopback()))?);
        }
        let [prefill, decode] = [&servers[0], &servers[1]].map(|s| s.address().to_string());
        let text = format!(
            "[fleet/fleet/main]\ndata_centres = a\n[fleet/route/completions]\npath = /v1\n\
             [fleet/customer/{CUSTOMER}]\nrate = 1000000000\nburst = 1000000000\n\
             [fleet/key/{CUSTOMER}]\ncustomer = {CUSTOMER}\nhash = {}\n{}{}",
            write_hash(&hash_key(KEY)),
            upstream("prefill", &prefill, &settings),
            upstream("decode", &decode, &settings),
        );
        let compiled = compile_text("slopes", 1, &text);
        let compiled = compiled.map_err(|p| MeasureError(list_problems(&p)))?;
        let versions = Arc::new(VersionCell::default());
        versions.advance(compiled);
        let settings = Settings {
            callers_address: any_loopback(),
            operators_address: None,
            ..Settings::default()
        };
        let node = host.block_on(Node::start(settings, versions))?;
        Ok(Self {
            address: node.callers_address.to_string(),
            node: Some(node),
            _servers: servers,
            prefill,
            decode,
            upstreams: Arc::new(HttpUpstreams::default()),
            client: LoadClient::default(),
            host,
            load,
        })
    }

    /// Returns a call through the host or directly to the engines.
    fn call(
        &self,
        index: usize,
        prompt_tokens: Tokens,
        tokens: u32,
        through_host: bool,
    ) -> impl Future<Output = TimedOutcome> + Send + 'static {
        // Prompts differ, so that no prefix is cached.
        let prefix = u32::try_from(index).unwrap_or_default();
        let text = prompt(&CUSTOMER.into(), prefix, prompt_tokens, rand::random());
        let (client, address) = (self.client.clone(), self.address.clone());
        let engines = [&self.prefill, &self.decode].map(|a| self.upstreams.engine(a));
        let source = self.prefill.clone();
        async move {
            if through_host {
                let path = "/v1/completions";
                client.complete(&address, KEY, path, &text, tokens).await
            } else {
                let called = call_engines(engines, source, text, tokens).await;
                called.unwrap_or_else(|e| TimedOutcome {
                    outcome: Outcome::Failed {
                        cause: e.to_string(),
                    },
                    latency: None,
                    token_gaps: Vec::new(),
                })
            }
        }
    }

    fn cpu_per_request(
        &self,
        sizes: &Sizes,
        prompt_tokens: Tokens,
        tokens: u32,
    ) -> Result<f64, MeasureError> {
        let mut values = Vec::new();
        // The first run opens the connections.
        for _ in 0..=sizes.repeats {
            let before = threads_cpu(HOST_THREADS)?;
            let calls = (0..PARALLEL.min(sizes.requests)).map(|worker| {
                let calls: Vec<_> = (worker..sizes.requests)
                    .step_by(PARALLEL)
                    .map(|index| self.call(index, prompt_tokens, tokens, true))
                    .collect();
                async move {
                    let mut timed = Vec::new();
                    for call in calls {
                        timed.push(call.await);
                    }
                    timed
                }
            });
            for timed in self.run_all(calls).iter().flatten() {
                check(timed)?;
            }
            let used = threads_cpu(HOST_THREADS)? - before;
            values.push(used / sizes.requests as f64);
        }
        Ok(median(values.split_off(1)))
    }

    /// Returns the 50th and 99th percentiles of times to the first token and of gaps, in milliseconds.
    fn timed(
        &self,
        sizes: &Sizes,
        streams: usize,
        through_host: bool,
    ) -> Result<[f64; 4], MeasureError> {
        let calls = (0..streams).map(|index| {
            let call = self.call(index, 100, sizes.timed_tokens, through_host);
            let delay = sizes.start_spread.mul_f64(index as f64 / streams as f64);
            async move {
                tokio::time::sleep(delay).await;
                call.await
            }
        });
        let timed = self.run_all(calls);
        let (mut first, mut gaps) = (Vec::new(), Vec::new());
        for timed in &timed {
            check(timed)?;
            first.extend(timed.latency.map(|t| micros(t) / 1e3));
            gaps.extend(timed.token_gaps.iter().map(|t| micros(*t) / 1e3));
        }
        Ok([
            percentile(&mut first, 50),
            percentile(&mut first, 99),
            percentile(&mut gaps, 50),
            percentile(&mut gaps, 99),
        ])
    }

    fn run_all<T: Send + 'static>(
        &self,
        calls: impl Iterator<Item = impl Future<Output = T> + Send + 'static>,
    ) -> Vec<T> {
        let mut set = JoinSet::new();
        for call in calls {
            set.spawn_on(call, self.load.handle());
        }
        self.load.block_on(set.join_all())
    }
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(THREADS).thread_name(name);
    builder.enable_all().build()
}

fn upstream(role: &str, address: &str, settings: &EngineSettings) -> String {
    format!(
        "[fleet/upstream/{role}]\naddress = {address}\ndata_centre = a\nrole = {role}\nmodel = {MODEL}\n\
         slots = {}\nprefill_rate = {}\nlink_rate = {}\n",
        settings.slots, settings.prefill_rate, settings.link_rate,
    )
}

async fn call_engines(
    [prefill, decode]: [Arc<dyn Engine>; 2],
    source: String,
    prompt: String,
    tokens: u32,
) -> Result<TimedOutcome, UpstreamError> {
    let started = Instant::now();
    let (request, attempt) = (rand::random(), 1);
    let deadline = Duration::from_mins(10);
    let prefilled = prefill
        .prefill(PrefillJob {
            request,
            attempt,
            model: MODEL.into(),
            prompt,
            priority: Priority::Interactive,
            deadline,
        })
        .await?;
    let mut stream = decode
        .decode(DecodeJob {
            request,
            attempt,
            model: MODEL.into(),
            source,
            kv: prefilled.kv,
            offset: 0,
            max_tokens: tokens,
            priority: Priority::Interactive,
            deadline,
        })
        .await?;
    let mut timed = TimedOutcome {
        outcome: Outcome::Answered,
        latency: None,
        token_gaps: Vec::new(),
    };
    let mut last = started;
    while let FrameContent::Token(_) = stream.next().await?.content {
        let now = Instant::now();
        if timed.latency.is_none() {
            timed.latency = Some(now - started);
        } else {
            timed.token_gaps.push(now - last);
        }
        last = now;
    }
    Ok(timed)
}

fn check(timed: &TimedOutcome) -> Result<(), MeasureError> {
    match &timed.outcome {
        Outcome::Answered => Ok(()),
        outcome => Err(MeasureError(format!("request not answered: {outcome:?}"))),
    }
}

fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values
        .get(last * percent / 100)
        .copied()
        .unwrap_or_default()
}
