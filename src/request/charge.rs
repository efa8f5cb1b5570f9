//! The charge of one request against its customer's limits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::limits::Limits;
use crate::process::message::{Charge, ChargeReply, Settle};

/// The wait that is told to callers when the owner of their bucket can't be asked.
const OWNER_AWAY_RETRY: Duration = Duration::from_secs(1);

/// A granted charge. Dropping it settles what was not used.
pub struct ChargeGuard {
    limits: Arc<dyn Limits>,
    tasks: BackgroundTasks,
    settle: Settle,
}

impl ChargeGuard {
    /// Counts tokens as used; the rest is returned on drop.
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

/// Charges a customer, waiting up to `max_wait` for its bucket to refill.
///
/// # Errors
/// Returns a refusal of kind `RateLimited`, `TooLarge` or `Unavailable`.
pub async fn charge(
    limits: &Arc<dyn Limits>,
    tasks: &BackgroundTasks,
    clock: &dyn Clock,
    charge: Charge,
    max_wait: Duration,
) -> Result<ChargeGuard, Refusal> {
    let give_up = clock.now() + max_wait;
    loop {
        let reply = match ask(limits, tasks, &charge).await {
            Ok(granted) => return Ok(granted),
            Err(reply) => reply,
        };
        match reply {
            ChargeReply::Later(wait) => {
                if !fits(clock.now(), wait, give_up) {
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
            // A grant was returned above.
            ChargeReply::NotOwner | ChargeReply::Granted { .. } => {
                let message = "limits can't be checked now; repeat shortly";
                let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
                return Err(refusal.with_retry_after(OWNER_AWAY_RETRY));
            }
        }
    }
}

/// Asks once, in a task of its own: if the caller leaves meanwhile, what the answer grants is dropped there, which
/// settles it.
async fn ask(
    limits: &Arc<dyn Limits>,
    tasks: &BackgroundTasks,
    charge: &Charge,
) -> Result<ChargeGuard, ChargeReply> {
    let (answer, answered) = oneshot::channel();
    let (limits, charge, settling) = (limits.clone(), charge.clone(), tasks.clone());
    tasks.spawn(async move {
        let reply = match limits.charge(charge.clone()).await {
            ChargeReply::Granted { epoch } => Ok(ChargeGuard {
                limits,
                tasks: settling,
                settle: Settle {
                    request: charge.request,
                    customer: charge.customer,
                    epoch,
                    unused: charge.tokens,
                },
            }),
            reply => Err(reply),
        };
        // Without a receiver the reply comes back and is dropped.
        let _ = answer.send(reply);
    });
    // A host that stops ends its tasks.
    answered.await.unwrap_or(Err(ChargeReply::NotOwner))
}

fn fits(now: Instant, wait: Duration, give_up: Instant) -> bool {
    now.checked_add(wait).is_some_and(|ready| ready <= give_up)
}

fn rate_limited(charge: &Charge, wait: Duration) -> Refusal {
    let message = format!(
        "rate of customer {} used up; repeat after the time in Retry-After",
        charge.customer
    );
    Refusal::not_run(RefusalKind::RateLimited, message).with_retry_after(wait)
}
