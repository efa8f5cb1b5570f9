//! Guards the rate limits over several hosts and data centres, in simulated time.

use std::time::Duration;

use hibiscusspread::process::limits::Limits;
use hibiscusspread::process::message::{ChargeReply, Settle};
use hibiscusspread::version::compiled::Compiled;

use crate::fixtures::assert_matches;
use crate::fixtures::outage;
use crate::limits_fleet::{Fleet, charge, configuration};

/// Long enough for all buckets to fill.
const FULL: Duration = Duration::from_mins(1);

fn is_granted(reply: &ChargeReply) -> bool {
    matches!(reply, ChargeReply::Granted { .. })
}

/// Guards against a request within the burst that is refused because no data centre holds enough tokens, and against
/// grants above the burst afterwards.
#[tokio::test(start_paused = true)]
async fn serves_a_charge_of_the_whole_burst() {
    let centres = [("a", 2), ("b", 2), ("c", 2), ("d", 2)];
    let fleet = Fleet::start(&centres, &[("c", 100, 1_000)]).await;
    fleet.hub.set_delay(Duration::from_micros(500));
    tokio::time::sleep(FULL).await;
    let host = &fleet.hosts[0];
    let reply = charge(&host.limits, "c", 1, 1_000, Duration::from_secs(5)).await;
    assert!(is_granted(&reply), "{reply:?}");
    let reply = charge(&host.limits, "c", 2, 1_001, Duration::ZERO).await;
    assert_eq!(reply, ChargeReply::TooLarge { burst: 1_000 });
    for host in &fleet.hosts {
        let found = charge(&host.limits, "c", 3, 10, Duration::ZERO).await;
        assert_matches!(found => ChargeReply::Later(_));
    }
}

/// Guards against refusals when all demand is in one data centre, and against loans that are kept after the demand has
/// ended.
#[tokio::test(start_paused = true)]
async fn lends_the_rate_where_the_demand_is() {
    let centres = [("a", 2), ("b", 1), ("c", 1), ("d", 1)];
    let fleet = Fleet::start(&centres, &[("c", 1_000, 5_000)]).await;
    fleet.hub.set_delay(Duration::from_micros(500));
    tokio::time::sleep(FULL).await;
    let mut refused = 0;
    for request in 0..600 {
        let reply = charge(
            &fleet.hosts[0].limits,
            "c",
            request,
            80,
            Duration::from_secs(1),
        )
        .await;
        refused += u32::from(!is_granted(&reply));
        tokio::time::sleep(Duration::from_millis(98)).await;
    }
    assert_eq!(refused, 0, "of 600 requests at four fifths of the rate");
    tokio::time::sleep(FULL).await;
    for host in &fleet.hosts {
        for view in host.limits.dump() {
            assert!(view.taken.is_empty() && view.given.is_empty(), "{view:?}");
        }
    }
}

/// Guards against a charge that is counted twice, or settled twice, because it was repeated after a lost reply.
#[tokio::test(start_paused = true)]
async fn charges_once_after_a_lost_answer() {
    let fleet = Fleet::start(&[("a", 2)], &[("c", 1, 1_000)]).await;
    tokio::time::sleep(Duration::from_mins(20)).await;
    let level = |fleet: &Fleet| -> u64 {
        fleet
            .hosts
            .iter()
            .flat_map(|h| h.limits.dump())
            .map(|v| v.level)
            .sum()
    };
    assert_eq!(level(&fleet), 1_000);
    let owner = fleet.hosts.iter().position(|h| !h.limits.dump().is_empty());
    let other = &fleet.hosts[1 - owner.expect("one host owns the customer")];
    fleet.hub.drop_replies(1);
    let reply = charge(&other.limits, "c", 7, 400, Duration::from_secs(1)).await;
    let ChargeReply::Granted { epoch } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(level(&fleet), 600);
    let settle = Settle {
        request: 7,
        customer: "c".into(),
        epoch,
        unused: 300,
    };
    for _ in 0..2 {
        other.limits.settle(settle.clone()).await;
        assert_eq!(level(&fleet), 900);
    }
}

/// Guards against a grant that is used long after the owner counted it.
#[tokio::test(start_paused = true)]
async fn drops_a_late_grant() {
    let fleet = Fleet::start(&[("a", 2)], &[("c", 100, 1_000)]).await;
    tokio::time::sleep(FULL).await;
    let owner = fleet.hosts.iter().position(|h| !h.limits.dump().is_empty());
    let other = &fleet.hosts[1 - owner.expect("one host owns the customer")];
    fleet.hub.set_delay(Duration::from_millis(300));
    let reply = charge(&other.limits, "c", 1, 10, Duration::ZERO).await;
    assert!(!is_granted(&reply), "{reply:?}");
}

/// Guards against a customer that stays without an owner after a crash, and against a new owner that grants its
/// predecessor's burst again.
#[tokio::test(start_paused = true)]
async fn a_successor_starts_empty() {
    let mut fleet = Fleet::start(&[("a", 3)], &[("c", 100, 1_000)]).await;
    tokio::time::sleep(FULL).await;
    let owner = fleet.hosts.iter().position(|h| !h.limits.dump().is_empty());
    let owner = owner.expect("one host owns the customer");
    let other = (owner + 1) % 3;
    let reply = charge(&fleet.hosts[other].limits, "c", 1, 1_000, Duration::ZERO).await;
    assert!(is_granted(&reply), "{reply:?}");
    fleet.crash(owner);
    let limits = fleet.hosts[other].limits.clone();
    let reply = charge(&limits, "c", 2, 1, Duration::from_secs(5)).await;
    assert_eq!(reply, ChargeReply::NotOwner, "a missing reply is no proof");
    fleet.prove(owner);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_matches!(charge(&limits, "c", 3, 100, Duration::ZERO).await => ChargeReply::Later(_));
    let reply = charge(&limits, "c", 4, 100, Duration::from_secs(15)).await;
    assert!(is_granted(&reply), "{reply:?}");
}

