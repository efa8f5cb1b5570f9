//! Prefilled prompts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::CallEnd;
use crate::process::forwarding::selection::{Candidate, Purpose};
use crate::request::forward::attempt::{Attempt, AttemptFailure, SendOptions, describe_choice};
use crate::request::forward::call::CallPart;
use crate::request::forward::flow::ForwardContext;
use crate::request::forward::generation::Generation;
use crate::request::forward::generation::reservation::release;
use crate::request::forward::record::ForwardRecord;
use crate::request::forward::transport::{SendFailure, read_whole};

/// The largest answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 64 << 10;

/// The prefills tried before the decode engine is asked to run the prompt itself.
const MAX_PREFILLS: u32 = 3;

/// A prefilled prompt. Dropping it frees it at its engine, unless a decode engine took it.
pub(super) struct Ready {
    cx: Arc<ForwardContext>,
    /// The engine that holds it.
    pub(super) holder: Arc<Instance>,
    handle: Arc<str>,
    /// The time until which it can be taken.
    pub(super) valid_until: Instant,
    /// Whether a decode engine took it.
    pub(super) taken: bool,
}

impl Ready {
    pub(super) fn part(&self) -> CallPart {
        CallPart::Decode {
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
        let path = self.cx.codec.prompt_release_path(&self.handle);
        release(&self.cx, &self.holder, path);
    }
}

impl Generation {
    /// Has the prompt prefilled. `None` if no engine did; a decode engine can run the prompt itself.
    pub(super) async fn prefill(
        &mut self,
        near: &DataCentreId,
        record: &mut ForwardRecord,
    ) -> Option<Ready> {
        let mut tried: SmallVec<[UpstreamId; 4]> = SmallVec::new();
        for _ in 0..MAX_PREFILLS {
            let is_new = |candidate: &Candidate| !tried.contains(&candidate.instance.id);
            let candidate = self.choose_upstream(Purpose::Prefill, near, is_new)?;
            if candidate.load.is_blocked || !self.take_retry("prefill") {
                break;
            }
            record.note(describe_choice(Purpose::Prefill, &candidate));
            tried.push(candidate.instance.id.clone());
            let queued = candidate.load.work().tokens;
            match self.prefill_at(candidate.instance, queued).await {
                Ok(ready) => {
                    record.note("prefilled");
                    return Some(ready);
                }
                Err(failure) => {
                    record.note(&failure);
                    self.arrived += u32::from(failure.reached_upstream());
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
        let deadline = self
            .call
            .deadline
            .min(attempt.sent_at + cx.settings.prefill_grace + work);
        let options = SendOptions {
            part: CallPart::Prefill,
            last_event_id: None,
            reservation: None,
            reuse_window: cx.settings.reuse_window_repeatable,
            deadline,
        };
        let response = attempt.send(&self.call, options).await?;
        let mut body = response.into_body();
        let whole = read_whole(&mut body, MAX_PREFILL_ANSWER);
        let read = match tokio::time::timeout_at(deadline.into(), whole).await {
            Ok(Ok(Some(whole))) => cx.codec.read_prefill(&whole),
            Ok(Ok(None)) => Err(format!("answer above {MAX_PREFILL_ANSWER} bytes")),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("answer not complete in time".to_owned()),
        };
        match read {
            Ok(prefilled) => {
                attempt.record_duration((queued + tokens) as f64);
                attempt.end(CallEnd::Answered);
                let ttl = self
                    .engine
                    .handle_ttl
                    .mul_f64(cx.settings.handle_ttl_fraction);
                Ok(Ready {
                    cx: cx.clone(),
                    holder,
                    handle: prefilled.handle,
                    valid_until: cx.clock.now() + ttl,
                    taken: false,
                })
            }
            Err(cause) => {
                attempt.end(CallEnd::Failed);
                Err(AttemptFailure::Send(SendFailure::Broken { cause }))
            }
        }
    }
}
