//! The settings of an emulated engine and the faults that can be injected while it runs.

use std::time::Duration;

use crate::prelude::*;

/// The settings of an emulated engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// The seed of random choices, such as which cache events are lost.
    pub seed: u64,
    /// The maximum number of streams decoded at once, including transfers in progress.
    pub slots: usize,
    /// The prompt tokens prefilled per second.
    pub prefill_rate: Tokens,
    /// The link bandwidth: the prompt tokens per second whose KV cache is received, over all transfers.
    pub link_rate: Tokens,
    /// The time between two tokens of a stream.
    pub token_interval: Duration,
    /// The time until an exported KV cache is evicted.
    pub kv_ttl: Duration,
    /// The capacity of the prefix cache in prompt pieces of `PIECE_TOKENS`.
    pub cache_pieces: usize,
    /// The delay before a cache event is published.
    pub event_delay: Duration,
    /// The part of cache events that are lost before publication, in parts per million.
    pub event_loss_ppm: u32,
    /// The time between two refreshes of the load report; zero for a report that is always current.
    pub report_interval: Duration,
    /// Whether orders with a fencing token below the highest one received are refused.
    pub checks_fence: bool,
    /// The time to load a model or to change the role.
    pub model_load_time: Duration,
    /// The faults injected at creation.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            slots: 20,
            prefill_rate: 20_000,
            link_rate: 200_000,
            token_interval: Duration::from_millis(10),
            kv_ttl: Duration::from_millis(800),
            cache_pieces: 64,
            event_delay: Duration::ZERO,
            event_loss_ppm: 0,
            report_interval: Duration::ZERO,
            checks_fence: true,
            model_load_time: Duration::from_millis(200),
            faults: EngineFaults::default(),
        }
    }
}

/// The faults injected into an emulated engine.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EngineFaults {
    /// A prompt that contains this text crashes the engine.
    pub crash_substring: Option<String>,
    /// The phase in which the next request that reaches it crashes the engine.
    pub crash_in: Option<CrashPhase>,
    /// The number of upcoming prefills that stall until they are cancelled or pass their deadline.
    pub stall_prefills: u32,
    /// The number of upcoming transfers that stall until they are cancelled or pass their deadline.
    pub stall_transfers: u32,
    /// The number of tokens after which the next stream sends nothing more, while new connections still work.
    pub silent_after: Option<u32>,
    /// How the frames of streams are corrupted.
    pub frame_fault: Option<FrameFault>,
}

/// The phase of a request in which an engine crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPhase {
    /// Half-way through a prefill.
    Prefill,
    /// After the KV cache was fetched from the prefill engine.
    Transfer,
    /// After a number of generated tokens.
    Decode {
        /// The number of tokens generated before the crash.
        after: u32,
    },
}

/// How the frames of a token stream are corrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameFault {
    /// Every frame is sent twice.
    Duplicated,
    /// Every fifth token is sent after its successor.
    Reordered,
    /// A frame of another request precedes every frame.
    OtherRequest,
    /// A frame of an older attempt precedes every frame.
    OlderAttempt,
}
