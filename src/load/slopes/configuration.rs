//! The configuration: the cost of compiling, relaying and holding it.

use std::collections::HashSet;

use crate::connection::peer::{REPLY_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES, encode};
use crate::load::slopes::documents::{
    DATA_CENTRES, customer_section, full_delta, section_delta, sections,
};
use crate::load::slopes::hosts::members;
use crate::load::slopes::probe::{RetainedObjects, cpu_of};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::distribution::document::HeldDocument;
use crate::process::distribution::topology::{relay_targets, watchers};
use crate::process::message::{Member, PeerReply, PeerRequest};

const ROLE: &str = "configuration";
/// The number of upstreams in every document.
const UPSTREAMS: usize = 1_300;
/// The number of copies of a version whose memory is measured together.
const COPIES: usize = 4;

/// Measures the distribution of the configuration.
pub struct ConfigurationRole;

impl RoleMeasurement for ConfigurationRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn memory(
        &self,
        sizes: &Sizes,
        retained: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        let mut compiled = resident("compiled version and document [bytes]");
        for customers in &sizes.customers {
            let delta = full_delta(&sections(*customers, UPSTREAMS));
            // Builds one copy first, so that the measured copies reuse the memory that parsing frees.
            retained.growth(|| {
                let mut document = HeldDocument::default();
                (document.apply(&delta).ok(), document)
            })?;
            let grown = retained.growth(|| {
                let copies = (0..COPIES).map(|_| {
                    let mut document = HeldDocument::default();
                    (document.apply(&delta).ok(), document)
                });
                copies.collect::<Vec<_>>()
            })?;
            compiled.push(*customers, grown / COPIES as f64);
        }
        Ok(vec![compiled])
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity, method| Series::new(ROLE, quantity, "customers", method);
        let mut state = new("whole document [bytes]", Method::Counted);
        let mut all = new("compile whole [us]", Method::Cpu);
        let mut one = new("compile one changed section [us]", Method::Cpu);
        let mut lookup = new("key lookup [us]", Method::Cpu);
        for customers in &sizes.customers {
            let delta = full_delta(&sections(*customers, UPSTREAMS));
            let bytes: usize = delta.changed.iter().map(|c| c.text.len()).sum();
            state.push(*customers, bytes as f64);
            all.push(
                *customers,
                cpu_of(sizes, || {
                    let applied = HeldDocument::default().apply(&delta);
                    usize::from(applied.is_ok())
                })?,
            );
            let mut document = HeldDocument::default();
            let compiled = document.apply(&delta);
            let compiled = compiled.map_err(|e| MeasureError(e.to_string()))?;
            let keys: Vec<_> = compiled.keys.keys().copied().collect();
            lookup.push(
                *customers,
                cpu_of(sizes, || {
                    keys.iter().filter_map(|k| compiled.key(k)).count()
                })?,
            );
            let mut rate = 10_000;
            one.push(
                *customers,
                cpu_of(sizes, || {
                    rate += 1;
                    let team: TeamId = "team0000".into();
                    let text = customer_section(&team, 0..10, rate);
                    let delta = section_delta(document.head(), &team, text);
                    usize::from(document.apply(&delta).is_ok())
                })?,
            );
        }
        let mut series = vec![state, all, one, lookup];
        series.extend(relay(sizes)?);
        Ok(series)
    }
}

fn resident(quantity: &'static str) -> Series {
    Series::new(ROLE, quantity, "customers", Method::Resident)
}

/// Counts the messages of one change that the watchers of each data centre receive from the store.
fn relay(sizes: &Sizes) -> Result<Vec<Series>, MeasureError> {
    let new = |quantity| Series::new(ROLE, quantity, "hosts", Method::Counted);
    let mut messages = new("messages sent per change and host");
    let mut most = new("messages sent per change, busiest host");
    let mut bytes = new("bytes sent per change and host");
    let mut most_bytes = new("bytes sent+received per change, busiest host");
    let document = full_delta(&sections(10, 0));
    let mut held = HeldDocument::default();
    let applied = held.apply(&document);
    applied.map_err(|e| MeasureError(e.to_string()))?;
    let team: TeamId = "team0000".into();
    let delta = section_delta(held.head(), &team, customer_section(&team, 0..10, 20_000));
    let request = encode(&PeerRequest::ConfigDelta(delta)).map_err(MeasureError)?;
    let reply = encode(&PeerReply::Ack).map_err(MeasureError)?;
    let request = request.len() + REQUEST_OVERHEAD_BYTES;
    let reply = reply.len() + REPLY_OVERHEAD_BYTES;
    for hosts in &sizes.hosts {
        let live = members(*hosts);
        let (sent, received) = count_messages(&live);
        let total: usize = sent.iter().sum();
        let busiest = sent.iter().zip(&received);
        let busiest = busiest.map(|(sent, received)| (sent + received) * (request + reply));
        messages.push(*hosts, total as f64 / *hosts as f64);
        most.push(
            *hosts,
            sent.iter().copied().max().unwrap_or_default() as f64,
        );
        bytes.push(*hosts, (total * (request + reply)) as f64 / *hosts as f64);
        most_bytes.push(*hosts, busiest.max().unwrap_or_default() as f64);
    }
    Ok(vec![messages, most, bytes, most_bytes])
}

/// Returns the numbers of messages that each host sends and receives for one change.
fn count_messages(live: &[Member]) -> (Vec<usize>, Vec<usize>) {
    let index = |host: &HostId| live.iter().position(|m| m.host == *host);
    let mut sent = vec![0; live.len()];
    let mut received = vec![0; live.len()];
    let mut reached = HashSet::new();
    let starts = DATA_CENTRES.iter().flat_map(|dc| watchers(live, dc));
    let mut next: Vec<(HostId, Option<HostId>)> = starts.map(|host| (host, None)).collect();
    while !next.is_empty() {
        for (host, from) in std::mem::take(&mut next) {
            let Some(at) = index(&host).filter(|at| reached.insert(*at)) else {
                continue;
            };
            for target in relay_targets(&live[at], live, from.as_ref()) {
                sent[at] += 1;
                if let Some(to) = index(&target) {
                    received[to] += 1;
                }
                next.push((target, Some(host.clone())));
            }
        }
    }
    (sent, received)
}
