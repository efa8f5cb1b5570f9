//! Prefilled prompts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::CallOutcome;
use crate::process::forwarding::selection::{Candidate, Purpose};
use crate::request::forward::attempt::{Attempt, AttemptFailure, Sending, describe};
use crate::request::forward::call::Part;
use crate::request::forward::flow::ForwardServices;
use crate::request::forward::generation::Generation;
use crate::request::forward::generation::reservation::release;
use crate::request::forward::link::{SendFailure, read_whole};
use crate::request::forward::record::ForwardRecord;

/// The largest answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 64 << 10;

/// The prefills tried before the decode engine is asked to run the prompt itself.
const MAX_PREFILLS: u32 = 3;

/// A prefilled prompt. Dropping it frees it at its engine, unless a decode engine took it.
pub(super) struct Ready {
    cx: Arc<ForwardServices>,
    /// The engine that holds it.
    pub(super) holder: Arc<Instance>,
    handle: Arc<str>,
    /// The time until which it can be taken.
    pub(super) until: Instant,
    /// Whether a decode engine took it.
    pub(super) taken: bool,
}

impl Ready {
    pub(super) fn part(&self) -> Part {
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
            reservation: None,
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
                attempt.end(CallOutcome::Answered);
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
                attempt.end(CallOutcome::Failed);
                Err(AttemptFailure::Sending(SendFailure::Broken { cause }))
            }
        }
    }
}
