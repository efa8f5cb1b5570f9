//! The exchange of state reports between hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::load::Work;
use crate::process::forwarding::peers::{HostReport, Registration, ReportFreshness};
use crate::process::forwarding::relays::{ExchangePlan, Role};
use crate::process::forwarding::source::{Reach, Source};
use crate::process::forwarding::usage::{FleetKnowledge, Reporter};
use crate::process::shard::lock;

/// Carries reports between hosts, without a guarantee of delivery.
#[async_trait]
pub trait ReportLink: Send + Sync {
    /// Sends a report to all addresses. Errors are not returned: the next report replaces a lost one.
    async fn send(&self, to: &[SocketAddr], report: &HostReport);
    /// Waits for the next report of any host.
    async fn receive(&self) -> HostReport;
}

/// The time for which reports repeat a change of a customer's granted tokens, in case some reports are lost.
const GRANT_REPEAT_TIME: Duration = Duration::from_secs(2);

/// How often reports are sent.
#[derive(Debug, Clone, PartialEq)]
pub struct ExchangeSettings {
    /// The time for which changes are batched before a report that goes to all hosts, per other host; bounds the traffic between
    /// many hosts.
    pub delay_per_host: Duration,
    /// The longest time between two reports, apart from batching.
    pub interval: Duration,
    /// The number of hosts up to which each reports to all others; a larger fleet has relays.
    pub max_direct_hosts: usize,
    /// The time for which changes are batched before a report that goes to relays, or comes from one.
    pub relay_delay: Duration,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            delay_per_host: Duration::from_millis(1),
            interval: Duration::from_millis(500),
            max_direct_hosts: 80,
            relay_delay: Duration::from_millis(200),
        }
    }
}

impl ExchangeSettings {
    /// Returns the longest time that a change takes through two relays to all hosts, apart from lost reports.
    fn longest_relay_delay(&self) -> Duration {
        self.relay_delay * 3
    }
}

/// Sends this host's reports and applies those of the others.
pub struct ReportExchange {
    /// This host, as reports and its registration name it.
    pub own: Registration,
    /// When this process started.
    pub started: Instant,
    /// The state that is reported, and to which reports are applied.
    pub state: Arc<FleetState>,
    /// The clock for the time of arrival of reports and this host's uptime.
    pub clock: Arc<dyn Clock>,
    /// Sends and receives reports.
    pub link: Arc<dyn ReportLink>,
    /// How often reports are sent.
    pub settings: ExchangeSettings,
    /// This host's work as last reported, which relays include in the sum of the fleet.
    pub reported_work: Mutex<HashMap<UpstreamId, Work>>,
}

impl ReportExchange {
    /// Sends reports until dropped: soon after a change, and at least every `interval` plus the time of batching. Charges the
    /// silence of other hosts after each.
    pub async fn send_reports(&self) {
        let mut number = 0;
        loop {
            let interval = self.settings.interval;
            let _ = tokio::time::timeout(interval, self.state.report_requested()).await;
            self.plan_now();
            tokio::time::sleep(self.batching_delay()).await;
            self.run_round(&mut number).await;
        }
    }

    /// Sends this host's reports once and charges the silence of other hosts. `number` is that of the last report.
    pub async fn run_round(&self, number: &mut u64) {
        self.send(number, false).await;
        self.charge_silence(self.clock.now());
    }

    /// Tells the other hosts that this one shuts down.
    pub async fn announce_leaving(&self) {
        // No later report follows, and each of the last ones must count as the newest.
        let mut number = u64::MAX - Reach::Fleet as u64 - 2;
        self.send(&mut number, true).await;
    }

    fn batching_delay(&self) -> Duration {
        let peers = self.state.peers();
        if peers.role() == Role::Direct {
            self.direct_delay(peers.host_count())
        } else {
            self.settings.relay_delay
        }
    }

    /// Returns the time for which changes are batched in a fleet of `hosts` without relays.
    fn direct_delay(&self, hosts: usize) -> Duration {
        let others = u32::try_from(hosts - 1).unwrap_or(u32::MAX);
        self.settings.delay_per_host.saturating_mul(others)
    }

