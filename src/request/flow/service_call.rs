//! Calls of plain services, run at most once if the caller sends an idempotency key on a route that is not repeatable.

use std::sync::Arc;

use crate::prelude::*;
use crate::process::idempotency::{body_hash, key_hash};
use crate::process::message::{ClaimOnce, CrashReport, PlaceRequest};
use crate::request::admission::Admitted;
use crate::request::charge::ChargeGuard;
use crate::request::flow::crash::{check_quarantine, report_crash, request_fingerprint};
use crate::request::flow::placement::{hold_upstreams, place_request};
use crate::request::flow::{
    Envelope, RequestContext, admit_envelope, charge_customer, recheck_key,
};
use crate::request::idempotency::{ClaimResult, IdempotencyClaim};
use crate::request::record::RequestRecord;
use crate::request::retry::FailedAttempt;
use crate::request::service::{ServiceCall, ServiceResponse};
use crate::version::compiled::RouteTarget;

/// Runs a call of a plain service.
///
/// # Errors
/// Returns the refusal for the caller.
pub async fn run_service(
    cx: Arc<RequestContext>,
    envelope: Envelope,
    call: ServiceCall,
) -> Result<ServiceResponse, Refusal> {
    let mut record = RequestRecord::start(&cx, &envelope);
    let result = admit_and_run(&cx, &envelope, call, &mut record).await;
    if result.is_ok() {
        record.answered();
    }
    record.note_refusal(result)
}

/// Admits and charges a call, claims its idempotency key, and makes attempts.
async fn admit_and_run(
    cx: &Arc<RequestContext>,
    envelope: &Envelope,
    call: ServiceCall,
    record: &mut RequestRecord,
) -> Result<ServiceResponse, Refusal> {
    let compiled = cx.versions.current();
    let admitted = admit_envelope(cx, &compiled, envelope)?;
    record.set_customer(admitted.customer.clone());
    let RouteTarget::Service(service) = admitted.route.target.clone() else {
        let message = "this path takes POST with a JSON body";
        return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
    };
    let cost = admitted.route.cost;
    let charged = charge_customer(cx, &admitted, envelope.request, cost).await?;
    let body = [call.method.as_bytes(), call.path.as_bytes(), &call.body];
    let fingerprint = request_fingerprint(&admitted, &body);
    check_quarantine(cx, &fingerprint, Run::NotRun)?;
    let mut claim = match claim_key(cx, &admitted, envelope, &call).await? {
        Some(ClaimResult::Replay(response)) => return Ok(response),
        Some(ClaimResult::Run(claim)) => Some(claim),
        None => None,
    };
    let req = place_request(cx, &admitted, envelope.request, &service);
    let job = ServiceJob {
        req,
        call,
        fingerprint,
    };
    let result = run_attempts(cx, record, &admitted, job, charged, claim.as_mut()).await;
    if let Some(claim) = claim {
        match &result {
            Ok(response) => claim.record_answer(response).await,
            Err(refusal) => claim.record_refusal(refusal.run).await,
        }
    }
    result
}

/// Claims the idempotency key of a request. Returns `None` if it has none or its route is repeatable.
async fn claim_key(
    cx: &RequestContext,
    admitted: &Admitted,
    envelope: &Envelope,
    call: &ServiceCall,
) -> Result<Option<ClaimResult>, Refusal> {
    let Some(key) = envelope.idempotency_key.as_ref() else {
        return Ok(None);
    };
    let route = &admitted.route;
    if route.repeatable {
        return Ok(None);
    }
    let claim = ClaimOnce {
        claim: envelope.request,
        key: key_hash(
            admitted.customer.as_ref().unwrap_or(&route.id),
            &route.id,
            key,
        ),
        body: body_hash(&call.method, &call.path, &call.body),
    };
    IdempotencyClaim::claim(cx.idempotency.clone(), cx.tasks.clone(), claim)
        .await
        .map(Some)
}

/// A call of a plain service with its placement request.
struct ServiceJob {
    req: PlaceRequest,
    call: ServiceCall,
    fingerprint: Digest,
}

/// Makes attempts until a service upstream has responded or no further attempt is allowed.
async fn run_attempts(
    cx: &Arc<RequestContext>,
    record: &RequestRecord,
    admitted: &Admitted,
    job: ServiceJob,
    mut charged: Option<ChargeGuard>,
    mut claim: Option<&mut IdempotencyClaim>,
) -> Result<ServiceResponse, Refusal> {
    let cost = admitted.route.cost;
    let mut run = Run::NotRun;
    let ServiceJob {
        mut req,
        call,
        fingerprint,
    } = job;
    cx.retry_budgets.count_request(&req.pool, cx.clock.now());
    loop {
        let held = hold_upstreams(cx, record, &req, run).await?;
        recheck_key(cx, admitted, run)?;
        check_quarantine(cx, &fingerprint, run)?;
        if let Some(claim) = &mut claim {
            claim.mark_sent();
        }
        let sent_at = cx.clock.now();
        let client = cx.upstreams.service(&held.target.address.to_string());
        match client.call(call.clone()).await {
            Ok(response) => {
                held.finish(0);
                if (200..300).contains(&response.status) {
                    cx.quarantine.record_sound(&fingerprint, sent_at);
                }
                if let Some(charged) = &mut charged {
                    charged.use_tokens(cost);
                }
                return Ok(response);
            }
            Err(error) => {
                let upstream = held.target.id.clone();
                let report = CrashReport {
                    fingerprint,
                    request: req.request,
                    attempt: req.attempt,
                    upstream: upstream.clone(),
                };
                report_crash(cx, report, &held, &error).await;
                let is_down = error.kind == UpstreamErrorKind::Unreachable;
                held.fail(&upstream, is_down).await;
                run = run.combine(error.run);
                if let (Some(claim), Run::NotRun) = (&mut claim, run) {
                    claim.mark_not_run();
                }
                let failed = FailedAttempt {
                    attempts: req.attempt,
                    max_attempts: cx.settings.max_attempts,
                    run: error.run,
                    repeatable: admitted.route.repeatable,
                };
                let attempts = format!("attempts={} of {}", failed.attempts, failed.max_attempts);
                if let Err(rule) = cx.take_retry(failed, &req.pool.model) {
                    if let (Some(charged), Run::Unknown) = (&mut charged, run) {
                        charged.use_tokens(cost);
                    }
                    let cause = &error.cause;
                    let figures = format!("{rule}: {attempts} upstream={upstream} error={cause}");
                    return Err(service_refusal(&error, run).with_figures(figures));
                }
                record.retried(&upstream, &error, &attempts);
                req.attempt += 1;
                req.avoid.push(upstream);
            }
        }
    }
}

fn service_refusal(error: &UpstreamError, run: Run) -> Refusal {
    let (kind, message) = match (error.kind, run) {
        (UpstreamErrorKind::Timeout, _) => (
            RefusalKind::UpstreamTimeout,
            "the service did not answer in time; check its outcome before you repeat",
        ),
        (_, Run::NotRun) => (
            RefusalKind::Overloaded,
            "the service took no call; repeat shortly",
        ),
        (_, Run::Unknown) => (
            RefusalKind::UpstreamFailed,
            "the service failed; check the outcome before you repeat",
        ),
    };
    Refusal {
        run,
        ..Refusal::not_run(kind, message)
    }
}
