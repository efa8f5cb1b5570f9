//! Transfers and token streams of a stand-in engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;
use hyper::body::Frame as BodyFrame;

use crate::connection::engine::ResumeBody;
use crate::emulator::engine::settings::{CrashPhase, FrameFault};
use crate::emulator::engine::state::{CacheInfo, Generation, Transfer};
use crate::emulator::engine::{EngineEmulator, Step, Wait, refuse, token};
use crate::emulator::http::{Body, stream as body_stream};
use crate::prelude::*;
use crate::request::engine::{DecodeJob, FinishReason};

/// The time to fetch a KV cache's description from the prefill engine.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// The distance between two tokens that `FrameFault::Reordered` delays.
const LATE_EVERY: u32 = 5;

/// The text of frames that belong to another request or attempt; it must never reach a caller.
pub const FOREIGN_TEXT: &str = "FOREIGN ";

/// The reader of one stream over one connection.
struct Reader {
    request: RequestId,
    attempt: AttemptNo,
    offset: u32,
    sent: u32,
    silent_after: Option<u32>,
    fault: Option<FrameFault>,
    /// A frame that is sent after its successor.
    delayed: Option<Frame>,
    ended: bool,
}

impl EngineEmulator {
    /// Fetches a KV cache and starts its stream. The transfer goes on when its caller's connection breaks, until it
    /// is cancelled or passes its deadline.
    pub(super) async fn decode(self: Arc<Self>, job: DecodeJob) -> Option<Response<Body>> {
        let (request, attempt, offset) = (job.request, job.attempt, job.offset);
        let transfer = tokio::spawn(self.clone().run_transfer(job));
        match transfer.await.ok()?? {
            None => Some(self.stream_from(request, attempt, offset)),
            refusal => refusal,
        }
    }

    /// Returns `None` if the engine died meanwhile, and `Some(None)` once the stream is started.
    async fn run_transfer(self: Arc<Self>, job: DecodeJob) -> Option<Option<Response<Body>>> {
        let id = (job.request, job.attempt);
        let expires = Instant::now() + job.deadline;
        let incarnation = match self.begin_transfer(id, expires) {
            Ok(incarnation) => incarnation,
            Err(refusal) => return Some(Some(*refusal)),
        };
        let uri = format!("http://{}/v1/kv/{}", job.source, job.kv);
        let info: CacheInfo = match self.client.get_json(&uri, KV_TIMEOUT).await {
            Ok(info) => info,
            Err(e) => {
                self.state().transfers.remove(&id);
                self.changed.notify_waiters();
                return Some(Some(refuse(410, &e.cause)));
            }
        };
        let (until, dies) = self.queue_on_link(id, &info);
        if dies {
            self.crash();
            return None;
        }
        let transfer = self.wait(incarnation, until, |state| {
            if state.transfers.contains_key(&id) {
                Step::Wait
            } else {
                Step::Removed
            }
        });
        match transfer.await {
            Wait::Over => {}
            Wait::Removed => return Some(Some(refuse(410, "cancelled"))),
            Wait::Crashed => return None,
        }
        {
            let mut state = self.state();
            let Some(transfer) = state.transfers.remove(&id) else {
                return Some(Some(refuse(410, "cancelled")));
            };
            state.counters.streams += 1;
            let generation = Generation {
                attempt: job.attempt,
                seed: info.seed,
                first: job.offset,
                end: job.offset.saturating_add(job.max_tokens),
                started: Instant::now(),
                expires,
                tokens: info.tokens,
                unused: transfer.computed,
            };
            state.streams.insert(job.request, generation);
        }
        self.changed.notify_waiters();
        Some(None)
    }

    fn begin_transfer(
        &self,
        id: (RequestId, AttemptNo),
        expires: Instant,
    ) -> Result<u64, Box<Response<Body>>> {
        let mut state = self.state();
        if state.is_cancelled(id.0, id.1) {
            return Err(Box::new(refuse(410, "cancelled")));
        }
        if let Some(cause) = state.refuses("decode") {
            return Err(Box::new(refuse(503, cause)));
        }
        if state.streams.len() + state.transfers.len() >= self.settings.slots {
            return Err(Box::new(refuse(503, "all slots in use")));
        }
        let transfer = Transfer {
            expires,
            computed: 0,
        };
        state.transfers.insert(id, transfer);
        let incarnation = state.incarnation;
        drop(state);
        self.changed.notify_waiters();
        Ok(incarnation)
    }

    /// Returns when the KV cache is through the link (`None` if the transfer stalls), and whether the engine dies.
    fn queue_on_link(
        &self,
        id: (RequestId, AttemptNo),
        info: &CacheInfo,
    ) -> (Option<Instant>, bool) {
        let mut state = self.state();
        match state.transfers.get_mut(&id) {
            Some(transfer) => transfer.computed = info.computed,
            None => state.counters.wasted_tokens += info.computed,
        }
        if state.faults.crash_in == Some(CrashPhase::Transfer) {
            state.faults.crash_in = None;
            return (None, true);
        }
        if state.faults.stall_transfers > 0 {
            state.faults.stall_transfers -= 1;
            state.counters.stalled += 1;
            drop(state);
            self.changed.notify_waiters();
            return (None, false);
        }
        let now = Instant::now();
        let cost = Duration::from_secs_f64(info.tokens as f64 / self.settings.link_rate as f64);
        let done = state.link_done.unwrap_or(now).max(now) + cost;
        state.link_done = Some(done);
        (Some(done), false)
    }

