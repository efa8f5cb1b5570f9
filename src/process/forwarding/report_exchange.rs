//! The exchange of state reports between hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::forwarding::directory::Directory;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::{HostReport, ReportFreshness};
use crate::process::forwarding::usage::Reporter;

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

/// Sends this host's reports and applies those of the others.
pub struct ReportExchange {
    /// The id of this host, to drop its own reports.
    pub host: HostId,
    /// The address at which this host receives reports.
    pub address: SocketAddr,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// When this process started.
    pub started: Instant,
    /// The state that is reported, and to which reports are applied.
    pub state: Arc<FleetState>,
    /// The clock for the time of arrival of reports and this host's uptime.
    pub clock: Arc<dyn Clock>,
    /// Sends and receives reports.
    pub link: Arc<dyn ReportLink>,
    /// The time for which changes are batched before a report, per other host.
    pub delay_per_host: Duration,
    /// The longest time between two reports.
    pub interval: Duration,
}

impl ReportExchange {
    /// Sends reports until dropped: soon after a change, and at least every `interval` plus the time of batching. Charges the
    /// silence of other hosts after each.
    pub async fn send_reports(&self) {
        let mut number = 0;
        loop {
            let _ = tokio::time::timeout(self.interval, self.state.report_requested()).await;
            let hosts = self.state.peers().host_count();
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            tokio::time::sleep(self.delay_per_host * (hosts - 1)).await;
            number += 1;
            self.send(number, false).await;
            self.charge_silent_hosts(self.clock.now());
        }
    }

    /// Tells the other hosts that this one shuts down.
    pub async fn announce_leaving(&self) {
        self.send(u64::MAX, true).await;
    }

    async fn send(&self, number: u64, leaving: bool) {
        let to = self.state.peers().addresses();
        if to.is_empty() {
            return;
        }
        let now = self.clock.now();
        let since = now.checked_sub(GRANT_REPEAT_TIME).unwrap_or(self.started);
        let report = HostReport {
            host: self.host.clone(),
            address: self.address,
            incarnation: self.incarnation,
            number,
            uptime: now.saturating_duration_since(self.started),
            version: self.state.config.current().version,
            leaving,
            granted: self.state.usage.granted_since(since),
            work: self.state.loads.own_work(),
            unwell: self.state.loads.unhealthy_reports(now),
            left: self.state.with_directory(Directory::recently_left),
            has_on_time: self.state.queues.has_on_time_waiter(now),
            crashes: self.state.recent_crashes(now),
        };
        self.link.send(&to, &report).await;
    }

    /// Applies the reports of other hosts until dropped.
    pub async fn receive_reports(&self) {
        loop {
            let report = self.link.receive().await;
            if report.host != self.host {
                self.apply_report(&report, self.clock.now());
            }
        }
    }

    /// Applies a report unless a newer one of the same host has arrived.
    pub fn apply_report(&self, report: &HostReport, now: Instant) {
        if self.state.peers().record_report(report, now) == ReportFreshness::Stale {
            return;
        }
        let reporter = Reporter {
            host: &report.host,
            incarnation: report.incarnation,
            started_later: report.uptime < now.saturating_duration_since(self.started),
        };
        for (customer, granted) in &report.granted {
            self.state
                .usage
                .apply_granted(reporter, customer, *granted, now);
        }
        self.state
            .loads
            .apply_report(&report.host, &report.work, now);
        for crash in &report.crashes {
            self.state.record_crash(crash, false, now);
        }
        self.state.record_peer_version(report.version);
        self.state.mark_left(&report.left);
        for unhealthy in &report.unwell {
            self.state.loads.apply_unhealthy_report(unhealthy, now);
        }
        self.state.queues.wake_heads(now);
        if report.leaving {
            self.state.usage.forget_host(&report.host);
        }
    }

    /// Charges all customers for the tokens that silent hosts are assumed to grant.
    fn charge_silent_hosts(&self, now: Instant) {
        let (silent, hosts) = {
            let mut peers = self.state.peers();
            (peers.take_uncharged_silence(now), peers.host_count())
        };
        for (host, incarnation, uncharged) in silent {
            self.state
                .usage
                .charge_silent_hosts(&[(host, incarnation)], hosts, uncharged, now);
        }
    }
}
