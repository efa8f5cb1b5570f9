//! The charge of one request against its customer's rate limit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::limits::Limits;
use crate::process::message::{Charge, ChargeReply, Settle};

/// The `Retry-After` of a refusal because the owner of the customer's token bucket can't be reached.
const OWNER_UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// A granted charge. Dropping it returns the unused tokens to the customer's bucket.
pub struct ChargeGuard {
    limits: Arc<dyn Limits>,
    tasks: BackgroundTasks,
    settle: Settle,
}

impl ChargeGuard {
    /// Counts tokens as used.
    pub fn use_tokens(&mut self, tokens: Tokens) {
        self.settle.unused = self.settle.unused.saturating_sub(tokens);
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if self.settle.unused > 0 {
            let limits = self.limits.clone();
            let settle = self.settle.clone();
            self.tasks.spawn(async move { limits.settle(settle).await });
        }
    }
}

/// Charges a customer, waiting up to `max_wait` for its token bucket to refill.
///
/// # Errors
/// Returns a refusal of kind `RateLimited`, of kind `TooLarge` if the charge exceeds the burst, or of kind
/// `Unavailable` if the owner of the bucket can't be reached.
pub async fn charge(
    limits: &Arc<dyn Limits>,
    tasks: &BackgroundTasks,
    clock: &dyn Clock,
    charge: Charge,
    max_wait: Duration,
) -> Result<ChargeGuard, Refusal> {
    let deadline = clock.now() + max_wait;
    loop {
        let reply = match request_charge(limits, tasks, &charge).await {
            Ok(granted) => return Ok(granted),
            Err(reply) => reply,
        };
        match reply {
            ChargeReply::Later(wait) => {
                if !ends_by(clock.now(), wait, deadline) {
                    let figures =
                        format!("tokens={} wait={wait:?} limit={max_wait:?}", charge.tokens);
                    return Err(rate_limited(&charge, wait).with_figures(figures));
                }
                tokio::time::sleep(wait).await;
            }
            ChargeReply::Refused { retry_after, level } => {
                let figures = format!(
                    "tokens={} level={level} wait={retry_after:?}",
                    charge.tokens
                );
                return Err(rate_limited(&charge, retry_after).with_figures(figures));
            }
            ChargeReply::TooLarge { burst } => {
                let message = format!(
                    "request of {} tokens exceeds the burst of {burst}; send a shorter one",
                    charge.tokens
                );
                let figures = format!("tokens={} burst={burst}", charge.tokens);
                let refusal = Refusal::not_run(RefusalKind::TooLarge, message);
                return Err(refusal.with_figures(figures));
            }
            // `Granted` was returned above.
            ChargeReply::NotOwner | ChargeReply::Granted { .. } => {
                let message = "limits can't be checked now; repeat shortly";
                let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
                return Err(refusal.with_retry_after(OWNER_UNREACHABLE_RETRY));
            }
        }
    }
}

/// Sends one charge from a separate task. If this future is dropped meanwhile, the task drops the guard of a granted
/// charge, which returns its tokens.
async fn request_charge(
    limits: &Arc<dyn Limits>,
    tasks: &BackgroundTasks,
    charge: &Charge,
) -> Result<ChargeGuard, ChargeReply> {
    let (tx, rx) = oneshot::channel();
    let (limits, charge, settle_tasks) = (limits.clone(), charge.clone(), tasks.clone());
    tasks.spawn(async move {
        let reply = match limits.charge(charge.clone()).await {
            ChargeReply::Granted { epoch } => Ok(ChargeGuard {
                limits,
                tasks: settle_tasks,
                settle: Settle {
                    request: charge.request,
                    customer: charge.customer,
                    epoch,
                    unused: charge.tokens,
                },
            }),
            reply => Err(reply),
        };
        // Without a receiver, `send` returns the reply, which is dropped here.
        let _ = tx.send(reply);
    });
    // The sender is dropped unsent when the host stops and ends its tasks.
    rx.await.unwrap_or(Err(ChargeReply::NotOwner))
}

/// Returns whether `wait` from `now` ends by the deadline.
fn ends_by(now: Instant, wait: Duration, deadline: Instant) -> bool {
    now.checked_add(wait).is_some_and(|end| end <= deadline)
}

fn rate_limited(charge: &Charge, wait: Duration) -> Refusal {
    let message = format!(
        "rate of customer {} used up; repeat after the time in Retry-After",
        charge.customer
    );
    Refusal::not_run(RefusalKind::RateLimited, message).with_retry_after(wait)
}
