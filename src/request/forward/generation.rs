//! A generation: the prompt is prefilled at one engine, the tokens stream from another.

mod prefill;
mod reservation;
mod room;

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::load::CallOutcome;
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::request::forward::attempt::{Attempt, AttemptFailure, Sending, choose, describe};
use crate::request::forward::call::{Call, Part, TokenCounts};
use crate::request::forward::flow::{ForwardServices, Started, unserved};
use crate::request::forward::generation::prefill::Ready;
use crate::request::forward::generation::reservation::{Reservation, Room};
use crate::request::forward::link::UpstreamBody;
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::stream::EventRelay;
use crate::version::forwarding::{EngineLimits, RepeatPolicy};

/// The wait that is told to callers of a host that stops: others take their requests at once.
const STOP_RETRY: Duration = Duration::from_millis(50);

/// The attempts of one generation, which a stream that breaks off continues.
pub struct Generation {
    cx: Arc<ForwardServices>,
    call: Arc<Call>,
    service: ModelId,
    engine: EngineLimits,
    tried: SmallVec<[UpstreamId; 4]>,
    /// The calls that reached an engine and count for the retry budget: all but the first prefill that was accepted.
    arrived: u32,
    /// The retries taken from the budget.
    retries: u32,
    /// The decode calls that may have run.
    runs: u32,
}

/// Runs a generation up to the head of its stream.
///
/// # Errors
/// Returns a refusal that says whether it may have run.
pub async fn run(
    cx: &Arc<ForwardServices>,
    call: &Arc<Call>,
    service: &ModelId,
    engine: EngineLimits,
    record: &mut ForwardRecord,
) -> Result<Started, Refusal> {
    let mut generation = Generation {
        cx: cx.clone(),
        call: call.clone(),
        service: service.clone(),
        engine,
        tried: SmallVec::new(),
        arrived: 0,
        retries: 0,
        runs: 0,
    };
    generation.check_end()?;
    let room = generation.wait_for_room(record).await?;
    let mut ready = if room.attempt.prefills() {
        None
    } else {
        let near = room.attempt.instance.data_centre.clone();
        generation.prefill(&near, record).await
    };
    let mut room = Some(room);
    let mut last = "no engine takes new work".to_owned();
    for _ in 0..cx.settings.max_tries {
        if !generation.may_try() {
            break;
        }
        let source = ready.as_mut().filter(|ready| cx.clock.now() < ready.until);
        match generation.decode(room.take(), source, None, record).await {
            Ok((response, attempt)) => {
                if response.status().is_success() {
                    let relay = EventRelay::new(generation, attempt, response);
                    return Ok(Started::Stream(Box::new(relay)));
                }
                attempt.end(CallOutcome::Answered);
                return Ok(Started::Whole(response));
            }
            Err(DecodeFailure::NoEngine) => break,
            Err(DecodeFailure::PromptLost(failure)) => {
                record.note(format_args!("prefilled prompt lost: {failure}"));
                last = failure.to_string();
                ready = None;
            }
            Err(DecodeFailure::Attempt(failure)) => {
                record.note(&failure);
                last = failure.to_string();
                // An engine that refuses is full or found the prompt gone, so one more is asked to fetch it; after that, or
                // if the engine may have taken it, the next one runs the prompt itself.
                let is_refusal = matches!(failure, AttemptFailure::Rejected { .. });
                if (is_refusal && generation.arrived > 1) || (!is_refusal && failure.has_arrived())
                {
                    ready = None;
                }
            }
        }
    }
    Err(generation.refusal(&last))
}

/// Why a decode call has no answer.
pub enum DecodeFailure {
    /// No engine may be tried.
    NoEngine,
    /// The attempt failed.
    Attempt(AttemptFailure),
    /// The engine kept memory for the request and refused it: the prefilled prompt can't be fetched.
    PromptLost(AttemptFailure),
}

impl Generation {
    /// Returns the services that requests need.
    pub fn services(&self) -> &Arc<ForwardServices> {
        &self.cx
    }

    /// Returns the call.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Takes note that the request held its room since `since`.
    pub fn note_held(&self, since: Instant) {
        let held = self.cx.clock.now().saturating_duration_since(since);
        let queues = &self.cx.state.queues;
        queues.record_hold_time(&self.service, held, self.output_tokens());
    }

    /// Tells whether another engine may be tried.
    pub fn may_try(&self) -> bool {
        let repeatable = self.call.route.repeat == RepeatPolicy::ResumableStream;
        let in_time = self.cx.clock.now() < self.call.deadline;
        in_time && (self.runs == 0 || (repeatable && self.runs < self.call.route.max_attempts))
    }

