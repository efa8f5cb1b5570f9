//! Guards the return of unused tokens after their bucket has moved to another host.

use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::allowance::{Allowance, CustomerLimit};
use hibiscusspread::process::limits::Limits;
use hibiscusspread::process::message::{Charge, ChargeReply, Settle};

use crate::limits_fleet::{Fleet, Host, charge};

/// Long enough for a bucket to fill.
const FULL: Duration = Duration::from_mins(1);

fn settle(request: RequestId, epoch: Epoch, unused: Tokens) -> Settle {
    Settle {
        request,
        customer: "c".into(),
        epoch,
        unused,
    }
}

async fn granted(host: &Host, request: RequestId, tokens: Tokens) -> Epoch {
    match charge(&host.limits, "c", request, tokens, Duration::ZERO).await {
        ChargeReply::Granted { epoch } => epoch,
        reply => panic!("{reply:?}"),
    }
}

fn level(host: &Host) -> Tokens {
    host.limits.dump().first().map_or(0, |view| view.level)
}

/// Guards against unused tokens that are lost in a hand-over, returned twice, or returned to a bucket that has been
/// full since the charge and would have discarded them.
#[test]
fn a_charge_is_settled_after_two_hand_overs() {
    let start = Instant::now();
    let limit = CustomerLimit {
        version: 1,
        rate: 10,
        burst: 1_000,
        home_share: WHOLE_SHARE,
    };
    let (mut now, far) = (start + FULL * 2, start + Duration::from_hours(1));
    let mut owner = Allowance::new(limit, 1, start);
    for request in 1..=3 {
        let charge = Charge {
            request,
            customer: "c".into(),
            tokens: 300,
        };
        let reply = owner.charge(&charge, far, now);
        assert_eq!(reply, ChargeReply::Granted { epoch: 1 });
    }
    assert!(owner.settle(&settle(1, 1, 100), far, now));
    for epoch in 2..=3 {
        let (state, _) = owner.hand_over(&"c".into(), now);
        owner = Allowance::from_hand_over(limit, epoch, &state, now);
    }
    let mut back = |settle: Settle, now: Instant| {
        let before = owner.view("c".into(), "h".into(), far, now).level;
        owner.settle(&settle, far, now);
        owner.view("c".into(), "h".into(), far, now).level - before
    };
    assert_eq!(back(settle(1, 1, 300), now), 0, "settled before");
    assert_eq!(back(settle(2, 3, 250), now), 0, "charged in another period");
    assert_eq!(back(settle(2, 1, 250), now), 250);
    assert_eq!(back(settle(2, 1, 250), now), 0, "a repeat");
    now += Duration::from_mins(5);
    assert_eq!(back(settle(3, 1, 300), now), 0, "full since the charge");
}

/// Guards against a settlement that is lost because the partition is being handed over or its message is lost.
#[tokio::test(start_paused = true)]
async fn a_settlement_finds_the_next_owner() {
    let fleet = Fleet::start(&[("a", 2)], &[("c", 1, 1_000)]).await;
    fleet.hub.set_delay(Duration::from_millis(1));
    tokio::time::sleep(FULL * 30).await;
    let owner = fleet.hosts.iter().position(|host| level(host) > 0);
    let owner = owner.expect("one host owns the customer");
    let (leaving, next) = (&fleet.hosts[owner], &fleet.hosts[1 - owner]);
    let first = granted(leaving, 1, 400).await;
    let second = granted(leaving, 2, 400).await;
    let moving = next.limits.settle(settle(1, first, 400));
    tokio::join!(leaving.limits.hand_over_all(), moving);
    let before = level(next);
    assert!(before >= 600, "{before} tokens after the first settlement");
    fleet.hub.drop_replies(3);
    for _ in 0..3 {
        leaving.limits.settle(settle(2, second, 400)).await;
    }
    let after = level(next);
    let gained = after - before;
    assert!((400..420).contains(&gained), "{gained} tokens returned");
}

/// Guards against unused tokens that are lost after a charge at the owner in another data centre.
#[tokio::test(start_paused = true)]
async fn settles_at_the_data_centre_that_was_charged() {
    let fleet = Fleet::start(&[("a", 2), ("b", 1), ("c", 1)], &[("c", 3, 3_000)]).await;
    tokio::time::sleep(FULL * 30).await;
    let owner = usize::from(level(&fleet.hosts[0]) == 0);
    let entry = &fleet.hosts[1 - owner];
    let (a, b) = (&fleet.hosts[owner].member.host, &entry.member.host);
    fleet.hub.set_cut(a, b, true);
    let epoch = granted(entry, 1, 500).await;
    let held = || fleet.hosts.iter().map(level).collect::<Vec<_>>();
    let charged = held();
    for _ in 0..2 {
        entry.limits.settle(settle(1, epoch, 500)).await;
    }
    let gained: Tokens = held().iter().sum::<Tokens>() - charged.iter().sum::<Tokens>();
    assert!((500..520).contains(&gained), "{charged:?} and {:?}", held());
}