    /// Returns the longest time after which all of `hosts` hosts have heard of a grant, apart from lost reports.
    fn longest_report_delay(&self, role: Role, hosts: usize) -> Duration {
        if role == Role::Direct {
            // A grant that comes after a report was put together waits for the next one.
            self.direct_delay(hosts).saturating_mul(2)
        } else {
            self.settings.longest_relay_delay()
        }
    }

    async fn send(&self, number: &mut u64, leaving: bool) {
        let now = self.clock.now();
        let plan = self.plan(now);
        let messages = [
            (Reach::Host, &plan.reports[..]),
            (Reach::DataCentre, &plan.remote_relays[..]),
            (Reach::Fleet, &plan.members[..]),
        ];
        for (reach, to) in messages {
            if !to.is_empty() {
                *number += 1;
                let report = self.report(reach, plan.role, *number, leaving, now);
                self.link.send(to, &report).await;
            }
        }
    }

    /// Records what this host knows of the fleet, before it sends its first report.
    pub fn plan_now(&self) {
        self.plan(self.clock.now());
    }

    /// Plans to whom this host reports, and records what it knows of the fleet.
    fn plan(&self, now: Instant) -> ExchangePlan {
        let mut peers = self.state.peers();
        let before = peers.role();
        let plan = peers.plan(&self.own, self.settings.max_direct_hosts, now);
        let hosts = peers.host_count();
        let is_informed = peers.is_informed();
        let silent_hosts = peers.silent_hosts(&self.own, now);
        if peers.is_introduced() {
            self.state.set_starts_until(None);
        }
        drop(peers);
        if plan.role != before {
            log::info!(target: "peers", "reports: {:?} instead of {before:?}, {hosts} hosts", plan.role);
        }
        let report_delay = if plan.role == Role::Direct {
            self.direct_delay(hosts)
        } else {
            self.settings.longest_relay_delay()
        };
        self.state.set_report_delay(report_delay);
        self.state.update_cold_fleet(&self.own);
        self.state.usage.set_knowledge(FleetKnowledge {
            hosts,
            has_relays: plan.role != Role::Direct,
            report_delay: self.longest_report_delay(plan.role, hosts),
            heard_part: 1.0 - silent_hosts as f64 / hosts as f64,
            is_informed,
        });
        plan
    }

    fn report(
        &self,
        reach: Reach,
        role: Role,
        number: u64,
        leaving: bool,
        now: Instant,
    ) -> HostReport {
        let state = &self.state;
        let since = now.checked_sub(GRANT_REPEAT_TIME).unwrap_or(self.started);
        let work = state.loads.work_within(reach, now);
        if reach == Reach::Host {
            *lock(&self.reported_work) = work.iter().cloned().collect();
        }
        let (hosts, silent_hosts, others_on_time) = {
            let peers = state.peers();
            let silent_hosts = peers.silent_hosts(&self.own, now);
            let others_on_time = peers.has_on_time_waiter_within(reach, now);
            (peers.known_hosts(), silent_hosts, others_on_time)
        };
        let version = state.config.current().version;
        HostReport {
            sender: self.own.clone(),
            reach,
            number,
            uptime: now.saturating_duration_since(self.started),
            hosts,
            silent_hosts,
            version: if reach == Reach::Host {
                version
            } else {
                version.max(state.newest_peer_version())
            },
            leaving,
            usage: state.usage.totals_since(reach, since),
            work,
            unwell: state.loads.unhealthy_reports(reach, now),
            left: state.recently_left(reach, now),
            has_on_time: others_on_time || state.queues.has_on_time_waiter(now),
            crashes: state.recent_crashes(reach, now),
            list: state.list_news(role, now),
            sections: state.report_sections(reach, now),
        }
    }

    /// Applies the reports of other hosts until dropped.
    pub async fn receive_reports(&self) {
        loop {
            let report = self.link.receive().await;
            if report.sender.host != self.own.host {
                self.apply_report(&report, self.clock.now());
            }
        }
    }

