//! Capacity at decode engines: which request gets it, and how long a request waits for it.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::selection::{Candidate, Purpose};
use crate::process::forwarding::wait_queue::Waiter;
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, describe_choice, next_cold_chance,
};
use crate::request::forward::flow::check_reach;
use crate::request::forward::generation::Generation;
use crate::request::forward::generation::reservation::DecodeCapacity;
use crate::request::forward::record::ForwardRecord;

/// The stages of the engines that a generation may use.
const ENGINE_STAGES: [Stage; 3] = [Stage::Prefill, Stage::Decode, Stage::Whole];

/// Why a request waits for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitReason {
    /// Other requests are ahead of it in the queue.
    OthersAhead,
    /// It is late, and another host has waiting requests that can still be on time.
    YieldsToOtherHost,
    /// The backlog of the prefill engines is too long.
    PrefillBusy,
    /// No decode engine has both enough free memory and a free slot.
    EnginesFull,
    /// The same, and some are cold and get no more requests of this host now.
    EnginesCold,
}

impl WaitReason {
    fn name(self) -> &'static str {
        match self {
            Self::OthersAhead => "others before it",
            Self::YieldsToOtherHost => "late, others can be on time",
            Self::PrefillBusy => "prefill engines busy",
            Self::EnginesFull => "decode engines full",
            Self::EnginesCold => "decode engines full or cold",
        }
    }
}

impl Generation {
    /// Waits until a decode engine has capacity for the request, and reserves it. The prompt is prefilled only then, because a
    /// prefilled prompt expires if no decode engine has capacity for it.
    pub(super) async fn wait_for_capacity(
        &mut self,
        record: &mut ForwardRecord,
    ) -> Result<DecodeCapacity, Refusal> {
        let cx = self.cx.clone();
        let queues = &cx.state.queues;
        let on_time_deadline = self.on_time_deadline();
        let mut wait_reason = WaitReason::OthersAhead;
        if queues.is_empty(&self.queue) {
            match self.reserve(on_time_deadline, record).await {
                Ok(capacity) => return Ok(capacity),
                Err(reason) => wait_reason = reason,
            }
        }
        let wait_deadline = self.wait_deadline()?;
        let waiter = Waiter {
            priority: self.call.priority(),
            since: cx.clock.now(),
            on_time_until: on_time_deadline,
            tokens: self.expected_kv_tokens(),
        };
        record.note(format_args!("waits for capacity: {}", wait_reason.name()));
        let entry = queues.enqueue(&self.queue, waiter, &cx.clock);
        cx.state.request_report();
        loop {
            if entry.is_head() {
                match self.reserve(on_time_deadline, record).await {
                    Ok(capacity) => {
                        cx.state.request_report();
                        return Ok(capacity);
                    }
                    Err(reason) if reason != wait_reason => {
                        wait_reason = reason;
                        record.note(wait_reason.name());
                    }
                    Err(_) => {}
                }
            }
            check_reach(&cx, &self.call, &self.service)?;
            let now = cx.clock.now();
            if now >= wait_deadline {
                let last = format!("no engine had room: {}", wait_reason.name());
                return Err(self.refusal(&last));
            }
            let is_on_time = now < on_time_deadline;
            let mut wake_at = if is_on_time {
                on_time_deadline.min(wait_deadline)
            } else {
                wait_deadline
            };
            if entry.is_head() {
                // No event tells that a cold engine takes a request again.
                let chance = self.next_cold_chance(&ENGINE_STAGES);
                wake_at = wake_at.min(chance.unwrap_or(wake_at));
            }
            entry.wait(wake_at).await;
            if is_on_time && cx.clock.now() >= on_time_deadline {
                entry.wake_next();
                cx.state.request_report();
            }
        }
    }

    /// Returns when an engine that runs one of `stages` and is cold may take another request of this host; `None` if none is cold.
    fn next_cold_chance(&self, stages: &[Stage]) -> Option<Instant> {
        next_cold_chance(&self.cx, &self.call, &self.service, stages, |_| true)
    }

    /// Returns when capacity must be found for the first event to be on time. A caller that retries states less than the
    /// route's timeout; the difference is the time that it has waited already.
    fn on_time_deadline(&self) -> Instant {
        let settings = &self.cx.settings;
        let route = &self.call.route;
        let target = route.target_latency.unwrap_or(settings.default_target);
        let caller_timeout = self.call.head.timeout.unwrap_or_default();
        let waited = route.timeout.map_or(Duration::ZERO, |timeout| {
            timeout.saturating_sub(caller_timeout)
        });
        self.call.arrived
            + target
                .mul_f64(settings.wait_fraction)
                .saturating_sub(waited)
    }

    /// Returns how long the caller is assumed to wait for the first event.
    fn caller_event_timeout(&self) -> Duration {
        let settings = &self.cx.settings;
        let route = &self.call.route;
        let target =
            route.target_latency.unwrap_or_default() * settings.caller_event_timeout_targets;
        let gap = route.gap_target.unwrap_or_default() * settings.caller_event_timeout_gaps;
        settings.caller_event_timeout.max(target).max(gap)
    }

