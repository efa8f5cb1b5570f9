//! The record of one request: its decisions for the journal, its outcome for the metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::journal::{Decision, Journal, JournalEntry, LONG_QUEUE_THRESHOLD};
use crate::process::message::PlaceRequest;
use crate::process::metrics::{FIRST_TOKEN, REFUSALS, REQUESTS, RETRIES, TOKENS};
use crate::request::flow::{Envelope, RequestContext};

/// The largest size of a path or of figures in a journal entry, in bytes. Limited because callers choose paths, and
/// upstreams the text of errors.
const MAX_TEXT_BYTES: usize = 300;

/// The record of one request. If it is dropped before an outcome is recorded, the caller disconnected.
pub struct RequestRecord {
    journal: Arc<Journal>,
    clock: Arc<dyn Clock>,
    started: Instant,
    request: RequestId,
    customer: Option<CustomerId>,
    path: String,
    tokens: u64,
    outcome: Option<&'static str>,
}

impl RequestRecord {
    /// Starts the record of a request that has just arrived.
    pub fn start(cx: &RequestContext, envelope: &Envelope) -> Self {
        Self {
            journal: cx.journal.clone(),
            clock: cx.clock.clone(),
            started: cx.clock.now(),
            request: envelope.request,
            customer: None,
            path: truncated(envelope.path.clone()),
            tokens: 0,
            outcome: None,
        }
    }

    /// Sets the customer, which is known once the key is checked; `None` on open routes.
    pub fn set_customer(&mut self, customer: Option<CustomerId>) {
        self.customer = customer;
    }

    /// Counts a token passed to the caller; the first one records the time to first token.
    pub fn count_token(&mut self) {
        if self.tokens == 0 {
            let elapsed = self.clock.now().saturating_duration_since(self.started);
            metrics::histogram!(FIRST_TOKEN).record(elapsed.as_secs_f64());
        }
        self.tokens += 1;
    }

    /// Records a wait for upstreams; the journal gets only waits above `LONG_QUEUE_THRESHOLD`.
    pub fn queued(&self, req: &PlaceRequest, waited: Duration) {
        if waited > LONG_QUEUE_THRESHOLD {
            let figures = format!(
                "waited={waited:?} limit={:?} attempt={} model={}",
                req.max_wait, req.attempt, req.pool.model
            );
            self.journal(Decision::QueuedLong, "queue", figures);
        }
    }

    /// Records that the request goes on after `upstream` failed; `next` describes the next attempt for the journal.
    pub fn retried(&self, upstream: &UpstreamId, error: &UpstreamError, next: &str) {
        let cause = error.kind.name();
        metrics::counter!(RETRIES, "cause" => cause).increment(1);
        let figures = format!("{next} upstream={upstream} error={}", error.cause);
        self.journal(Decision::Retried, cause, figures);
    }

    /// Records that the caller was sent the complete answer.
    pub fn answered(&mut self) {
        self.outcome = Some("answered");
    }

    /// Records that the request was refused.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.outcome = Some("refused");
        let kind = refusal.kind.name();
        metrics::counter!(REFUSALS, "kind" => kind).increment(1);
        self.journal(Decision::Refused, kind, figures_of(refusal));
    }

    /// Records that the answer ended in an error after its stream had been opened.
    pub fn cut(&mut self, refusal: &Refusal) {
        self.outcome = Some("cut");
        let figures = format!("tokens={} {}", self.tokens, figures_of(refusal));
        self.journal(Decision::Cut, refusal.kind.name(), figures);
    }

    /// Returns `result` unchanged, recording the refusal if it is one.
    ///
    /// # Errors
    /// Returns the refusal in `result`.
    pub fn note_refusal<T>(&mut self, result: Result<T, Refusal>) -> Result<T, Refusal> {
        result.inspect_err(|refusal| self.refused(refusal))
    }

    fn journal(&self, decision: Decision, rule: &str, figures: String) {
        self.journal.record(JournalEntry {
            time: self.clock.wall_time(),
            request: self.request,
            customer: self.customer.clone(),
            path: self.path.clone(),
            decision,
            rule: rule.to_owned(),
            figures: truncated(figures),
        });
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("left");
        metrics::counter!(REQUESTS, "outcome" => outcome).increment(1);
        if self.tokens > 0 {
            metrics::counter!(TOKENS).increment(self.tokens);
        }
    }
}

/// Returns the figures of a refusal, or its message if it has none.
fn figures_of(refusal: &Refusal) -> String {
    if refusal.figures.is_empty() {
        return refusal.message.clone();
    }
    refusal.figures.clone()
}

fn truncated(mut text: String) -> String {
    text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    text
}
