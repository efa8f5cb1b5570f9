//! Runs a call of a plain service, which has a single response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};
use crate::process::forwarding::selection::{Candidate, Purpose, Requirements};
use crate::process::forwarding::service_queues::QueueEntry;
use crate::process::forwarding::wait_queue::Waiter;
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, CalledAddresses, SendOptions, choose_upstream, describe_choice,
    next_cold_chance,
};
use crate::request::forward::call::{Call, CallPart};
use crate::request::forward::flow::{
    Clearance, ForwardContext, check_drain_deadline, unserved_refusal,
};
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::response::ForwardResponse;
use crate::version::forwarding::RepeatPolicy;

/// How many times their route's target calls take at the most, but for rare ones.
const MAX_TARGETS: u32 = 10;

/// The state of one call across its attempts.
struct CallAttempts<'a> {
    cx: &'a Arc<ForwardContext>,
    call: &'a Call,
    service: &'a ModelId,
    tried: SmallVec<[UpstreamId; 4]>,
    called: CalledAddresses,
    /// The attempts that reached an upstream.
    reached: u32,
    /// The attempts that ran or may have run.
    possible_runs: u32,
}

/// Sends a call to an upstream of `service`, and to others as long as it may be retried. A trial may run at one only.
///
/// # Errors
/// Returns a refusal that says whether the call may have run.
pub async fn run(
    cx: &Arc<ForwardContext>,
    call: &Call,
    service: &ModelId,
    clearance: Clearance,
    record: &mut ForwardRecord,
) -> Result<ForwardResponse, Refusal> {
    let mut attempts = CallAttempts {
        cx,
        call,
        service,
        tried: SmallVec::new(),
        called: CalledAddresses::default(),
        reached: 0,
        possible_runs: 0,
    };
    check_drain_deadline(cx, longest_time(cx, call))?;
    let repeatable = call.route.repeat == RepeatPolicy::Idempotent;
    let mut failed_response: Option<ForwardResponse> = None;
    let mut last_failure = "no upstream takes new work".to_owned();
    let mut cold_wait = None;
    let mut tries = 0;
    while tries < cx.settings.max_tries {
        let now = cx.clock.now();
        if now >= call.deadline
            || (attempts.possible_runs > 0 && !repeatable)
            || attempts.possible_runs >= call.route.max_attempts
        {
            break;
        }
        if clearance == Clearance::Trial && attempts.possible_runs > 0 {
            record.note("a trial runs once");
            break;
        }
        let Some(candidate) = attempts.choose_upstream() else {
            match attempts
                .wait_for_cold_upstream(&mut cold_wait, record)
                .await
            {
                ColdWait::Ended => continue,
                ColdWait::TooLong(_) if failed_response.is_some() => break,
                ColdWait::TooLong(wait) => return Err(attempts.cold_refusal(wait)),
                ColdWait::NoneCold => break,
            }
        };
        tries += 1;
        drop(cold_wait.take());
        if attempts.reached > 0 && !cx.state.take_retry(service, "call", now) {
            record.note("retry budget used up");
            break;
        }
        record.note(describe_choice(Purpose::Call, &candidate));
        attempts.tried.push(candidate.instance.id.clone());
        let attempt = Attempt::begin(cx, candidate.instance, 0);
        let deadline = attempts.attempt_deadline(now, repeatable);
        match attempts.attempt(attempt, deadline, repeatable).await {
            Ok(response) => {
                attempts.reached += 1;
                attempts.possible_runs += 1;
                if !(repeatable && response.status().is_server_error()) {
                    return Ok(response);
                }
                record.note(format_args!(
                    "upstream answered with status {}",
                    response.status().as_u16()
                ));
                failed_response = Some(response);
            }
            Err(failure) => {
                record.note(&failure);
                if failure == AttemptFailure::Cold {
                    // It was not sent, and the upstream may take it later.
                    attempts.tried.pop();
                }
                attempts.reached += u32::from(failure.reached_upstream());
                attempts.possible_runs += u32::from(failure.run() == Run::Unknown);
                last_failure = failure.to_string();
            }
        }
    }
    if let Some(response) = failed_response {
        return Ok(response);
    }
    Err(unserved_refusal(
        cx,
        call,
        attempts.possible_runs,
        "upstream",
        &last_failure,
    ))
}

