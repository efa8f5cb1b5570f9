//! One attempt of a forwarded request at one upstream.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Response, StatusCode, response};
use http_body_util::Full;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::cold::{Admission, PassClaim, PassOutcome};
use crate::process::forwarding::directory::{Instance, Stage};
use crate::process::forwarding::load::{CallId, CallOutcome, Work};
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::process::forwarding::source::Reach;
use crate::process::message::CrashReport;
use crate::process::metrics;
use crate::process::quarantine::short_digits;
use crate::request::forward::call::{AttemptHead, Call, CallPart};
use crate::request::forward::flow::ForwardContext;
use crate::request::forward::transport::{SendFailure, SendLimits, UpstreamBody};

/// Why an attempt got no response that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The upstream refused the call and won't run it.
    Rejected {
        /// The status of the response.
        cause: String,
        /// How the refusal counts for the upstream's health.
        outcome: CallOutcome,
    },
    /// The call was not sent: the upstream is cold, and this host had no pass for it.
    Cold,
    /// The call could not be sent, or no valid response arrived.
    Send(SendFailure),
}

impl AttemptFailure {
    /// Returns whether the call may have run.
    pub fn run(&self) -> Run {
        match self {
            Self::Rejected { .. } | Self::Cold => Run::NotRun,
            Self::Send(failure) => failure.run(),
        }
    }

    /// Returns whether the call reached an upstream, so that the next one counts as a retry.
    pub fn reached_upstream(&self) -> bool {
        !matches!(
            self,
            Self::Cold | Self::Send(SendFailure::Unreachable { .. })
        )
    }

    /// Classifies a refusal by `instance`. Removes the instance from the directory if another one answered at its address.
    pub fn from_refusal(cx: &ForwardContext, instance: &Instance, head: &response::Parts) -> Self {
        if let Some(other) = unexpected_upstream(cx, instance, head) {
            log::info!(target: "upstream", "upstream {} was replaced: {other} answers at its address", instance.id);
            cx.state.remove_upstream(instance, cx.clock.now());
        }
        let status = head.status;
        let outcome = if status == StatusCode::MISDIRECTED_REQUEST {
            CallOutcome::WrongStage
        } else {
            CallOutcome::Full
        };
        let cause = format!("status {status}");
        Self::Rejected { cause, outcome }
    }

    /// Creates the failure of a call whose upstream sent something that is no valid response to it.
    pub fn invalid(cause: impl Into<String>) -> Self {
        Self::Send(SendFailure::Invalid {
            cause: cause.into(),
        })
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected { cause, .. } => write!(f, "upstream refused the call ({cause})"),
            Self::Cold => f.write_str("upstream is cold and gets no more calls of this host now"),
            Self::Send(failure) => failure.fmt(f),
        }
    }
}

/// Returns the id of the upstream that answered if it isn't the intended one.
pub fn unexpected_upstream(
    cx: &ForwardContext,
    instance: &Instance,
    head: &response::Parts,
) -> Option<String> {
    let answering = cx.codec.read_response(head).upstream;
    answering.filter(|id| **id != *instance.id)
}

/// Records that `instance` answered a call sent at `sent_at`, unless another upstream answered at its address.
pub fn record_answer(
    cx: &ForwardContext,
    instance: &Instance,
    head: &response::Parts,
    sent_at: Instant,
) {
    if unexpected_upstream(cx, instance, head).is_none() {
        cx.state.record_answer(instance, sent_at, cx.clock.now());
    }
}

/// Applies what the head of an answer of `instance` says of the instance itself.
pub fn apply_instance_state(cx: &ForwardContext, instance: &Instance, head: &response::Parts) {
    let response = cx.codec.read_response(head);
    let is_intended = response.upstream.is_none_or(|id| *id == *instance.id);
    if !is_intended {
        return;
    }
    let now = cx.clock.now();
    if response.is_leaving {
        cx.state.mark_leaving(instance, now);
    }
    if let Some(rest) = response.retry_after {
        cx.state.loads.pause(instance, rest, now);
    }
    let Some(limits) = cx.state.cold_limits(&instance.service) else {
        return;
    };
    match cx.codec.read_cold_left(head) {
        Ok(Some(left)) => cx.state.record_cold_answer(instance, &limits, left, now),
        Ok(None) => {}
        Err(e) => {
            if cx.state.is_first_invalid_value(&instance.id) {
                log::warn!(target: "upstream", "part of an answer of upstream {} ignored: {e}", instance.id);
            }
        }
    }
}

