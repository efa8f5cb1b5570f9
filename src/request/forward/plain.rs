//! A call of a plain service: one answer, passed on once it is whole.

use std::sync::Arc;
use std::time::Instant;

use http::Response;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::load::CallEnd;
use crate::process::forwarding::selection::{Candidate, Need, Purpose};
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, SendOptions, choose_upstream, describe_choice, may_be_buffered,
};
use crate::request::forward::call::{Call, CallPart};
use crate::request::forward::flow::{ForwardContext, unserved_refusal};
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::transport::{SendFailure, UpstreamBody, read_whole, whole_body};
use crate::version::forwarding::Repeat;

/// The longest answer that is held until it is whole, in bytes. A longer one is passed on as it comes.
const HELD_ANSWER: usize = 256 << 10;

/// The attempts of one call.
struct Calls<'a> {
    cx: &'a Arc<ForwardContext>,
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
    cx: &Arc<ForwardContext>,
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
    let repeatable = call.route.repeat == Repeat::Idempotent;
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
        let Some(candidate) = calls.choose_upstream() else {
            break;
        };
        if calls.arrived > 0 && !cx.state.take_retry(service, "call", now) {
            record.note("no retry left");
            break;
        }
        record.note(describe_choice(Purpose::Call, &candidate));
        calls.tried.push(candidate.instance.id.clone());
        let attempt = Attempt::begin(cx, candidate.instance, 0);
        let deadline = calls.attempt_deadline(now, repeatable);
        match calls.attempt(attempt, deadline, repeatable).await {
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
                calls.arrived += u32::from(failure.reached_upstream());
                calls.runs += u32::from(failure.run() == Run::Unknown);
                last = failure.to_string();
            }
        }
    }
    if let Some(response) = failed {
        return Ok(response);
    }
    Err(unserved_refusal(cx, call, calls.runs, "upstream", &last))
}

impl Calls<'_> {
    fn choose_upstream(&self) -> Option<Candidate> {
        let need = Need {
            purpose: Purpose::Call,
            tokens: 0,
            near: self.cx.data_centre.clone(),
            kv_tokens: 0,
            hosts: self.cx.state.peers().host_count(),
        };
        let stages = [Stage::Whole, Stage::Decode];
        let model = self.call.head.model.as_ref();
        choose_upstream(self.cx, self.service, &stages, model, &need, |candidate| {
            !self.tried.contains(&candidate.instance.id)
        })
    }

    /// Returns the time until which an attempt is waited for: a part of what is left while another one may follow.
    fn attempt_deadline(&self, now: Instant, repeatable: bool) -> Instant {
        let deadline = self.call.deadline;
        if !repeatable || self.runs + 1 >= self.call.route.max_attempts {
            return deadline;
        }
        let settings = &self.cx.settings;
        let left = deadline.saturating_duration_since(now);
        deadline.min(
            now + left
                .mul_f64(settings.attempt_timeout_fraction)
                .max(settings.min_attempt_timeout),
        )
    }

    async fn attempt(
        &self,
        mut attempt: Attempt,
        deadline: Instant,
        repeatable: bool,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        let settings = &self.cx.settings;
        let reuse_window = if repeatable {
            settings.reuse_window_repeatable
        } else {
            settings.reuse_window_once
        };
        let options = SendOptions {
            part: CallPart::Whole,
            last_event_id: None,
            reservation: None,
            reuse_window,
            deadline,
        };
        let response = attempt.send(self.call, options).await?;
        if !may_be_buffered(&response, HELD_ANSWER) {
            attempt.end(CallEnd::Answered);
            return Ok(response);
        }
        let (head, mut body) = response.into_parts();
        let whole = read_whole(&mut body, HELD_ANSWER);
        let failure = match tokio::time::timeout_at(self.call.deadline.into(), whole).await {
            Ok(Ok(Some(whole))) => {
                attempt.record_duration(1.0);
                attempt.end(CallEnd::Answered);
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
        attempt.end(CallEnd::Failed);
        Err(AttemptFailure::Send(failure))
    }
}
