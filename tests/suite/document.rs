//! Tests of compiling the configuration document into lookup tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use hibiscusspread::prelude::*;
use hibiscusspread::version::compiled::{CompiledConfig, PlannedStop, StopSubject};
use hibiscusspread::version::document::section::ParsedSection;
use hibiscusspread::version::document::{compile, merge, split_by_team};
use hibiscusspread::version::fields::list_problems;

use crate::repository::large_document;

fn problems(text: &str) -> String {
    let compiled = split_by_team("doc", text).and_then(|sections| compile(1, &sections));
    list_problems(&compiled.expect_err("document has problems"))
}

/// Guards against a problem that is missed, listed without its section and key, or hidden by an earlier one.
#[test]
fn lists_every_problem_with_its_place() {
    let text = "[ops/fleet/main]\ndata_centres = a, a\nshares = 0\n\
        [news/customer/c]\nrate = 0\n\
        [news/customer/empty]\n\
        [news/key/one]\ncustomer = c\nhash = blake3:00\n\
        [news/upstream/u]\naddress = here\ndata_centre = z\nrole = cook\nmodel = m\nslots = 0\n\
        [news/stop/s]\nupstream = gone\nfrom = 2026-12-04T22:00:00Z\nuntil = 2026-12-04T21:00:00Z\n\
        [news/route/r]\npath = v1\nspeed = 3\n\
        [news/tea/t]\n";
    let found = problems(text);
    let expected = [
        "ops: [ops/fleet/main] data_centres: a is listed twice",
        "[ops/fleet/main] shares: less than",
        "[news/customer/c] rate: must be between",
        "[news/customer/c] burst: missing",
        "[news/customer/empty] rate: missing",
        "[news/key/one] hash: not a key hash",
        "[news/upstream/u] address: \"here\" is not an address",
        "[news/upstream/u] role: \"cook\" is not one of",
        "[news/upstream/u] slots: must be above 0",
        "[news/upstream/u]: unknown data centre z",
        "[news/stop/s] until: not after from",
        "[news/stop/s]: unknown upstream gone",
        "[news/route/r] path: must start with /",
        "[news/route/r] speed: unknown key",
        "[news/tea/t]: unknown kind",
    ];
    for line in expected {
        assert!(found.contains(line), "missing {line:?} in:\n{found}");
    }
}

/// Guards against one entry silently replacing another: a withdrawn key would stay valid under its other name, and a
/// second fleet would change every customer's shares.
#[test]
fn refuses_entries_that_replace_each_other() {
    let hash = format!("blake3:{}", "ab".repeat(32));
    let text = format!(
        "[a/fleet/main]\ndata_centres = a\n[b/fleet/other]\ndata_centres = b\n\
         [a/customer/c]\nrate = 1\nburst = 1\n[b/customer/c]\nrate = 9\nburst = 9\n\
         [a/key/one]\ncustomer = c\nhash = {hash}\n[b/key/two]\ncustomer = c\nhash = {hash}\n"
    );
    let found = problems(&text);
    for line in [
        "[b/fleet/other]: the fleet is also in [a/fleet/main]",
        "[b/customer/c]: customer c is also in [a/customer/c]",
        "[b/key/two]: key one has the same hash",
    ] {
        assert!(found.contains(line), "missing {line:?} in:\n{found}");
    }
}

/// Guards against a planned stop that begins late, ends early, or needs an edit to begin or end.
#[test]
fn planned_stops_begin_and_end_by_themselves() {
    let at = |hours| SystemTime::UNIX_EPOCH + Duration::from_hours(hours);
    let stop = |subject, until| PlannedStop {
        name: "s".into(),
        subject,
        from: at(10),
        until,
    };
    let compiled = CompiledConfig {
        stops: vec![
            stop(StopSubject::Upstream("u".into()), None),
            stop(StopSubject::Host("h".into()), Some(at(12))),
        ],
        ..CompiledConfig::default()
    };
    let (upstream, host): (UpstreamId, HostId) = ("u".into(), "h".into());
    let seen: Vec<_> = [9, 10, 11, 12, 13]
        .map(|hour| {
            let at = at(hour);
            let stops = (
                compiled.is_upstream_stopping(&upstream, at),
                compiled.is_host_stopping(&host, at),
            );
            (stops.0, stops.1, compiled.next_stop_change(at).is_some())
        })
        .to_vec();
    let expected = [
        (false, false, true),
        (true, true, true),
        (true, true, true),
        (true, false, false),
        (true, false, false),
    ];
    assert_eq!(seen, expected);
    assert!(
        !compiled.is_upstream_stopping(&host, at(11)),
        "a host's stop stopped an upstream"
    );
}

/// Guards against a change whose compilation costs a host more than 1.9% of a core at 2,300 changes a day, which is
/// 714 ms a change, with 4,000 customers. Prints the time of a whole compilation and of one changed section.
#[test]
fn one_changed_section_of_4000_customers_compiles_within_the_control_budget() {
    let sections = large_document(400);
    let start = Instant::now();
    let whole = compile(1, &sections).expect("document compiles");
    let whole_time = start.elapsed();
    let parse = |team: &TeamId, text: &String| Arc::new(ParsedSection::parse(team, team, text));
    let mut parsed: BTreeMap<TeamId, Arc<ParsedSection>> = sections
        .iter()
        .map(|(team, text)| (team.clone(), parse(team, text)))
        .collect();
    let mut times = Vec::new();
    for version in 2..12 {
        let start = Instant::now();
        let team: TeamId = "team7".into();
        parsed.insert(team.clone(), parse(&team, &sections[&team]));
        let changed = merge(version, &parsed).expect("document merges");
        times.push(start.elapsed());
        assert_eq!(changed.keys, whole.keys, "merging differs from compiling");
    }
    times.sort();
    println!(
        "4,000 customers in 400 sections: whole {whole_time:?}, one section median {:?}, worst {:?}",
        times[5], times[9]
    );
    let budget = Duration::from_secs_f64(86_400.0 * 0.019 / 2_300.0);
    assert!(times[9] < budget, "{:?} a change", times[9]);
}
