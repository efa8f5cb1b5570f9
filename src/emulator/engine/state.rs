//! What a stand-in engine holds for requests.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::emulator::engine::prefix_cache::PrefixCache;
use crate::emulator::engine::settings::{EngineFaults, EngineSettings};
use crate::prelude::*;
use crate::request::engine::{EngineLoad, Order};

/// The memory of a token's KV cache, for load reports.
const KV_BYTES_PER_TOKEN: u64 = 100_000;

/// The time that a fully generated stream is kept for its reader to take the end mark.
const END_MARGIN: Duration = Duration::from_secs(1);

/// The time for which a cancel is remembered, in case it overtook its request.
const TOMBSTONE_TIME: Duration = Duration::from_mins(1);

/// The remembered cancels from which on old ones are dropped.
const MAX_TOMBSTONES: usize = 4_096;

/// What a stand-in engine has done and holds.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// The prompt tokens prefilled, without those found in the prefix cache.
    pub prefilled_tokens: Tokens,
    /// The prompt tokens prefilled but lost before a token was decoded. Whichever engine loses them counts them.
    pub wasted_tokens: Tokens,
    /// The prompt tokens found in the prefix cache.
    pub cached_tokens: Tokens,
    /// The prefills run.
    pub prefills: u64,
    /// The prefills and transfers that stalled.
    pub stalled: u64,
    /// The streams started.
    pub streams: u64,
    /// The orders carried out.
    pub orders: u64,
    /// The crashes.
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
    /// The requests that hold engine memory or a place in the queue now.
    pub held: usize,
}

/// A prefill that waits or runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prefill {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub expires: Instant,
    pub tokens: Tokens,
    /// The tokens being computed; 0 while it waits.
    pub computed: Tokens,
}

/// The description of a KV cache that goes from the prefill to the decode engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CacheInfo {
    pub request: RequestId,
    pub tokens: Tokens,
    /// The tokens computed for it, as opposed to found in the prefix cache.
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

/// A stream being generated; its tokens appear at fixed times, whether or not someone reads them.
#[derive(Clone)]
pub(super) struct Generation {
    pub attempt: AttemptNo,
    pub seed: u64,
    pub first: u32,
    pub end: u32,
    pub started: Instant,
    pub expires: Instant,
    pub tokens: Tokens,
    /// The prefilled tokens that are wasted if the stream ends before its first token.
    pub unused: Tokens,
}

impl Generation {
    /// The time at which the token at `offset` is made; the end mark comes with the last token.
    pub(super) fn ready_at(&self, offset: u32, interval: Duration) -> Instant {
        let produced = offset.saturating_sub(self.first).saturating_add(1);
        self.started + interval * produced.min(self.end - self.first)
    }

    fn gone_at(&self, interval: Duration) -> Instant {
        let end = self.ready_at(self.end, interval) + END_MARGIN;
        end.min(self.expires)
    }
}

pub(super) struct State {
    pub counters: EngineCounters,
    pub faults: EngineFaults,
    /// Grows with each crash; work of an older incarnation is void.
    pub incarnation: u64,
    pub next_prefill: u64,
    pub waiting: BTreeMap<(Priority, u64), Prefill>,
    pub running: Option<Prefill>,
    pub caches: HashMap<String, Cache>,
    pub transfers: HashMap<(RequestId, AttemptNo), Transfer>,
    /// The time at which the transfers so far are through the link.
    pub link_done: Option<Instant>,
    pub streams: HashMap<RequestId, Generation>,
    /// The newest attempt cancelled of each request, and when.
    pub cancelled: HashMap<RequestId, (AttemptNo, Instant)>,
    pub prefix: PrefixCache,
    /// The highest fencing number seen.
    pub fence: Epoch,
    /// The last order carried out.
    pub last_order: Option<Order>,
    /// Whether an order is being carried out; no new work is taken meanwhile.
    pub loading: bool,
    pub report: (Instant, EngineLoad),
}

