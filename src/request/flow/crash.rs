//! Protection against requests that crash upstreams: the check before each attempt and the report after a failure.

use crate::prelude::*;
use crate::process::message::CrashReport;
use crate::process::quarantine::fingerprint;
use crate::request::admission::Admitted;
use crate::request::attempt::HeldUpstreams;
use crate::request::flow::RequestContext;

/// Returns the fingerprint under which crashes of a request are counted.
pub(super) fn request_fingerprint(admitted: &Admitted, body: &[&[u8]]) -> Digest {
    let route = &admitted.route.id;
    let customer = admitted.customer.as_ref().unwrap_or(route);
    fingerprint(customer, route, body)
}

/// Refuses a request that has crashed two upstreams.
pub(super) fn check_quarantine(
    cx: &RequestContext,
    fingerprint: &Digest,
    run: Run,
) -> Result<(), Refusal> {
    if !cx.quarantine.is_quarantined(fingerprint) {
        return Ok(());
    }
    let message = "the request crashed the upstreams that ran it; change it before you repeat";
    Err(Refusal {
        run,
        ..Refusal::not_run(RefusalKind::Unprocessable, message)
    })
}

/// Reports a connection that broke after the upstream took the request, which may be a crash caused by the request. A
/// connection refused before that can't be.
pub(super) async fn report_crash(
    cx: &RequestContext,
    report: CrashReport,
    held: &HeldUpstreams,
    error: &UpstreamError,
) {
    let broke_off = error.run == Run::Unknown
        && matches!(
            error.kind,
            UpstreamErrorKind::Broken | UpstreamErrorKind::Unreachable
        );
    let held_upstreams = [held.prefill.as_ref(), Some(&held.target)];
    let upstream = held_upstreams
        .into_iter()
        .flatten()
        .find(|u| u.id == report.upstream);
    if let (true, Some(upstream)) = (broke_off, upstream) {
        cx.quarantine
            .report_interruption(report, upstream.address)
            .await;
    }
}
