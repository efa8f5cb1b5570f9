//! The placement of a request: asks the pool for upstreams and holds them.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{PlaceReply, PlaceRequest};
use crate::request::admission::Admitted;
use crate::request::attempt::{HeldUpstreams, place};
use crate::request::flow::RequestContext;
use crate::request::record::RequestRecord;

/// Creates a placement request without the fields that depend on the prompt. An open route's id stands for a customer.
pub(super) fn place_request(
    cx: &RequestContext,
    admitted: &Admitted,
    request: RequestId,
    model: &ModelId,
) -> PlaceRequest {
    let customer = admitted.customer.clone();
    let customer = customer.unwrap_or_else(|| admitted.route.id.clone());
    let compiled = cx.versions.current();
    PlaceRequest {
        request,
        attempt: 1,
        host: cx.host.clone(),
        incarnation: cx.incarnation,
        pool: cx.pool(model),
        weight: compiled.customer(&customer).map_or(1, |c| c.rate),
        customer,
        prompt_tokens: 0,
        max_tokens: 0,
        pieces: SmallVec::new(),
        priority: admitted.route.priority,
        deadline: admitted.route.deadline,
        late: admitted.route.late,
        max_wait: cx.settings.queue_wait,
        hold_limit: cx.settings.engine_deadline,
        avoid: SmallVec::new(),
    }
}

/// Requests upstreams and holds them. `run` tells whether an earlier attempt may have run.
pub(super) async fn hold_upstreams(
    cx: &Arc<RequestContext>,
    record: &RequestRecord,
    req: &PlaceRequest,
    run: Run,
) -> Result<HeldUpstreams, Refusal> {
    let requested_at = cx.clock.now();
    let reply = place(&cx.placer, &cx.tasks, req.clone()).await;
    let waited = cx.clock.now().saturating_duration_since(requested_at);
    record.queued(req, waited);
    let refusal = match reply {
        PlaceReply::Placed(placement) => {
            let compiled = cx.versions.current();
            let (placer, upstreams) = (cx.placer.clone(), cx.upstreams.clone());
            let held = HeldUpstreams::new(
                placer,
                upstreams,
                &cx.tasks,
                &compiled,
                req,
                &placement,
                cx.settings.engine_deadline,
            );
            match held {
                Some(held) => return Ok(held),
                None => Refusal::not_run(RefusalKind::Unavailable, "upstream was removed; repeat"),
            }
        }
        PlaceReply::Busy { expected_wait } => {
            let message = "upstreams are full; repeat after the time in Retry-After";
            let figures = format!(
                "expected_wait={expected_wait:?} limit={:?} waited={waited:?} attempt={}",
                req.max_wait, req.attempt
            );
            Refusal::not_run(RefusalKind::Overloaded, message)
                .with_retry_after(expected_wait)
                .with_figures(figures)
        }
        reply @ (PlaceReply::NoUpstream | PlaceReply::NotOwner | PlaceReply::Withdrawn) => {
            let message = format!(
                "no upstream for {} takes new work; repeat shortly",
                req.pool.model
            );
            let figures = format!("reply={reply:?} waited={waited:?} attempt={}", req.attempt);
            Refusal::not_run(RefusalKind::Overloaded, message).with_figures(figures)
        }
    };
    Err(Refusal { run, ..refusal })
}
