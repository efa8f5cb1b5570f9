//! A stream of events on its way to the caller; one that may be resumed continues at another engine.

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::process::forwarding::load::CallOutcome;
use crate::request::forward::attempt::Attempt;
use crate::request::forward::events::EventSplitter;
use crate::request::forward::generation::{DecodeFailure, Generation};
use crate::request::forward::link::{BodyError, UpstreamBody};
use crate::request::forward::record::{ForwardRecord, Outcome};
use crate::version::forwarding::RepeatPolicy;

/// A stream under way.
pub struct EventRelay {
    generation: Generation,
    attempt: Option<Attempt>,
    head: http::response::Parts,
    body: UpstreamBody,
    splitter: Option<EventSplitter>,
    started: bool,
}

/// What comes next in a stream.
enum Next {
    /// Bytes to pass on.
    Bytes(Bytes),
    /// The end, after these bytes.
    End(Bytes),
    /// The stream broke off for good.
    Cut(String),
}

impl EventRelay {
    /// Passes on `response`, the first answer to `generation`.
    pub fn new(generation: Generation, attempt: Attempt, response: Response<UpstreamBody>) -> Self {
        let (head, body) = response.into_parts();
        let is_resumable = generation.call().route.repeat == RepeatPolicy::ResumableStream;
        Self {
            generation,
            attempt: Some(attempt),
            head,
            body,
            splitter: is_resumable.then(EventSplitter::default),
            started: false,
        }
    }

    /// Makes the answer to the caller. Dropping its body cancels the generation.
    pub fn into_response(self, record: ForwardRecord) -> Response<UpstreamBody> {
        let mut head = Response::new(()).into_parts().0;
        head.status = self.head.status;
        head.headers = self.head.headers.clone();
        let status = head.status.as_u16();
        let frames = stream::unfold(Some((self, record)), move |open| async move {
            let (mut relay, mut record) = open?;
            match relay.next(&mut record).await {
                Next::Bytes(bytes) => Some((Ok(Frame::data(bytes)), Some((relay, record)))),
                Next::End(bytes) => {
                    record.finish(Outcome::Answered, status);
                    Some((Ok(Frame::data(bytes)), None))
                }
                Next::Cut(cause) => {
                    record.note(&cause);
                    record.finish(Outcome::Cut, status);
                    Some((Err(BodyError::from(cause)), None))
                }
            }
        });
        Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
    }

    async fn next(&mut self, record: &mut ForwardRecord) -> Next {
        loop {
            let cause = match self.read().await {
                Ok(Some(bytes)) => {
                    self.note_first(record);
                    let bytes = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => bytes,
                    };
                    if bytes.is_empty() {
                        continue;
                    }
                    return Next::Bytes(bytes);
                }
                Ok(None) => {
                    if let Some(attempt) = self.attempt.take() {
                        self.generation.note_held(attempt.sent);
                        attempt.end(CallOutcome::Answered);
                    }
                    let rest = self.splitter.as_mut().map(EventSplitter::finish);
                    return Next::End(rest.unwrap_or_default());
                }
                Err(cause) => cause,
            };
            if let Some(attempt) = self.attempt.take() {
                attempt.report_crash(self.generation.call());
                attempt.end(CallOutcome::Failed);
            }
            if !self.resume(&cause, record).await {
                return Next::Cut(cause);
            }
        }
    }

    fn note_first(&mut self, record: &mut ForwardRecord) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        record.first_part();
        if let Some(attempt) = &mut self.attempt {
            attempt.measure(1.0);
            attempt.first_event();
        }
    }

    /// Reads the next bytes; `None` at the end.
    async fn read(&mut self) -> Result<Option<Bytes>, String> {
        let cx = self.generation.services();
        let mut until = self.generation.call().deadline;
        if self.splitter.is_some() {
            until = until.min(cx.clock.now() + cx.settings.resume_gap);
        }
        loop {
            match tokio::time::timeout_at(until.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Ok(Some(Err(e))) => return Err(format!("stream broke off: {e}")),
                Ok(None) => return Ok(None),
                Err(_) => return Err("no event in time".to_owned()),
            }
        }
    }

    /// Continues the stream at another engine after the last whole event; tells whether it does.
    async fn resume(&mut self, cause: &str, record: &mut ForwardRecord) -> bool {
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        splitter.drop_partial();
        let last = splitter.last_id().map(str::to_owned);
        let last = last.or_else(|| self.generation.call().head.last_event.clone());
        record.note(format_args!("{cause}; resuming after event {last:?}"));
        while self.generation.may_try() {
            match self.generation.decode_whole(last.clone(), record).await {
                Ok((response, attempt)) if response.status().is_success() => {
                    self.body = response.into_body();
                    self.attempt = Some(attempt);
                    self.started = false;
                    return true;
                }
                Ok((response, attempt)) => {
                    record.note(format_args!("answered {}", response.status().as_u16()));
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
