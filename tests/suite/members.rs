//! The ranking of hosts that own a key.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use hibiscusspread::process::members::{Members, StaticMembers, owners};
use hibiscusspread::process::message::Member;

const HOSTS: usize = 390;
const CENTRES: usize = 8;
const CALLS: u32 = 10_000;

fn member(i: usize) -> Member {
    Member {
        host: format!("host-{i}").into(),
        data_centre: format!("dc{}", i % CENTRES).into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        incarnation: 1,
        leaving: i == CENTRES,
    }
}

/// Guards against owners that are leaving or in other data centres, and against a list that is copied for each call.
/// Prints the time of a call at 390 hosts with `--nocapture`.
#[test]
fn ranks_the_hosts_of_one_data_centre() {
    let members = StaticMembers::new(member(0), (1..HOSTS).map(member));
    let mut ranked = owners(&members, "dc0", "key");
    ranked.sort();
    let expected = (0..HOSTS).step_by(CENTRES).filter(|i| *i != CENTRES);
    let mut expected: Vec<_> = expected.map(|i| member(i).host).collect();
    expected.sort();
    assert_eq!(ranked, expected);
    assert!(
        Arc::ptr_eq(&members.live(), &members.live()),
        "a call copies the list"
    );
    let start = Instant::now();
    for call in 0..CALLS {
        std::hint::black_box(owners(&members, "dc0", &format!("customers/{}", call % 64)));
    }
    println!("owners() at {HOSTS} hosts: {:?}", start.elapsed() / CALLS);
}
