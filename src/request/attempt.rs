//! One attempt: from the placement over prefill and transfer to the open token stream.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::message::{CancelPlace, PlaceReply, PlaceRequest, Placement, PoolId};
use crate::process::message::{Release, ReleaseOutcome};
use crate::process::placer::Placer;
use crate::request::engine::{DecodeJob, PrefillJob};
use crate::request::prefix::estimate_tokens;
use crate::version::compiled::{Compiled, Upstream};

/// The time before an unconfirmed cancel is repeated; doubled each time. Engine memory is scarce at peak, so the first
/// repeats follow quickly.
const CANCEL_BACKOFF: Duration = Duration::from_millis(100);

/// The longest time between two repeats of a cancel, so that an engine that is cut off for minutes costs few calls.
const MAX_CANCEL_BACKOFF: Duration = Duration::from_secs(10);

/// The time limit of a transfer without regard to its size: queueing on the link and the start of the stream.
const TRANSFER_BASE: Duration = Duration::from_millis(1_500);

/// The slowest transfer that is waited for, in prompt tokens a second. A transfer of 20,000 tokens takes a tenth of a
/// second on a free link; one that is twenty times slower has stalled.
const SLOWEST_TRANSFER: Tokens = 10_000;

/// The time limit of an interactive prefill without regard to its size. Pools choose no engine with more than 200 ms of
/// predicted queue; the rest covers late load reports.
const INTERACTIVE_PREFILL_BASE: Duration = Duration::from_secs(2);

/// The same for batch work, which engines let wait behind interactive prefills.
const BATCH_PREFILL_BASE: Duration = Duration::from_secs(30);

/// How many times longer than the engine's configured rate tells a prefill may take.
const PREFILL_SLACK: f64 = 10.0;

/// Withdraws a place request if its answer is not awaited to the end.
struct PlaceGuard {
    placer: Arc<dyn Placer>,
    tasks: BackgroundTasks,
    cancel: Option<CancelPlace>,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            let placer = self.placer.clone();
            self.tasks.spawn(async move { placer.cancel(cancel).await });
        }
    }
}

/// Asks for upstreams; withdraws the question if the caller leaves meanwhile.
pub async fn place(
    placer: &Arc<dyn Placer>,
    tasks: &BackgroundTasks,
    req: PlaceRequest,
) -> PlaceReply {
    let mut guard = PlaceGuard {
        placer: placer.clone(),
        tasks: tasks.clone(),
        cancel: Some(CancelPlace {
            request: req.request,
            attempt: req.attempt,
            pool: req.pool.clone(),
        }),
    };
    let reply = placer.place(req).await;
    guard.cancel = None;
    reply
}

/// The upstreams held by an attempt. Dropping it before `finish` or `fail` means that the caller left:
/// it cancels at the engines and frees the slot.
pub struct HeldUpstreams {
    placer: Arc<dyn Placer>,
    upstreams: Arc<dyn UpstreamClients>,
    tasks: BackgroundTasks,
    request: RequestId,
    /// The attempt under which the placement was made.
    placed: AttemptNo,
    /// The newest attempt that an engine may hold.
    newest: AttemptNo,
    pool: PoolId,
    /// The time after which engines free by themselves what they hold.
    engine_deadline: Duration,
    /// The prefill engine, for engine pools.
    pub prefill: Option<Arc<Upstream>>,
    /// The decode engine or service runner.
    pub target: Arc<Upstream>,
    open: bool,
}

impl HeldUpstreams {
    /// Takes over what a placement holds. Returns `None`, and frees it, if the configuration does not know the
    /// upstreams any more.
    pub fn new(
        placer: Arc<dyn Placer>,
        upstreams: Arc<dyn UpstreamClients>,
        tasks: &BackgroundTasks,
        compiled: &Compiled,
        req: &PlaceRequest,
        placement: &Placement,
        engine_deadline: Duration,
    ) -> Option<Self> {
        let find = |id: &UpstreamId| compiled.upstreams.get(id).cloned();
        let target = find(&placement.target);
        let prefill = placement.prefill.as_ref().map(find);
        let (Some(target), Some(prefill)) = (target, prefill.map_or(Some(None), |p| p.map(Some)))
        else {
            let release = Release {
                request: req.request,
                attempt: req.attempt,
                pool: req.pool.clone(),
                outcome: ReleaseOutcome::Cancelled,
            };
            // The caller need not wait for an owner that is away.
            tasks.spawn(async move { placer.release(release).await });
            return None;
        };
        Some(Self {
            placer,
            upstreams,
            tasks: tasks.clone(),
            request: req.request,
            placed: req.attempt,
            newest: req.attempt,
            pool: req.pool.clone(),
            engine_deadline,
            prefill,
            target,
            open: true,
        })
    }