/// The options of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOptions {
    /// The part of the call to run.
    pub part: CallPart,
    /// The id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<String>,
    /// The name of the reservation that the call uses.
    pub reservation: Option<Arc<str>>,
    /// The time since the last contact with the upstream within which the call may be sent on a kept connection.
    pub reuse_window: Duration,
    /// When the head of the response must have arrived.
    pub deadline: Instant,
}

/// The addresses that calls of one request were sent to. An answer names its request but not its call, so on a kept connection a late
/// copy of the answer to an earlier call could be taken for that to the next one.
#[derive(Debug, Default)]
pub struct CalledAddresses(SmallVec<[SocketAddr; 4]>);

impl CalledAddresses {
    /// Returns the time since the last contact within which the next call, to `address`, may be sent on a kept connection: `window` for the
    /// first call to an address, none for further ones. Adds the address.
    pub fn reuse_window(&mut self, address: SocketAddr, window: Duration) -> Duration {
        if self.0.contains(&address) {
            return Duration::ZERO;
        }
        self.0.push(address);
        window
    }
}

/// A call to one upstream. It counts towards the upstream's load until it ends. Dropping it doesn't affect the upstream's health, except in a
/// panic.
pub struct Attempt {
    cx: Arc<ForwardContext>,
    /// The upstream that gets the call.
    pub instance: Arc<Instance>,
    call_id: CallId,
    work: Work,
    /// When the call was sent, or when the attempt began if it wasn't sent yet.
    pub sent_at: Instant,
    ended: bool,
    /// The pass that the call will take, if the upstream is cold.
    claim: Option<PassClaim>,
    /// Whether the call may be sent as far as coldness goes.
    has_pass: bool,
}

impl Attempt {
    /// Begins an attempt: adds a call of `tokens` to the upstream's load.
    pub fn begin(cx: &Arc<ForwardContext>, instance: Arc<Instance>, tokens: Tokens) -> Self {
        Self::begin_with_prefill(cx, instance, tokens, 0)
    }

    /// Begins an attempt at a decode engine that also prefills the prompt of `prompt_tokens`.
    pub fn begin_with_prefill(
        cx: &Arc<ForwardContext>,
        instance: Arc<Instance>,
        tokens: Tokens,
        prompt_tokens: Tokens,
    ) -> Self {
        let work = Work {
            calls: 1,
            tokens,
            prompts: prompt_tokens,
        };
        let call_id = rand::random();
        let now = cx.clock.now();
        cx.state.loads.start_call(&instance, work);
        let limits = cx.state.cold_limits(&instance.service);
        let claim = limits.and_then(|limits| cx.state.cold.claim_pass(&instance, &limits, now));
        if tokens > 0 {
            cx.state.request_report();
        }
        Self {
            cx: cx.clone(),
            instance,
            call_id,
            work,
            sent_at: now,
            ended: false,
            claim,
            has_pass: false,
        }
    }

    /// Returns whether the decode engine still has to prefill the prompt.
    pub fn includes_prefill(&self) -> bool {
        self.work.prompts > 0
    }

    /// Takes the pass that the call needs if the upstream is cold. The call must be sent at once.
    ///
    /// # Errors
    /// Returns `AttemptFailure::Cold` if there is none.
    pub fn take_pass(&mut self) -> Result<(), AttemptFailure> {
        if self.has_pass {
            return Ok(());
        }
        let state = &self.cx.state;
        if let Some(limits) = state.cold_limits(&self.instance.service) {
            let (claim, now) = (self.claim.take(), self.cx.clock.now());
            match state.cold.take_pass(&self.instance, &limits, claim, now) {
                PassOutcome::NotNeeded => {}
                PassOutcome::Taken => count_cold_call("sent"),
                PassOutcome::Refused => {
                    count_cold_call("withheld");
                    return Err(AttemptFailure::Cold);
                }
            }
        }
        self.has_pass = true;
        Ok(())
    }

