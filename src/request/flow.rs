//! The path of a request: key check, rate limit, placement, attempts, answer.

pub mod completion;
mod crash;
mod placement;
pub mod service_call;
pub mod settings;

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::distribution::freshness::Freshness;
use crate::process::idempotency::Idempotency;
use crate::process::journal::Journal;
use crate::process::limits::Limits;
use crate::process::message::{Charge, PoolId};
use crate::process::placer::Placer;
use crate::process::quarantine::Quarantine;
use crate::request::admission::{Admitted, admit, check_key};
use crate::request::charge::{ChargeGuard, charge};
use crate::request::retry::{FailedAttempt, RetryBudgets};
use crate::version::cell::VersionCell;
use crate::version::compiled::CompiledConfig;

pub use crate::request::flow::completion::{
    AnswerEvent, CompletionJob, CompletionStream, start_completion,
};
pub use crate::request::flow::service_call::run_service;
pub use crate::request::flow::settings::FlowSettings;

/// The components of the process that requests use.
pub struct RequestContext {
    /// The name of this host.
    pub host: HostId,
    /// The data centre of this host, from whose pools upstreams are placed.
    pub data_centre: DataCentreId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The settings of the request path.
    pub settings: FlowSettings,
    /// The clock by which waits, budgets and the age of the configuration are measured.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// When the configuration was last confirmed, for checks of keys.
    pub freshness: Arc<Freshness>,
    /// The customers' rate limits.
    pub limits: Arc<dyn Limits>,
    /// Places requests on upstreams.
    pub placer: Arc<dyn Placer>,
    /// The retry budgets by pool.
    pub retry_budgets: Arc<RetryBudgets>,
    /// Creates clients of upstreams.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// Records idempotency keys, for requests that run at most once.
    pub idempotency: Arc<dyn Idempotency>,
    /// Refuses requests that crash upstreams.
    pub quarantine: Arc<dyn Quarantine>,
    /// Recent decisions, shown in the dump.
    pub journal: Arc<Journal>,
    /// The cancels, releases and settlements that go on after a request has ended.
    pub tasks: BackgroundTasks,
}

impl RequestContext {
    /// Waits up to `within` for the cancels, releases and settlements of requests that have ended. Without the cancels,
    /// engines hold memory until their deadline.
    pub async fn finish_background(&self, within: Duration) {
        let open = self.tasks.wait_until_idle(within).await;
        if open > 0 {
            log::warn!(open; "cancels and releases not confirmed in {within:?}");
        }
    }

    /// Returns this data centre's pool for a model or service.
    fn pool(&self, model: &ModelId) -> PoolId {
        PoolId {
            data_centre: self.data_centre.clone(),
            model: model.clone(),
        }
    }

    /// Takes a retry from the budget after a failed attempt, or returns the rule that forbids it.
    fn take_retry(&self, failed: FailedAttempt, model: &ModelId) -> Result<(), &'static str> {
        if failed.attempts >= failed.max_attempts {
            return Err("no attempts left");
        }
        if !failed.may_retry() {
            return Err("route forbids repeats");
        }
        if !self
            .retry_budgets
            .try_take(&self.pool(model), self.clock.now())
        {
            return Err("retry budget used up");
        }
        Ok(())
    }
}

/// What a front end knows of a request before it has read the body.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// The id of the request, unique across hosts.
    pub request: RequestId,
    /// The path of the URI, without the query.
    pub path: String,
    /// The hash of the caller's key, if it sent one.
    pub key_hash: Option<Digest>,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
}

/// Admits a request before its body is read, so that a front end can refuse it at once.
///
/// # Errors
/// Returns the refusal for the caller.
pub fn admit_envelope(
    cx: &RequestContext,
    compiled: &CompiledConfig,
    envelope: &Envelope,
) -> Result<Admitted, Refusal> {
    let (now, path) = (cx.clock.now(), &envelope.path);
    admit(compiled, &cx.freshness, now, path, envelope.key_hash)
}

/// Charges the request's customer; requests on open routes are not charged.
async fn charge_customer(
    cx: &RequestContext,
    admitted: &Admitted,
    request: RequestId,
    tokens: Tokens,
) -> Result<Option<ChargeGuard>, Refusal> {
    let Some(customer) = admitted.customer.clone() else {
        return Ok(None);
    };
    let req = Charge {
        request,
        customer,
        tokens,
    };
    let wait = cx.settings.admission_wait(admitted.route.priority);
    charge(&cx.limits, &cx.tasks, &*cx.clock, req, wait)
        .await
        .map(Some)
}

/// Checks the key against the newest configuration, because it may have been withdrawn while the request waited. `run`
/// tells whether an earlier attempt may have run.
fn recheck_key(cx: &RequestContext, admitted: &Admitted, run: Run) -> Result<(), Refusal> {
    let Some(hash) = admitted.key_hash else {
        return Ok(());
    };
    let compiled = cx.versions.current();
    let (now, route) = (cx.clock.now(), &admitted.route.id);
    check_key(&compiled, &cx.freshness, now, &hash, route)
        .map(|_| ())
        .map_err(|refusal| Refusal { run, ..refusal })
}
