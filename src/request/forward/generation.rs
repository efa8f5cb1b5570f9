//! A generation: the prompt is prefilled at one engine, the tokens stream from another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body_util::Full;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};
use crate::process::forwarding::line::Waiter;
use crate::process::forwarding::load::CallEnd;
use crate::process::forwarding::selection::{Candidate, Need, Purpose};
use crate::process::metrics;
use crate::request::forward::attempt::{Attempt, AttemptFailure, Sending, choose, describe};
use crate::request::forward::call::{Call, Part, TokenCounts};
use crate::request::forward::flow::{ForwardServices, Started};
use crate::request::forward::link::{SendFailure, SendLimits, UpstreamBody, read_whole};
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::stream::EventRelay;
use crate::version::forwarding::{EngineLimits, Repeat};

/// The largest answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 64 << 10;

/// The prefills tried before the decode engine is asked to run the prompt itself.
const MAX_PREFILLS: u32 = 3;

/// The wait that is told to callers of a host that stops: others take their requests at once.
const STOP_RETRY: Duration = Duration::from_millis(50);

/// The time for the call that frees a prefilled prompt; it lapses by itself about as soon.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

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

/// A prefilled prompt. Dropping it frees it at its engine, unless a decode engine took it.
struct Ready {
    cx: Arc<ForwardServices>,
    holder: Arc<Instance>,
    handle: Arc<str>,
    until: Instant,
    taken: bool,
}

impl Ready {
    fn part(&self) -> Part {
        Part::Decode {
            source: self.holder.address,
            handle: self.handle.clone(),
        }
    }
}

impl Drop for Ready {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let path = self.cx.codec.release_path(&self.handle);
        let (cx, address) = (self.cx.clone(), self.holder.address);
        let release = async move { release(&cx, address, &path).await };
        self.cx.tasks.spawn(release);
    }
}

