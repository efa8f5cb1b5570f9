//! Sends the arrivals of a run at their times and collects the answers.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::load::arrivals::{Arrival, RequestKind};
use crate::load::client::{LoadClient, TimedOutcome, prompt};
use crate::load::meter::Meter;
use crate::load::shape::Shape;
use crate::prelude::*;
use crate::process::shard::lock;

/// The time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Where a run sends its requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// The callers' addresses of the hosts; each request goes to one of them at random, as behind a balancer.
    pub addresses: Vec<String>,
    /// The key of each customer of the shape, in order.
    pub keys: Vec<String>,
}

/// A run that ended or was interrupted.
#[derive(Debug)]
pub struct RunResult {
    /// The results.
    pub meter: Meter,
    /// The time over which requests were sent. Answers after it count, but its end is not put off by work that waits.
    pub length: Duration,
    /// Whether it was interrupted.
    pub partial: bool,
}

/// Sends `arrivals` and waits for all answers, or until `stop` completes.
pub async fn run(
    shape: &Shape,
    target: &Target,
    arrivals: Vec<Arrival>,
    seed: u64,
    stop: impl Future<Output = ()>,
) -> RunResult {
    let start = Instant::now();
    let meter = Arc::new(Mutex::new(Meter::new(shape, start)));
    let mut open = JoinSet::new();
    tokio::pin!(stop);
    let sending = send_all(shape, target, arrivals, seed, start, &meter, &mut open);
    let mut partial = tokio::select! {
        () = sending => false,
        () = &mut stop => true,
    };
    let length = start.elapsed();
    while !partial && !open.is_empty() {
        partial = tokio::select! {
            _ = open.join_next() => false,
            () = &mut stop => true,
        };
    }
    open.shutdown().await;
    let meter = lock(&meter).clone();
    RunResult {
        meter,
        length,
        partial,
    }
}

async fn send_all(
    shape: &Shape,
    target: &Target,
    arrivals: Vec<Arrival>,
    seed: u64,
    start: Instant,
    meter: &Arc<Mutex<Meter>>,
    open: &mut JoinSet<()>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = LoadClient::default();
    let mut next_progress = start + PROGRESS_INTERVAL;
    for arrival in arrivals {
        tokio::time::sleep_until((start + arrival.at).into()).await;
        let now = Instant::now();
        if now >= next_progress {
            print_progress(&lock(meter), now - start);
            next_progress += PROGRESS_INTERVAL;
        }
        let sent = lock(meter).record_sent(arrival.customer, arrival.kind.clone(), now);
        let address = target.addresses[rng.random_range(0..target.addresses.len())].clone();
        let call = Call {
            client: client.clone(),
            address,
            key: target.keys[arrival.customer].clone(),
            customer: shape.customers[arrival.customer].id.clone(),
            unique: rng.random(),
        };
        let meter = meter.clone();
        open.spawn(async move {
            let timed = call.send(&sent.kind).await;
            lock(&meter).record_answer(&sent, &timed);
        });
        while open.try_join_next().is_some() {}
    }
}

struct Call {
    client: LoadClient,
    address: String,
    key: String,
    customer: CustomerId,
    unique: RequestId,
}

impl Call {
    async fn send(&self, kind: &RequestKind) -> TimedOutcome {
        match kind {
            RequestKind::Completion {
                prompt_tokens,
                prefix,
                output_tokens,
                batch,
            } => {
                let path = if *batch {
                    "/overnight/v1/completions"
                } else {
                    "/v1/completions"
                };
                let text = prompt(&self.customer, *prefix, *prompt_tokens, self.unique);
                self.client
                    .complete(&self.address, &self.key, path, &text, *output_tokens)
                    .await
            }
            RequestKind::Booking => {
                let idempotency_key = Some(format!("{:032x}", self.unique));
                self.client
                    .call(
                        &self.address,
                        &self.key,
                        "/bookings/studio",
                        idempotency_key,
                    )
                    .await
            }
            RequestKind::StatusCheck => {
                self.client
                    .call(&self.address, &self.key, "/status", None)
                    .await
            }
        }
    }
}

fn print_progress(meter: &Meter, elapsed: Duration) {
    eprintln!(
        "{:>4} s: {} completions sent, {} answered, {} refused, {} failed",
        elapsed.as_secs(),
        meter.completions,
        meter.answered,
        meter.rate_limited + meter.refused,
        meter.failed
    );
}
