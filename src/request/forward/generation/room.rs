//! Room at a decode engine: who gets it, and how long a request waits for it.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::process::forwarding::selection::{Candidate, Purpose};
use crate::process::forwarding::wait_queue::Waiter;
use crate::request::forward::attempt::{Attempt, AttemptFailure, describe};
use crate::request::forward::generation::Generation;
use crate::request::forward::generation::reservation::Room;
use crate::request::forward::record::ForwardRecord;

/// Why a request has no room yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoRoom {
    /// Other requests are before it.
    Behind,
    /// It is late, and another host has requests that can be on time.
    Yields,
    /// The prefill engines have enough to do.
    PrefillBusy,
    /// No decode engine has memory or a slot.
    EnginesFull,
}

impl NoRoom {
    fn name(self) -> &'static str {
        match self {
            Self::Behind => "others before it",
            Self::Yields => "late, others can be on time",
            Self::PrefillBusy => "prefill engines busy",
            Self::EnginesFull => "decode engines full",
        }
    }
}

impl Generation {
    /// Waits until a decode engine has room for the request, and reserves it. The prompt is prefilled only then, because a
    /// prefilled prompt that no engine has room for lapses.
    pub(super) async fn wait_for_room(
        &mut self,
        record: &mut ForwardRecord,
    ) -> Result<Room, Refusal> {
        let cx = self.cx.clone();
        let queues = &cx.state.queues;
        let on_time_until = self.on_time_until();
        let mut cause = NoRoom::Behind;
        if queues.is_empty(&self.service) {
            match self.reserve(on_time_until, record).await {
                Ok(room) => return Ok(room),
                Err(no_room) => cause = no_room,
            }
        }
        let give_up = self.give_up_at()?;
        let waiter = Waiter {
            priority: self.call.priority(),
            since: cx.clock.now(),
            on_time_until,
            tokens: self.memory_tokens(),
        };
        record.note(format_args!("waits for room: {}", cause.name()));
        let place = queues.enqueue(&self.service, waiter, &cx.clock);
        cx.state.request_report();
        loop {
            if place.is_head() {
                match self.reserve(on_time_until, record).await {
                    Ok(room) => {
                        cx.state.request_report();
                        return Ok(room);
                    }
                    Err(no_room) if no_room != cause => {
                        cause = no_room;
                        record.note(cause.name());
                    }
                    Err(_) => {}
                }
            }
            let now = cx.clock.now();
            if now >= give_up {
                let last = format!("no engine had room: {}", cause.name());
                return Err(self.refusal(&last));
            }
            let is_on_time = now < on_time_until;
            place
                .wait(if is_on_time {
                    on_time_until.min(give_up)
                } else {
                    give_up
                })
                .await;
            if is_on_time && cx.clock.now() >= on_time_until {
                place.wake_next();
                cx.state.request_report();
            }
        }
    }

    /// Returns the time until which room must be found for the first event to be on time. The caller's time left tells how
    /// long it has waited already, if this is not its first try.
    fn on_time_until(&self) -> Instant {
        let settings = &self.cx.settings;
        let route = &self.call.route;
        let target = route.target_latency.unwrap_or(settings.default_target);
        let patience = self.call.head.patience.unwrap_or_default();
        let waited = route
            .timeout
            .map_or(Duration::ZERO, |timeout| timeout.saturating_sub(patience));
        self.call.arrived + target.mul_f64(settings.wait_part).saturating_sub(waited)
    }

    /// Returns the time for which the caller waits for the first event.
    fn event_patience(&self) -> Duration {
        let settings = &self.cx.settings;
        let route = &self.call.route;
        let target = route.target_latency.unwrap_or_default() * settings.event_patience_targets;
        let gap = route.gap_target.unwrap_or_default() * settings.event_patience_gaps;
        settings.event_patience.max(target).max(gap)
    }