async fn release(cx: &ForwardServices, address: SocketAddr, path: &str) {
    let req = Request::delete(path).body(Full::default());
    let Ok(req) = req else { return };
    let limits = SendLimits {
        connect: cx.settings.connect_timeout,
        deadline: cx.clock.now() + RELEASE_TIMEOUT,
        reuse: true,
    };
    if let Err(failure) = cx.link.send(address, req, limits).await {
        // The engine drops the prompt by itself when its time is over.
        log::debug!(target: "upstream", "prefilled prompt at {address} not freed: {failure}");
    }
}

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
    let mut ready = if room.prefills() {
        None
    } else {
        generation.prefill(&room.instance.data_centre, record).await
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
                attempt.end(CallEnd::Answered);
                return Ok(Started::Whole(response));
            }
            Err(DecodeFailure::NoEngine) => break,
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
        let rooms = &self.cx.state.rooms;
        rooms.held(&self.service, held, self.output_tokens());
    }

    /// Tells whether another engine may be tried.
    pub fn may_try(&self) -> bool {
        let repeatable = self.call.route.repeat == Repeat::ResumableStream;
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
        let Some(end) = self.cx.state.end() else {
            return Ok(());
        };
        let rooms = &self.cx.state.rooms;
        let holding = rooms.predicted_holding(&self.service, self.output_tokens());
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
        Err(refusal.after(STOP_RETRY))
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
        let need = Need {
            purpose,
            tokens: match purpose {
                Purpose::Decode => self.memory_tokens(),
                Purpose::Prefill | Purpose::Call => self.prompt_tokens(),
            },
            near: near.clone(),
            kv_tokens: self.engine.kv_tokens,
            hosts: self.cx.state.peers().host_count(),
        };
        let stages: &[Stage] = match purpose {
            Purpose::Prefill => &[Stage::Prefill],
            Purpose::Decode | Purpose::Call => &[Stage::Decode, Stage::Whole],
        };
        let model = self.call.head.model.as_ref();
        choose(&self.cx, &self.service, stages, model, &need, accept)
    }

    /// Waits until a decode engine has room for the request, and reserves it. The prompt is prefilled only then, because a
    /// prefilled prompt that no engine has room for lapses.
    async fn wait_for_room(&mut self, record: &mut ForwardRecord) -> Result<Attempt, Refusal> {
        let cx = self.cx.clone();
        let rooms = &cx.state.rooms;
        let on_time_until = self.on_time_until();
        let mut cause = NoRoom::Behind;
        if rooms.is_empty(&self.service) {
            match self.reserve(on_time_until, record) {
                Ok(room) => return Ok(room),
                Err(no_room) => cause = no_room,
            }
        }
        let give_up = self.give_up_at()?;
        let waiter = Waiter {
            priority: self.call.priority(),
            on_time_until,
            tokens: self.memory_tokens(),
        };
        record.note(format_args!("waits for room: {}", cause.name()));
        let place = rooms.enter(&self.service, waiter, &cx.clock);
        cx.state.report_soon();
        loop {
            if place.is_head() {
                match self.reserve(on_time_until, record) {
                    Ok(room) => {
                        cx.state.report_soon();
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
                place.pass_on();
                cx.state.report_soon();
            }
        }
    }

    /// Returns the time until which room must be found for the first event to be on time. The caller's time left tells how
    /// long it has waited already, if this is not its first try.
    fn on_time_until(&self) -> Instant {
        let settings = &self.cx.settings;
        let route = &self.call.route;
        let target = route.target.unwrap_or(settings.default_target);
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
        let target = route.target.unwrap_or_default() * settings.event_patience_targets;
        let gap = route.gap_target.unwrap_or_default() * settings.event_patience_gaps;
        settings.event_patience.max(target).max(gap)
    }

    /// Returns the time until which the request may wait for room.
    fn give_up_at(&self) -> Result<Instant, Refusal> {
        let cx = &self.cx;
        let takers = cx.state.takers(&self.service);
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
            .rooms
            .predicted_wait(&self.service, tokens, room, hosts);
        let now = cx.clock.now();
        let left = self.call.deadline.saturating_duration_since(now);
        let waited = now.saturating_duration_since(self.call.arrived);
        let left = left.min(self.event_patience().saturating_sub(waited));
        let longest = left.mul_f64(cx.settings.late_wait_part);
        if wait > longest {
            let message = "engines are busy for longer than the request may wait; repeat after the time in Retry-After";
            return Err(Refusal::not_run(RefusalKind::Overloaded, message)
                .after(wait)
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
            let pace = candidate.load.pace.unwrap_or(0.0);
            ahead * pace > self.cx.settings.prefill_backlog.as_secs_f64()
        })
    }

    /// Reserves room at the best decode engine that has it.
    fn reserve(
        &mut self,
        on_time_until: Instant,
        record: &mut ForwardRecord,
    ) -> Result<Attempt, NoRoom> {
        let settings = &self.cx.settings;
        let is_on_time = self.cx.clock.now() < on_time_until;
        let filled = if is_on_time {
            settings.filled
        } else {
            settings.filled_late
        };
        if !is_on_time && self.cx.state.peers().have_on_time(self.cx.clock.now()) {
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
        record.note(describe(Purpose::Decode, &candidate));
        let prompts = if by_itself { prompt } else { 0 };
        Ok(Attempt::begin_with_prompt(
            &self.cx,
            candidate.instance,
            tokens,
            prompts,
        ))
    }

    /// Takes as many retries as one more call needs; tells whether the budget has them.
    fn take_retry(&mut self, cause: &'static str) -> bool {
        while self.retries < self.arrived {
            if !self.take_one_retry(cause) {
                return false;
            }
            self.retries += 1;
        }
        true
    }

    fn take_one_retry(&self, cause: &'static str) -> bool {
        let state = &self.cx.state;
        let hosts = state.peers().host_count();
        let taken = state
            .retries
            .take(&self.service, hosts, self.cx.clock.now());
        if taken {
            ::metrics::counter!(metrics::RETRIES, "cause" => cause).increment(1);
        }
        taken
    }

    /// Has the prompt prefilled. `None` if no engine did; a decode engine can run the prompt itself.
    async fn prefill(&mut self, near: &DataCentreId, record: &mut ForwardRecord) -> Option<Ready> {
        let mut tried: SmallVec<[UpstreamId; 4]> = SmallVec::new();
        for _ in 0..MAX_PREFILLS {
            let is_new = |candidate: &Candidate| !tried.contains(&candidate.instance.id);
            let candidate = self.choose(Purpose::Prefill, near, is_new)?;
            if candidate.load.is_blocked || !self.take_retry("prefill") {
                break;
            }
            record.note(describe(Purpose::Prefill, &candidate));
            tried.push(candidate.instance.id.clone());
            let queued = candidate.load.work().tokens;
            match self.prefill_at(candidate.instance, queued).await {
                Ok(ready) => {
                    record.note("prefilled");
                    return Some(ready);
                }
                Err(failure) => {
                    record.note(&failure);
                    self.arrived += u32::from(failure.has_arrived());
                }
            }
        }
        record.note("prefill at the decode engine");
        None
    }

    async fn prefill_at(
        &self,
        holder: Arc<Instance>,
        queued: Tokens,
    ) -> Result<Ready, AttemptFailure> {
        let cx = &self.cx;
        let tokens = self.prompt_tokens();
        let mut attempt = Attempt::begin(cx, holder.clone(), tokens);
        let work =
            Duration::from_secs_f64((queued + tokens) as f64 / cx.settings.slow_prefill_rate);
        let until = self
            .call
            .deadline
            .min(attempt.sent + cx.settings.prefill_grace + work);
        let sending = Sending {
            part: Part::Prefill,
            last_event: None,
            fresh: cx.settings.fresh_repeatable,
            until,
        };
        let response = attempt.send(&self.call, sending).await?;
        let mut body = response.into_body();
        let whole = read_whole(&mut body, MAX_PREFILL_ANSWER);
        let read = match tokio::time::timeout_at(until.into(), whole).await {
            Ok(Ok(Some(whole))) => cx.codec.read_prefill(&whole),
            Ok(Ok(None)) => Err(format!("answer above {MAX_PREFILL_ANSWER} bytes")),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("answer not complete in time".to_owned()),
        };
        match read {
            Ok(prefilled) => {
                attempt.measure((queued + tokens) as f64);
                attempt.end(CallEnd::Answered);
                let ttl = self.engine.handle_ttl.mul_f64(cx.settings.handle_part);
                Ok(Ready {
                    cx: cx.clone(),
                    holder,
                    handle: prefilled.handle,
                    until: cx.clock.now() + ttl,
                    taken: false,
                })
            }
            Err(cause) => {
                attempt.end(CallEnd::Failed);
                Err(AttemptFailure::Sending(SendFailure::Broken { cause }))
            }
        }
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
        room: Option<Attempt>,
        ready: Option<&mut Ready>,
        last_event: Option<String>,
        record: &mut ForwardRecord,
    ) -> Result<(Response<UpstreamBody>, Attempt), DecodeFailure> {
        let room = match room {
            Some(room) => Some(room),
            None => self.next_engine(ready.as_deref(), record),
        };
        let mut attempt = room.ok_or(DecodeFailure::NoEngine)?;
        if !self.take_retry("decode") {
            record.note("no retry left");
            return Err(DecodeFailure::NoEngine);
        }
        self.tried.push(attempt.instance.id.clone());
        let sending = Sending {
            part: ready.as_ref().map_or(Part::Whole, |ready| ready.part()),
            last_event,
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
                Err(DecodeFailure::Attempt(failure))
            }
        }
    }

    /// Reserves room at an engine that was not tried yet, however full it is.
    fn next_engine(&self, ready: Option<&Ready>, record: &mut ForwardRecord) -> Option<Attempt> {
        let near = ready.map_or(&self.cx.data_centre, |ready| &ready.holder.data_centre);
        let is_new = |candidate: &Candidate| !self.tried.contains(&candidate.instance.id);
        let candidate = self.choose(Purpose::Decode, near, is_new)?;
        record.note(describe(Purpose::Decode, &candidate));
        Some(Attempt::begin(
            &self.cx,
            candidate.instance,
            self.memory_tokens(),
        ))
    }

    fn refusal(&self, last: &str) -> Refusal {
        if self.runs == 0 {
            let message = format!(
                "no engine could take the request ({last}); repeat after the time in Retry-After"
            );
            return Refusal::not_run(RefusalKind::Overloaded, message)
                .after(self.cx.settings.retry_after);
        }
        let kind = if self.cx.clock.now() >= self.call.deadline {
            RefusalKind::UpstreamTimeout
        } else {
            RefusalKind::UpstreamFailed
        };
        Refusal::unknown(kind, format!("{last}; repeat it only if it may run twice"))
    }
}
