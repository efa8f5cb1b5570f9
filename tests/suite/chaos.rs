//! Randomised runs of a whole fleet under faults, with the invariants checked at the end.
//!
//! `CHAOS_SEED=7 cargo test chaos` runs another seed, `CHAOS_SECONDS` another length.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;

use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::emulator::engine::{EngineEmulator, EngineSettings};
use hibiscusspread::emulator::environment::{Environment, caller_key, hosts_of};
use hibiscusspread::emulator::fleet::Fleet;
use hibiscusspread::emulator::store::StoreFaults;
use hibiscusspread::load::shape::Shape;
use hibiscusspread::prelude::*;
use hibiscusspread::process::settings::Settings;

/// The default of `CHAOS_SEED`.
const DEFAULT_SEED: u64 = 20_261_204;
/// The default of `CHAOS_SECONDS`.
const DEFAULT_SECONDS: u64 = 15;

/// The time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The longest wait for engines to free their memory: hosts are declared dead after 10 s of suspicion, and attempts
/// that no host adopts are cancelled 5 s later.
const MAX_FREE_WAIT: Duration = Duration::from_secs(30);

/// What callers saw.
#[derive(Default)]
pub struct Observations {
    /// Complete and correct answers.
    pub answered: u64,
    refused: u64,
    /// Answers that ended in an error, and calls without a response.
    pub failed: u64,
    disconnected: u64,
    /// The tokens of prompts and complete answers by customer.
    tokens: HashMap<CustomerId, Tokens>,
    /// Wrong answers, and short ones without an error.
    violations: Vec<String>,
    /// Idempotency keys of bookings, each with whether all its responses said `not_run`.
    pub bookings: Vec<(String, bool)>,
}

/// Returns five hosts in two data centres.
pub fn shape() -> Shape {
    Shape {
        name: "chaos",
        data_centres: ["a", "b"].map(Name::from).into(),
        hosts: vec![3, 2],
        prefill_engines: 2,
        decode_engines: 2,
        service_runners: 2,
        engine: EngineSettings {
            token_interval: Duration::from_millis(5),
            ..EngineSettings::default()
        },
        ..Shape::tillicum()
    }
}

/// Reads a number from the environment.
fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |v| v.parse().expect("a number"))
}

/// A caller that records what it observes.
pub struct Caller {
    /// The record shared by all callers of a run.
    pub seen: Arc<Mutex<Observations>>,
    /// The addresses at which hosts serve callers; `unique` selects one.
    pub addresses: Vec<String>,
    /// The customer whose key it sends.
    pub customer: CustomerId,
    /// A random number that selects the host and makes the request unique.
    pub unique: u128,
    /// Whether it disconnects after the first part of the answer.
    pub disconnects: bool,
}

impl Caller {
    async fn send(
        &self,
        path: &str,
        body: String,
        key: Option<&str>,
    ) -> Option<http::Response<hibiscusspread::connection::http_client::AnswerBody>> {
        let host = usize::try_from(self.unique % self.addresses.len() as u128).unwrap_or(0);
        let mut builder = Request::post(format!("http://{}{path}", self.addresses[host]))
            .header(
                "authorization",
                format!("Bearer {}", caller_key(&self.customer)),
            )
            .header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let req = builder.body(Full::from(body)).expect("valid request");
        let answer = HttpClient::default()
            .send(req, Duration::from_mins(1))
            .await;
        answer.ok()
    }

    fn record(&self, update: impl FnOnce(&mut Observations)) {
        update(&mut self.seen.lock().expect("not poisoned"));
    }

    /// Sends a completion and checks the answer.
    pub async fn complete(&self, max_tokens: u32) {
        let prompt = format!("storm {:032x} brief", self.unique);
        let body = format!(
            r#"{{"model":"forecast","prompt":"{prompt}","max_tokens":{max_tokens},"stream":true}}"#
        );
        let Some(answer) = self.send("/v1/completions", body, None).await else {
            return self.record(|seen| seen.failed += 1);
        };
        let streamed = answer.status().is_success();
        let mut body = answer.into_body();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                // The host crashed: the caller sees a broken connection, not a short answer.
                return self.record(|seen| seen.failed += 1);
            };
            bytes.extend(frame.into_data().unwrap_or_default());
            if self.disconnects && streamed {
                return self.record(|seen| seen.disconnected += 1);
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if streamed {
            self.check_stream(&text, &prompt, max_tokens);
        } else {
            self.record(|seen| seen.refused += 1);
        }
    }

    fn check_stream(&self, text: &str, prompt: &str, max_tokens: u32) {
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks: Vec<Value> = events
            .filter_map(|e| serde_json::from_str(e).ok())
            .collect();
        let words = chunks
            .iter()
            .filter_map(|c| c["choices"][0]["text"].as_str());
        let answer: String = words.collect();
        let expected: String = (0..max_tokens)
            .map(|k| EngineEmulator::expected_token(prompt, k))
            .collect();
        let done = text.ends_with("data: [DONE]\n\n");
        let error = chunks.iter().any(|c| !c["error"].is_null());
        self.record(|seen| {
            if done && answer == expected {
                seen.answered += 1;
                let used = (prompt.len() as Tokens).div_ceil(4) + Tokens::from(max_tokens);
                *seen.tokens.entry(self.customer.clone()).or_default() += used;
            } else if error && !done && expected.starts_with(&answer) {
                seen.failed += 1;
            } else {
                seen.violations
                    .push(format!("answer of {max_tokens} tokens: {text}"));
            }
        });
    }