    /// Frees the upstreams after a whole answer.
    pub fn finish(mut self, output_tokens: Tokens) {
        self.end(ReleaseOutcome::Finished { output_tokens }, false);
    }

    /// Frees the upstreams after `upstream` failed; cancels whatever the engines may still hold. Returns once the
    /// pool owner knows of an upstream that is down, so that the next attempt is not placed there.
    pub async fn fail(mut self, upstream: &UpstreamId, down: bool) {
        let outcome = ReleaseOutcome::Failed {
            upstream: upstream.clone(),
            down,
        };
        let released = self.end(outcome, true);
        if down {
            // An error means that the runtime stops.
            let _ = released.await;
        }
    }

    /// Returns the engine that decodes.
    pub fn decode_engine(&self) -> Arc<dyn Engine> {
        self.upstreams.engine(&self.target.address.to_string())
    }

    /// Tells that an engine may hold the request under a higher attempt number. Called before the resume is sent,
    /// because its answer may be lost; a cancel with the older number would then free nothing.
    pub fn set_newest_attempt(&mut self, attempt: AttemptNo) {
        self.newest = self.newest.max(attempt);
    }

    /// Starts release and cancel; the receiver is notified after the release.
    fn end(&mut self, outcome: ReleaseOutcome, cancel: bool) -> oneshot::Receiver<()> {
        self.open = false;
        let is_down = matches!(outcome, ReleaseOutcome::Failed { down: true, .. });
        let release = Release {
            request: self.request,
            attempt: self.placed,
            pool: self.pool.clone(),
            outcome,
        };
        let placer = self.placer.clone();
        let engines = if cancel { self.engines() } else { Vec::new() };
        let (request, newest, within) = (self.request, self.newest, self.engine_deadline);
        let (tx, rx) = oneshot::channel();
        self.tasks.spawn(async move {
            // A slot is free once the engine has let go, but a failure must be known before the next attempt
            // is placed, and an engine that is down confirms nothing.
            if is_down {
                placer.release(release.clone()).await;
                // Nobody waits if the caller left.
                let _ = tx.send(());
            }
            let first = engines.iter().map(|engine| engine.cancel(request, newest));
            let confirmed = join_all(first).await;
            if !is_down {
                placer.release(release).await;
            }
            let open = engines.iter().zip(confirmed);
            let open = open.filter(|(_, confirmed)| confirmed.is_err());
            join_all(open.map(|(engine, _)| repeat_cancel(&**engine, request, newest, within)))
                .await;
        });
        rx
    }

    /// Returns the engines that may hold memory for the attempt; plain services hold none.
    fn engines(&self) -> Vec<Arc<dyn Engine>> {
        self.prefill.as_ref().map_or_else(Vec::new, |prefill| {
            [prefill, &self.target]
                .map(|u| self.upstreams.engine(&u.address.to_string()))
                .into()
        })
    }
}

/// Repeats a cancel until the engine confirms it, or has freed the memory by itself because the deadline has passed.
async fn repeat_cancel(
    engine: &dyn Engine,
    request: RequestId,
    newest: AttemptNo,
    within: Duration,
) {
    let deadline = tokio::time::Instant::now() + within;
    let mut wait = CANCEL_BACKOFF;
    loop {
        tokio::time::sleep(wait).await;
        let Err(error) = engine.cancel(request, newest).await else {
            return;
        };
        wait = (wait * 2).min(MAX_CANCEL_BACKOFF);
        if tokio::time::Instant::now() + wait >= deadline {
            log::warn!(request:% = format!("{request:032x}"); "cancel not confirmed: {error}");
            return;
        }
    }
}

