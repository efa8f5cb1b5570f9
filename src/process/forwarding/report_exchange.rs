//! The exchange of reports between hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::forwarding::directory::Directory;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::{HostReport, ReportFreshness};
use crate::process::forwarding::usage::Reporter;

/// Carries reports between hosts.
#[async_trait]
pub trait ReportLink: Send + Sync {
    /// Sends a report to all addresses; what can't be sent is lost.
    async fn send(&self, to: &[SocketAddr], report: &HostReport);
    /// Waits for the next report.
    async fn receive(&self) -> HostReport;
}

/// The time for which a changed grant is repeated in reports, in case some are lost.
const GRANT_REPEATED: Duration = Duration::from_secs(2);

/// Sends this host's reports and takes over those of the others.
pub struct ReportExchange {
    /// This host.
    pub host: HostId,
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// Its process start.
    pub incarnation: Incarnation,
    /// When it started.
    pub started: Instant,
    /// What it knows.
    pub state: Arc<FleetState>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The link to other hosts.
    pub link: Arc<dyn ReportLink>,
    /// The time for which changes are gathered, for each other host.
    pub delay_per_host: Duration,
    /// The longest time between two reports.
    pub interval: Duration,
}

impl ReportExchange {
    /// Sends reports for good: soon after a change, and at least every `interval`.
    pub async fn send_reports(&self) {
        let mut number = 0;
        loop {
            let _ = tokio::time::timeout(self.interval, self.state.report_requested()).await;
            let hosts = self.state.peers().host_count();
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            tokio::time::sleep(self.delay_per_host * (hosts - 1)).await;
            number += 1;
            self.send(number, false).await;
            self.take_uncharged_silence(self.clock.now());
        }
    }

    /// Tells the others that this host ends.
    pub async fn announce_leaving(&self) {
        self.send(u64::MAX, true).await;
    }

    async fn send(&self, number: u64, leaving: bool) {
        let to = self.state.peers().addresses();
        if to.is_empty() {
            return;
        }
        let now = self.clock.now();
        let since = now.checked_sub(GRANT_REPEATED).unwrap_or(self.started);
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

    /// Takes over the reports of other hosts for good.
    pub async fn receive_reports(&self) {
        loop {
            let report = self.link.receive().await;
            if report.host != self.host {
                self.apply_report(&report, self.clock.now());
            }
        }
    }

    /// Takes over one report.
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
        for news in &report.unwell {
            self.state.loads.apply_unhealthy_report(news, now);
        }
        self.state.queues.wake_heads(now);
        if report.leaving {
            self.state.usage.forget_host(&report.host);
        }
    }

    /// Charges the even share of silent hosts to all customers.
    fn take_uncharged_silence(&self, now: Instant) {
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