    fn prompt_tokens(&self) -> Tokens {
        self.call.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    fn output_tokens(&self) -> Tokens {
        self.call.head.tokens.map_or(0, |tokens| tokens.output)
    }

    /// Refuses a stream that would be cut off by the end of a stop. Its caller reaches another host at once.
    fn check_end(&self) -> Result<(), Refusal> {
        let Some(end) = self.cx.state.drain_deadline() else {
            return Ok(());
        };
        let queues = &self.cx.state.queues;
        let holding = queues.predicted_hold_time(&self.service, self.output_tokens());
        let left = end.saturating_duration_since(self.cx.clock.now());
        if holding < left {
            return Ok(());
        }
        let message =
            "host stops before the answer would be whole; repeat at once, on a new connection";
        let figures = format!(
            "predicted={}ms left={}ms",
            holding.as_millis(),
            left.as_millis()
        );
        let refusal = Refusal::not_run(RefusalKind::Unavailable, message).with_figures(figures);
        Err(refusal.with_retry_after(STOP_RETRY))
    }

    /// Returns the engine memory that the request is counted with.
    fn memory_tokens(&self) -> Tokens {
        self.call.head.tokens.map_or(0, TokenCounts::memory)
    }

    fn choose(
        &self,
        purpose: Purpose,
        near: &DataCentreId,
        accept: impl Fn(&Candidate) -> bool,
    ) -> Option<Candidate> {
        let need = Requirements {
            purpose,
            tokens: match purpose {
                Purpose::Decode => self.memory_tokens(),
                Purpose::Prefill | Purpose::Call => self.prompt_tokens(),
            },
            preferred_data_centre: near.clone(),
            kv_tokens: self.engine.kv_tokens,
            host_count: self.cx.state.peers().host_count(),
        };
        let stages: &[Stage] = match purpose {
            Purpose::Prefill => &[Stage::Prefill],
            Purpose::Decode | Purpose::Call => &[Stage::Decode, Stage::Whole],
        };
        let model = self.call.head.model.as_ref();
        choose(&self.cx, &self.service, stages, model, &need, accept)
    }

    /// Takes as many retries as one more call needs; tells whether the budget has them.
    fn take_retry(&mut self, cause: &'static str) -> bool {
        let now = self.cx.clock.now();
        while self.retries < self.arrived {
            if !self.cx.state.take_retry(&self.service, cause, now) {
                return false;
            }
            self.retries += 1;
        }
        true
    }

    /// Asks a decode engine for the stream, from `last_event` on if given.
    ///
    /// # Errors
    /// Returns why there is no answer.
    pub async fn decode_whole(
        &mut self,
        last_event: Option<String>,
        record: &mut ForwardRecord,
    ) -> Result<(Response<UpstreamBody>, Attempt), DecodeFailure> {
        self.decode(None, None, last_event, record).await
    }

    /// Asks the engine that holds `room` for the stream, or the best other one.
    async fn decode(
        &mut self,
        room: Option<Room>,
        ready: Option<&mut Ready>,
        last_event: Option<String>,
        record: &mut ForwardRecord,
    ) -> Result<(Response<UpstreamBody>, Attempt), DecodeFailure> {
        // The engine may have begun to leave while the prompt was prefilled, or no longer keeps memory for it.
        let still_takes = |room: &Room| {
            let state = &self.cx.state;
            let is_available = state.with_directory(|d| d.is_available(&room.attempt.instance));
            is_available && !room.has_lapsed()
        };
        let room = match room.filter(still_takes) {
            Some(room) => Some(room),
            None => self.next_room(ready.as_deref(), record).await,
        };
        let mut room = room.ok_or(DecodeFailure::NoEngine)?;
        if !self.take_retry("decode") {
            record.note("no retry left");
            return Err(DecodeFailure::NoEngine);
        }
        let reservation = room.reservation.as_mut().and_then(Reservation::take);
        let is_reserved = reservation.is_some();
        let mut attempt = room.attempt;
        self.tried.push(attempt.instance.id.clone());
        let sending = Sending {
            part: ready.as_ref().map_or(Part::Whole, |ready| ready.part()),
            last_event,
            reservation,
            fresh: self.cx.settings.fresh_stream,
            until: self.call.deadline,
        };
        let sent = attempt.send(&self.call, sending).await;
        match sent {
            Ok(response) => {
                self.arrived += 1;
                self.runs += 1;
                if let Some(ready) = ready {
                    ready.taken = true;
                }
                Ok((response, attempt))
            }
            Err(failure) => {
                self.arrived += u32::from(failure.has_arrived());
                self.runs += u32::from(failure.run() == Run::Unknown);
                let is_full = matches!(
                    failure,
                    AttemptFailure::Rejected {
                        end: CallOutcome::Full,
                        ..
                    }
                );
                match ready {
                    Some(ready) if is_full && is_reserved => {
                        let rest = self.cx.settings.lost_prompt_rest;
                        let loads = &self.cx.state.loads;
                        loads.block(&ready.holder, rest, self.cx.clock.now());
                        Err(DecodeFailure::PromptLost(failure))
                    }
                    _ => Err(DecodeFailure::Attempt(failure)),
                }
            }
        }
    }

    /// Reserves room at an engine that was not tried yet. If none has memory to spare, the best one is asked all the same.
    async fn next_room(
        &mut self,
        ready: Option<&Ready>,
        record: &mut ForwardRecord,
    ) -> Option<Room> {
        let near = ready.map_or(&self.cx.data_centre, |ready| &ready.holder.data_centre);
        let tokens = self.memory_tokens();
        let is_new = |candidate: &Candidate| !self.tried.contains(&candidate.instance.id);
        if let Some(ttl) = self.engine.reservation_ttl {
            let is_well = |candidate: &Candidate| is_new(candidate) && !candidate.load.is_blocked;
            for _ in 0..self.cx.settings.max_reservations {
                let Some(candidate) = self.choose(Purpose::Decode, near, is_well) else {
                    break;
                };
                let choice = describe(Purpose::Decode, &candidate);
                let attempt = Attempt::begin(&self.cx, candidate.instance, tokens);
                match Room::reserve(&self.cx, attempt, tokens, ttl).await {
                    Ok(room) => {
                        record.note(choice);
                        return Some(room);
                    }
                    Err(failure) => record.note(format_args!("{choice}: {failure}")),
                }
            }
        }
        let candidate = self.choose(Purpose::Decode, near, is_new)?;
        record.note(describe(Purpose::Decode, &candidate));
        let attempt = Attempt::begin(&self.cx, candidate.instance, tokens);
        Some(Room {
            attempt,
            reservation: None,
        })
    }

    fn refusal(&self, last: &str) -> Refusal {
        unserved(&self.cx, &self.call, self.runs, "engine", last)
    }
}