    /// Returns the time until which the request may wait for room.
    fn give_up_at(&self) -> Result<Instant, Refusal> {
        let cx = &self.cx;
        let takers = cx.state.available_upstreams(&self.service);
        let engines = takers
            .iter()
            .filter(|taker| taker.stage != Stage::Prefill)
            .count();
        if engines == 0 {
            return Err(self.refusal("no engine takes new work"));
        }
        let room = self.engine.kv_tokens.saturating_mul(engines as u64);
        let hosts = cx.state.peers().host_count();
        let tokens = self.memory_tokens();
        let wait = cx
            .state
            .queues
            .predicted_wait(&self.service, tokens, room, hosts);
        let now = cx.clock.now();
        let left = self.call.deadline.saturating_duration_since(now);
        let waited = now.saturating_duration_since(self.call.arrived);
        let left = left.min(self.event_patience().saturating_sub(waited));
        let longest = left.mul_f64(cx.settings.late_wait_part);
        if wait > longest {
            let message = "engines are busy for longer than the request may wait; repeat after the time in Retry-After";
            return Err(Refusal::not_run(RefusalKind::Overloaded, message)
                .with_retry_after(wait)
                .with_figures(format!(
                    "predicted_wait={}ms longest={}ms",
                    wait.as_millis(),
                    longest.as_millis()
                )));
        }
        Ok(now + longest)
    }

    /// Tells whether the least busy prefill engine has prompts ahead for longer than `prefill_backlog`.
    fn is_prefill_busy(&self) -> bool {
        let near = &self.cx.data_centre;
        let usable = |candidate: &Candidate| !candidate.load.is_blocked;
        let least = self.choose(Purpose::Prefill, near, usable);
        least.is_some_and(|candidate| {
            let ahead = candidate.load.work().tokens as f64;
            let pace = candidate.load.seconds_per_unit.unwrap_or(0.0);
            ahead * pace > self.cx.settings.prefill_backlog.as_secs_f64()
        })
    }

    /// Reserves room at the best decode engine that has it. An engine that has less memory left than this host knows refuses,
    /// and the next one is asked.
    async fn reserve(
        &mut self,
        on_time_until: Instant,
        record: &mut ForwardRecord,
    ) -> Result<Room, NoRoom> {
        let tokens = self.memory_tokens();
        let mut full = 0;
        for _ in 0..self.cx.settings.max_reservations {
            let (attempt, choice) = self.place(on_time_until)?;
            let Some(ttl) = self.engine.reservation_ttl else {
                record.note(choice);
                return Ok(Room {
                    attempt,
                    reservation: None,
                });
            };
            match Room::reserve(&self.cx, attempt, tokens, ttl).await {
                Ok(room) => {
                    record.note(format_args!("{choice} after {full} without memory"));
                    return Ok(room);
                }
                Err(AttemptFailure::Rejected { .. }) => full += 1,
                Err(failure) => record.note(format_args!("{choice}: {failure}")),
            }
        }
        Err(NoRoom::EnginesFull)
    }

    /// Takes a place at the best decode engine that has room as far as this host knows; describes the choice.
    fn place(&self, on_time_until: Instant) -> Result<(Attempt, String), NoRoom> {
        let settings = &self.cx.settings;
        let is_on_time = self.cx.clock.now() < on_time_until;
        let filled = if is_on_time {
            settings.filled
        } else {
            settings.filled_late
        };
        if !is_on_time
            && self
                .cx
                .state
                .peers()
                .has_on_time_waiter(self.cx.clock.now())
        {
            return Err(NoRoom::Yields);
        }
        let prompt = self.prompt_tokens();
        let by_itself = self.is_prefill_busy();
        if by_itself && !(is_on_time && prompt <= settings.decode_prefill_tokens) {
            return Err(NoRoom::PrefillBusy);
        }
        let tokens = self.memory_tokens();
        let limit = self.engine.kv_tokens as f64 * filled;
        let has_room = |candidate: &Candidate| {
            let work = candidate.load.work();
            let fits = (work.tokens + tokens) as f64 <= limit || work.calls == 0;
            // Two prompts at once would make a pause in the other streams that is late.
            let reads = by_itself && work.prompts > 0;
            fits && !reads
                && work.calls < candidate.instance.slots
                && !candidate.load.is_blocked
                && !self.tried.contains(&candidate.instance.id)
        };
        let candidate = self.choose(Purpose::Decode, &self.cx.data_centre, has_room);
        let candidate = candidate.ok_or(if by_itself {
            NoRoom::PrefillBusy
        } else {
            NoRoom::EnginesFull
        })?;
        let choice = describe(Purpose::Decode, &candidate);
        let prompts = if by_itself { prompt } else { 0 };
        let attempt = Attempt::begin_with_prompt(&self.cx, candidate.instance, tokens, prompts);
        Ok((attempt, choice))
    }
}
