//! Guards the tokens granted to a customer above its rate while they are spread over several data centres.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::prelude::*;
use hibiscusspread::process::fleet_limits::FleetLimits;
use hibiscusspread::process::message::ChargeReply;
use hibiscusspread::process::shard::{lock, rendezvous_order};

use crate::limits_fleet::{Fleet, charge};

const DATA_CENTRES: [(&str, usize); 4] = [("a", 2), ("b", 1), ("c", 1), ("d", 1)];
const RATE: Tokens = 10_000;

#[derive(Default)]
struct Outcomes {
    refused: AtomicU64,
    /// Refusals of requests although the levels of all data centres added up to enough.
    spread: AtomicU64,
    /// Time, host and tokens of each grant.
    granted: Mutex<Vec<(Duration, usize, Tokens)>>,
}

async fn start() -> Fleet {
    let fleet = Fleet::start(&DATA_CENTRES, &[("c", RATE, 100_000)]).await;
    fleet.hub.set_delay(Duration::from_micros(500));
    tokio::time::sleep(Duration::from_mins(1)).await;
    fleet
}

fn held(hosts: &[Arc<FleetLimits>]) -> Tokens {
    let views = hosts.iter().flat_map(|limits| limits.dump());
    views.map(|view| view.level).sum()
}

/// Sends requests for four times the rate to random hosts.
async fn overload(fleet: &Fleet, seed: u64, length: Duration) -> Arc<Outcomes> {
    let mut rng = StdRng::seed_from_u64(seed);
    let outcomes = Arc::new(Outcomes::default());
    let hosts: Vec<_> = fleet.hosts.iter().map(|host| host.limits.clone()).collect();
    let start = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    while start.elapsed() < length {
        let (request, index) = (rng.random(), rng.random_range(0..hosts.len()));
        let tokens = rng.random_range(RATE / 10..=RATE * 7 / 10);
        let (hosts, outcomes) = (hosts.clone(), outcomes.clone());
        tasks.spawn(async move {
            let reply = charge(&hosts[index], "c", request, tokens, Duration::from_secs(2)).await;
            if matches!(reply, ChargeReply::Granted { .. }) {
                lock(&outcomes.granted).push((start.elapsed(), index, tokens));
            } else {
                outcomes.refused.fetch_add(1, Ordering::Relaxed);
                let spread = held(&hosts) >= tokens;
                outcomes
                    .spread
                    .fetch_add(u64::from(spread), Ordering::Relaxed);
            }
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
    while tasks.join_next().await.is_some() {}
    outcomes
}

/// Guards against refusals because the tokens are spread too thinly over the data centres. Without gathering, these
/// were three in four refusals.
#[tokio::test(start_paused = true)]
async fn refuses_only_what_all_data_centres_together_lack() {
    let fleet = start().await;
    let outcomes = overload(&fleet, 1, Duration::from_mins(3)).await;
    let (refused, spread) = (&outcomes.refused, &outcomes.spread);
    let (refused, spread) = (
        refused.load(Ordering::Relaxed),
        spread.load(Ordering::Relaxed),
    );
    assert!(refused > 500, "{refused} refusals are no shortage");
    assert!(spread * 20 <= refused, "{spread} of {refused} refusals");
}

/// Guards against a lead that is cut off and still holds the other data centres' shares.
#[tokio::test(start_paused = true)]
async fn serves_without_the_lead() {
    let fleet = start().await;
    let centres = DATA_CENTRES.map(|centre| centre.0);
    let lead = rendezvous_order("c", centres)[0];
    overload(&fleet, 2, Duration::from_mins(1)).await;
    fleet.set_cut(lead, true);
    let outcomes = overload(&fleet, 3, Duration::from_mins(2)).await;
    let outside = |index: usize| fleet.hosts[index].member.data_centre.as_ref() != lead;
    let granted = lock(&outcomes.granted);
    // Loans to the lead have ended by then.
    let late = granted
        .iter()
        .filter(|(at, index, _)| *at >= Duration::from_mins(1) && outside(*index));
    let tokens: Tokens = late.map(|(_, _, tokens)| tokens).sum();
    let share = RATE * 60 * 3 / 4;
    assert!(tokens * 10 >= share * 9, "{tokens} of {share} tokens");
}
