//! What is checked and charged before a completion is placed.

use crate::prelude::*;
use crate::request::admission::Admitted;
use crate::request::charge::ChargeGuard;
use crate::request::flow::completion::CompletionJob;
use crate::request::flow::crash::{check_quarantine, fingerprint_of};
use crate::request::flow::{Envelope, RequestContext, admit_envelope, charge_customer};
use crate::request::prefix::estimate_tokens;
use crate::request::record::RequestRecord;

/// A completion that may be placed.
pub(super) struct AdmittedCompletion {
    pub(super) admitted: Admitted,
    /// The job, with its bound on tokens filled in.
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
    let bound = job.max_tokens.unwrap_or(cx.settings.default_max_tokens);
    let limit = cx.settings.max_tokens;
    if bound == 0 || bound > limit {
        let message = format!("max_tokens must be between 1 and {limit}");
        let refusal = Refusal::not_run(RefusalKind::InvalidRequest, message);
        return Err(refusal.with_figures(format!("max_tokens={bound} limit={limit}")));
    }
    let prompt_tokens = estimate_tokens(&job.prompt);
    let tokens = prompt_tokens + Tokens::from(bound);
    let charged = charge_customer(cx, &admitted, envelope.request, tokens).await?;
    let body = [job.model.as_bytes(), job.prompt.as_bytes()];
    let fingerprint = fingerprint_of(&admitted, &body);
    check_quarantine(cx, &fingerprint, Run::NotRun)?;
    Ok(AdmittedCompletion {
        admitted,
        job: CompletionJob {
            max_tokens: Some(bound),
            ..job
        },
        charged,
        prompt_tokens,
        fingerprint,
    })
}