    /// Applies a report unless a newer one of the same host has arrived.
    pub fn apply_report(&self, report: &HostReport, now: Instant) {
        let sender = &report.sender;
        let role = {
            let mut peers = self.state.peers();
            let is_first = peers.is_first_report(report);
            if peers.record_report(report, now) == ReportFreshness::Stale {
                return;
            }
            if is_first && peers.role() == Role::Relay {
                // A host that has just started waits for the sum of the fleet.
                self.state.request_report();
            }
            peers.role()
        };
        let source = self.source_of(report, role);
        if let Some(source) = &source {
            self.apply_sums(source, report, now);
        }
        // Only what hosts of the same data centre found themselves is news for the relays of others.
        let is_neighbour = sender.data_centre == self.own.data_centre;
        let found = if is_neighbour && report.reach == Reach::Host {
            Reach::DataCentre
        } else {
            Reach::Fleet
        };
        // Before the section that dismisses some of them.
        for crash in &report.crashes {
            self.state.record_crash(crash, found, now);
        }
        for section in &report.sections {
            self.state
                .apply_section(section, source.as_ref(), found, now);
        }
        self.state.record_peer_version(report.version);
        self.state.mark_left(&report.left, found, now);
        for unhealthy in &report.unwell {
            self.state
                .loads
                .apply_unhealthy_report(unhealthy, found, now);
        }
        if let Some(news) = &report.list {
            self.state.apply_list_news(news, now);
        }
        self.state.queues.wake_heads(now);
        if report.leaving {
            self.state.usage.forget(&Source::Host(sender.host.clone()));
        }
    }

    /// Returns the source whose work and usage a report sums up; `None` if this host hears of it from another source, so that it
    /// would count twice.
    fn source_of(&self, report: &HostReport, role: Role) -> Option<Source> {
        let sender = &report.sender;
        let is_neighbour = sender.data_centre == self.own.data_centre;
        match (role, report.reach) {
            (Role::Direct, Reach::Host) => Some(Source::Host(sender.host.clone())),
            (Role::Relay, Reach::Host) if is_neighbour => Some(Source::Host(sender.host.clone())),
            (Role::Relay, Reach::DataCentre) if !is_neighbour => {
                Some(Source::DataCentre(sender.data_centre.clone()))
            }
            (Role::Member, Reach::Fleet) if is_neighbour => Some(Source::Fleet),
            _ => None,
        }
    }

    fn apply_sums(&self, source: &Source, report: &HostReport, now: Instant) {
        let uptime = now.saturating_duration_since(self.started);
        let reporter = Reporter {
            host: &report.sender.host,
            incarnation: report.sender.incarnation,
            started_later: report.uptime < uptime,
        };
        if !matches!(source, Source::Host(_)) {
            self.state.peers().record_aggregate(source.clone(), now);
        }
        let usage = &self.state.usage;
        for (customer, totals) in &report.usage {
            usage.apply_totals(source, reporter, customer, *totals, now);
        }
        if *source == Source::Fleet {
            let others = self.without_own_work(&report.work);
            self.state.loads.apply_report(source, &others, now);
        } else {
            self.state.loads.apply_report(source, &report.work, now);
        }
    }

    /// Returns the work of the fleet without this host's own, which the sum contains as it was last reported.
    fn without_own_work(&self, fleet: &[(UpstreamId, Work)]) -> Vec<(UpstreamId, Work)> {
        let own = lock(&self.reported_work);
        let others = fleet.iter().map(|(upstream, work)| {
            let mut others = *work;
            others.remove(own.get(upstream).copied().unwrap_or_default());
            (upstream.clone(), others)
        });
        others.collect()
    }

    /// Charges all customers for the tokens that silent hosts are assumed to grant.
    fn charge_silence(&self, now: Instant) {
        let (silent, hosts) = {
            let mut peers = self.state.peers();
            let silent = peers.take_uncharged_silence(&self.own, now);
            (silent, peers.host_count())
        };
        for silence in silent {
            self.state.usage.charge_silence(
                &silence.source,
                silence.hosts,
                hosts,
                silence.uncharged,
                now,
            );
        }
    }
}