impl Drop for HeldUpstreams {
    fn drop(&mut self) {
        if self.open {
            self.end(ReleaseOutcome::Cancelled, true);
        }
    }
}

/// What an attempt at a completion runs.
#[derive(Debug, Clone)]
pub struct AttemptJob {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The model.
    pub model: ModelId,
    /// The prompt, with the tokens already answered when it is a continuation.
    pub prompt: String,
    /// The offset of the first token to generate.
    pub offset: u32,
    /// The tokens to generate at most, counted from `offset`.
    pub max_tokens: u32,
    /// The urgency.
    pub priority: Priority,
    /// The time after which engines free what they hold.
    pub deadline: Duration,
}

/// A failed step of an attempt, with the upstream at which it failed.
#[derive(Debug)]
pub struct AttemptError {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The error.
    pub error: UpstreamError,
}

/// Runs prefill and transfer, and opens the token stream. Returns it with the prompt tokens as counted by the engine.
///
/// # Errors
/// Returns the step that failed.
pub async fn open_stream(
    held: &HeldUpstreams,
    job: AttemptJob,
) -> Result<(Box<dyn TokenStream>, Tokens), AttemptError> {
    let prefill = held.prefill.as_ref().ok_or_else(|| AttemptError {
        upstream: held.target.id.clone(),
        error: UpstreamError::not_run(
            UpstreamErrorKind::Invalid,
            "placement without prefill engine",
        ),
    })?;
    let source = prefill.address.to_string();
    let limit = prefill_limit(
        estimate_tokens(&job.prompt),
        prefill.prefill_rate,
        job.priority,
    );
    let prefill_job = PrefillJob {
        request: job.request,
        attempt: job.attempt,
        model: job.model.clone(),
        prompt: job.prompt,
        priority: job.priority,
        deadline: job.deadline,
    };
    let engine = held.upstreams.engine(&source);
    let prefilled = tokio::time::timeout(limit, engine.prefill(prefill_job)).await;
    let prefilled = prefilled.unwrap_or_else(|_| Err(timed_out("prefill", limit)));
    let prefilled = prefilled.map_err(|error| AttemptError {
        upstream: prefill.id.clone(),
        error,
    })?;
    let decode_job = DecodeJob {
        request: job.request,
        attempt: job.attempt,
        model: job.model,
        source,
        kv: prefilled.kv,
        offset: job.offset,
        max_tokens: job.max_tokens,
        priority: job.priority,
        deadline: job.deadline,
    };
    let limit = transfer_limit(prefilled.prompt_tokens);
    let stream = tokio::time::timeout(limit, held.decode_engine().decode(decode_job)).await;
    let stream = stream.unwrap_or_else(|_| Err(timed_out("transfer", limit)));
    let stream = stream.map_err(|error| AttemptError {
        upstream: held.target.id.clone(),
        // The prefill has run, whatever the decode engine says of its part.
        error: UpstreamError {
            run: Run::Unknown,
            ..error
        },
    })?;
    Ok((stream, prefilled.prompt_tokens))
}

fn timed_out(step: &str, limit: Duration) -> UpstreamError {
    let cause = format!("{step} not complete in {limit:?}");
    UpstreamError::may_have_run(UpstreamErrorKind::Timeout, cause)
}

/// Returns the time limit of a prefill of this size on an engine of `rate` tokens a second.
fn prefill_limit(prompt_tokens: Tokens, rate: Tokens, priority: Priority) -> Duration {
    let base = match priority {
        Priority::Interactive => INTERACTIVE_PREFILL_BASE,
        Priority::Batch => BATCH_PREFILL_BASE,
    };
    let seconds = prompt_tokens as f64 / rate.max(1) as f64;
    base + Duration::from_secs_f64(seconds * PREFILL_SLACK)
}

/// Returns the time limit of the transfer of a KV cache of this size.
fn transfer_limit(prompt_tokens: Tokens) -> Duration {
    TRANSFER_BASE + Duration::from_secs_f64(prompt_tokens as f64 / SLOWEST_TRANSFER as f64)
}
