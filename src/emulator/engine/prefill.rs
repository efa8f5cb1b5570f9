//! Prefills of a stand-in engine: one at a time, in the order of priority.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;

use crate::emulator::engine::settings::CrashPhase;
use crate::emulator::engine::state::{Cache, CacheInfo, Prefill, State};
use crate::emulator::engine::{EngineEmulator, Step, Wait, refuse, seed};
use crate::emulator::http::{Body, json};
use crate::prelude::*;
use crate::request::engine::{PrefillJob, PrefillResult};
use crate::request::prefix::{PIECE_TOKENS, estimate_tokens, piece_hashes};

/// A prefill that has its turn.
struct Turn {
    cached: Tokens,
    /// When it is done; never, if it stalls.
    done: Option<Instant>,
    dies: bool,
}

impl EngineEmulator {
    /// Runs a prefill. It goes on when its caller's connection breaks, until it is cancelled or passes its deadline.
    pub(super) async fn prefill(self: Arc<Self>, job: PrefillJob) -> Option<Response<Body>> {
        tokio::spawn(self.run_prefill(job)).await.ok().flatten()
    }

    async fn run_prefill(self: Arc<Self>, job: PrefillJob) -> Option<Response<Body>> {
        let tokens = estimate_tokens(&job.prompt);
        let (incarnation, place) = {
            let mut state = self.state();
            let mark = state.faults.crash_substring.as_ref();
            if mark.is_some_and(|mark| job.prompt.contains(mark)) {
                drop(state);
                self.crash();
                return None;
            }
            if state.is_cancelled(job.request, job.attempt) {
                return Some(refuse(410, "cancelled"));
            }
            if let Some(cause) = state.refuses("prefill") {
                return Some(refuse(503, cause));
            }
            state.next_prefill += 1;
            let place = (job.priority, state.next_prefill);
            let prefill = Prefill {
                request: job.request,
                attempt: job.attempt,
                expires: Instant::now() + job.deadline,
                tokens,
                computed: 0,
            };
            state.waiting.insert(place, prefill);
            (state.incarnation, place)
        };
        self.changed.notify_waiters();
        let turn = self.wait(incarnation, None, |state| {
            if !state.waiting.contains_key(&place) {
                return Step::Removed;
            }
            let first = state.waiting.first_key_value().map(|(first, _)| *first);
            if state.running.is_none() && first == Some(place) {
                state.running = state.waiting.remove(&place);
                Step::Over
            } else {
                Step::Wait
            }
        });
        match turn.await {
            Wait::Over => {}
            Wait::Removed => return Some(refuse(410, "cancelled")),
            Wait::Crashed => return None,
        }
        let turn = self.begin(&job, tokens);
        self.changed.notify_waiters();
        let (request, attempt) = (job.request, job.attempt);
        let run = self.wait(incarnation, turn.done, |state| {
            let running = state.running.map(|p| (p.request, p.attempt));
            if running == Some((request, attempt)) {
                Step::Wait
            } else {
                Step::Removed
            }
        });
        match run.await {
            Wait::Over => {}
            Wait::Removed => return Some(refuse(410, "cancelled")),
            Wait::Crashed => return None,
        }
        if turn.dies {
            self.crash();
            return None;
        }
        let result = self.finish(&job, &turn)?;
        self.changed.notify_waiters();
        Some(json(200, &result))
    }

    /// Counts a prefill whose turn has come, and returns when it will be done.
    fn begin(&self, job: &PrefillJob, tokens: Tokens) -> Turn {
        let mut state = self.state();
        let cached =
            state.prefix.find(&piece_hashes(&job.model, &job.prompt)) as Tokens * PIECE_TOKENS;
        let computed = tokens.saturating_sub(cached);
        let dies = state.faults.crash_in == Some(CrashPhase::Prefill);
        if dies {
            state.faults.crash_in = None;
        }
        state.counters.prefills += 1;
        state.counters.prefilled_tokens += computed;
        state.counters.cached_tokens += cached;
        if let Some(running) = &mut state.running {
            running.computed = computed;
        }
        let cost = Duration::from_secs_f64(computed as f64 / self.settings.prefill_rate as f64);
        let cost = if dies { cost / 2 } else { cost };
        let stalls = state.faults.stall_prefills > 0;
        if stalls {
            state.faults.stall_prefills -= 1;
            state.counters.stalled += 1;
        }
        Turn {
            cached,
            done: (!stalls).then(|| Instant::now() + cost),
            dies,
        }
    }

    /// Turns a prefill into a KV cache for export.
    fn finish(&self, job: &PrefillJob, turn: &Turn) -> Option<PrefillResult> {
        let mut state = self.state();
        let State {
            running,
            caches,
            prefix,
            ..
        } = &mut *state;
        let prefill = running.take_if(|p| (p.request, p.attempt) == (job.request, job.attempt))?;
        let now = Instant::now();
        prefix.store(&piece_hashes(&job.model, &job.prompt), now);
        let kv = format!("{:032x}-{}", job.request, job.attempt);
        let cache = Cache {
            info: CacheInfo {
                request: job.request,
                tokens: prefill.tokens,
                computed: prefill.computed,
                seed: seed(&job.prompt),
            },
            attempt: job.attempt,
            expires: (now + self.settings.kv_ttl).min(prefill.expires),
        };
        caches.insert(kv.clone(), cache);
        Some(PrefillResult {
            request: job.request,
            attempt: job.attempt,
            prompt_tokens: prefill.tokens,
            cached_tokens: turn.cached,
            kv,
        })
    }

    /// Hands a KV cache to a decode engine and frees it here.
    pub(super) fn export(&self, kv: &str) -> Response<Body> {
        let cache = self.state().caches.remove(kv);
        self.changed.notify_waiters();
        match cache {
            Some(cache) => json(200, &cache.info),
            None => refuse(410, "KV cache evicted"),
        }
    }
}
