//! The state of an emulated engine: its queue, KV caches, transfers, streams and counters.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::emulator::engine::prefix_cache::PrefixCache;
use crate::emulator::engine::settings::{EngineFaults, EngineSettings};
use crate::prelude::*;
use crate::request::engine::{EngineLoad, Order};

/// The size of one token's KV cache in load reports.
const KV_BYTES_PER_TOKEN: u64 = 100_000;

/// The time that a completely generated stream is kept, so that its reader can fetch the end mark.
const FINISHED_STREAM_TTL: Duration = Duration::from_secs(1);

/// The time that a cancel is remembered, in case it arrived before its request.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);

/// The number of remembered cancels at which those older than `TOMBSTONE_TTL` are dropped.
const MAX_TOMBSTONES: usize = 4_096;

/// Totals since the creation of an emulated engine, and what it holds now.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// The prompt tokens computed by prefills, without those found in the prefix cache.
    pub prefilled_tokens: Tokens,
    /// The computed prompt tokens lost before a token was decoded. The engine that loses them counts them.
    pub wasted_tokens: Tokens,
    /// The prompt tokens found in the prefix cache.
    pub cached_tokens: Tokens,
    /// The prefills started, also those that crash the engine.
    pub prefills: u64,
    /// The prefills and transfers that stalled.
    pub stalled: u64,
    /// The streams started after the transfer of a KV cache.
    pub streams: u64,
    /// The orders completed; one that a crash interrupts is not counted.
    pub orders: u64,
    /// The emulated crashes, in each of which the engine loses its memory.
    pub crashes: u64,
    /// The requests that wait for prefill now.
    pub queued: usize,
    /// The prefills running now.
    pub prefilling: usize,
    /// The KV caches held for export now.
    pub exporting: usize,
    /// The transfers running now.
    pub transferring: usize,
    /// The streams running now.
    pub decoding: usize,
    /// The requests that hold engine memory or a queue position now: the sum of the five counts above.
    pub held: usize,
}

/// A queued or running prefill.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prefill {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub expires: Instant,
    pub tokens: Tokens,
    /// The tokens not found in the prefix cache; 0 while it is queued.
    pub computed: Tokens,
}

/// The description of a KV cache, which the decode engine fetches from the prefill engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CacheInfo {
    pub request: RequestId,
    pub tokens: Tokens,
    /// The tokens that were computed rather than found in the prefix cache.
    pub computed: Tokens,
    pub seed: u64,
}

pub(super) struct Cache {
    pub info: CacheInfo,
    pub attempt: AttemptNo,
    pub expires: Instant,
}

pub(super) struct Transfer {
    pub expires: Instant,
    pub computed: Tokens,
}

/// A stream being generated. Each token becomes available at a fixed time, whether or not the stream is read.
#[derive(Clone)]
pub(super) struct Generation {
    pub attempt: AttemptNo,
    pub seed: u64,
    pub first_offset: u32,
    pub end_offset: u32,
    pub started: Instant,
    pub expires: Instant,
    pub tokens: Tokens,
    /// The prompt tokens that count as wasted if the stream ends before its first token; 0 after it.
    pub unused_prefill: Tokens,
}

impl Generation {
    /// Returns when the token at `offset` is available. The end mark is available together with the last token.
    pub(super) fn ready_at(&self, offset: u32, interval: Duration) -> Instant {
        let produced = offset.saturating_sub(self.first_offset).saturating_add(1);
        self.started + interval * produced.min(self.end_offset - self.first_offset)
    }

    fn removed_at(&self, interval: Duration) -> Instant {
        let end = self.ready_at(self.end_offset, interval) + FINISHED_STREAM_TTL;
        end.min(self.expires)
    }
}

pub(super) struct State {
    pub counters: EngineCounters,
    pub faults: EngineFaults,
    /// Increases with each crash; tasks of an older incarnation end without effect.
    pub incarnation: u64,
    pub prefill_sequence: u64,
    pub waiting: BTreeMap<(Priority, u64), Prefill>,
    pub running: Option<Prefill>,
    pub exported_caches: HashMap<String, Cache>,
    pub transfers: HashMap<(RequestId, AttemptNo), Transfer>,
    /// When the link has carried all transfers queued so far.
    pub link_free_at: Option<Instant>,
    pub streams: HashMap<RequestId, Generation>,
    /// The newest cancelled attempt of each request, and when it was cancelled.
    pub cancelled: HashMap<RequestId, (AttemptNo, Instant)>,
    pub prefix_cache: PrefixCache,
    /// The highest fencing token received since the last crash.
    pub highest_fence: Epoch,
    /// The last completed order.
    pub last_order: Option<Order>,
    /// Whether an order is in progress; new work is refused meanwhile.
    pub loading: bool,
    /// The load report and when it was taken.
    pub load_report: (Instant, EngineLoad),
}

