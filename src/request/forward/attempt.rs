//! One attempt of a forwarded request at one upstream.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, response};
use http_body_util::Full;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};
use crate::process::forwarding::load::{CallId, CallOutcome, Work};
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::process::message::CrashReport;
use crate::request::forward::call::{AttemptHead, Call, Part};
use crate::request::forward::flow::ForwardServices;
use crate::request::forward::link::{SendFailure, SendLimits, UpstreamBody};

/// Why an attempt got no answer that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The upstream refused the call and won't run it.
    Rejected {
        /// What it answered.
        cause: String,
        /// What that says of the upstream.
        end: CallOutcome,
    },
    /// The call did not get through, or its answer did not.
    Sending(SendFailure),
}

impl AttemptFailure {
    /// Returns whether the call may have run.
    pub fn run(&self) -> Run {
        match self {
            Self::Rejected { .. } => Run::NotRun,
            Self::Sending(failure) => failure.run(),
        }
    }

    /// Tells whether the call reached an upstream, so that another one counts as a retry.
    pub fn has_arrived(&self) -> bool {
        !matches!(self, Self::Sending(SendFailure::Unreachable { .. }))
    }

    /// Reads a refusal of `instance`; drops an instance whose address another one has.
    pub fn refused_by(cx: &ForwardServices, instance: &Instance, head: &response::Parts) -> Self {
        if let Some(other) = other_at_address(cx, instance, head) {
            log::info!(target: "upstream", "{} is gone: {other} has its address", instance.id);
            cx.state.remove_upstream(instance, cx.clock.now());
        }
        let status = head.status;
        let end = if status == StatusCode::MISDIRECTED_REQUEST {
            CallOutcome::WrongStage
        } else {
            CallOutcome::Full
        };
        let cause = format!("status {status}");
        Self::Rejected { cause, end }
    }

    fn broken(cause: impl Into<String>) -> Self {
        Self::Sending(SendFailure::Broken {
            cause: cause.into(),
        })
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected { cause, .. } => write!(f, "upstream refused the call ({cause})"),
            Self::Sending(failure) => failure.fmt(f),
        }
    }
}

/// Returns the upstream that answered if it is not the one that was meant.
pub fn other_at_address(
    cx: &ForwardServices,
    instance: &Instance,
    head: &response::Parts,
) -> Option<String> {
    let answering = cx.codec.read_answer(head).upstream;
    answering.filter(|id| **id != *instance.id)
}

/// How a call is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending {
    /// The part to run.
    pub part: Part,
    /// The last event that the caller has, if a stream is resumed.
    pub last_event: Option<String>,
    /// The name of the memory that was reserved for the call.
    pub reservation: Option<Arc<str>>,
    /// The age up to which the upstream's last sign of life lets a kept connection carry the call.
    pub fresh: Duration,
    /// The time at which the answer must be there.
    pub until: Instant,
}

/// An attempt: holds its place in the upstream's load until it ends. Dropping it says nothing of the upstream.
pub struct Attempt {
    cx: Arc<ForwardServices>,
    /// The upstream.
    pub instance: Arc<Instance>,
    no: CallId,
    work: Work,
    /// When it was sent, or began if it was not sent yet.
    pub sent: Instant,
    ended: bool,
}

impl Attempt {
    /// Takes a place at an upstream for a call of `tokens`.
    pub fn begin(cx: &Arc<ForwardServices>, instance: Arc<Instance>, tokens: Tokens) -> Self {
        Self::begin_with_prompt(cx, instance, tokens, 0)
    }

    /// Takes a place at a decode engine that prefills a prompt of `prompts` tokens by itself.
    pub fn begin_with_prompt(
        cx: &Arc<ForwardServices>,
        instance: Arc<Instance>,
        tokens: Tokens,
        prompts: Tokens,
    ) -> Self {
        let work = Work {
            calls: 1,
            tokens,
            prompts,
        };
        let no = rand::random();
        let now = cx.clock.now();
        cx.state.loads.start_call(&instance, work);
        if tokens > 0 {
            cx.state.request_report();
        }
        Self {
            cx: cx.clone(),
            instance,
            no,
            work,
            sent: now,
            ended: false,
        }
    }

    /// Tells whether the engine is to prefill the prompt by itself.
    pub fn prefills(&self) -> bool {
        self.work.prompts > 0
    }

    /// Sends the call and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns an `AttemptFailure`; the upstream's health has been recorded.
    pub async fn send(
        &mut self,
        call: &Call,
        sending: Sending,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        self.sent = self.cx.clock.now();
        self.cx
            .state
            .loads
            .record_sent(&self.instance, self.no, self.sent);
        let result = self.exchange(call, sending).await;
        let now = self.cx.clock.now();
        match &result {
            Ok(_) => self
                .cx
                .state
                .loads
                .record_answer(&self.instance, self.no, now),
            Err(AttemptFailure::Rejected { end, .. }) => self.finish(*end),
            Err(AttemptFailure::Sending(failure)) => {
                // Other kept connections to a silent or restarted upstream are no better.
                self.cx.link.close_idle(self.instance.address);
                if matches!(failure, SendFailure::Broken { .. }) {
                    self.report_crash(call);
                }
                let is_unreachable = matches!(failure, SendFailure::Unreachable { .. });
                self.finish(if is_unreachable {
                    CallOutcome::Unreachable
                } else {
                    CallOutcome::Failed
                });
            }
        }
        result
    }

