//! Relays an event stream to the caller. If it breaks off and is resumable, another engine continues it.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{ACCEPT_RANGES, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_RANGE, ETAG};
use http::{HeaderMap, HeaderName, Response};
use http_body_util::BodyExt;

use crate::process::forwarding::load::CallOutcome;
use crate::request::forward::attempt::Attempt;
use crate::request::forward::events::{EventMeter, EventSplitter, OversizedEvent};
use crate::request::forward::generation::{DecodeFailure, Generation};
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::relay::{Interruption, RelayStep, ResponseSource};
use crate::request::forward::response::ForwardResponse;
use crate::request::forward::transport::UpstreamBody;
use crate::version::forwarding::RepeatPolicy;

/// The longest time by which a timer fires late while the host runs. After a longer one the host was paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// The time in which a host reads what arrived while it was paused.
const PAUSE_READ_TIME: Duration = Duration::from_millis(50);

/// The call to the engine that generates the stream. Dropping it closes the connection, which ends the run at the engine.
struct OpenCall {
    attempt: Attempt,
    body: UpstreamBody,
}

/// An event stream that is being relayed.
pub struct EventRelay {
    generation: Generation,
    /// `None` while no engine works on the request: after the end of a call, until another engine accepts the rest of the stream.
    open_call: Option<OpenCall>,
    splitter: Option<EventSplitter>,
    meter: EventMeter,
    has_first_event: bool,
    /// Whether the caller has got a whole event of any attempt.
    has_whole_event: bool,
    /// How long the relay has waited for the engine since the last whole event or, before the first one, since it accepted the stream.
    /// Time in which the relay did not wait, as the caller was slow to read, is not part of it.
    silence: Duration,
}

/// Why reading from the upstream failed.
enum ReadFailure {
    /// No whole event came for a while; the engine may still send some.
    Stalled,
    /// The connection ended or sent what is no stream of events.
    Broken(String),
}

/// The headers that describe the bytes of one answer. They don't hold for a stream that several answers make up.
const SINGLE_ANSWER_HEADERS: [HeaderName; 8] = [
    ACCEPT_RANGES,
    CONTENT_LENGTH,
    CONTENT_RANGE,
    ETAG,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("repr-digest"),
];

/// Returns whether the body is compressed or otherwise encoded, so that no events can be found in it.
fn is_encoded(headers: &HeaderMap) -> bool {
    let encodings = headers.get_all(CONTENT_ENCODING);
    encodings.iter().any(|encoding| encoding != "identity")
}

impl EventRelay {
    /// Creates the response to the caller from the first one of `generation`. It keeps the head of that one, whichever engines
    /// continue it.
    pub fn relay(
        generation: Generation,
        attempt: Attempt,
        response: Response<UpstreamBody>,
    ) -> ForwardResponse {
        let (mut head, body) = response.into_parts();
        let is_resumable = generation.call().route.repeat == RepeatPolicy::ResumableStream
            && !is_encoded(&head.headers);
        if is_resumable {
            for name in &SINGLE_ANSWER_HEADERS {
                head.headers.remove(name);
            }
        }
        let relay = Self {
            generation,
            open_call: Some(OpenCall { attempt, body }),
            splitter: is_resumable.then(EventSplitter::default),
            meter: EventMeter::default(),
            has_first_event: false,
            has_whole_event: false,
            silence: Duration::ZERO,
        };
        ForwardResponse::relayed(head, relay)
    }

    /// Ends the open call, which failed for `cause`; `is_broken` tells whether the engine broke it off.
    fn end_failed_call(&mut self, cause: &str, is_broken: bool) {
        if let Some(OpenCall { attempt, .. }) = self.open_call.take() {
            if is_broken {
                attempt.report_crash(self.generation.call(), cause);
                if !self.has_first_event {
                    attempt.report_crashing_parts(self.generation.call());
                }
            }
            attempt.end(CallOutcome::Failed);
        }
    }

    /// Returns what the caller gets of bytes that have arrived: whole events only if the stream is resumable.
    fn pass_on(&mut self, bytes: Bytes) -> Result<Bytes, OversizedEvent> {
        let (bytes, has_whole_event) = if let Some(splitter) = &mut self.splitter {
            let events = splitter.push(&bytes)?;
            let has_whole_event = !events.is_empty();
            (events, has_whole_event)
        } else {
            let has_whole_event = self.meter.push(&bytes)?;
            (bytes, has_whole_event)
        };
        if has_whole_event {
            self.has_whole_event = true;
            self.silence = Duration::ZERO;
        }
        Ok(bytes)
    }

    /// Returns whether a stream that ends now is whole. The end of a connection may be the only mark of the end, so it must come between
    /// two events. A caller that resumes a stream may have got all events before.
    fn is_whole(&self) -> bool {
        let is_inside_event = match &self.splitter {
            Some(splitter) => splitter.is_inside_event(),
            None => self.meter.is_inside_event(),
        };
        let is_resumed = self.generation.call().head.last_event_id.is_some();
        !is_inside_event && (self.has_whole_event || is_resumed)
    }

