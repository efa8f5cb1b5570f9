//! A call of a plain service: one answer, passed on once it is whole.

use std::sync::Arc;
use std::time::Instant;

use http::Response;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::load::CallOutcome;
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, Sending, choose, describe, is_short,
};
use crate::request::forward::call::{Call, Part};
use crate::request::forward::flow::{ForwardServices, unserved};
use crate::request::forward::link::{SendFailure, UpstreamBody, read_whole, whole_body};
use crate::request::forward::record::ForwardRecord;
use crate::version::forwarding::RepeatPolicy;

/// The longest answer that is held until it is whole, in bytes. A longer one is passed on as it comes.
const HELD_ANSWER: usize = 256 << 10;

/// The attempts of one call.
struct Calls<'a> {
    cx: &'a Arc<ForwardServices>,
    call: &'a Call,
    service: &'a ModelId,
    tried: SmallVec<[UpstreamId; 4]>,
    /// The attempts that reached an upstream.
    arrived: u32,
    /// The attempts that may have run.
    runs: u32,
}

/// Runs a call.
///
/// # Errors
/// Returns a refusal that says whether the call may have run.
pub async fn run(
    cx: &Arc<ForwardServices>,
    call: &Call,
    service: &ModelId,
    record: &mut ForwardRecord,
) -> Result<Response<UpstreamBody>, Refusal> {
    let mut calls = Calls {
        cx,
        call,
        service,
        tried: SmallVec::new(),
        arrived: 0,
        runs: 0,
    };
    let repeatable = call.route.repeat == RepeatPolicy::Idempotent;
    let mut failed: Option<Response<UpstreamBody>> = None;
    let mut last = "no upstream takes new work".to_owned();
    for _ in 0..cx.settings.max_tries {
        let now = cx.clock.now();
        if now >= call.deadline
            || (calls.runs > 0 && !repeatable)
            || calls.runs >= call.route.max_attempts
        {
            break;
        }
        let Some(candidate) = calls.choose() else {
            break;
        };
        if calls.arrived > 0 && !cx.state.take_retry(service, "call", now) {
            record.note("no retry left");
            break;
        }
        record.note(describe(Purpose::Call, &candidate));
        calls.tried.push(candidate.instance.id.clone());
        let attempt = Attempt::begin(cx, candidate.instance, 0);
        let until = calls.patience(now, repeatable);
        match calls.attempt(attempt, until, repeatable).await {
            Ok(response) => {
                calls.arrived += 1;
                calls.runs += 1;
                if !(repeatable && response.status().is_server_error()) {
                    return Ok(response);
                }
                record.note(format_args!("answered {}", response.status().as_u16()));
                failed = Some(response);
            }
            Err(failure) => {
                record.note(&failure);
                calls.arrived += u32::from(failure.has_arrived());
                calls.runs += u32::from(failure.run() == Run::Unknown);
                last = failure.to_string();
            }
        }
    }
    if let Some(response) = failed {
        return Ok(response);
    }
    Err(unserved(cx, call, calls.runs, "upstream", &last))
}

impl Calls<'_> {
    fn choose(&self) -> Option<Candidate> {
        let need = Requirements {
            purpose: Purpose::Call,
            tokens: 0,
            preferred_data_centre: self.cx.data_centre.clone(),
            kv_tokens: 0,
            host_count: self.cx.state.peers().host_count(),
        };
        let stages = [Stage::Whole, Stage::Decode];
        let model = self.call.head.model.as_ref();
        choose(self.cx, self.service, &stages, model, &need, |candidate| {
            !self.tried.contains(&candidate.instance.id)
        })
    }

    /// Returns the time until which an attempt is waited for: a part of what is left while another one may follow.
    fn patience(&self, now: Instant, repeatable: bool) -> Instant {
        let deadline = self.call.deadline;
        if !repeatable || self.runs + 1 >= self.call.route.max_attempts {
            return deadline;
        }
        let settings = &self.cx.settings;
        let left = deadline.saturating_duration_since(now);
        deadline.min(now + left.mul_f64(settings.patience).max(settings.least_patience))
    }

    async fn attempt(
        &self,
        mut attempt: Attempt,
        until: Instant,
        repeatable: bool,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        let settings = &self.cx.settings;
        let fresh = if repeatable {
            settings.fresh_repeatable
        } else {
            settings.fresh_once
        };
        let sending = Sending {
            part: Part::Whole,
            last_event: None,
            reservation: None,
            fresh,
            until,
        };
        let response = attempt.send(self.call, sending).await?;
        if !is_short(&response, HELD_ANSWER) {
            attempt.end(CallOutcome::Answered);
            return Ok(response);
        }
        let (head, mut body) = response.into_parts();
        let whole = read_whole(&mut body, HELD_ANSWER);
        let failure = match tokio::time::timeout_at(self.call.deadline.into(), whole).await {
            Ok(Ok(Some(whole))) => {
                attempt.measure(1.0);
                attempt.end(CallOutcome::Answered);
                return Ok(Response::from_parts(head, whole_body(whole)));
            }
            Ok(Ok(None)) => SendFailure::Broken {
                cause: format!("answer of unknown length above {HELD_ANSWER} bytes"),
            },
            Ok(Err(e)) => SendFailure::Broken {
                cause: format!("answer broke off: {e}"),
            },
            Err(_) => SendFailure::Timeout,
        };
        attempt.end(CallOutcome::Failed);
        Err(AttemptFailure::Sending(failure))
    }
}
