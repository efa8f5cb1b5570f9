//! One attempt: placement, prefill, transfer of the KV cache, and the open token stream.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::message::{CancelPlace, PlaceReply, PlaceRequest, Placement, PoolId};
use crate::process::message::{Release, ReleaseOutcome};
use crate::process::placer::Placer;
use crate::process::stated_time;
use crate::request::engine::{DecodeJob, PrefillJob};
use crate::request::prefix::estimate_tokens;
use crate::version::compiled::{CompiledConfig, Upstream};

/// The wait before the first retry of an unconfirmed cancel; doubled each time. It is short because engine memory is
/// scarce at peak.
const CANCEL_BACKOFF: Duration = Duration::from_millis(100);

/// The longest wait between two retries of a cancel, so that an engine that is unreachable for minutes costs few calls.
const MAX_CANCEL_BACKOFF: Duration = Duration::from_secs(10);

/// The part of a transfer's time limit that does not depend on its size: queueing on the link and opening the stream.
const TRANSFER_BASE_LIMIT: Duration = Duration::from_millis(1_500);

/// The lowest transfer rate that is waited for, in prompt tokens per second. 20,000 tokens take 100 ms on a free link;
/// a transfer that is 20 times slower has stalled.
const MIN_TRANSFER_RATE: Tokens = 10_000;

/// The part of an interactive prefill's time limit that does not depend on its size. Pools choose no engine with more
/// than 200 ms of predicted queue; the rest allows for outdated load reports.
const INTERACTIVE_PREFILL_BASE_LIMIT: Duration = Duration::from_secs(2);

/// The same for batch prefills, which engines queue behind interactive ones.
const BATCH_PREFILL_BASE_LIMIT: Duration = Duration::from_secs(30);

/// The part of a prefill's time limit that depends on its size: a multiple of the time at the engine's configured rate.
const PREFILL_LIMIT_FACTOR: f64 = 10.0;

/// Withdraws a placement request if it is dropped before the reply.
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

/// Requests upstreams from the placer; withdraws the request if this future is dropped.
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

/// The upstreams held by an attempt. Dropping it without `finish` or `fail`, as when the caller disconnects, cancels
/// the request at the engines and releases the placement.
pub struct HeldUpstreams {
    placer: Arc<dyn Placer>,
    upstreams: Arc<dyn UpstreamClients>,
    tasks: BackgroundTasks,
    request: RequestId,
    /// The attempt number of the placement, which its release must name.
    placed_attempt: AttemptNo,
    /// The highest attempt number that an engine may have seen, which a cancel must name.
    newest_attempt: AttemptNo,
    pool: PoolId,
    /// The time after which engines free by themselves what they hold for the request.
    engine_deadline: Duration,
    /// The prefill engine; `None` for plain services.
    pub prefill: Option<Arc<Upstream>>,
    /// The decode engine, or the upstream of a plain service.
    pub target: Arc<Upstream>,
    /// Whether the placement is still to be released.
    is_placed: bool,
}

impl HeldUpstreams {
    /// Takes over a placement. Returns `None`, and releases the placement, if an upstream was removed from the
    /// configuration meanwhile.
    pub fn new(
        placer: Arc<dyn Placer>,
        upstreams: Arc<dyn UpstreamClients>,
        tasks: &BackgroundTasks,
        compiled: &CompiledConfig,
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
            // Spawned, because the pool owner may be slow or unreachable and the caller need not wait for it.
            tasks.spawn(async move { placer.release(release).await });
            return None;
        };
        Some(Self {
            placer,
            upstreams,
            tasks: tasks.clone(),
            request: req.request,
            placed_attempt: req.attempt,
            newest_attempt: req.attempt,
            pool: req.pool.clone(),
            engine_deadline,
            prefill,
            target,
            is_placed: true,
        })
    }

    /// Releases the upstreams after a complete answer.
    pub fn finish(mut self, output_tokens: Tokens) {
        self.spawn_release(ReleaseOutcome::Finished { output_tokens }, false);
    }

    /// Releases the upstreams after `upstream` failed, and cancels the request at the engines. If the upstream is down,
    /// waits until the pool owner has been notified, so that the next attempt is not placed there.
    pub async fn fail(mut self, upstream: &UpstreamId, down: bool) {
        let outcome = ReleaseOutcome::Failed {
            upstream: upstream.clone(),
            down,
        };
        let released = self.spawn_release(outcome, true);
        if down {
            // The sender is dropped unsent only when the runtime shuts down.
            let _ = released.await;
        }
    }

    /// Returns the client of the decode engine.
    pub fn decode_engine(&self) -> Arc<dyn Engine> {
        self.upstreams.engine(&self.target.address.to_string())
    }

    /// Raises the attempt number that a later cancel names. Called before a resume is sent: if its response is lost,
    /// the engine holds the request under the new number, and a cancel with the old one would free nothing.
    pub fn set_newest_attempt(&mut self, attempt: AttemptNo) {
        self.newest_attempt = self.newest_attempt.max(attempt);
    }

    /// Spawns the release and, if `cancel` is set, the cancels at the engines. If the outcome says that the upstream is
    /// down, the receiver is notified after the release.
    fn spawn_release(&mut self, outcome: ReleaseOutcome, cancel: bool) -> oneshot::Receiver<()> {
        self.is_placed = false;
        let is_down = matches!(outcome, ReleaseOutcome::Failed { down: true, .. });
        let release = Release {
            request: self.request,
            attempt: self.placed_attempt,
            pool: self.pool.clone(),
            outcome,
        };
        let placer = self.placer.clone();
        let engines = if cancel { self.engines() } else { Vec::new() };
        let (request, newest, limit) = (self.request, self.newest_attempt, self.engine_deadline);
        let (tx, rx) = oneshot::channel();
        self.tasks.spawn(async move {
            // The release normally follows the cancel, because only then is the slot free. An upstream that is down is
            // reported first: the pool owner must know of it before it places the next attempt, and such an engine
            // confirms no cancel.
            if is_down {
                placer.release(release.clone()).await;
                // The receiver is gone if the caller disconnected.
                let _ = tx.send(());
            }
            let cancels = engines.iter().map(|engine| engine.cancel(request, newest));
            let confirmed = join_all(cancels).await;
            if !is_down {
                placer.release(release).await;
            }
            let unconfirmed = engines.iter().zip(confirmed);
            let unconfirmed = unconfirmed.filter(|(_, confirmed)| confirmed.is_err());
            join_all(
                unconfirmed.map(|(engine, _)| retry_cancel(&**engine, request, newest, limit)),
            )
            .await;
        });
        rx
    }

    /// Returns the engines that may hold memory for the request: none for plain services.
    fn engines(&self) -> Vec<Arc<dyn Engine>> {
        self.prefill.as_ref().map_or_else(Vec::new, |prefill| {
            [prefill, &self.target]
                .map(|u| self.upstreams.engine(&u.address.to_string()))
                .into()
        })
    }
}