    /// Sends the call and waits for the head of the response.
    ///
    /// # Errors
    /// Returns an `AttemptFailure`, which has been counted in the upstream's health.
    pub async fn send(
        &mut self,
        call: &Call,
        options: SendOptions,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        self.take_pass()?;
        self.sent_at = self.cx.clock.now();
        self.cx
            .state
            .loads
            .record_sent(&self.instance, self.call_id, self.sent_at);
        let is_generation = options.part != CallPart::Prefill;
        let result = self.exchange(call, options).await;
        let now = self.cx.clock.now();
        match &result {
            Ok(_) => self
                .cx
                .state
                .loads
                .record_answer(&self.instance, self.call_id, now),
            Err(AttemptFailure::Rejected { outcome, .. }) => self.finish(*outcome),
            Err(AttemptFailure::Cold) => self.finish(CallOutcome::Abandoned),
            Err(AttemptFailure::Send(failure)) => {
                // If the upstream hangs or has restarted, its other kept connections are dead too.
                self.cx.transport.close_idle(self.instance.address);
                if let SendFailure::Broken { cause } = failure {
                    self.report_crash(call, cause);
                    if is_generation {
                        self.report_crashing_parts(call);
                    }
                }
                let is_unreachable = matches!(failure, SendFailure::Unreachable { .. });
                if is_unreachable {
                    self.cx.state.record_unreachable(&self.instance, now);
                }
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
        options: SendOptions,
    ) -> Result<Response<UpstreamBody>, AttemptFailure> {
        let cx = &self.cx;
        let now = cx.clock.now();
        let expects_signature = options.part != CallPart::Prefill;
        let head = AttemptHead {
            upstream: self.instance.id.clone(),
            part: options.part,
            time_left: call.deadline.saturating_duration_since(now),
            last_event_id: options.last_event_id,
            reservation: options.reservation,
        };
        let mut req = http::Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = cx.codec.write_attempt(call, &head);
        let last_contact = cx.state.loads.last_contact(&self.instance);
        let limits = SendLimits {
            connect_timeout: cx.settings.connect_timeout,
            deadline: options.deadline,
            may_reuse_connection: last_contact
                .is_some_and(|at| now.saturating_duration_since(at) < options.reuse_window),
        };
        let sent = cx.transport.send(self.instance.address, req, limits).await;
        let (head, body) = sent.map_err(AttemptFailure::Send)?.into_parts();
        apply_instance_state(cx, &self.instance, &head);
        let response_head = cx.codec.read_response(&head);
        let status = head.status;
        // On a kept connection, what arrives first may be a copy of an earlier answer. Even a refusal then says nothing of this call.
        let request_id = response_head.request_id.as_deref();
        if request_id.is_some_and(|id| *id != *call.head.id) {
            return Err(AttemptFailure::invalid("answer to another request"));
        }
        if request_id.is_none() && (expects_signature || response_head.not_run) {
            return Err(AttemptFailure::invalid("answer without a request id"));
        }
        record_answer(cx, &self.instance, &head, self.sent_at);
        if response_head.not_run {
            return Err(AttemptFailure::from_refusal(cx, &self.instance, &head));
        }
        // Callers take these statuses to mean that the request did not run, which this response doesn't state.
        let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        let is_unsigned = expects_signature && !response_head.is_signed;
        if promises_not_run || is_unsigned || status.is_informational() {
            return Err(AttemptFailure::invalid(format!(
                "status {status}, signed={}",
                response_head.is_signed
            )));
        }
        Ok(Response::from_parts(head, body))
    }

    /// Records the time from `self.sent_at` to now, in which the upstream did `units` of work.
    pub fn record_duration(&self, units: f64) {
        let duration = self.cx.clock.now().saturating_duration_since(self.sent_at);
        self.cx
            .state
            .loads
            .record_duration(&self.instance, units, duration);
    }

    /// Records the first event of a stream: the engine has finished a prefill of its own.
    pub fn record_first_event(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.work.prompts);
        if prompt_tokens > 0 {
            self.cx
                .state
                .loads
                .record_prefill(&self.instance, prompt_tokens);
            self.cx.state.request_report();
            self.cx.state.queues.wake_heads(self.cx.clock.now());
        }
    }

    /// Records that the upstream may have crashed on the request, and reports it to other hosts. `cause` tells how the call ended.
    pub fn report_crash(&self, call: &Call, cause: &str) {
        let fingerprint = call.fingerprint();
        log::info!(
            target: "quarantine",
            "upstream {} started={} broke off request {}, which counts as a crash: fingerprint={} {cause}",
            self.instance.id,
            self.instance.born,
            call.head.id,
            short_digits(&fingerprint),
        );
        self.report_crash_of(call, [fingerprint]);
    }

    /// Records that the upstream ran the request with these fingerprints to its end.
    pub fn record_sound(&self, fingerprints: &[Digest]) {
        let now = self.cx.clock.now();
        let state = &self.cx.state;
        state.record_sound(fingerprints, self.sent_at, now);
    }

    /// Records that the upstream may have crashed on a part of the prompt, and reports it to other hosts. Only a request that has
    /// got no event can have caused the crash: an engine crashes as it begins to write the answer.
    pub fn report_crashing_parts(&self, call: &Call) {
        self.report_crash_of(call, call.part_fingerprints());
    }

    fn report_crash_of(&self, call: &Call, fingerprints: impl IntoIterator<Item = Digest>) {
        let request = call.quarantine_id();
        let now = self.cx.clock.now();
        for fingerprint in fingerprints {
            let report = CrashReport {
                fingerprint,
                request,
                attempt: 1,
                upstream: self.instance.id.clone(),
            };
            self.cx.state.record_crash(&report, Reach::Host, now);
        }
        self.cx.state.request_report();
    }

    /// Ends the attempt and counts `outcome` in the upstream's health.
    pub fn end(mut self, outcome: CallOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: CallOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.cx.clock.now();
        let loads = &self.cx.state.loads;
        loads.end_call(&self.instance, self.call_id, self.work, outcome, now);
        let is_failure = matches!(
            outcome,
            CallOutcome::Failed | CallOutcome::Unreachable | CallOutcome::WrongStage
        );
        if self.work.tokens > 0 || is_failure {
            self.cx.state.request_report();
            self.cx.state.queues.wake_heads(now);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // What the upstream sent may be the cause of a panic, and would be again.
        self.finish(if std::thread::panicking() {
            CallOutcome::Failed
        } else {
            CallOutcome::Abandoned
        });
    }
}

fn count_cold_call(result: &'static str) {
    ::metrics::counter!(metrics::COLD_CALLS, "result" => result).increment(1);
}

/// Returns whether an instance runs one of `stages`, holds the model that a call needs and is in one of the call's homes.
fn is_suitable(cx: &ForwardContext, call: &Call, instance: &Instance, stages: &[Stage]) -> bool {
    let has_model = |model: &Name| instance.models.is_empty() || instance.models.contains(model);
    stages.contains(&instance.stage)
        && call.head.model.as_ref().is_none_or(has_model)
        && call.may_reach(&instance.data_centre, &cx.state.regions)
}

/// Chooses an upstream of `service` for `requirements` among those that run one of `stages`, hold the model that the call needs, are in
/// one of its homes and pass `accept`.
pub fn choose_upstream(
    cx: &ForwardContext,
    call: &Call,
    service: &ModelId,
    stages: &[Stage],
    requirements: &Requirements,
    accept: impl Fn(&Candidate) -> bool,
) -> Option<Candidate> {
    let now = cx.clock.now();
    let upstreams = cx.state.available_upstreams(service);
    let cold = cx.state.cold_limits(service);
    let candidates: Vec<_> = upstreams
        .iter()
        .filter(|instance| is_suitable(cx, call, instance, stages))
        .map(|instance| Candidate {
            instance: instance.clone(),
            load: cx.state.loads.view(instance, now),
        })
        .filter(|candidate| !candidate.load.is_paused && accept(candidate))
        .filter_map(|mut candidate| {
            if let Some(limits) = &cold {
                let admission = cx.state.cold.may_choose(&candidate.instance, limits, now);
                if matches!(admission, Admission::Closed(_)) {
                    return None;
                }
                candidate.load.is_cold = admission == Admission::WithPass;
            }
            Some(candidate)
        })
        .collect();
    let chosen = cx.selection.choose(requirements, &candidates)?;
    candidates.into_iter().nth(chosen)
}

/// The shortest time after which a request looks again for a pass to a cold upstream.
const MIN_COLD_WAIT: Duration = Duration::from_millis(10);

/// Returns when this host may send a call to one of the cold upstreams of `service` that run one of `stages`, are suitable for the call
/// and pass `accept`, at the earliest; `None` if it may send one to each of them already.
pub fn next_cold_chance(
    cx: &ForwardContext,
    call: &Call,
    service: &ModelId,
    stages: &[Stage],
    accept: impl Fn(&Instance) -> bool,
) -> Option<Instant> {
    let limits = cx.state.cold_limits(service)?;
    let now = cx.clock.now();
    let upstreams = cx.state.available_upstreams(service);
    let suitable = upstreams
        .iter()
        .filter(|instance| is_suitable(cx, call, instance, stages) && accept(instance));
    let chances =
        suitable.filter_map(
            |instance| match cx.state.cold.may_choose(instance, &limits, now) {
                Admission::Closed(until) => Some(until),
                Admission::Open | Admission::WithPass => None,
            },
        );
    chances.min().map(|chance| chance.max(now + MIN_COLD_WAIT))
}

/// Describes a choice for the trail of the request's log line.
pub fn describe_choice(purpose: Purpose, candidate: &Candidate) -> String {
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