    async fn book(&self) {
        let key = format!("{:032x}", self.unique);
        // Each booking is sent twice at once, as by a caller that does not wait for the first response.
        let calls = [0, 1].map(|_| self.send("/bookings/studio", "{}".to_owned(), Some(&key)));
        let [first, second] = calls;
        let (first, second) = tokio::join!(first, second);
        let mut not_run = true;
        for answer in [first, second] {
            let Some(answer) = answer else {
                not_run = false;
                continue;
            };
            let body = answer.into_body().collect().await;
            let body = body
                .map(http_body_util::Collected::to_bytes)
                .unwrap_or_default();
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            not_run &= body["error"]["run"] == "not_run";
        }
        self.record(|seen| seen.bookings.push((key.clone(), not_run)));
    }
}

/// Injects random faults into the fleet.
struct FaultInjector {
    rng: StdRng,
    store: StoreFaults,
    crashed: Option<usize>,
    next_host: usize,
}

impl FaultInjector {
    async fn inject(&mut self, fleet: &mut Fleet) {
        match self.rng.random_range(0..6) {
            0 => {
                if let Some(index) = self.crashed.take() {
                    fleet.environment.engines[index].restart();
                } else {
                    let index = self.rng.random_range(0..fleet.environment.engines.len());
                    fleet.environment.engines[index].crash();
                    self.crashed = Some(index);
                }
            }
            1 => {
                self.store.outage = !self.store.outage;
                fleet.environment.store.set_faults(self.store.clone());
            }
            2 => {
                self.store.lost_replies = self.rng.random_range(0..4);
                self.store.delay = Duration::from_millis(self.rng.random_range(0..200));
                fleet.environment.store.set_faults(self.store.clone());
            }
            3 => fleet.nodes.remove(0).abort(),
            4 => {
                let node = fleet.nodes.remove(0);
                tokio::spawn(node.drain());
            }
            _ => {}
        }
        // At least four of five hosts keep running; a new incarnation reuses a host's name, as after a restart.
        while fleet.nodes.len() < 4 {
            let hosts = hosts_of(&shape());
            let host = &hosts[self.next_host % hosts.len()];
            self.next_host += 1;
            fleet.add(host).await.expect("host starts");
        }
    }
}

/// Guards against violations of invariants under combined faults: an answer with missing, repeated or foreign tokens, a
/// booking that runs twice, a false `not_run`, engine memory that stays held, a customer above its rate and burst.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_random_faults() {
    let run_seed = setting("CHAOS_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(setting("CHAOS_SECONDS", DEFAULT_SECONDS));
    let mut rng = StdRng::seed_from_u64(run_seed);
    let shape = shape();
    let started = Instant::now();
    let mut fleet = Fleet::start(&shape, Settings::default())
        .await
        .expect("fleet starts");
    let mut faults = FaultInjector {
        rng: StdRng::seed_from_u64(run_seed ^ 1),
        store: StoreFaults::default(),
        crashed: None,
        next_host: 0,
    };
    let seen = Arc::new(Mutex::new(Observations::default()));
    let mut callers = JoinSet::new();
    let mut next_fault = Instant::now() + FAULT_INTERVAL;
    let end = Instant::now() + length;
    while Instant::now() < end {
        if Instant::now() >= next_fault {
            faults.inject(&mut fleet).await;
            next_fault += FAULT_INTERVAL;
        }
        let caller = Caller {
            seen: seen.clone(),
            addresses: fleet.callers_addresses(),
            customer: shape.customers[rng.random_range(0..5)].id.clone(),
            unique: rng.random(),
            disconnects: rng.random_range(0..10) == 0,
        };
        let (booking, max_tokens) = (rng.random_range(0..4) == 0, rng.random_range(1..60));
        callers.spawn(async move {
            if booking {
                caller.book().await;
            } else {
                caller.complete(max_tokens).await;
            }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    fleet.environment.store.set_faults(StoreFaults::default());
    if let Some(index) = faults.crashed {
        fleet.environment.engines[index].restart();
    }
    while callers.join_next().await.is_some() {}
    check_invariants(&fleet.environment, &shape, &seen, started.elapsed()).await;
}

/// Checks the invariants that hold under any faults.
pub async fn check_invariants(
    environment: &Environment,
    shape: &Shape,
    seen: &Mutex<Observations>,
    elapsed: Duration,
) {
    for engine in &environment.engines {
        let free = tokio::time::timeout(MAX_FREE_WAIT, engine.wait_for(|c| c.held == 0)).await;
        assert!(free.is_ok(), "memory still held: {:?}", engine.counters());
    }
    let seen = seen.lock().expect("not poisoned");
    println!(
        "{} answered, {} refused, {} failed, {} disconnected, {} bookings",
        seen.answered,
        seen.refused,
        seen.failed,
        seen.disconnected,
        seen.bookings.len()
    );
    assert!(seen.violations.is_empty(), "{:#?}", seen.violations);
    assert!(seen.answered > 0, "no completion was answered");
    for (key, not_run) in &seen.bookings {
        let services = &environment.services;
        let runs: u64 = services.iter().map(|s| s.runs(key)).sum();
        assert!(runs <= 1, "booking {key} ran {runs} times");
        assert!(
            !(*not_run && runs > 0),
            "booking {key} ran but was refused as not run"
        );
    }
    for customer in &shape.customers {
        let used = seen.tokens.get(&customer.id).copied().unwrap_or(0);
        let bound = shape.customer_rate(customer) as f64 * elapsed.as_secs_f64()
            + shape.customer_burst(customer) as f64;
        assert!((used as f64) <= bound, "{} above its limit", customer.id);
    }
}
