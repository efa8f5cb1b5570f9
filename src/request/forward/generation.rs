//! Runs a generation: one engine prefills the prompt, another one generates the tokens and streams them.

mod capacity;
mod prefill;
mod reservation;

use std::sync::Arc;
use std::time::Instant;

use http::Response;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::load::CallOutcome;
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::process::forwarding::service_queues::QueueId;
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, CalledAddresses, SendOptions, choose_upstream, describe_choice,
};
use crate::request::forward::call::{Call, CallPart, TokenCounts};
use crate::request::forward::flow::{
    Clearance, ForwardContext, check_drain_deadline, check_quarantine, unserved_refusal,
};
use crate::request::forward::generation::prefill::PrefilledPrompt;
use crate::request::forward::generation::reservation::{DecodeCapacity, Reservation};
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::response::ForwardResponse;
use crate::request::forward::stream::EventRelay;
use crate::request::forward::transport::UpstreamBody;
use crate::version::forwarding::{EngineLimits, Homes, RepeatPolicy};

/// The attempts of one generation. A stream that breaks off makes further ones.
pub struct Generation {
    cx: Arc<ForwardContext>,
    call: Arc<Call>,
    service: ModelId,
    /// The queue in which the request waits for engine memory.
    queue: QueueId,
    engine: EngineLimits,
    tried: SmallVec<[UpstreamId; 4]>,
    called: CalledAddresses,
    /// The calls that reached an engine and count towards the retry budget: all but a successful prefill.
    counted_calls: u32,
    /// The retries taken from the budget.
    retries_taken: u32,
    /// The decode calls that ran or may have run.
    possible_runs: u32,
    /// The capacity reserved at another engine to continue a stalled stream.
    resume_capacity: Option<DecodeCapacity>,
    /// Since when a decode engine has kept memory for the request.
    held_since: Option<Instant>,
    /// Whether the quarantine lets it run only once more.
    clearance: Clearance,
}

/// Runs a generation up to the head of its stream.
///
/// # Errors
/// Returns a refusal that says whether it may have run.
pub async fn run(
    cx: &Arc<ForwardContext>,
    call: &Arc<Call>,
    service: &ModelId,
    engine: EngineLimits,
    clearance: Clearance,
    record: &mut ForwardRecord,
) -> Result<ForwardResponse, Refusal> {
    let mut generation = Generation {
        cx: cx.clone(),
        call: call.clone(),
        service: service.clone(),
        queue: queue_of(service, call.homes().as_ref()),
        engine,
        tried: SmallVec::new(),
        called: CalledAddresses::default(),
        counted_calls: 0,
        retries_taken: 0,
        possible_runs: 0,
        resume_capacity: None,
        held_since: None,
        clearance,
    };
    let hold_time = cx
        .state
        .queues
        .predicted_hold_time(&generation.queue, generation.output_tokens());
    check_drain_deadline(cx, hold_time)?;
    let capacity = generation.wait_for_capacity(record).await?;
    generation.held_since = Some(cx.clock.now());
    // Equal requests may have crashed engines meanwhile.
    generation.check_quarantine()?;
    let mut prompt = if capacity.attempt.includes_prefill() {
        None
    } else {
        let preferred_data_centre = capacity.attempt.instance.data_centre.clone();
        generation.prefill(&preferred_data_centre, record).await
    };
    let mut capacity = Some(capacity);
    let mut last_failure = "no engine takes new work".to_owned();
    for _ in 0..cx.settings.max_tries {
        if !generation.may_try() {
            break;
        }
        let source = prompt
            .as_mut()
            .filter(|prompt| cx.clock.now() < prompt.valid_until);
        let decoded = generation
            .decode(capacity.take(), source, None, record)
            .await;
        let failure = match decoded {
            Ok((response, attempt)) if response.status().is_success() => {
                return Ok(EventRelay::relay(generation, attempt, response));
            }
            Ok((response, attempt)) => {
                match ForwardResponse::receive(cx, call, attempt, response, |_| {}).await {
                    Ok(response) => return Ok(response),
                    Err(failure) => DecodeFailure::Attempt(failure),
                }
            }
            Err(failure) => failure,
        };
        match failure {
            DecodeFailure::NoEngine => break,
            DecodeFailure::PromptLost(failure) => {
                record.note(format_args!("prefilled prompt lost: {failure}"));
                last_failure = failure.to_string();
                prompt = None;
            }
            DecodeFailure::Attempt(failure) => {
                record.note(&failure);
                last_failure = failure.to_string();
                // An engine that refuses is full or couldn't fetch the prompt, so a second engine is asked to fetch it. After
                // that, or if the failed engine may have fetched it, the next engine prefills the prompt itself.
                let is_refusal = matches!(failure, AttemptFailure::Rejected { .. });
                if (is_refusal && generation.counted_calls > 1)
                    || (!is_refusal && failure.reached_upstream())
                {
                    prompt = None;
                }
            }
        }
    }
    Err(generation.refusal(&last_failure))
}

