//! The quarantine of a host: confirms crashes by a probe, counts them and shares them with other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::task::JoinSet;

use crate::prelude::*;
use crate::process::members::Members;
use crate::process::message::{CrashReport, PeerReply, PeerRequest};
use crate::process::peer::PeerLink;
use crate::process::quarantine::{CrashTable, Quarantine, UpstreamProbe};
use crate::process::shard::Shards;

/// The fingerprints kept in each shard: 4,096 in all, which take some hundred KB. Hundreds of upstreams crash a day,
/// and each crash interrupts some 20 requests.
const FINGERPRINTS_PER_SHARD: usize = 128;
/// The longest wait for other hosts to learn of a crash before the caller is answered. They must know of it when the
/// caller repeats the request through one of them, but a host that is cut off must not delay the answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of times that a report is sent to a host that does not acknowledge it.
const REPORT_ATTEMPTS: u32 = 2;

struct TableShard(CrashTable);

impl Default for TableShard {
    fn default() -> Self {
        Self(CrashTable::new(FINGERPRINTS_PER_SHARD))
    }
}

/// Refuses requests by the crashes that this host has seen, or that other hosts have reported to it.
pub struct CrashQuarantine {
    tables: Shards<TableShard>,
    clock: Arc<dyn Clock>,
    probe: Arc<dyn UpstreamProbe>,
    peers: Option<(Arc<dyn Members>, Arc<dyn PeerLink>)>,
}

impl CrashQuarantine {
    /// Creates the quarantine of a host without peers.
    pub fn new(clock: Arc<dyn Clock>, probe: Arc<dyn UpstreamProbe>) -> Self {
        Self {
            tables: Shards::default(),
            clock,
            probe,
            peers: None,
        }
    }

    /// Reports crashes to the live members over `link`.
    #[must_use]
    pub fn with_peers(mut self, members: Arc<dyn Members>, link: Arc<dyn PeerLink>) -> Self {
        self.peers = Some((members, link));
        self
    }

    /// Records another host's crash report; returns `None` for other requests.
    pub fn handle(&self, req: &PeerRequest) -> Option<PeerReply> {
        match req {
            PeerRequest::CrashReport(report) => {
                self.record(report);
                Some(PeerReply::Ack)
            }
            _ => None,
        }
    }

    fn record(&self, report: &CrashReport) {
        let mut table = self.tables.lock(&report.fingerprint);
        table.0.record(report, None, self.clock.now());
    }

    async fn report_to_peers(&self, report: CrashReport) {
        let Some((members, link)) = &self.peers else {
            return;
        };
        let me = members.me().host;
        let mut sends = JoinSet::new();
        for member in members.live().iter() {
            if member.host != me {
                sends.spawn(send_report(
                    link.clone(),
                    member.host.clone(),
                    report.clone(),
                ));
            }
        }
        let all = async { while sends.join_next().await.is_some() {} };
        if tokio::time::timeout(REPORT_TIMEOUT, all).await.is_err() {
            // The remaining sends continue in the background.
            sends.detach_all();
        }
    }
}

async fn send_report(link: Arc<dyn PeerLink>, host: HostId, report: CrashReport) {
    for _ in 0..REPORT_ATTEMPTS {
        match link
            .ask(&host, PeerRequest::CrashReport(report.clone()))
            .await
        {
            Ok(_) => return,
            Err(e) => log::debug!(host:% = host; "crash report not delivered: {e}"),
        }
    }
}

#[async_trait]
impl Quarantine for CrashQuarantine {
    fn is_quarantined(&self, fingerprint: &Digest) -> bool {
        let table = self.tables.lock(fingerprint);
        table.0.is_quarantined(fingerprint, self.clock.now())
    }

    fn record_sound(&self, fingerprint: &Digest, sent_at: Instant) {
        let mut table = self.tables.lock(fingerprint);
        let dismissal = table.0.record_sound(fingerprint, sent_at, self.clock.now());
        drop(table);
        for crash in &dismissal.crashes {
            log::info!(upstream:% = crash.upstream, request:% = format!("{:032x}", crash.request);
                "crash no longer counts: an equal request ran to its end since");
        }
    }

    async fn report_interruption(&self, report: CrashReport, address: SocketAddr) {
        if !self.probe.is_down(address).await {
            return;
        }
        log::warn!(upstream:% = report.upstream, request:% = format!("{:032x}", report.request);
            "upstream crashed while running a request");
        self.record(&report);
        self.report_to_peers(report).await;
    }
}
