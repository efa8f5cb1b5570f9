//! Counts crashes and tells other hosts of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::task::JoinSet;

use crate::prelude::*;
use crate::process::members::Members;
use crate::process::message::{CrashReport, PeerReply, PeerRequest};
use crate::process::peer::PeerLink;
use crate::process::quarantine::{CrashTable, Quarantine, UpstreamProbe};
use crate::process::shard::Shards;

/// The fingerprints kept under each lock: 4,096 in all, some hundred KB. Hundreds of upstreams crash a day, and
/// each takes down some 20 requests.
const FINGERPRINTS: usize = 128;
/// The longest wait until other hosts know of a crash. A repeat through another host must meet the
/// quarantine there; a host that is cut off must not hold up the answer.
const TELL_WAIT: Duration = Duration::from_millis(500);
/// The attempts to tell a host.
const TELL_ATTEMPTS: u32 = 2;

struct Book(CrashTable);

impl Default for Book {
    fn default() -> Self {
        Self(CrashTable::new(FINGERPRINTS))
    }
}

/// The quarantine of a host.
pub struct CrashQuarantine {
    books: Shards<Book>,
    clock: Arc<dyn Clock>,
    probe: Arc<dyn UpstreamProbe>,
    peers: Option<(Arc<dyn Members>, Arc<dyn PeerLink>)>,
}

impl CrashQuarantine {
    /// Creates the quarantine of a host that serves alone.
    pub fn new(clock: Arc<dyn Clock>, probe: Arc<dyn UpstreamProbe>) -> Self {
        Self {
            books: Shards::default(),
            clock,
            probe,
            peers: None,
        }
    }

    /// Shares crashes with other hosts.
    #[must_use]
    pub fn with_peers(mut self, members: Arc<dyn Members>, link: Arc<dyn PeerLink>) -> Self {
        self.peers = Some((members, link));
        self
    }

    /// Takes another host's report; `None` for other questions.
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
        let mut book = self.books.lock(&report.fingerprint);
        book.0.record(report, self.clock.now());
    }

    async fn tell_others(&self, report: CrashReport) {
        let Some((members, link)) = &self.peers else {
            return;
        };
        let me = members.me().host;
        let mut told = JoinSet::new();
        for member in members.live().iter() {
            if member.host != me {
                told.spawn(tell(link.clone(), member.host.clone(), report.clone()));
            }
        }
        let all = async { while told.join_next().await.is_some() {} };
        if tokio::time::timeout(TELL_WAIT, all).await.is_err() {
            // The rest goes on without holding up the answer.
            told.detach_all();
        }
    }
}

async fn tell(link: Arc<dyn PeerLink>, host: HostId, report: CrashReport) {
    for _ in 0..TELL_ATTEMPTS {
        match link
            .ask(&host, PeerRequest::CrashReport(report.clone()))
            .await
        {
            Ok(_) => return,
            Err(e) => log::debug!(host:% = host; "crash not reported: {e}"),
        }
    }
}

#[async_trait]
impl Quarantine for CrashQuarantine {
    fn is_quarantined(&self, fingerprint: &Digest) -> bool {
        let book = self.books.lock(fingerprint);
        book.0.is_quarantined(fingerprint, self.clock.now())
    }

    async fn report_interruption(&self, report: CrashReport, address: SocketAddr) {
        if !self.probe.is_down(address).await {
            return;
        }
        log::warn!(upstream:% = report.upstream, request:% = format!("{:032x}", report.request);
            "upstream went down while it ran a request");
        self.record(&report);
        self.tell_others(report).await;
    }
}
