//! An engine emulator with prefix cache, prefill queue, KV eviction, limited link bandwidth, timed tokens,
//! cancellation, resumption, orders, and faults that can be injected while it runs.

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

/// The tokens that answers consist of.
const WORDS: &[&str] = &[
    "rain ", "wind ", "snow ", "sun ", "fog ", "hail ", "calm ", "gale ",
];

/// The number of leading prompt bytes that determine the answer. The prompt of a continuation starts with the same
/// bytes, so it continues the same answer.
const ANSWER_SEED_BYTES: usize = 24;

/// An emulated engine that can prefill and decode.
pub struct EngineEmulator {
    settings: EngineSettings,
    client: HttpClient,
    state: Mutex<State>,
    /// Wakes the tasks that wait for a change of `state`.
    changed: Notify,
    /// Whether the emulated process is up. Its server stops and starts with it.
    up: watch::Sender<bool>,
}

/// What a waiting task finds when it checks the state.
enum WaitProgress {
    Pending,
    Done,
    Removed,
}

/// How a wait ended.
enum WaitOutcome {
    /// The condition was met or the deadline reached.
    Done,
    /// The awaited work was cancelled or expired.
    Removed,
    /// The engine crashed and lost what it held.
    Crashed,
}

impl EngineEmulator {
    /// Creates an engine. It accepts no connection until `start`.
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Emulates a crash of the process: all requests are lost, connections break and new ones are refused until
    /// `restart`.
    pub fn crash(&self) {
        self.state().crash(Instant::now());
        self.up.send_replace(false);
        self.changed.notify_waiters();
    }

    /// Restarts the process at the same address after a crash.
    pub fn restart(&self) {
        self.up.send_replace(true);
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> EngineCounters {
        self.state().counters()
    }

    /// Returns the last completed order. It survives a crash.
    pub fn last_order(&self) -> Option<Order> {
        self.state().last_order.clone()
    }

    /// Waits until `wanted` accepts the counters, and returns them.
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
        token(answer_seed(prompt), offset)
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

    /// Waits until `until`, or until `step` reports the end of the wait. `step` runs first at
    /// once and then whenever `changed` notifies or something in the state expires.
    async fn wait(
        &self,
        incarnation: u64,
        until: Option<Instant>,
        mut step: impl FnMut(&mut State) -> WaitProgress,
    ) -> WaitOutcome {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let wake = {
                let mut state = self.state();
                if state.incarnation != incarnation {
                    return WaitOutcome::Crashed;
                }
                match step(&mut state) {
                    WaitProgress::Pending => {}
                    WaitProgress::Done => return WaitOutcome::Done,
                    WaitProgress::Removed => return WaitOutcome::Removed,
                }
                if until.is_some_and(|until| until <= Instant::now()) {
                    return WaitOutcome::Done;
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

fn answer_seed(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    stable_hash(&bytes[..bytes.len().min(ANSWER_SEED_BYTES)])
}

fn token(seed: u64, offset: u32) -> &'static str {
    let index = stable_hash(&(seed, offset)) % WORDS.len() as u64;
    WORDS[usize::try_from(index).unwrap_or_default()]
}

fn refuse(status: u16, cause: &str) -> Response<Body> {
    json(status, &cause)
}