    async fn exchange(
        &self,
        call: &Call,
        sending: Sending,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        let cx = &self.cx;
        let now = cx.clock.now();
        let expects_signature = sending.part != Part::Prefill;
        let head = AttemptHead {
            upstream: self.instance.id.clone(),
            part: sending.part,
            time_left: call.deadline.saturating_duration_since(now),
            last_event: sending.last_event,
            reservation: sending.reservation,
        };
        let mut req = http::Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = cx.codec.write_attempt(call, &head);
        let last_sign = cx.state.loads.last_contact(&self.instance);
        let limits = SendLimits {
            connect: cx.settings.connect_timeout,
            deadline: sending.until,
            reuse: last_sign.is_some_and(|at| now.saturating_duration_since(at) < sending.fresh),
        };
        let sent = cx.link.send(self.instance.address, req, limits).await;
        let (head, body) = sent.map_err(AttemptFailure::Sending)?.into_parts();
        let answer = cx.codec.read_answer(&head);
        let status = head.status;
        if answer.not_run {
            return Err(AttemptFailure::refused_by(cx, &self.instance, &head));
        }
        match &answer.id {
            Some(id) if **id == *call.head.id => {}
            Some(_) => return Err(AttemptFailure::broken("answer to another request")),
            None if expects_signature => {
                return Err(AttemptFailure::broken("answer without a request id"));
            }
            None => {}
        }
        // These statuses tell a caller that the request did not run, which the upstream does not say here.
        let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        let is_unsigned = expects_signature && !answer.is_signed;
        if promises_not_run || is_unsigned || status.is_informational() {
            return Err(AttemptFailure::broken(format!(
                "status {status}, signed={}",
                answer.is_signed
            )));
        }
        Ok(Response::from_parts(head, body))
    }

    /// Takes note that the first part of the answer took `self.sent` to now for `units` of work.
    pub fn measure(&self, units: f64) {
        let took = self.cx.clock.now().saturating_duration_since(self.sent);
        self.cx
            .state
            .loads
            .record_duration(&self.instance, units, took);
    }

    /// Takes note of the first event, before which the engine has prefilled what it had to.
    pub fn first_event(&mut self) {
        let prompts = std::mem::take(&mut self.work.prompts);
        if prompts > 0 {
            self.cx.state.loads.record_prefill(&self.instance, prompts);
            self.cx.state.request_report();
            self.cx.state.queues.wake_heads(self.cx.clock.now());
        }
    }

    /// Has other hosts know that the request broke off with its upstream.
    pub fn report_crash(&self, call: &Call) {
        let hash = blake3::hash(call.head.id.as_bytes());
        let mut request = [0; 16];
        request.copy_from_slice(&hash.as_bytes()[..16]);
        let report = CrashReport {
            fingerprint: call.fingerprint(),
            request: RequestId::from_le_bytes(request),
            attempt: 1,
            upstream: self.instance.id.clone(),
        };
        let now = self.cx.clock.now();
        self.cx.state.record_crash(&report, true, now);
        self.cx.state.request_report();
    }

    /// Ends the attempt.
    pub fn end(mut self, end: CallOutcome) {
        self.finish(end);
    }

    fn finish(&mut self, end: CallOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.cx.clock.now();
        let loads = &self.cx.state.loads;
        loads.end_call(&self.instance, self.no, self.work, end, now);
        let is_news = matches!(
            end,
            CallOutcome::Failed | CallOutcome::Unreachable | CallOutcome::WrongStage
        );
        if self.work.tokens > 0 || is_news {
            self.cx.state.request_report();
            self.cx.state.queues.wake_heads(now);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(CallOutcome::Abandoned);
    }
}

/// Chooses an upstream of `service` for `need` among those that run one of `stages`, hold the model and are accepted.
pub fn choose(
    cx: &ForwardServices,
    service: &ModelId,
    stages: &[Stage],
    model: Option<&Name>,
    need: &Requirements,
    accept: impl Fn(&Candidate) -> bool,
) -> Option<Candidate> {
    let now = cx.clock.now();
    let takers = cx.state.available_upstreams(service);
    let fits = |instance: &&Arc<Instance>| {
        let has_model =
            |model: &Name| instance.models.is_empty() || instance.models.contains(model);
        stages.contains(&instance.stage) && model.is_none_or(has_model)
    };
    let candidates: Vec<_> = takers
        .iter()
        .filter(fits)
        .map(|instance| Candidate {
            instance: instance.clone(),
            load: cx.state.loads.view(instance, now),
        })
        .filter(accept)
        .collect();
    let chosen = cx.selection.choose(need, &candidates)?;
    candidates.into_iter().nth(chosen)
}

/// Describes a choice for the request's account.
pub fn describe(purpose: Purpose, candidate: &Candidate) -> String {
    let purpose = match purpose {
        Purpose::Call => "call",
        Purpose::Prefill => "prefill",
        Purpose::Decode => "decode",
    };
    let work = candidate.load.work();
    let blocked = if candidate.load.is_blocked {
        " blocked"
    } else {
        ""
    };
    format!(
        "{purpose} at {} calls={} tokens={} prompts={} unanswered={}ms{blocked}",
        candidate.instance.id,
        work.calls,
        work.tokens,
        work.prompts,
        candidate.load.unanswered.as_millis()
    )
}

/// Tells whether an answer states a length of at most `limit`, or none.
pub fn is_short(response: &Response<UpstreamBody>, limit: usize) -> bool {
    let length = response.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    length.is_none_or(|length| length <= limit)
}
