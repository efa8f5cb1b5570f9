//! The path of a request: key, limit, placement, attempts, answer.

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
use crate::version::compiled::Compiled;

pub use crate::request::flow::completion::{
    AnswerEvent, CompletionJob, CompletionStream, start_completion,
};
pub use crate::request::flow::service_call::run_service;
pub use crate::request::flow::settings::FlowSettings;

/// What requests need from the process.
pub struct RequestContext {
    /// This host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The settings.
    pub settings: FlowSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// The age of the last confirmation of the configuration.
    pub freshness: Arc<Freshness>,
    /// Customers' limits.
    pub limits: Arc<dyn Limits>,
    /// Placement.
    pub placer: Arc<dyn Placer>,
    /// What may still be retried.
    pub retry_budgets: Arc<RetryBudgets>,
    /// Clients for upstreams.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// Requests that run at most once.
    pub idempotency: Arc<dyn Idempotency>,
    /// Requests that crash upstreams.
    pub quarantine: Arc<dyn Quarantine>,
    /// Recent decisions, for the dump.
    pub journal: Arc<Journal>,
    /// Cancels, releases and settlements that requests leave behind.
    pub tasks: BackgroundTasks,
}

impl RequestContext {
    /// Waits up to `within` for the cancels, releases and settlements that requests left behind. Without them engines
    /// hold memory until their deadline.
    pub async fn finish_background(&self, within: Duration) {
        let open = self.tasks.finish(within).await;
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

    /// Takes another attempt after a failed one from the budget, or returns the rule that forbids it.
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

/// A request as decoded by a front end.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// The request.
    pub request: RequestId,
    /// The path.
    pub path: String,
    /// The hash of the caller's key.
    pub key_hash: Option<Digest>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

/// Admits a request by its head alone, so that a front end can refuse it before reading its body.
///
/// # Errors
/// Returns the refusal for the caller.
pub fn admit_envelope(
    cx: &RequestContext,
    compiled: &Compiled,
    envelope: &Envelope,
) -> Result<Admitted, Refusal> {
    let (now, path) = (cx.clock.now(), &envelope.path);
    admit(compiled, &cx.freshness, now, path, envelope.key_hash)
}

/// Charges the request's customer; open routes charge nobody.
async fn charge_customer(
    cx: &RequestContext,
    admitted: &Admitted,
    request: RequestId,
    tokens: Tokens,
) -> Result<Option<ChargeGuard>, Refusal> {
    let Some(customer) = admitted.customer.clone() else {
        return Ok(None);
    };
    let question = Charge {
        request,
        customer,
        tokens,
    };
    let wait = cx.settings.admission_wait(admitted.route.priority);
    charge(&cx.limits, &cx.tasks, &*cx.clock, question, wait)
        .await
        .map(Some)
}

/// Checks the key again against the newest configuration, because it may have been withdrawn while the request waited.
/// `run` tells whether an earlier attempt may have run.
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
