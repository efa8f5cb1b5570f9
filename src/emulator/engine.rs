//! A stand-in engine: prefix cache, prefill queue, KV eviction, limited link, timed tokens, cancel, resume,
//! orders, and faults that can be switched on while it runs.

mod decode;
mod handler;
mod prefill;
mod prefix_cache;
mod settings;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use hyper::Response;
use tokio::sync::{Notify, watch};

use crate::connection::http_client::HttpClient;
use crate::emulator::engine::handler::EngineHandler;
use crate::emulator::engine::state::State;
use crate::emulator::http::{Body, EmulatorServer, json};
use crate::process::shard::{lock, stable_hash};
use crate::request::engine::Order;

pub use decode::FOREIGN_TEXT;
pub use settings::{CrashPhase, EngineFaults, EngineSettings, FrameFault};
pub use state::EngineCounters;

/// The words that the stand-in's answers are made of.
const WORDS: &[&str] = &[
    "rain ", "wind ", "snow ", "sun ", "fog ", "hail ", "calm ", "gale ",
];

/// The bytes of a prompt that decide the answer. A continuation's prompt starts with the same ones and so goes on equally.
const SEED_BYTES: usize = 24;

/// A stand-in engine, for prefill and decode.
pub struct EngineEmulator {
    settings: EngineSettings,
    client: HttpClient,
    state: Mutex<State>,
    /// Wakes whoever waits for a change of `state`.
    changed: Notify,
    /// Whether the process is up; its server follows.
    up: watch::Sender<bool>,
}

/// What a waiting task finds in the state.
enum Step {
    Wait,
    Over,
    Removed,
}

/// How a wait ended.
enum Wait {
    /// Its time has come.
    Over,
    /// What it waited for was cancelled or expired.
    Removed,
    /// The engine crashed.
    Crashed,
}

impl EngineEmulator {
    /// Creates an engine.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State::new(&settings)),
            settings,
            client: HttpClient::default(),
            changed: Notify::new(),
            up: watch::Sender::new(true),
        })
    }

    /// Starts the engine's server.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<EmulatorServer> {
        let handler = Arc::new(EngineHandler(self.clone()));
        EmulatorServer::start_switchable(address, handler, self.up.subscribe()).await
    }

    /// Changes how the engine misbehaves.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Ends the process: everything held is lost, connections break and new ones are refused until `restart`.
    pub fn crash(&self) {
        self.state().crash(Instant::now());
        self.up.send_replace(false);
        self.changed.notify_waiters();
    }

    /// Starts the process again after a crash, at the same address.
    pub fn restart(&self) {
        self.up.send_replace(true);
    }

    /// Returns what the engine has done and holds now.
    pub fn counters(&self) -> EngineCounters {
        self.state().counters()
    }

    /// Returns the last order that was carried out.
    pub fn last_order(&self) -> Option<Order> {
        self.state().last_order.clone()
    }

    /// Waits until the counters are as wanted, and returns them.
    pub async fn wait_for(&self, wanted: impl Fn(&EngineCounters) -> bool) -> EngineCounters {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let next_expiry = {
                let state = self.state();
                let counters = state.counters();
                if wanted(&counters) {
                    return counters;
                }
                state.next_expiry(self.settings.token_interval)
            };
            wait_until(next_expiry, notified).await;
        }
    }

    /// Returns the token at `offset` of the answer to a prompt.
    pub fn expected_token(prompt: &str, offset: u32) -> &'static str {
        token(seed(prompt), offset)
    }

    /// Returns the first `count` tokens of the answer to a prompt.
    pub fn expected_text(prompt: &str, count: u32) -> String {
        (0..count)
            .map(|offset| Self::expected_token(prompt, offset))
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.advance(Instant::now(), &self.settings);
        state
    }

    /// Waits until `until` or until `step` says that the wait is over. Without `until` only `step` ends it.
    async fn wait(
        &self,
        incarnation: u64,
        until: Option<Instant>,
        mut step: impl FnMut(&mut State) -> Step,
    ) -> Wait {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let wake = {
                let mut state = self.state();
                if state.incarnation != incarnation {
                    return Wait::Crashed;
                }
                match step(&mut state) {
                    Step::Wait => {}
                    Step::Over => return Wait::Over,
                    Step::Removed => return Wait::Removed,
                }
                if until.is_some_and(|until| until <= Instant::now()) {
                    return Wait::Over;
                }
                let expiry = state.next_expiry(self.settings.token_interval);
                expiry.into_iter().chain(until).min()
            };
            wait_until(wake, notified).await;
        }
    }
}

async fn wait_until(wake: Option<Instant>, notified: impl Future<Output = ()>) {
    match wake {
        Some(at) => {
            let _ = tokio::time::timeout_at(at.into(), notified).await;
        }
        None => notified.await,
    }
}

fn seed(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    stable_hash(&bytes[..bytes.len().min(SEED_BYTES)])
}

fn token(seed: u64, offset: u32) -> &'static str {
    let index = stable_hash(&(seed, offset)) % WORDS.len() as u64;
    WORDS[usize::try_from(index).unwrap_or_default()]
}

fn refuse(status: u16, cause: &str) -> Response<Body> {
    json(status, &cause)
}