impl State {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            counters: EngineCounters::default(),
            faults: settings.faults.clone(),
            incarnation: 0,
            prefill_sequence: 0,
            waiting: BTreeMap::new(),
            running: None,
            exported_caches: HashMap::new(),
            transfers: HashMap::new(),
            link_free_at: None,
            streams: HashMap::new(),
            cancelled: HashMap::new(),
            prefix_cache: PrefixCache::new(settings),
            highest_fence: 0,
            last_order: None,
            loading: false,
            load_report: (Instant::now(), EngineLoad::default()),
        }
    }

    /// Refreshes the load report and removes expired work.
    pub(super) fn advance(&mut self, now: Instant, settings: &EngineSettings) {
        let interval = settings.report_interval;
        let age = now.saturating_duration_since(self.load_report.0);
        if age >= interval {
            // The state has not changed since the last due refresh, so its load is the one at that time.
            let since = age.as_nanos().checked_rem(interval.as_nanos());
            let since = since.and_then(|nanos| u64::try_from(nanos).ok());
            let since = Duration::from_nanos(since.unwrap_or_default());
            self.load_report = (now.checked_sub(since).unwrap_or(now), self.load());
        }
        self.expire(now, settings.token_interval);
    }

    fn expire(&mut self, now: Instant, interval: Duration) {
        self.waiting.retain(|_, prefill| prefill.expires > now);
        if let Some(prefill) = self.running.take_if(|prefill| prefill.expires <= now) {
            self.counters.wasted_tokens += prefill.computed;
        }
        let wasted = &mut self.counters.wasted_tokens;
        self.exported_caches
            .retain(|_, cache| retain_or_waste(cache.expires > now, cache.info.computed, wasted));
        self.transfers.retain(|_, transfer| {
            retain_or_waste(transfer.expires > now, transfer.computed, wasted)
        });
        self.streams.retain(|_, stream| {
            retain_or_waste(
                stream.removed_at(interval) > now,
                stream.unused_prefill,
                wasted,
            )
        });
    }

    /// Returns when the next entry expires.
    pub(super) fn next_expiry(&self, interval: Duration) -> Option<Instant> {
        let prefills = self.waiting.values().chain(&self.running);
        let expiries = prefills.map(|prefill| prefill.expires);
        let expiries = expiries.chain(self.exported_caches.values().map(|cache| cache.expires));
        let expiries = expiries.chain(self.transfers.values().map(|transfer| transfer.expires));
        let expiries = expiries.chain(self.streams.values().map(|s| s.removed_at(interval)));
        expiries.min()
    }

    /// Frees everything held for the attempts of a request up to `newest`.
    pub(super) fn cancel(&mut self, request: RequestId, newest: AttemptNo, now: Instant) {
        if self.cancelled.len() >= MAX_TOMBSTONES {
            self.cancelled
                .retain(|_, (_, at)| now.saturating_duration_since(*at) < TOMBSTONE_TTL);
        }
        let recorded = self.cancelled.entry(request).or_insert((newest, now));
        *recorded = (newest.max(recorded.0), now);
        let matches = |other, attempt| other == request && attempt <= newest;
        self.waiting.retain(|_, p| !matches(p.request, p.attempt));
        let running = &mut self.running;
        if let Some(prefill) = running.take_if(|p| matches(p.request, p.attempt)) {
            self.counters.wasted_tokens += prefill.computed;
        }
        let wasted = &mut self.counters.wasted_tokens;
        self.exported_caches.retain(|_, c| {
            retain_or_waste(!matches(c.info.request, c.attempt), c.info.computed, wasted)
        });
        self.transfers
            .retain(|(r, attempt), t| retain_or_waste(!matches(*r, *attempt), t.computed, wasted));
        self.streams
            .retain(|r, s| retain_or_waste(!matches(*r, s.attempt), s.unused_prefill, wasted));
    }

    /// Emulates the loss of memory in a crash.
    pub(super) fn crash(&mut self, now: Instant) {
        let lost = self.running.iter().map(|p| p.computed).sum::<Tokens>()
            + self
                .exported_caches
                .values()
                .map(|c| c.info.computed)
                .sum::<Tokens>()
            + self.transfers.values().map(|t| t.computed).sum::<Tokens>()
            + self
                .streams
                .values()
                .map(|s| s.unused_prefill)
                .sum::<Tokens>();
        self.counters.wasted_tokens += lost;
        self.counters.crashes += 1;
        self.incarnation += 1;
        self.waiting.clear();
        self.running = None;
        self.exported_caches.clear();
        self.transfers.clear();
        self.link_free_at = None;
        self.streams.clear();
        self.cancelled.clear();
        self.prefix_cache.clear(now);
        self.highest_fence = 0;
        self.loading = false;
    }

    pub(super) fn is_cancelled(&self, request: RequestId, attempt: AttemptNo) -> bool {
        let newest = self.cancelled.get(&request);
        newest.is_some_and(|(newest, _)| attempt <= *newest)
    }

    /// Returns why new work of `role` is refused now, if it is.
    pub(super) fn refusal_cause(&self, role: &str) -> Option<&'static str> {
        if self.loading {
            return Some("loading a model");
        }
        let other = self.last_order.as_ref().is_some_and(|s| s.role != role);
        other.then_some("engine has another role")
    }

    pub(super) fn counters(&self) -> EngineCounters {
        let (queued, prefilling) = (self.waiting.len(), usize::from(self.running.is_some()));
        let (exporting, transferring) = (self.exported_caches.len(), self.transfers.len());
        let decoding = self.streams.len();
        EngineCounters {
            queued,
            prefilling,
            exporting,
            transferring,
            decoding,
            held: queued + prefilling + exporting + transferring + decoding,
            ..self.counters.clone()
        }
    }

    fn load(&self) -> EngineLoad {
        let prefills = self.waiting.values().chain(&self.running);
        let kv_tokens = self
            .exported_caches
            .values()
            .map(|c| c.info.tokens)
            .sum::<Tokens>()
            + self.streams.values().map(|s| s.tokens).sum::<Tokens>();
        EngineLoad {
            age: Duration::ZERO,
            running: u32::try_from(self.streams.len()).unwrap_or(u32::MAX),
            queued_tokens: prefills.map(|prefill| prefill.tokens).sum(),
            kv_bytes: kv_tokens * KV_BYTES_PER_TOKEN,
        }
    }
}

/// Adds the tokens of a dropped entry to `wasted`, and returns `kept` for use in `retain`.
fn retain_or_waste(kept: bool, computed: Tokens, wasted: &mut Tokens) -> bool {
    if !kept {
        *wasted += computed;
    }
    kept
}
