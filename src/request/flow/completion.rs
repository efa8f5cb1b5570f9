//! Completions: attempts at prefill and decode engines, resumed streams and continuations.

mod admission;

use std::sync::Arc;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{CrashReport, PlaceRequest};
use crate::request::admission::Admitted;
use crate::request::answer::{AnswerCursor, AnswerUpdate};
use crate::request::attempt::{AttemptError, AttemptJob, HeldUpstreams, open_stream};
use crate::request::charge::ChargeGuard;
use crate::request::engine::FinishReason;
use crate::request::flow::completion::admission::admit_completion;
use crate::request::flow::crash::{check_quarantine, report_crash};
use crate::request::flow::placement::{hold_upstreams, place_request};
use crate::request::flow::{Envelope, RequestContext, recheck_key};
use crate::request::prefix::{estimate_tokens, piece_hashes};
use crate::request::record::RequestRecord;
use crate::request::retry::FailedAttempt;

/// A completion as decoded by a front end.
#[derive(Debug, Clone)]
pub struct CompletionJob {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// The tokens to generate at most.
    pub max_tokens: Option<u32>,
}

/// An element of a completion's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// One token.
    Token(String),
    /// The end.
    End {
        /// Why it ended.
        reason: FinishReason,
        /// The tokens of the prompt.
        prompt_tokens: Tokens,
        /// The tokens generated.
        output_tokens: Tokens,
    },
}

/// A completion that runs. Dropping it before the end cancels it everywhere.
pub struct CompletionStream {
    cx: Arc<RequestContext>,
    admitted: Admitted,
    job: CompletionJob,
    cursor: AnswerCursor,
    charged: Option<ChargeGuard>,
    running: Option<Running>,
    /// The text answered so far, for a continuation on another engine.
    answered: String,
    avoid: SmallVec<[UpstreamId; 2]>,
    attempts: u32,
    /// The offset of the last resume on the same engine.
    resumed_at: Option<u32>,
    run: Run,
    prompt_tokens: Tokens,
    fingerprint: Digest,
    record: RequestRecord,
}

struct Running {
    held: HeldUpstreams,
    stream: Box<dyn TokenStream>,
}

/// Admits a completion and runs it until its stream is open.
///
/// # Errors
/// Returns the refusal for the caller.
pub async fn start_completion(
    cx: Arc<RequestContext>,
    envelope: Envelope,
    job: CompletionJob,
) -> Result<CompletionStream, Refusal> {
    let mut record = RequestRecord::start(&cx, &envelope);
    let admission = admit_completion(&cx, &envelope, job, &mut record).await;
    let admission = record.note_refusal(admission)?;
    let mut answer = CompletionStream {
        cursor: AnswerCursor::new(envelope.request),
        cx,
        admitted: admission.admitted,
        job: admission.job,
        charged: admission.charged,
        running: None,
        answered: String::new(),
        avoid: SmallVec::new(),
        attempts: 0,
        resumed_at: None,
        run: Run::NotRun,
        prompt_tokens: admission.prompt_tokens,
        fingerprint: admission.fingerprint,
        record,
    };
    let pool = answer.cx.pool(&answer.job.model);
    answer
        .cx
        .retry_budgets
        .count_request(&pool, answer.cx.clock.now());
    let opened = answer.run_attempts(envelope.request).await;
    answer.record.note_refusal(opened)?;
    Ok(answer)
}

