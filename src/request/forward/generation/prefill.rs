//! Prefills a prompt at an engine and holds it there for a decode engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::CallOutcome;
use crate::process::forwarding::selection::{Candidate, Purpose};
use crate::request::forward::attempt::{Attempt, AttemptFailure, SendOptions, describe_choice};
use crate::request::forward::call::CallPart;
use crate::request::forward::flow::ForwardContext;
use crate::request::forward::generation::Generation;
use crate::request::forward::generation::reservation::release;
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::transport::read_whole;

/// The largest accepted response to a prefill.
const MAX_PREFILL_RESPONSE_BYTES: usize = 64 << 10;

/// The number of prefill engines tried before the decode engine is asked to prefill the prompt itself.
const MAX_PREFILLS: u32 = 3;

/// A prefilled prompt in the memory of its engine. Dropping it frees that memory, unless a decode engine fetched the prompt.
pub(super) struct PrefilledPrompt {
    cx: Arc<ForwardContext>,
    /// The engine that holds the prompt.
    pub(super) holder: Arc<Instance>,
    handle: Arc<str>,
    /// When decode engines are no longer asked to fetch it.
    pub(super) valid_until: Instant,
    /// Whether a decode engine accepted a call that fetches it.
    pub(super) fetched: bool,
}

impl PrefilledPrompt {
    pub(super) fn part(&self) -> CallPart {
        CallPart::Decode {
            source: self.holder.address,
            handle: self.handle.clone(),
        }
    }
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        if self.fetched {
            return;
        }
        let path = self.cx.codec.prompt_release_path(&self.handle);
        release(&self.cx, &self.holder, path);
    }
}

impl Generation {
    /// Prefills the prompt at one of the prefill engines. `None` if none did; a decode engine can prefill it itself.
    pub(super) async fn prefill(
        &mut self,
        preferred_data_centre: &DataCentreId,
        record: &mut ForwardRecord,
    ) -> Option<PrefilledPrompt> {
        let mut tried: SmallVec<[UpstreamId; 4]> = SmallVec::new();
        for _ in 0..MAX_PREFILLS {
            let is_new = |candidate: &Candidate| !tried.contains(&candidate.instance.id);
            let candidate =
                self.choose_upstream(Purpose::Prefill, preferred_data_centre, is_new)?;
            if candidate.load.is_blocked || !self.take_retry("prefill") {
                break;
            }
            record.note(describe_choice(Purpose::Prefill, &candidate));
            tried.push(candidate.instance.id.clone());
            let queued = candidate.load.work().tokens;
            match self.prefill_at(candidate.instance, queued).await {
                Ok(prompt) => {
                    record.note("prefilled");
                    return Some(prompt);
                }
                Err(failure) => {
                    record.note(&failure);
                    self.counted_calls += u32::from(failure.reached_upstream());
                }
            }
        }
        record.note("prefill left to the decode engine");
        None
    }

    async fn prefill_at(
        &mut self,
        holder: Arc<Instance>,
        queued: Tokens,
    ) -> Result<PrefilledPrompt, AttemptFailure> {
        let reuse_window = self.cx.settings.reuse_window_repeatable;
        let reuse_window = self.called.reuse_window(holder.address, reuse_window);
        let cx = &self.cx;
        let tokens = self.prompt_tokens();
        let mut attempt = Attempt::begin(cx, holder.clone(), tokens);
        let slow_prefill_time =
            Duration::from_secs_f64((queued + tokens) as f64 / cx.settings.slow_prefill_rate);
        let deadline = self
            .call
            .deadline
            .min(attempt.sent_at + cx.settings.prefill_grace + slow_prefill_time);
        let options = SendOptions {
            part: CallPart::Prefill,
            last_event_id: None,
            reservation: None,
            reuse_window,
            deadline,
        };
        let response = attempt.send(&self.call, options).await?;
        let mut body = response.into_body();
        let read = read_whole(&mut body, MAX_PREFILL_RESPONSE_BYTES);
        let parsed = match tokio::time::timeout_at(deadline.into(), read).await {
            Ok(Ok(Some(bytes))) => cx.codec.read_prefill(&bytes),
            Ok(Ok(None)) => Err(format!("response above {MAX_PREFILL_RESPONSE_BYTES} bytes")),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("response not complete in time".to_owned()),
        };
        match parsed {
            Ok(response) => {
                attempt.record_duration((queued + tokens) as f64);
                let now = cx.clock.now();
                let took = now.saturating_duration_since(attempt.sent_at);
                cx.state
                    .stage_load
                    .record_prefill(&self.service, tokens, queued, took, now);
                attempt.end(CallOutcome::Answered);
                let ttl = self
                    .engine
                    .handle_ttl
                    .mul_f64(cx.settings.handle_ttl_fraction);
                Ok(PrefilledPrompt {
                    cx: cx.clone(),
                    holder,
                    handle: response.handle,
                    valid_until: cx.clock.now() + ttl,
                    fetched: false,
                })
            }
            Err(cause) => {
                attempt.end(CallOutcome::Failed);
                Err(AttemptFailure::invalid(cause))
            }
        }
    }
}