    /// Returns when the request stops waiting for capacity, or refuses it if the predicted wait is longer.
    fn wait_deadline(&self) -> Result<Instant, Refusal> {
        let cx = &self.cx;
        let upstreams = cx.state.available_upstreams(&self.service);
        let engines = upstreams
            .iter()
            .filter(|upstream| upstream.stage != Stage::Prefill)
            .filter(|upstream| {
                self.call
                    .may_reach(&upstream.data_centre, &cx.state.regions)
            })
            .count();
        if engines == 0 {
            return Err(self.refusal("no engine takes new work"));
        }
        let kv_tokens = self.engine.kv_tokens.saturating_mul(engines as u64);
        let hosts = cx.state.peers().host_count();
        let tokens = self.expected_kv_tokens();
        let wait = cx
            .state
            .queues
            .predicted_wait(&self.queue, tokens, kv_tokens, hosts);
        let now = cx.clock.now();
        let left = self.call.deadline.saturating_duration_since(now);
        let waited = now.saturating_duration_since(self.call.arrived);
        let left = left.min(self.caller_event_timeout().saturating_sub(waited));
        let max_wait = left.mul_f64(cx.settings.late_wait_fraction);
        if wait > max_wait {
            let message = "engines are busy for longer than the request may wait; repeat after the time in Retry-After";
            return Err(Refusal::not_run(RefusalKind::Overloaded, message)
                .with_retry_after(wait)
                .with_figures(format!(
                    "predicted_wait={}ms longest={}ms",
                    wait.as_millis(),
                    max_wait.as_millis()
                )));
        }
        Ok(now + max_wait)
    }

    /// Returns whether even the best prefill engine has a backlog above `max_prefill_backlog`, or all of them are cold and get no more
    /// requests of this host now.
    fn is_prefill_busy(&self) -> bool {
        let preferred_data_centre = &self.cx.data_centre;
        let is_usable = |candidate: &Candidate| !candidate.load.is_blocked;
        let best = self.choose_upstream(Purpose::Prefill, preferred_data_centre, is_usable);
        let Some(candidate) = best else {
            return self.next_cold_chance(&[Stage::Prefill]).is_some();
        };
        let queued_tokens = candidate.load.work().tokens as f64;
        let seconds_per_token = candidate.load.seconds_per_unit.unwrap_or(0.0);
        queued_tokens * seconds_per_token > self.cx.settings.max_prefill_backlog.as_secs_f64()
    }

    /// Reserves capacity at the best decode engine that has some. An engine with less memory left than this host assumes refuses,
    /// and the next one is asked.
    async fn reserve(
        &mut self,
        on_time_deadline: Instant,
        record: &mut ForwardRecord,
    ) -> Result<DecodeCapacity, WaitReason> {
        let tokens = self.expected_kv_tokens();
        let mut refusals = 0;
        for _ in 0..self.cx.settings.max_reservation_tries {
            let (attempt, choice) = self.begin_decode_attempt(on_time_deadline)?;
            let Some(ttl) = self.engine.reservation_ttl else {
                record.note(choice);
                return Ok(DecodeCapacity {
                    attempt,
                    reservation: None,
                });
            };
            match DecodeCapacity::reserve(&self.cx, attempt, tokens, ttl).await {
                Ok(capacity) => {
                    record.note(format_args!("{choice} after {refusals} refusals"));
                    return Ok(capacity);
                }
                Err(AttemptFailure::Rejected { .. }) => refusals += 1,
                Err(failure) => record.note(format_args!("{choice}: {failure}")),
            }
        }
        Err(WaitReason::EnginesFull)
    }

    /// Begins an attempt at the best decode engine that has capacity as far as this host knows; also describes the choice.
    fn begin_decode_attempt(
        &self,
        on_time_deadline: Instant,
    ) -> Result<(Attempt, String), WaitReason> {
        let settings = &self.cx.settings;
        let is_on_time = self.cx.clock.now() < on_time_deadline;
        let max_fill = if is_on_time {
            settings.max_kv_fill
        } else {
            settings.max_kv_fill_late
        };
        if !is_on_time
            && self
                .cx
                .state
                .peers()
                .has_on_time_waiter(self.cx.clock.now())
        {
            return Err(WaitReason::YieldsToOtherHost);
        }
        let prompt_tokens = self.prompt_tokens();
        let prefill_at_decode = self.is_prefill_busy();
        if prefill_at_decode && !(is_on_time && prompt_tokens <= settings.max_decode_prefill_tokens)
        {
            return Err(WaitReason::PrefillBusy);
        }
        let tokens = self.expected_kv_tokens();
        let limit = self.engine.kv_tokens as f64 * max_fill;
        let has_capacity = |candidate: &Candidate| {
            let work = candidate.load.work();
            let fits = (work.tokens + tokens) as f64 <= limit || work.calls == 0;
            // Two prefills at once would pause the engine's other streams beyond their gap target.
            let is_prefilling = prefill_at_decode && work.prompts > 0;
            fits && !is_prefilling
                && work.calls < candidate.instance.slots
                && !candidate.load.is_blocked
                && !self.tried.contains(&candidate.instance.id)
        };
        let candidate = self.choose_upstream(Purpose::Decode, &self.cx.data_centre, has_capacity);
        let candidate = candidate.ok_or_else(|| {
            if prefill_at_decode {
                WaitReason::PrefillBusy
            } else if self
                .next_cold_chance(&[Stage::Decode, Stage::Whole])
                .is_some()
            {
                WaitReason::EnginesCold
            } else {
                WaitReason::EnginesFull
            }
        })?;
        let choice = describe_choice(Purpose::Decode, &candidate);
        let prefill_tokens = if prefill_at_decode { prompt_tokens } else { 0 };
        let attempt =
            Attempt::begin_with_prefill(&self.cx, candidate.instance, tokens, prefill_tokens);
        Ok((attempt, choice))
    }
}