/// Returns the queue of requests for `service` that are confined to `homes`. They wait apart from the others, as the first of a queue
/// would otherwise hold up others that may go where there is room.
fn queue_of(service: &ModelId, homes: Option<&Homes>) -> QueueId {
    match homes {
        Some(homes) => format!("{service} in {}", homes.regions().join(",")).into(),
        None => service.clone(),
    }
}

/// Why a decode call got no response.
pub enum DecodeFailure {
    /// No engine is left to try, or the retry budget is used up.
    NoEngine,
    /// The attempt at one engine failed; another engine may be asked.
    Attempt(AttemptFailure),
    /// The engine refused the request although it had reserved memory for it, so it couldn't fetch the prefilled prompt.
    PromptLost(AttemptFailure),
}

impl Generation {
    /// Returns the context of the host that runs the generation.
    pub fn context(&self) -> &Arc<ForwardContext> {
        &self.cx
    }

    /// Returns the caller's request.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Records that a decode engine ran the request, sent to it at `sent_at`, to its end.
    pub fn record_end(&self, sent_at: Instant) {
        let now = self.cx.clock.now();
        let state = &self.cx.state;
        let held = now.saturating_duration_since(sent_at);
        state
            .queues
            .record_hold_time(&self.queue, held, self.output_tokens());
        let occupied = now.saturating_duration_since(self.held_since.unwrap_or(sent_at));
        state
            .stage_load
            .record_generation(&self.service, self.final_kv_tokens(), occupied, now);
    }

    /// Checks that the quarantine lets the request run; a trial that has not run yet is let through already.
    fn check_quarantine(&mut self) -> Result<(), Refusal> {
        if self.clearance == Clearance::Full || self.possible_runs > 0 {
            self.clearance = check_quarantine(&self.cx, &self.call)?;
        }
        Ok(())
    }

    /// Returns whether another decode call may be made before the deadline without repeating a request that must run once.
    pub fn may_try(&self) -> bool {
        let repeatable = self.call.route.repeat == RepeatPolicy::ResumableStream;
        let in_time = self.cx.clock.now() < self.call.deadline;
        in_time
            && (self.possible_runs == 0
                || (repeatable && self.possible_runs < self.call.route.max_attempts))
    }

