//! Configuration documents of a wanted size.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::prelude::*;
use crate::process::message::{ConfigDelta, Head, SectionRef, SectionText};
use crate::version::key::{hash_key, write_hash};

/// The customers in one team's section.
const CUSTOMERS_PER_TEAM: usize = 10;
/// The models of the fleet; the upstreams of each are one team's section.
pub const MODELS: usize = 14;
/// The data centres.
pub const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns the name of a customer.
pub fn customer_name(index: usize) -> CustomerId {
    format!("customer-{index:05}").into()
}

/// Returns the sections of a document, by team.
pub fn sections(customers: usize, upstreams: usize) -> BTreeMap<TeamId, String> {
    let mut sections: BTreeMap<TeamId, String> = BTreeMap::new();
    let fleet = format!(
        "[fleet/fleet/main]\ndata_centres = {}\n[fleet/route/completions]\npath = /v1\n",
        DATA_CENTRES.join(", ")
    );
    sections.insert("fleet".into(), fleet);
    for first in (0..customers).step_by(CUSTOMERS_PER_TEAM) {
        let team = format!("team{:04}", first / CUSTOMERS_PER_TEAM);
        let last = (first + CUSTOMERS_PER_TEAM).min(customers);
        sections.insert(
            team.as_str().into(),
            customer_section(&team, first..last, 10_000),
        );
    }
    for index in 0..upstreams {
        let team = format!("model{:02}", index % MODELS);
        let text = sections.entry(team.as_str().into()).or_default();
        let data_centre = DATA_CENTRES[index / MODELS % DATA_CENTRES.len()];
        let role = if index % 3 == 0 { "prefill" } else { "decode" };
        let _ = write!(
            text,
            "[{team}/upstream/engine-{index:04}]\naddress = 10.0.{}.{}:8000\ndata_centre = {data_centre}\n\
             role = {role}\nmodel = {team}\nslots = 20\nprefill_rate = 20000\nlink_rate = 200000\n",
            index / 250,
            index % 250 + 1,
        );
    }
    sections
}

/// Returns the section of a team with customers of this rate.
pub fn customer_section(team: &str, customers: std::ops::Range<usize>, rate: Tokens) -> String {
    let mut text = String::new();
    for index in customers {
        let customer = customer_name(index);
        let hash = write_hash(&hash_key(&format!("{customer}-key")));
        let _ = write!(
            text,
            "[{team}/customer/{customer}]\nrate = {rate}\nburst = {}\n\
             [{team}/key/{customer}]\ncustomer = {customer}\nhash = {hash}\n",
            rate * 5
        );
    }
    text
}

/// Returns the message that holds a whole document as version 1.
pub fn full_delta(sections: &BTreeMap<TeamId, String>) -> ConfigDelta {
    let changed: Vec<_> = sections
        .iter()
        .map(|(team, text)| section(team, 1, text.clone()))
        .collect();
    let head = Head {
        version: 1,
        sections: changed.iter().map(|c| c.section.clone()).collect(),
    };
    ConfigDelta {
        base: 0,
        version: 1,
        changed,
        removed: Vec::new(),
        next: None,
        result: head.digest(),
        age: None,
    }
}

/// Returns the change of one section after `head`.
pub fn section_delta(head: &Head, team: &TeamId, text: String) -> ConfigDelta {
    let version = head.version + 1;
    let changed = section(team, version, text);
    let mut next = head.clone();
    next.version = version;
    for section in &mut next.sections {
        if section.team == *team {
            *section = changed.section.clone();
        }
    }
    ConfigDelta {
        base: head.version,
        version,
        changed: vec![changed],
        removed: Vec::new(),
        next: None,
        result: next.digest(),
        age: None,
    }
}

/// Returns a section with its text.
pub fn section(team: &TeamId, version: Version, text: String) -> SectionText {
    SectionText {
        section: SectionRef {
            team: team.clone(),
            version,
            hash: blake3::hash(text.as_bytes()).into(),
        },
        text,
    }
}