    fn record_first_event(&mut self, record: &mut ForwardRecord) {
        if std::mem::replace(&mut self.has_first_event, true) {
            return;
        }
        record.record_first_part();
        if let Some(call) = &mut self.open_call {
            call.attempt.record_duration(1.0);
            call.attempt.record_first_event();
        }
    }

    /// Reads the next bytes from the upstream; `None` at the end.
    ///
    /// # Errors
    /// Returns why the stream broke off, or that it stalled.
    async fn read(&mut self) -> Result<Option<Bytes>, ReadFailure> {
        let Some(call) = &mut self.open_call else {
            return Err(ReadFailure::Broken("no engine has the stream".to_owned()));
        };
        let cx = self.generation.context();
        let stall_timeout = cx.settings.stall_timeout;
        loop {
            let frame = if self.splitter.is_some() {
                let began = cx.clock.now();
                // Bytes that complete no event are no progress.
                let stalls_at = began + stall_timeout.saturating_sub(self.silence);
                let frame = tokio::time::timeout_at(stalls_at.into(), call.body.frame()).await;
                let now = cx.clock.now();
                self.silence = if now.saturating_duration_since(stalls_at) > MAX_TIMER_DELAY {
                    // The host was paused, and what the engine sent meanwhile may be unread.
                    stall_timeout.saturating_sub(PAUSE_READ_TIME)
                } else {
                    self.silence + now.saturating_duration_since(began)
                };
                match frame {
                    Ok(frame) => frame,
                    Err(_) if self.silence >= stall_timeout => return Err(ReadFailure::Stalled),
                    Err(_) => continue,
                }
            } else {
                call.body.frame().await
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(e)) => return Err(ReadFailure::Broken(format!("stream broke off: {e}"))),
                None => return Ok(None),
            }
        }
    }

    /// Continues the stream at another engine after the last whole event; returns whether one accepted it.
    async fn resume(&mut self, cause: &str, record: &mut ForwardRecord) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.drop_partial();
        let last_event_id = splitter.last_id().map(str::to_owned);
        let last_event_id =
            last_event_id.or_else(|| self.generation.call().head.last_event_id.clone());
        record.note(format_args!(
            "{cause}; resuming after event {last_event_id:?}"
        ));
        while self.generation.may_try() {
            match self
                .generation
                .resume_decode(last_event_id.clone(), record)
                .await
            {
                Ok((response, attempt)) if is_encoded(response.headers()) => {
                    record.note("engine answered with an encoded body");
                    attempt.end(CallOutcome::Failed);
                }
                Ok((response, attempt)) if response.status().is_success() => {
                    let body = response.into_body();
                    self.open_call = Some(OpenCall { attempt, body });
                    self.has_first_event = false;
                    self.silence = Duration::ZERO;
                    return true;
                }
                Ok((response, attempt)) => {
                    record.note(format_args!(
                        "engine answered with status {}",
                        response.status().as_u16()
                    ));
                    attempt.end(CallOutcome::Answered);
                    return false;
                }
                Err(DecodeFailure::NoEngine) => return false,
                Err(DecodeFailure::Attempt(failure) | DecodeFailure::PromptLost(failure)) => {
                    record.note(&failure);
                }
            }
        }
        false
    }
}

#[async_trait]
impl ResponseSource for EventRelay {
    async fn next(&mut self, record: &mut ForwardRecord) -> RelayStep {
        loop {
            let mut is_broken = false;
            let cause = match self.read().await {
                Ok(Some(bytes)) => {
                    self.record_first_event(record);
                    match self.pass_on(bytes) {
                        Ok(bytes) if bytes.is_empty() => continue,
                        Ok(bytes) => return RelayStep::Bytes(bytes),
                        Err(e) => e.to_string(),
                    }
                }
                Ok(None) if self.is_whole() => {
                    if let Some(call) = self.open_call.take() {
                        self.generation.record_end(call.attempt.sent_at);
                        let fingerprints = self.generation.call().fingerprints();
                        call.attempt.record_sound(&fingerprints);
                        call.attempt.end(CallOutcome::Answered);
                    }
                    return RelayStep::End;
                }
                Ok(None) => {
                    is_broken = true;
                    "stream ended inside an event or without one".to_owned()
                }
                Err(ReadFailure::Stalled) => {
                    if !self.generation.reserve_resume(record).await {
                        // The engine may be slow but sound, and no other one would do better.
                        record.note("no event in time; no other engine has room");
                        self.silence = Duration::ZERO;
                        continue;
                    }
                    "no event in time".to_owned()
                }
                Err(ReadFailure::Broken(cause)) => {
                    is_broken = true;
                    cause
                }
            };
            // The connection closes here, so that no two engines work on the request at once while the next one is asked.
            self.end_failed_call(&cause, is_broken);
            if !self.resume(&cause, record).await {
                return RelayStep::Cut(cause);
            }
        }
    }

    fn interrupt(&mut self, interruption: Interruption) {
        match interruption {
            Interruption::UpstreamLate => self.end_failed_call(interruption.cause(), false),
            // Says nothing of the engine.
            Interruption::CallerSlow | Interruption::HostStops => self.open_call = None,
        }
    }
}
