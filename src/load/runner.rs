//! Sends the arrivals of a run at their times and collects the results.

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

/// The interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// The hosts to which a run sends its requests, and the keys for them.
#[derive(Debug, Clone)]
pub struct Target {
    /// The addresses at which hosts serve callers. Each request goes to a random one, as behind a load balancer.
    pub addresses: Vec<String>,
    /// The API keys of the shape's customers, in the same order.
    pub keys: Vec<String>,
}

/// The result of a run that was completed or interrupted.
#[derive(Debug)]
pub struct RunResult {
    /// The collected latencies and counts.
    pub meter: Meter,
    /// The time over which requests were sent. Later answers count, but waiting for them doesn't extend it.
    pub length: Duration,
    /// Whether the run was interrupted.
    pub partial: bool,
}

/// Sends `arrivals` and waits for all answers, or until `stop` completes. The same `seed` picks the same hosts.
pub async fn run(
    shape: &Shape,
    target: &Target,
    arrivals: Vec<Arrival>,
    seed: u64,
    stop: impl Future<Output = ()>,
) -> RunResult {
    let start = Instant::now();
    let meter = Arc::new(Mutex::new(Meter::new(shape, start)));
    let mut in_flight = JoinSet::new();
    tokio::pin!(stop);
    let sending = send_all(shape, target, arrivals, seed, start, &meter, &mut in_flight);
    let mut partial = tokio::select! {
        () = sending => false,
        () = &mut stop => true,
    };
    let length = start.elapsed();
    while !partial && !in_flight.is_empty() {
        partial = tokio::select! {
            _ = in_flight.join_next() => false,
            () = &mut stop => true,
        };
    }
    in_flight.shutdown().await;
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
    in_flight: &mut JoinSet<()>,
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
        in_flight.spawn(async move {
            let timed = call.send(&sent.kind).await;
            lock(&meter).record_answer(&sent, &timed);
        });
        while in_flight.try_join_next().is_some() {}
    }
}

/// A request with everything needed to send it.
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
