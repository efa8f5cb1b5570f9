//! The calls to the platform's store: computed from the constants in the code, and counted at an in-memory store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connection::peer::encode;
use crate::emulator::clock::ManualClock;
use crate::emulator::store::MemoryStore;
use crate::load::slopes::documents::{DATA_CENTRES, full_delta, sections};
use crate::load::slopes::hosts::members;
use crate::load::slopes::orders::order_controller;
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::distribution::core::DistributionCore;
use crate::process::distribution::event::{Action, Event};
use crate::process::distribution::topology::WATCHERS;
use crate::process::distribution::{POLL_INTERVAL, WATCH_WAIT};
use crate::process::fleet_limits::{FleetLimits, FleetLimitsParts};
use crate::process::idempotency::IdempotencyOwner;
use crate::process::members::StaticMembers;
use crate::process::membership::{READ_INTERVAL, Registration, record_key};
use crate::process::message::{ClaimOnce, FinishOnce, Head, OnceOutcome, SectionRef};
use crate::process::orders::ROUND_INTERVAL;
use crate::process::orders::leadership::{LEASE_CANDIDATES, ROUNDS_BETWEEN_LEASE_CHECKS};
use crate::process::ownership::OWNERSHIP_RENEWAL_INTERVAL;
use crate::process::peer::NoPeers;
use crate::version::cell::VersionCell;
use crate::version::compiled::CompiledConfig;
use crate::version::repository::Repository;

const ROLE: &str = "store";
/// The number of engines in the documents of counted order controllers.
const ENGINES: usize = 4;
/// The time for owners to claim their customers after their start.
const CLAIM_WAIT: Duration = Duration::from_millis(700);

/// Measures the roles that call the store.
pub struct StoreRole;

impl RoleMeasurement for StoreRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn work(&self, sizes: &Sizes, seed: u64) -> Result<Vec<Series>, MeasureError> {
        let mut series = computed_calls(sizes);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        series.extend(runtime.block_on(counted_calls(sizes))?);
        series.push(runtime.block_on(idempotency_calls(seed))?);
        series.push(runtime.block_on(cold_start(sizes))?);
        series.push(start_from_peer(sizes)?);
        Ok(series)
    }
}

fn computed_calls(sizes: &Sizes) -> Vec<Series> {
    let every = |time: Duration| 1.0 / time.as_secs_f64();
    let centres = |hosts: f64| hosts.min(DATA_CENTRES.len() as f64);
    let watchers = |hosts: f64| (centres(hosts) * WATCHERS as f64).min(hosts);
    let candidates = |hosts: f64| (centres(hosts) * LEASE_CANDIDATES as f64).min(hosts);
    let purposes = [
        "w/s host leases",
        "r/s host records",
        "r/s config head polls",
        "r/s config watches",
        "r/s order-giver records, candidates",
        "r/s order-giver records, others",
        "w/s order-giver leases",
        "w/s ownership leases",
        "r/s ownership records",
    ];
    let calls = |hosts: f64| {
        [
            hosts * every(READ_INTERVAL),
            hosts * every(READ_INTERVAL),
            hosts * every(POLL_INTERVAL),
            watchers(hosts) * every(WATCH_WAIT),
            (candidates(hosts) - centres(hosts)) * every(ROUND_INTERVAL),
            (hosts - candidates(hosts)) * every(ROUND_INTERVAL * ROUNDS_BETWEEN_LEASE_CHECKS),
            centres(hosts) * every(ROUND_INTERVAL),
            hosts * every(OWNERSHIP_RENEWAL_INTERVAL),
            hosts * every(OWNERSHIP_RENEWAL_INTERVAL),
        ]
    };
    let series = purposes.into_iter().enumerate().map(|(at, quantity)| {
        let mut one = Series::new(ROLE, quantity, "hosts", Method::Computed);
        for hosts in &sizes.hosts {
            one.push(*hosts, calls(*hosts as f64)[at]);
        }
        one
    });
    series.collect()
}