impl CompletionStream {
    /// Returns the next token or the end. After the end or an error it must not be called again.
    ///
    /// # Errors
    /// Returns a refusal with `run: unknown` if the answer can't be completed.
    pub async fn next(&mut self) -> Result<AnswerEvent, Refusal> {
        loop {
            let Some(running) = &mut self.running else {
                let message = "answer already ended";
                return Err(Refusal::may_have_run(RefusalKind::UpstreamFailed, message));
            };
            let fault = match running.stream.next().await {
                Ok(frame) => match self.cursor.accept(frame) {
                    Ok(AnswerUpdate::Token(text)) => return Ok(self.take_token(text)),
                    Ok(AnswerUpdate::End(reason)) => return Ok(self.take_end(reason)),
                    Ok(AnswerUpdate::Skip) => continue,
                    Err(fault) => UpstreamError::may_have_run(UpstreamErrorKind::Invalid, fault),
                },
                Err(error) => error,
            };
            match self.recover(fault).await {
                Ok(Some(end)) => return Ok(end),
                Ok(None) => {}
                Err(refusal) => {
                    self.record.cut(&refusal);
                    return Err(refusal);
                }
            }
        }
    }

    fn take_token(&mut self, text: String) -> AnswerEvent {
        self.answered.push_str(&text);
        if let Some(charged) = &mut self.charged {
            charged.use_tokens(1);
        }
        self.record.count_token();
        AnswerEvent::Token(text)
    }

    fn take_end(&mut self, reason: FinishReason) -> AnswerEvent {
        let output_tokens = Tokens::from(self.cursor.offset());
        if let Some(running) = self.running.take() {
            running.held.finish(output_tokens);
        }
        self.charged = None;
        self.record.answered();
        AnswerEvent::End {
            reason,
            prompt_tokens: self.prompt_tokens,
            output_tokens,
        }
    }

    /// Resumes a broken stream on a new connection, or else continues on other upstreams. Returns the end if the
    /// answer turns out to be complete.
    async fn recover(&mut self, fault: UpstreamError) -> Result<Option<AnswerEvent>, Refusal> {
        let Some(mut running) = self.running.take() else {
            return Ok(None);
        };
        let request = self.cursor.request();
        let offset = self.cursor.offset();
        log::info!(request:% = format!("{request:032x}"), offset; "stream broke: {fault}");
        let attempt = self.cursor.next_attempt();
        running.held.set_newest_attempt(attempt);
        let upstream = running.held.target.id.clone();
        // A second break without a token between would only repeat itself.
        let resumed = if self.resumed_at.replace(offset) == Some(offset) {
            Err(fault)
        } else {
            let next = format!("resume at offset={offset}");
            self.record.retried(&upstream, &fault, &next);
            let engine = running.held.decode_engine();
            engine.resume(request, attempt, offset).await
        };
        let error = match resumed {
            Ok(stream) => {
                running.stream = stream;
                self.running = Some(running);
                return Ok(None);
            }
            Err(error) => error,
        };
        // The engine took the request when the stream opened, so a refused resume may be its crash.
        let broke = UpstreamError::may_have_run(error.kind, &error.cause);
        report_crash(
            &self.cx,
            self.crash_report(&upstream),
            &running.held,
            &broke,
        )
        .await;
        let is_down = error.kind == UpstreamErrorKind::Unreachable;
        running.held.fail(&upstream, is_down).await;
        if self.remaining() == 0 {
            // Only the end mark was lost.
            return Ok(Some(self.take_end(FinishReason::Length)));
        }
        // An engine that answers that it holds the request no more is in order and may take the continuation.
        if error.kind != UpstreamErrorKind::Gone {
            self.avoid.push(upstream.clone());
        }
        self.cursor.next_attempt();
        self.take_retry(Run::Unknown, &upstream, &error)?;
        self.run_attempts(request).await.map(|()| None)
    }

    /// Runs attempts until a stream is open or no further attempt is allowed.
    async fn run_attempts(&mut self, request: RequestId) -> Result<(), Refusal> {
        loop {
            self.attempts += 1;
            let held = self.place(request).await?;
            recheck_key(&self.cx, &self.admitted, self.run)?;
            check_quarantine(&self.cx, &self.fingerprint, self.run)?;
            let job = self.attempt_job(request);
            match open_stream(&held, job).await {
                Ok((stream, prompt_tokens)) => {
                    self.count_prompt(prompt_tokens);
                    self.run = Run::Unknown;
                    self.resumed_at = None;
                    self.running = Some(Running { held, stream });
                    return Ok(());
                }
                Err(AttemptError { upstream, error }) => {
                    let report = self.crash_report(&upstream);
                    report_crash(&self.cx, report, &held, &error).await;
                    let is_down = error.kind == UpstreamErrorKind::Unreachable;
                    held.fail(&upstream, is_down).await;
                    self.run = self.run.combine(error.run);
                    self.avoid.push(upstream.clone());
                    self.cursor.next_attempt();
                    self.take_retry(error.run, &upstream, &error)?;
                }
            }
        }
    }