impl State {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            counters: EngineCounters::default(),
            faults: settings.faults.clone(),
            incarnation: 0,
            next_prefill: 0,
            waiting: BTreeMap::new(),
            running: None,
            caches: HashMap::new(),
            transfers: HashMap::new(),
            link_done: None,
            streams: HashMap::new(),
            cancelled: HashMap::new(),
            prefix: PrefixCache::new(settings),
            fence: 0,
            last_order: None,
            loading: false,
            report: (Instant::now(), EngineLoad::default()),
        }
    }

    /// Refreshes the load report and drops what has passed its time.
    pub(super) fn advance(&mut self, now: Instant, settings: &EngineSettings) {
        let interval = settings.report_interval;
        let age = now.saturating_duration_since(self.report.0);
        if age >= interval {
            // The state before this change is what the last refresh saw.
            let since = age.as_nanos().checked_rem(interval.as_nanos());
            let since = since.and_then(|nanos| u64::try_from(nanos).ok());
            let since = Duration::from_nanos(since.unwrap_or_default());
            self.report = (now.checked_sub(since).unwrap_or(now), self.load());
        }
        self.expire(now, settings.token_interval);
    }

    fn expire(&mut self, now: Instant, interval: Duration) {
        self.waiting.retain(|_, prefill| prefill.expires > now);
        if let Some(prefill) = self.running.take_if(|prefill| prefill.expires <= now) {
            self.counters.wasted_tokens += prefill.computed;
        }
        let wasted = &mut self.counters.wasted_tokens;
        self.caches
            .retain(|_, cache| keep(cache.expires > now, cache.info.computed, wasted));
        self.transfers
            .retain(|_, transfer| keep(transfer.expires > now, transfer.computed, wasted));
        self.streams
            .retain(|_, stream| keep(stream.gone_at(interval) > now, stream.unused, wasted));
    }

    /// Returns when something held passes its time next.
    pub(super) fn next_expiry(&self, interval: Duration) -> Option<Instant> {
        let prefills = self.waiting.values().chain(&self.running);
        let expiries = prefills.map(|prefill| prefill.expires);
        let expiries = expiries.chain(self.caches.values().map(|cache| cache.expires));
        let expiries = expiries.chain(self.transfers.values().map(|transfer| transfer.expires));
        let expiries = expiries.chain(self.streams.values().map(|s| s.gone_at(interval)));
        expiries.min()
    }

    /// Frees what is held for a request up to attempt `newest`.
    pub(super) fn cancel(&mut self, request: RequestId, newest: AttemptNo, now: Instant) {
        if self.cancelled.len() >= MAX_TOMBSTONES {
            self.cancelled
                .retain(|_, (_, at)| now.saturating_duration_since(*at) < TOMBSTONE_TIME);
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
        self.caches
            .retain(|_, c| keep(!matches(c.info.request, c.attempt), c.info.computed, wasted));
        self.transfers
            .retain(|(r, attempt), t| keep(!matches(*r, *attempt), t.computed, wasted));
        self.streams
            .retain(|r, s| keep(!matches(*r, s.attempt), s.unused, wasted));
    }

    /// Loses everything held, as a crash does.
    pub(super) fn crash(&mut self, now: Instant) {
        let lost = self.running.iter().map(|p| p.computed).sum::<Tokens>()
            + self
                .caches
                .values()
                .map(|c| c.info.computed)
                .sum::<Tokens>()
            + self.transfers.values().map(|t| t.computed).sum::<Tokens>()
            + self.streams.values().map(|s| s.unused).sum::<Tokens>();
        self.counters.wasted_tokens += lost;
        self.counters.crashes += 1;
        self.incarnation += 1;
        self.waiting.clear();
        self.running = None;
        self.caches.clear();
        self.transfers.clear();
        self.link_done = None;
        self.streams.clear();
        self.cancelled.clear();
        self.prefix.clear(now);
        self.fence = 0;
        self.loading = false;
    }

    pub(super) fn is_cancelled(&self, request: RequestId, attempt: AttemptNo) -> bool {
        let newest = self.cancelled.get(&request);
        newest.is_some_and(|(newest, _)| attempt <= *newest)
    }

    /// Returns why no work of `role` is taken now.
    pub(super) fn refuses(&self, role: &str) -> Option<&'static str> {
        if self.loading {
            return Some("loading a model");
        }
        let other = self.last_order.as_ref().is_some_and(|s| s.role != role);
        other.then_some("engine has another role")
    }

    pub(super) fn counters(&self) -> EngineCounters {
        let (queued, prefilling) = (self.waiting.len(), usize::from(self.running.is_some()));
        let (exporting, transferring) = (self.caches.len(), self.transfers.len());
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
        let kv_tokens = self.caches.values().map(|c| c.info.tokens).sum::<Tokens>()
            + self.streams.values().map(|s| s.tokens).sum::<Tokens>();
        EngineLoad {
            age: Duration::ZERO,
            running: u32::try_from(self.streams.len()).unwrap_or(u32::MAX),
            queued_tokens: prefills.map(|prefill| prefill.tokens).sum(),
            kv_bytes: kv_tokens * KV_BYTES_PER_TOKEN,
        }
    }
}

fn keep(kept: bool, computed: Tokens, wasted: &mut Tokens) -> bool {
    if !kept {
        *wasted += computed;
    }
    kept
}