    pub(super) fn resume(self: Arc<Self>, body: &ResumeBody) -> Response<Body> {
        {
            let mut state = self.state();
            match state.streams.get_mut(&body.request) {
                Some(generation) if generation.attempt < body.attempt => {
                    generation.attempt = body.attempt;
                }
                _ => return refuse(410, "request not held"),
            }
        }
        self.changed.notify_waiters();
        self.stream_from(body.request, body.attempt, body.offset)
    }

    fn stream_from(
        self: Arc<Self>,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Response<Body> {
        let reader = {
            let mut state = self.state();
            Reader {
                request,
                attempt,
                offset,
                sent: 0,
                silent_after: state.faults.silent_after.take(),
                fault: state.faults.frame_fault,
                delayed: None,
                ended: false,
            }
        };
        let frames = stream::unfold(reader, move |mut reader| {
            let engine = self.clone();
            async move {
                let frames = reader.next(&engine).await?;
                let mut lines = Vec::new();
                for frame in frames {
                    lines.extend(serde_json::to_vec(&frame).unwrap_or_default());
                    lines.push(b'\n');
                }
                Some((Ok(BodyFrame::data(Bytes::from(lines))), reader))
            }
        });
        body_stream(frames)
    }

    /// Waits for the frame at `offset`; `None` once the request is cancelled, resumed elsewhere or expired.
    async fn next_frame(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Option<Frame> {
        let (incarnation, ready) = {
            let state = self.state();
            let generation = state.streams.get(&request)?;
            let ready = generation.ready_at(offset, self.settings.token_interval);
            (state.incarnation, ready)
        };
        let held = self.wait(incarnation, Some(ready), |state| {
            match state.streams.get(&request) {
                Some(generation) if generation.attempt == attempt => Step::Wait,
                _ => Step::Removed,
            }
        });
        if !matches!(held.await, Wait::Over) {
            return None;
        }
        let mut state = self.state();
        let crash_in = state.faults.crash_in;
        let generation = state.streams.get_mut(&request)?;
        let produced = offset.saturating_sub(generation.first);
        if matches!(crash_in, Some(CrashPhase::Decode { after }) if produced >= after) {
            state.faults.crash_in = None;
            drop(state);
            self.crash();
            return None;
        }
        generation.unused = 0;
        let content = if offset < generation.end {
            FrameContent::Token(token(generation.seed, offset).to_owned())
        } else {
            state.streams.remove(&request);
            FrameContent::End(FinishReason::Length)
        };
        let is_end = matches!(content, FrameContent::End(_));
        drop(state);
        // Tokens change no counter; waking all waiters for each would cost the square of the streams.
        if is_end {
            self.changed.notify_waiters();
        }
        Some(Frame {
            request,
            attempt,
            offset,
            content,
        })
    }
}

impl Reader {
    /// Returns the frames to send next, disordered by the engine's fault.
    async fn next(&mut self, engine: &EngineEmulator) -> Option<Vec<Frame>> {
        if self.ended {
            return None;
        }
        if self.silent_after.is_some_and(|after| self.sent >= after) {
            std::future::pending::<()>().await;
        }
        let frame = self.next_frame(engine).await?;
        let foreign = |request, attempt| Frame {
            request,
            attempt,
            offset: frame.offset,
            content: FrameContent::Token(FOREIGN_TEXT.to_owned()),
        };
        let frames = match self.fault {
            None => vec![frame],
            Some(FrameFault::Duplicated) => vec![frame.clone(), frame],
            Some(FrameFault::OtherRequest) => {
                vec![foreign(self.request ^ 1, self.attempt), frame]
            }
            Some(FrameFault::OlderAttempt) => {
                vec![foreign(self.request, self.attempt - 1), frame]
            }
            Some(FrameFault::Reordered) => {
                let is_token = matches!(frame.content, FrameContent::Token(_));
                // The first frame is always on time, so that each resumed stream makes progress.
                if is_token && self.sent > 1 && frame.offset % LATE_EVERY == LATE_EVERY - 1 {
                    self.delayed = Some(frame);
                    let successor = self.next_frame(engine).await?;
                    [Some(successor), self.delayed.take()]
                        .into_iter()
                        .flatten()
                        .collect()
                } else {
                    vec![frame]
                }
            }
        };
        Some(frames)
    }

    async fn next_frame(&mut self, engine: &EngineEmulator) -> Option<Frame> {
        let frame = engine
            .next_frame(self.request, self.attempt, self.offset)
            .await?;
        self.ended = matches!(frame.content, FrameContent::End(_));
        self.offset += 1;
        self.sent += 1;
        Some(frame)
    }
}
