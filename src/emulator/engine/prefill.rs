//! Prefills of an emulated engine: one at a time, in order of priority and arrival.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;

use crate::emulator::engine::settings::CrashPhase;
use crate::emulator::engine::state::{Cache, CacheInfo, Prefill, State};
use crate::emulator::engine::{EngineEmulator, WaitOutcome, WaitProgress, answer_seed, refuse};
use crate::emulator::http::{Body, json};
use crate::prelude::*;
use crate::request::engine::{PrefillJob, PrefillResult};
use crate::request::prefix::{PIECE_TOKENS, estimate_tokens, piece_hashes};

/// A prefill that has left the queue.
struct PrefillRun {
    cached_tokens: Tokens,
    /// When it completes; `None` if it stalls.
    done_at: Option<Instant>,
    crashes: bool,
}

impl EngineEmulator {
    /// Runs a prefill. It continues after the connection breaks, until it is cancelled or passes its deadline. Returns
    /// `None` if the engine crashes.
    pub(super) async fn prefill(self: Arc<Self>, job: PrefillJob) -> Option<Response<Body>> {
        tokio::spawn(self.run_prefill(job)).await.ok().flatten()
    }

    async fn run_prefill(self: Arc<Self>, job: PrefillJob) -> Option<Response<Body>> {
        let tokens = estimate_tokens(&job.prompt);
        let (incarnation, position) = {
            let mut state = self.state();
            let crash_substring = state.faults.crash_substring.as_ref();
            if crash_substring.is_some_and(|text| job.prompt.contains(text)) {
                drop(state);
                self.crash();
                return None;
            }
            if state.is_cancelled(job.request, job.attempt) {
                return Some(refuse(410, "cancelled"));
            }
            if let Some(cause) = state.refusal_cause("prefill") {
                return Some(refuse(503, cause));
            }
            state.prefill_sequence += 1;
            let position = (job.priority, state.prefill_sequence);
            let prefill = Prefill {
                request: job.request,
                attempt: job.attempt,
                expires: Instant::now() + job.deadline,
                tokens,
                computed: 0,
            };
            state.waiting.insert(position, prefill);
            (state.incarnation, position)
        };
        self.changed.notify_waiters();
        let queue_wait = self.wait(incarnation, None, |state| {
            if !state.waiting.contains_key(&position) {
                return WaitProgress::Removed;
            }
            let first = state.waiting.first_key_value().map(|(first, _)| *first);
            if state.running.is_none() && first == Some(position) {
                state.running = state.waiting.remove(&position);
                WaitProgress::Done
            } else {
                WaitProgress::Pending
            }
        });
        match queue_wait.await {
            WaitOutcome::Done => {}
            WaitOutcome::Removed => return Some(refuse(410, "cancelled")),
            WaitOutcome::Crashed => return None,
        }
        let run = self.begin_prefill(&job, tokens);
        self.changed.notify_waiters();
        let (request, attempt) = (job.request, job.attempt);
        let completion = self.wait(incarnation, run.done_at, |state| {
            let running = state.running.map(|p| (p.request, p.attempt));
            if running == Some((request, attempt)) {
                WaitProgress::Pending
            } else {
                WaitProgress::Removed
            }
        });
        match completion.await {
            WaitOutcome::Done => {}
            WaitOutcome::Removed => return Some(refuse(410, "cancelled")),
            WaitOutcome::Crashed => return None,
        }
        if run.crashes {
            self.crash();
            return None;
        }
        let result = self.finish_prefill(&job, &run)?;
        self.changed.notify_waiters();
        Some(json(200, &result))
    }

    /// Starts and counts a prefill that has left the queue.
    fn begin_prefill(&self, job: &PrefillJob, tokens: Tokens) -> PrefillRun {
        let mut state = self.state();
        let cached = state
            .prefix_cache
            .find(&piece_hashes(&job.model, &job.prompt)) as Tokens
            * PIECE_TOKENS;
        let computed = tokens.saturating_sub(cached);
        let crashes = state.faults.crash_in == Some(CrashPhase::Prefill);
        if crashes {
            state.faults.crash_in = None;
        }
        state.counters.prefills += 1;
        state.counters.prefilled_tokens += computed;
        state.counters.cached_tokens += cached;
        if let Some(running) = &mut state.running {
            running.computed = computed;
        }
        let cost = Duration::from_secs_f64(computed as f64 / self.settings.prefill_rate as f64);
        let cost = if crashes { cost / 2 } else { cost };
        let stalls = state.faults.stall_prefills > 0;
        if stalls {
            state.faults.stall_prefills -= 1;
            state.counters.stalled += 1;
        }
        PrefillRun {
            cached_tokens: cached,
            done_at: (!stalls).then(|| Instant::now() + cost),
            crashes,
        }
    }

    /// Turns the running prefill into a KV cache for export. Returns `None` if it was cancelled or lost.
    fn finish_prefill(&self, job: &PrefillJob, run: &PrefillRun) -> Option<PrefillResult> {
        let mut state = self.state();
        let State {
            running,
            exported_caches,
            prefix_cache,
            ..
        } = &mut *state;
        let prefill = running.take_if(|p| (p.request, p.attempt) == (job.request, job.attempt))?;
        let now = Instant::now();
        prefix_cache.store(&piece_hashes(&job.model, &job.prompt), now);
        let kv = format!("{:032x}-{}", job.request, job.attempt);
        let cache = Cache {
            info: CacheInfo {
                request: job.request,
                tokens: prefill.tokens,
                computed: prefill.computed,
                seed: answer_seed(&job.prompt),
            },
            attempt: job.attempt,
            expires: (now + self.settings.kv_ttl).min(prefill.expires),
        };
        exported_caches.insert(kv.clone(), cache);
        Some(PrefillResult {
            request: job.request,
            attempt: job.attempt,
            prompt_tokens: prefill.tokens,
            cached_tokens: run.cached_tokens,
            kv,
        })
    }

    /// Returns a KV cache to the decode engine that fetches it, and frees it here.
    pub(super) fn export(&self, kv: &str) -> Response<Body> {
        let cache = self.state().exported_caches.remove(kv);
        self.changed.notify_waiters();
        match cache {
            Some(cache) => json(200, &cache.info),
            None => refuse(410, "KV cache evicted"),
        }
    }
}