/// Guards against a leaving host whose partitions have no owner until its lease ends.
#[tokio::test(start_paused = true)]
async fn a_leaving_host_hands_its_partitions_over() {
    let fleet = Fleet::start(&[("a", 2)], &[("c", 100, 1_000)]).await;
    let owner = fleet.hosts.iter().position(|h| !h.limits.dump().is_empty());
    let owner = owner.expect("one host owns the customer");
    let other = &fleet.hosts[1 - owner];
    let mut leaving = fleet.hosts[owner].member.clone();
    leaving.leaving = true;
    let live = vec![leaving, other.member.clone()];
    fleet.hosts[owner].limits.hand_over_all().await;
    for host in &fleet.hosts {
        host.members.set_live(live.clone());
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for host in [other, &fleet.hosts[owner]] {
        let reply = charge(&host.limits, "c", 1, 50, Duration::from_secs(30)).await;
        assert!(is_granted(&reply), "{reply:?}");
    }
    assert_eq!(other.limits.dump().len(), 1);
}

/// Guards against a lowered limit that is not applied in every data centre, also to loans.
#[tokio::test(start_paused = true)]
async fn a_lowered_limit_applies_everywhere_at_once() {
    let centres = [("a", 1), ("b", 1)];
    let fleet = Fleet::start(&centres, &[("c", 1_000, 10_000)]).await;
    tokio::time::sleep(FULL).await;
    let reply = charge(&fleet.hosts[0].limits, "c", 1, 6_000, Duration::ZERO).await;
    assert!(is_granted(&reply), "{reply:?}");
    fleet.advance(&configuration(2, &["a", "b"], &[("c", 10, 100)]));
    let mut granted = 0;
    for (i, host) in fleet.hosts.iter().enumerate() {
        for request in 0..50 {
            let request = 10 + request + 100 * i as u128;
            let reply = charge(&host.limits, "c", request, 10, Duration::ZERO).await;
            granted += if is_granted(&reply) { 10 } else { 0 };
        }
    }
    assert!((10..=100).contains(&granted), "{granted}");
}

/// Guards against customers without requests that cause store calls.
#[tokio::test(start_paused = true)]
async fn idle_customers_cause_no_store_calls() {
    let customers: Vec<_> = (0..200).map(|i| format!("c{i}")).collect();
    let customers: Vec<_> = customers.iter().map(|c| (c.as_str(), 10, 100)).collect();
    let fleet = Fleet::start(&[("a", 2), ("b", 2)], &customers).await;
    let calls = fleet.store.calls();
    tokio::time::sleep(Duration::from_hours(1)).await;
    let calls = fleet.store.calls() - calls;
    // Each host makes a renewal and a read every ten minutes.
    assert!(calls <= 4 * 2 * 7, "{calls}");
}

/// Guards against refusals during a store outage of an hour.
#[tokio::test(start_paused = true)]
async fn serves_through_a_store_outage() {
    let fleet = Fleet::start(&[("a", 2), ("b", 2)], &[("c", 100, 1_000)]).await;
    tokio::time::sleep(FULL).await;
    let outage = outage();
    fleet.store.set_faults(outage);
    for request in 0..60 {
        tokio::time::sleep(Duration::from_mins(1)).await;
        let reply = charge(
            &fleet.hosts[1].limits,
            "c",
            request,
            900,
            Duration::from_secs(2),
        )
        .await;
        assert!(is_granted(&reply), "after {request} min: {reply:?}");
    }
}

/// Guards against home shares that ignore the configuration's `shares` while the list of data centres changes, and
/// against a larger home share that adds tokens at once.
#[tokio::test(start_paused = true)]
async fn home_shares_follow_the_document() {
    let fleet = Fleet::start(&[("a", 1), ("b", 1)], &[("c", 100, 1_000)]).await;
    let levels = |fleet: &Fleet| -> Vec<u64> {
        let views = fleet.hosts.iter().flat_map(|h| h.limits.dump());
        views.map(|view| view.level).collect()
    };
    let with = |version, centres: &[&str], shares| Compiled {
        shares,
        ..configuration(version, centres, &[("c", 100, 1_000)])
    };
    tokio::time::sleep(FULL).await;
    assert_eq!(levels(&fleet), [500, 500]);
    // Long enough for the hosts to apply a version, and too short to gain a token.
    let seen = Duration::from_millis(1);
    fleet.advance(&with(2, &["a", "b"], 4));
    tokio::time::sleep(seen).await;
    assert_eq!(levels(&fleet), [250, 250], "before a third is added");
    fleet.advance(&with(3, &["a", "b"], 2));
    tokio::time::sleep(seen).await;
    assert_eq!(levels(&fleet), [250, 250], "a larger share begins empty");
    tokio::time::sleep(FULL).await;
    assert_eq!(levels(&fleet), [500, 500]);
    fleet.advance(&with(4, &["a"], 2));
    tokio::time::sleep(seen).await;
    assert_eq!(
        levels(&fleet),
        [500, 0],
        "removed with the shares unchanged"
    );
}