    fn prompt_tokens(&self) -> Tokens {
        self.call.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    fn output_tokens(&self) -> Tokens {
        self.call.head.tokens.map_or(0, |tokens| tokens.output)
    }

    /// Returns the KV memory that the request is expected to take at its decode engine.
    fn expected_kv_tokens(&self) -> Tokens {
        self.call
            .head
            .tokens
            .map_or(0, TokenCounts::expected_kv_tokens)
    }

    /// Returns the KV memory that the request is expected to take at its end.
    fn final_kv_tokens(&self) -> Tokens {
        self.call
            .head
            .tokens
            .map_or(0, |tokens| tokens.prompt.saturating_add(tokens.output / 2))
    }

    fn choose_upstream(
        &self,
        purpose: Purpose,
        preferred_data_centre: &DataCentreId,
        accept: impl Fn(&Candidate) -> bool,
    ) -> Option<Candidate> {
        let requirements = Requirements {
            purpose,
            tokens: match purpose {
                Purpose::Decode => self.expected_kv_tokens(),
                Purpose::Prefill | Purpose::Call => self.prompt_tokens(),
            },
            preferred_data_centre: preferred_data_centre.clone(),
            kv_tokens: self.engine.kv_tokens,
            report_delay: self.cx.state.report_delay(),
        };
        let stages: &[Stage] = match purpose {
            Purpose::Prefill => &[Stage::Prefill],
            Purpose::Decode | Purpose::Call => &[Stage::Decode, Stage::Whole],
        };
        choose_upstream(
            &self.cx,
            &self.call,
            &self.service,
            stages,
            &requirements,
            accept,
        )
    }

    /// Takes a retry from the budget for each call so far that counts; returns whether the budget allowed it.
    fn take_retry(&mut self, cause: &'static str) -> bool {
        let now = self.cx.clock.now();
        while self.retries_taken < self.counted_calls {
            if !self.cx.state.take_retry(&self.service, cause, now) {
                return false;
            }
            self.retries_taken += 1;
        }
        true
    }

    /// Reserves capacity at another engine for `resume_decode`. Returns whether there is any, as far as engines tell before a call.
    pub async fn reserve_resume(&mut self, record: &mut ForwardRecord) -> bool {
        if !self.may_try() {
            return false;
        }
        if self.engine.reservation_ttl.is_none() {
            return true;
        }
        let capacity = self.reserve_untried(None, record).await;
        self.resume_capacity = capacity.filter(|capacity| capacity.reservation.is_some());
        self.resume_capacity.is_some()
    }

    /// Asks a decode engine to prefill the prompt and generate the stream, after `last_event_id` if given.
    ///
    /// # Errors
    /// Returns why the call got no response.
    pub async fn resume_decode(
        &mut self,
        last_event_id: Option<String>,
        record: &mut ForwardRecord,
    ) -> Result<(Response<UpstreamBody>, Attempt), DecodeFailure> {
        let capacity = self.resume_capacity.take();
        self.decode(capacity, None, last_event_id, record).await
    }

    /// Asks the engine that holds `capacity` for the stream, or another one if that engine no longer takes it.
    async fn decode(
        &mut self,
        capacity: Option<DecodeCapacity>,
        prompt: Option<&mut PrefilledPrompt>,
        last_event_id: Option<String>,
        record: &mut ForwardRecord,
    ) -> Result<(Response<UpstreamBody>, Attempt), DecodeFailure> {
        // While the prompt was prefilled, the engine may have begun to drain, or the reservation may have expired.
        let is_still_valid = |capacity: &DecodeCapacity| {
            let state = &self.cx.state;
            let accepts_work = state.with_directory(|d| d.is_available(&capacity.attempt.instance));
            accepts_work && !capacity.has_expired()
        };
        let capacity = match capacity.filter(is_still_valid) {
            Some(capacity) => Some(capacity),
            None => self.reserve_untried(prompt.as_deref(), record).await,
        };
        let mut capacity = capacity.ok_or(DecodeFailure::NoEngine)?;
        if self.check_quarantine().is_err() {
            record.note("request crashes its engines");
            return Err(DecodeFailure::NoEngine);
        }
        if !self.take_retry("decode") {
            record.note("retry budget used up");
            return Err(DecodeFailure::NoEngine);
        }
        // Before the reservation counts as used, so that it is released if the call can't be sent.
        if let Err(failure) = capacity.attempt.take_pass() {
            return Err(DecodeFailure::Attempt(failure));
        }
        let reservation = capacity.reservation.as_mut().and_then(Reservation::take);
        let is_reserved = reservation.is_some();
        let mut attempt = capacity.attempt;
        self.tried.push(attempt.instance.id.clone());
        let reuse_window = self.cx.settings.reuse_window_stream;
        let options = SendOptions {
            part: prompt
                .as_ref()
                .map_or(CallPart::Whole, |prompt| prompt.part()),
            last_event_id,
            reservation,
            reuse_window: self
                .called
                .reuse_window(attempt.instance.address, reuse_window),
            deadline: self.call.deadline,
        };
        let sent = attempt.send(&self.call, options).await;
        match sent {
            Ok(response) => {
                self.counted_calls += 1;
                self.possible_runs += 1;
                if let Some(prompt) = prompt {
                    prompt.fetched = true;
                }
                Ok((response, attempt))
            }
            Err(failure) => {
                self.counted_calls += u32::from(failure.reached_upstream());
                self.possible_runs += u32::from(failure.run() == Run::Unknown);
                let is_full = matches!(
                    failure,
                    AttemptFailure::Rejected {
                        outcome: CallOutcome::Full,
                        ..
                    }
                );
                match prompt {
                    Some(prompt) if is_full && is_reserved => {
                        let cooldown = self.cx.settings.lost_prompt_cooldown;
                        let loads = &self.cx.state.loads;
                        loads.block(&prompt.holder, cooldown, self.cx.clock.now());
                        Err(DecodeFailure::PromptLost(failure))
                    }
                    _ => Err(DecodeFailure::Attempt(failure)),
                }
            }
        }
    }

    /// Reserves memory at an engine that was not tried yet. If none has any to reserve, the best one is tried without.
    async fn reserve_untried(
        &mut self,
        prompt: Option<&PrefilledPrompt>,
        record: &mut ForwardRecord,
    ) -> Option<DecodeCapacity> {
        let preferred_data_centre =
            prompt.map_or(&self.cx.data_centre, |prompt| &prompt.holder.data_centre);
        let tokens = self.expected_kv_tokens();
        let is_new = |candidate: &Candidate| !self.tried.contains(&candidate.instance.id);
        if let Some(ttl) = self.engine.reservation_ttl {
            let is_usable = |candidate: &Candidate| is_new(candidate) && !candidate.load.is_blocked;
            for _ in 0..self.cx.settings.max_reservation_tries {
                let Some(candidate) =
                    self.choose_upstream(Purpose::Decode, preferred_data_centre, is_usable)
                else {
                    break;
                };
                let choice = describe_choice(Purpose::Decode, &candidate);
                let attempt = Attempt::begin(&self.cx, candidate.instance, tokens);
                match DecodeCapacity::reserve(&self.cx, attempt, tokens, ttl).await {
                    Ok(capacity) => {
                        record.note(choice);
                        return Some(capacity);
                    }
                    Err(failure) => record.note(format_args!("{choice}: {failure}")),
                }
            }
        }
        let candidate = self.choose_upstream(Purpose::Decode, preferred_data_centre, is_new)?;
        record.note(describe_choice(Purpose::Decode, &candidate));
        let attempt = Attempt::begin(&self.cx, candidate.instance, tokens);
        Some(DecodeCapacity {
            attempt,
            reservation: None,
        })
    }

    fn refusal(&self, last_failure: &str) -> Refusal {
        unserved_refusal(
            &self.cx,
            &self.call,
            self.possible_runs,
            "engine",
            last_failure,
        )
    }
}
