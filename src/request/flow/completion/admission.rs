//! The checks and the charge before a completion is placed.

use crate::prelude::*;
use crate::request::admission::Admitted;
use crate::request::charge::ChargeGuard;
use crate::request::flow::completion::CompletionJob;
use crate::request::flow::crash::{check_quarantine, request_fingerprint};
use crate::request::flow::{Envelope, RequestContext, admit_envelope, charge_customer};
use crate::request::prefix::estimate_tokens;
use crate::request::record::RequestRecord;

/// A completion that passed every check and is charged.
pub(super) struct AdmittedCompletion {
    pub(super) admitted: Admitted,
    /// The job, with `max_tokens` always set.
    pub(super) job: CompletionJob,
    pub(super) charged: Option<ChargeGuard>,
    pub(super) prompt_tokens: Tokens,
    pub(super) fingerprint: Digest,
}

/// Checks a completion's key, model and size, and charges its customer.
///
/// # Errors
/// Returns the refusal for the caller.
pub(super) async fn admit_completion(
    cx: &RequestContext,
    envelope: &Envelope,
    job: CompletionJob,
    record: &mut RequestRecord,
) -> Result<AdmittedCompletion, Refusal> {
    let compiled = cx.versions.current();
    let admitted = admit_envelope(cx, &compiled, envelope)?;
    record.set_customer(admitted.customer.clone());
    if !compiled.serves(&job.model) {
        let message = format!("unknown model {}; check the name", job.model);
        return Err(Refusal::not_run(RefusalKind::NotFound, message));
    }
    let max_tokens = job.max_tokens.unwrap_or(cx.settings.default_max_tokens);
    let limit = cx.settings.max_tokens;
    if max_tokens == 0 || max_tokens > limit {
        let message = format!("max_tokens must be between 1 and {limit}");
        let refusal = Refusal::not_run(RefusalKind::InvalidRequest, message);
        return Err(refusal.with_figures(format!("max_tokens={max_tokens} limit={limit}")));
    }
    let prompt_tokens = estimate_tokens(&job.prompt);
    let tokens = prompt_tokens + Tokens::from(max_tokens);
    let charged = charge_customer(cx, &admitted, envelope.request, tokens).await?;
    let body = [job.model.as_bytes(), job.prompt.as_bytes()];
    let fingerprint = request_fingerprint(&admitted, &body);
    check_quarantine(cx, &fingerprint, Run::NotRun)?;
    Ok(AdmittedCompletion {
        admitted,
        job: CompletionJob {
            max_tokens: Some(max_tokens),
            ..job
        },
        charged,
        prompt_tokens,
        fingerprint,
    })
}
