//! The settings of a stand-in engine and the faults that can be switched on while it runs.

use std::time::Duration;

use crate::prelude::*;

/// The settings of a stand-in engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// The seed of random choices, such as which cache events are lost.
    pub seed: u64,
    /// The streams that it decodes at once, transfers included.
    pub slots: usize,
    /// The prompt tokens that it prefills a second.
    pub prefill_rate: Tokens,
    /// The prompt tokens whose KV cache it receives a second, over all transfers.
    pub link_rate: Tokens,
    /// The time between two tokens.
    pub token_interval: Duration,
    /// The time until an exported KV cache is evicted.
    pub kv_ttl: Duration,
    /// The pieces that its prefix cache holds.
    pub cache_pieces: usize,
    /// The time until a cache event is published.
    pub event_delay: Duration,
    /// The cache events lost before publication, in parts per million.
    pub event_loss: u32,
    /// The time between two refreshes of the load report; zero for a report without lag.
    pub report_interval: Duration,
    /// Whether orders with an older fencing number are refused.
    pub checks_fence: bool,
    /// The time to load a model or change role.
    pub load_time: Duration,
    /// The faults at the start.
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
            event_loss: 0,
            report_interval: Duration::ZERO,
            checks_fence: true,
            load_time: Duration::from_millis(200),
            faults: EngineFaults::default(),
        }
    }
}

/// How a stand-in engine misbehaves.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EngineFaults {
    /// A prompt that contains this text crashes the engine.
    pub crash_substring: Option<String>,
    /// The phase in which the engine dies at the next request that reaches it.
    pub crash_in: Option<CrashPhase>,
    /// The number of coming prefills that stall until they are cancelled or pass their deadline.
    pub stall_prefills: u32,
    /// The number of coming transfers that stall until they are cancelled or pass their deadline.
    pub stall_transfers: u32,
    /// The next stream goes silent after this number of tokens, while new connections work.
    pub silent_after: Option<u32>,
    /// The disorder of frames.
    pub frame_fault: Option<FrameFault>,
}

/// A phase of a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPhase {
    /// Half-way through a prefill.
    Prefill,
    /// After the KV cache was taken from the prefill engine.
    Transfer,
    /// After a number of tokens.
    Decode {
        /// The tokens generated before the engine dies.
        after: u32,
    },
}

/// The disorder of a token stream's frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameFault {
    /// Every frame comes twice.
    Duplicated,
    /// Every fifth token comes after its successor.
    Reordered,
    /// A frame of another request precedes every frame.
    OtherRequest,
    /// A frame of an older attempt precedes every frame.
    OlderAttempt,
}