    /// Takes another attempt after `upstream` failed, or refuses the request. `run` tells of the failed attempt alone.
    fn take_retry(
        &self,
        run: Run,
        upstream: &UpstreamId,
        error: &UpstreamError,
    ) -> Result<(), Refusal> {
        let failed = FailedAttempt {
            attempts: self.attempts,
            max_attempts: self.cx.settings.max_attempts,
            run,
            repeatable: self.admitted.route.repeatable,
        };
        let attempts = format!("attempts={} of {}", failed.attempts, failed.max_attempts);
        match self.cx.take_retry(failed, &self.job.model) {
            Ok(()) => {
                self.record.retried(upstream, error, &attempts);
                Ok(())
            }
            Err(rule) => {
                let cause = &error.cause;
                let figures = format!("{rule}: {attempts} upstream={upstream} error={cause}");
                Err(self.refuse(error).with_figures(figures))
            }
        }
    }

    /// Returns the tokens still to generate at most.
    fn remaining(&self) -> u32 {
        let bound = self.job.max_tokens.unwrap_or_default();
        bound.saturating_sub(self.cursor.offset())
    }

    fn crash_report(&self, upstream: &UpstreamId) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint,
            request: self.cursor.request(),
            attempt: self.cursor.attempt(),
            upstream: upstream.clone(),
        }
    }

    fn attempt_job(&self, request: RequestId) -> AttemptJob {
        let offset = self.cursor.offset();
        AttemptJob {
            request,
            attempt: self.cursor.attempt(),
            model: self.job.model.clone(),
            prompt: format!("{}{}", self.job.prompt, self.answered),
            offset,
            max_tokens: self.remaining(),
            priority: self.admitted.route.priority,
            deadline: self.cx.settings.engine_deadline,
        }
    }

    /// Counts the prompt once, as the first engine that prefilled it counted it.
    fn count_prompt(&mut self, tokens: Tokens) {
        if self.cursor.offset() == 0 {
            self.prompt_tokens = tokens;
            if let Some(charged) = &mut self.charged
                && self.run == Run::NotRun
            {
                charged.use_tokens(tokens);
            }
        }
    }

    async fn place(&mut self, request: RequestId) -> Result<HeldUpstreams, Refusal> {
        let cx = self.cx.clone();
        let req = PlaceRequest {
            prompt_tokens: estimate_tokens(&self.job.prompt) + Tokens::from(self.cursor.offset()),
            max_tokens: Tokens::from(self.remaining()),
            pieces: piece_hashes(&self.job.model, &self.job.prompt),
            avoid: self.avoid.clone(),
            ..place_request(&cx, &self.admitted, request, &self.job.model)
        };
        let req = PlaceRequest {
            attempt: self.cursor.attempt(),
            ..req
        };
        hold_upstreams(&cx, &self.record, &req, self.run).await
    }

    fn refuse(&self, error: &UpstreamError) -> Refusal {
        let kind = match error.kind {
            UpstreamErrorKind::Timeout => RefusalKind::UpstreamTimeout,
            UpstreamErrorKind::Full | UpstreamErrorKind::Unreachable => RefusalKind::Overloaded,
            _ => RefusalKind::UpstreamFailed,
        };
        let message = format!(
            "no upstream could complete the request ({}); repeat it",
            error.cause
        );
        Refusal {
            run: self.run,
            ..Refusal::not_run(kind, message)
        }
    }
}