/// Counts the calls of one period of each purpose, with a store that all hosts share.
async fn counted_calls(sizes: &Sizes) -> Result<Vec<Series>, MeasureError> {
    let new = |quantity| Series::new(ROLE, quantity, "hosts", Method::Counted);
    let mut join = new("calls of all hosts' first host record");
    let mut keep = new("calls of a reading of host records");
    let mut listed = new("bytes of a reading, per host");
    let mut polls = new("calls of a head poll of all hosts");
    let mut rounds = new("calls of a round of one order-giver each");
    let mut owned = new("calls of claiming all customers' owners");
    for hosts in sizes.hosts.iter().filter(|h| **h <= sizes.counted_hosts) {
        let clock = Arc::new(ManualClock::default());
        let store = MemoryStore::new(clock.clone());
        let all = members(*hosts);
        let shared: Arc<dyn Store> = store.clone();
        let registrations: Vec<_> = all
            .iter()
            .map(|m| (Registration::new(shared.clone()), m))
            .collect();
        let mut since = store.calls();
        let mut calls = || {
            let before = std::mem::replace(&mut since, store.calls());
            (since - before) as f64
        };
        for (registration, member) in &registrations {
            registration
                .renew(member)
                .await
                .map_err(|e| store_error(&e))?;
        }
        join.push(*hosts, calls());
        let mut bytes = 0;
        for (registration, member) in &registrations {
            registration
                .renew(member)
                .await
                .map_err(|e| store_error(&e))?;
            let read = registration.read_all().await.map_err(|e| store_error(&e))?;
            bytes = 0;
            for member in read {
                bytes += record_key(&member).len() + encode(&member).map_err(MeasureError)?.len();
            }
        }
        keep.push(*hosts, calls());
        listed.push(*hosts, bytes as f64);
        let repository = Repository::new(shared.clone(), clock.clone());
        for _ in &all {
            let read = repository.read_head_with_revision().await;
            read.map_err(|e| MeasureError(e.to_string()))?;
        }
        polls.push(*hosts, calls());
        let controllers: Vec<_> = all
            .iter()
            .map(|me| {
                let others = all.iter().filter(|m| m.host != me.host).cloned();
                let members = Arc::new(StaticMembers::new(me.clone(), others));
                order_controller(me.clone(), ENGINES, members, clock.clone(), shared.clone())
            })
            .collect();
        for controller in &controllers {
            controller.round().await;
        }
        calls();
        for controller in &controllers {
            controller.round().await;
        }
        rounds.push(*hosts, calls());
        let owners: Vec<_> = all
            .iter()
            .map(|me| {
                let others = all.iter().filter(|m| m.host != me.host).cloned();
                let versions = Arc::new(VersionCell::default());
                versions.advance(CompiledConfig {
                    version: 1,
                    data_centres: DATA_CENTRES.map(Name::from).into(),
                    ..CompiledConfig::default()
                });
                let limits = FleetLimits::new(FleetLimitsParts {
                    versions,
                    clock: clock.clone(),
                    store: shared.clone(),
                    peers: Arc::new(NoPeers),
                    members: Arc::new(StaticMembers::new(me.clone(), others)),
                });
                limits.start();
                limits
            })
            .collect();
        tokio::time::sleep(CLAIM_WAIT).await;
        owned.push(*hosts, calls());
        for owner in &owners {
            owner.stop();
        }
    }
    Ok(vec![join, keep, listed, polls, rounds, owned])
}