/// Retries a cancel until the engine confirms it or `limit` has passed, after which the engine frees its memory by
/// itself.
async fn retry_cancel(engine: &dyn Engine, request: RequestId, newest: AttemptNo, limit: Duration) {
    let deadline = tokio::time::Instant::now() + limit;
    let mut wait = CANCEL_BACKOFF;
    loop {
        tokio::time::sleep(wait).await;
        let Err(error) = engine.cancel(request, newest).await else {
            return;
        };
        wait = (wait * 2).min(MAX_CANCEL_BACKOFF);
        if tokio::time::Instant::now() + wait >= deadline {
            log::warn!(request:% = format!("{request:032x}"); "cancel not confirmed, memory held until the engine's deadline: {error}");
            return;
        }
    }
}

impl Drop for HeldUpstreams {
    fn drop(&mut self) {
        if self.is_placed {
            self.spawn_release(ReleaseOutcome::Cancelled, true);
        }
    }
}

/// The part of a completion that one attempt has to generate.
#[derive(Debug, Clone)]
pub struct AttemptJob {
    /// The id under which the engines know the request.
    pub request: RequestId,
    /// The number of the attempt; engines drop what belongs to older ones.
    pub attempt: AttemptNo,
    /// The model to run.
    pub model: ModelId,
    /// The prompt, followed by the text generated by earlier attempts.
    pub prompt: String,
    /// The offset in the answer of the first token to generate.
    pub offset: u32,
    /// The largest number of tokens to generate from `offset` on.
    pub max_tokens: u32,
    /// The priority in the engines' queues.
    pub priority: Priority,
    /// The time after which engines free by themselves what they hold for the request.
    pub deadline: Duration,
}

/// The error that ended an attempt.
#[derive(Debug)]
pub struct AttemptError {
    /// The upstream at which the attempt failed.
    pub upstream: UpstreamId,
    /// The error of the call; its `run` covers the whole attempt.
    pub error: UpstreamError,
}

/// Runs the prefill, starts the transfer and opens the token stream. Returns the stream and the number of prompt tokens
/// as counted by the prefill engine.
///
/// # Errors
/// Returns the error of the failed call with the upstream that it went to.
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
        // The prefill has run, so the attempt has, even if the decode engine ran nothing.
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

/// Returns the time limit of a prefill on an engine with a rate of `rate` tokens per second.
fn prefill_limit(prompt_tokens: Tokens, rate: Tokens, priority: Priority) -> Duration {
    let base = match priority {
        Priority::Interactive => INTERACTIVE_PREFILL_BASE_LIMIT,
        Priority::Batch => BATCH_PREFILL_BASE_LIMIT,
    };
    base + stated_time::time_at_rate(prompt_tokens, rate).mul_f64(PREFILL_LIMIT_FACTOR)
}

/// Returns the time limit of the transfer of a KV cache of `prompt_tokens`.
fn transfer_limit(prompt_tokens: Tokens) -> Duration {
    TRANSFER_BASE_LIMIT + stated_time::time_at_rate(prompt_tokens, MIN_TRANSFER_RATE)
}