/// What came of waiting for a cold upstream.
enum ColdWait {
    /// An upstream may take the call now.
    Ended,
    /// None takes it before this time.
    TooLong(Duration),
    /// No upstream that could take the call is cold.
    NoneCold,
}

/// Returns the time that a call takes at the most, but for rare ones.
fn longest_time(cx: &ForwardContext, call: &Call) -> Duration {
    let target = call.route.target_latency;
    let target = target.unwrap_or(cx.settings.default_target);
    let left = call.deadline.saturating_duration_since(cx.clock.now());
    left.min(target * MAX_TARGETS)
}

/// The stages of the upstreams that take calls.
const CALL_STAGES: [Stage; 2] = [Stage::Whole, Stage::Decode];

impl CallAttempts<'_> {
    /// Waits until a cold upstream takes another call of this host. `entry` is the call's place among those that wait; only the first one
    /// wakes for each chance.
    async fn wait_for_cold_upstream(
        &self,
        entry: &mut Option<QueueEntry>,
        record: &mut ForwardRecord,
    ) -> ColdWait {
        let (cx, call) = (self.cx, self.call);
        let is_new = |instance: &Instance| !self.tried.contains(&instance.id);
        let chance = next_cold_chance(cx, call, self.service, &CALL_STAGES, is_new);
        let Some(chance) = chance else {
            return ColdWait::NoneCold;
        };
        let now = cx.clock.now();
        let patience = call.deadline.saturating_duration_since(call.arrived);
        let latest = call.arrived + patience.mul_f64(cx.settings.wait_fraction);
        if chance > latest {
            return ColdWait::TooLong(chance.saturating_duration_since(now));
        }
        let entry = entry.get_or_insert_with(|| {
            record.note("waits for a cold upstream");
            let waiter = Waiter {
                priority: call.priority(),
                since: now,
                on_time_until: latest,
                tokens: 0,
            };
            cx.state
                .cold_queues
                .enqueue(self.service, waiter, &cx.clock)
        });
        entry
            .wait(if entry.is_head() { chance } else { latest })
            .await;
        ColdWait::Ended
    }

    /// Creates the refusal of a call that would have to wait too long for a cold upstream.
    fn cold_refusal(&self, wait: Duration) -> Refusal {
        let last = "its upstreams have just started";
        let refusal = unserved_refusal(self.cx, self.call, self.possible_runs, "upstream", last);
        if self.possible_runs == 0 {
            refusal.with_retry_after(wait)
        } else {
            refusal
        }
    }

    fn choose_upstream(&self) -> Option<Candidate> {
        let requirements = Requirements {
            purpose: Purpose::Call,
            tokens: 0,
            preferred_data_centre: self.cx.data_centre.clone(),
            kv_tokens: 0,
            report_delay: self.cx.state.report_delay(),
        };
        choose_upstream(
            self.cx,
            self.call,
            self.service,
            &CALL_STAGES,
            &requirements,
            |candidate| !self.tried.contains(&candidate.instance.id),
        )
    }

    /// Returns the deadline of the next attempt: that of the call, or a fraction of the time left if another attempt may follow.
    fn attempt_deadline(&self, now: Instant, repeatable: bool) -> Instant {
        let deadline = self.call.deadline;
        if !repeatable || self.possible_runs + 1 >= self.call.route.max_attempts {
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
        &mut self,
        mut attempt: Attempt,
        deadline: Instant,
        repeatable: bool,
    ) -> Result<ForwardResponse, AttemptFailure> {
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
            reuse_window: self
                .called
                .reuse_window(attempt.instance.address, reuse_window),
            deadline,
        };
        let response = attempt.send(self.call, options).await?;
        let record_duration = |attempt: &Attempt| attempt.record_duration(1.0);
        ForwardResponse::receive(self.cx, self.call, attempt, response, record_duration).await
    }
}