/// Counts the store calls of one owner of idempotency keys for concurrent claims and their outcomes.
async fn idempotency_calls(seed: u64) -> Result<Series, MeasureError> {
    let quantity = "calls of a claim and its outcome, sent at once";
    let mut series = Series::new(ROLE, quantity, "claims", Method::Counted);
    for size in [1_usize, 64, 1_024] {
        let store = MemoryStore::new(Arc::new(SystemClock));
        let owner = IdempotencyOwner::new(store.clone(), Arc::new(SystemClock));
        let claims = (0..size).map(|index| {
            let owner = owner.clone();
            async move {
                let key: Digest = blake3::hash(format!("{seed} {index}").as_bytes()).into();
                let claim = index as RequestId + 1;
                let body = key;
                owner.claim(ClaimOnce { claim, key, body }).await;
                let outcome = OnceOutcome::NotRun;
                let finish = FinishOnce {
                    claim,
                    key,
                    outcome,
                };
                owner.finish(finish).await
            }
        });
        let done = futures_util::future::join_all(claims).await;
        if done.contains(&Err(())) {
            return Err(MeasureError("outcome not recorded".to_owned()));
        }
        series.push(size, store.calls() as f64 / size as f64);
    }
    Ok(series)
}

/// Counts the store calls of a host that starts while no peer has the configuration.
async fn cold_start(sizes: &Sizes) -> Result<Series, MeasureError> {
    let quantity = "calls of a host's start, no peer informed";
    let mut series = Series::new(ROLE, quantity, "customers", Method::Counted);
    for customers in &sizes.customers {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let store = MemoryStore::new(clock.clone());
        let shared: Arc<dyn Store> = store.clone();
        let mut head = Head {
            version: 1,
            sections: Vec::new(),
        };
        for (team, text) in sections(*customers, 1_300) {
            let section = SectionRef {
                team,
                version: 1,
                hash: blake3::hash(text.as_bytes()).into(),
            };
            let records =
                crate::version::repository::record_store::RecordStore::new(shared.clone());
            let written = records.write_text(&section, &text).await;
            written.map_err(|e| MeasureError(e.to_string()))?;
            head.sections.push(section);
        }
        let before = store.calls();
        let repository = Repository::new(shared, clock);
        let read = repository.read_head_with_revision().await;
        read.map_err(|e| MeasureError(e.to_string()))?;
        let texts = repository
            .read_texts(&head, &std::collections::BTreeMap::new())
            .await;
        texts.map_err(|e| MeasureError(e.to_string()))?;
        series.push(*customers, (store.calls() - before) as f64);
    }
    Ok(series)
}

/// Counts the store calls of a host that starts while a peer has the configuration.
fn start_from_peer(sizes: &Sizes) -> Result<Series, MeasureError> {
    let quantity = "calls of a host's start, a peer informed";
    let mut series = Series::new(ROLE, quantity, "customers", Method::Counted);
    let live = members(DATA_CENTRES.len() + 1);
    let (me, peer) = (&live[0], &live[DATA_CENTRES.len()]);
    for customers in &sizes.customers {
        let asked_at = Instant::now();
        let document = sections(*customers, 1_300);
        let head = Head {
            version: 1,
            sections: full_delta(&document)
                .changed
                .into_iter()
                .map(|part| part.section)
                .collect(),
        };
        let texts = document.iter();
        let texts = texts.map(|(team, text)| (team.clone(), text.as_str().into()));
        let mut informed = DistributionCore::new(peer.clone());
        let known = Event::StoreTexts {
            asked_at,
            head: head.clone(),
            texts: texts.collect(),
        };
        informed.handle(known, asked_at);
        let mut starting = DistributionCore::new(me.clone());
        starting.handle(Event::Members(vec![me.clone(), peer.clone()]), asked_at);
        let mut calls = 1;
        let mut actions = starting.handle(Event::StoreHead { asked_at, head }, asked_at);
        while let Some(action) = actions.pop() {
            match action {
                Action::Fetch { host, request } => {
                    let delta = informed.answer(&request, asked_at);
                    let reply = Event::Fetched {
                        from: host,
                        asked_at,
                        delta,
                    };
                    actions.extend(starting.handle(reply, asked_at));
                }
                Action::ReadTexts { head, have, .. } => calls += head.sections.len() - have.len(),
                _ => {}
            }
        }
        if starting.document().head().version != 1 {
            return Err(MeasureError("document not in force".to_owned()));
        }
        series.push(*customers, calls as f64);
    }
    Ok(series)
}

fn store_error(error: &StoreError) -> MeasureError {
    MeasureError(error.to_string())
}
