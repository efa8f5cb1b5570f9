//! Tests of the quarantine of requests that crash upstreams.

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hyper::{Method, Response};
use proptest::prelude::*;

use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::engine::{EngineEmulator, EngineFaults, EngineSettings};
use hibiscusspread::emulator::http::{
    Body, BufferedRequest, EmulatorServer, Handler, any_loopback, json,
};
use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::prelude::*;
use hibiscusspread::process::members::StaticMembers;
use hibiscusspread::process::message::{CrashReport, PeerReply, PeerRequest};
use hibiscusspread::process::node::Node;
use hibiscusspread::process::peer::PeerHandler;
use hibiscusspread::process::quarantine::{
    CrashQuarantine, CrashTable, FINGERPRINT_TTL, Quarantine, SAME_CRASH_WINDOW, UpstreamProbe,
    fingerprint,
};
use hibiscusspread::process::settings::Settings;

use crate::fixtures::{member, versions};
use crate::support;

fn report(fingerprint: u8, request: RequestId, attempt: AttemptNo) -> CrashReport {
    CrashReport {
        fingerprint: [fingerprint; 32],
        request,
        attempt,
        upstream: "u".into(),
    }
}

/// Guards against equal fingerprints of requests that differ in customer, route or body.
#[test]
fn fingerprints_keep_their_parts_apart() {
    let all = [
        fingerprint("c", "r", &[b"ab", b"c"]),
        fingerprint("c", "r", &[b"a", b"bc"]),
        fingerprint("cr", "", &[b"ab", b"c"]),
        fingerprint("d", "r", &[b"ab", b"c"]),
    ];
    assert_eq!(all.iter().collect::<HashSet<_>>().len(), all.len());
}

/// Guards against a table that grows without bound or evicts the newest fingerprints first.
#[test]
fn table_is_bounded_and_evicts_the_oldest() {
    let start = Instant::now();
    let mut table = CrashTable::new(10);
    for n in 0..100 {
        let now = start + Duration::from_secs(u64::from(n));
        table.record(&report(n, 1, 1), None, now);
        table.record(&report(n, 1, 2), None, now);
        assert!(table.len() <= 10);
    }
    let now = start + Duration::from_secs(100);
    for n in 0..100 {
        assert_eq!(
            table.is_quarantined(&[n; 32], now),
            n >= 90,
            "fingerprint {n}"
        );
    }
}

/// What is expected of one fingerprint.
struct Oracle {
    /// The requests and attempts of all reports.
    reported: HashSet<(RequestId, AttemptNo)>,
    /// The crashes apart from each other.
    crashes: Vec<(CrashReport, Instant)>,
    last: Instant,
}

impl Oracle {
    fn new(now: Instant) -> Self {
        Self {
            reported: HashSet::new(),
            crashes: Vec::new(),
            last: now,
        }
    }
}

proptest! {
    /// Guards against a crash that counts twice, also because a report of it is repeated late, or expires early, and against a request
    /// that is refused for the crashes of another one or for expired ones.
    #[test]
    fn table_counts_each_crash_once(
        steps in proptest::collection::vec(
            (0_u8..4, 0_u128..3, 1_u32..3, 0_u8..2, prop_oneof![0_u64..4, 0_u64..2400]),
            1..60,
        ),
    ) {
        let mut now = Instant::now();
        let mut table = CrashTable::new(100);
        let mut oracle: HashMap<u8, Oracle> = HashMap::new();
        for (fingerprint_id, request, attempt, upstream, wait) in steps {
            now += Duration::from_secs(wait);
            oracle.retain(|_, entry| now - entry.last < FINGERPRINT_TTL);
            for fingerprint_id in 0..4 {
                let refused = oracle.get(&fingerprint_id).is_some_and(|entry| entry.crashes.len() >= 2);
                prop_assert_eq!(table.is_quarantined(&[fingerprint_id; 32], now), refused);
            }
            let upstream = format!("u{upstream}").into();
            let report = CrashReport { upstream, ..report(fingerprint_id, request, attempt) };
            table.record(&report, None, now);
            let entry = oracle.entry(fingerprint_id).or_insert_with(|| Oracle::new(now));
            entry.last = now;
            if !entry.reported.insert((request, attempt)) {
                continue;
            }
            let is_known = entry.crashes.iter().any(|(crash, at)| {
                let together = crash.upstream == report.upstream && now - *at < SAME_CRASH_WINDOW;
                crash.request != request && together
            });
            if !is_known {
                entry.crashes.push((report, now));
            }
        }
    }
}

/// Guards against a request that is refused after one crash because it was sent several times at once, and each of
/// these requests reports the crash.
#[test]
fn one_crash_seen_by_several_requests_counts_once() {
    let start = Instant::now();
    let mut table = CrashTable::new(10);
    for request in 0..20 {
        table.record(
            &report(1, request, 1),
            None,
            start + Duration::from_millis(300),
        );
    }
    assert!(!table.is_quarantined(&[1; 32], start + Duration::from_secs(1)));
    let other = CrashReport {
        upstream: "u2".into(),
        ..report(1, 0, 2)
    };
    table.record(&other, None, start + Duration::from_secs(1));
    assert!(table.is_quarantined(&[1; 32], start + Duration::from_secs(1)));
}

#[derive(Default)]
struct ManualProbe {
    down: AtomicBool,
}

#[async_trait]
impl UpstreamProbe for ManualProbe {
    async fn is_down(&self, _address: SocketAddr) -> bool {
        self.down.load(Ordering::SeqCst)
    }
}

struct QuarantineHandler(Arc<CrashQuarantine>);

#[async_trait]
impl PeerHandler for QuarantineHandler {
    async fn handle(&self, _from: &HostId, req: PeerRequest) -> PeerReply {
        let reply = self.0.handle(&req);
        reply.unwrap_or_else(|| PeerReply::Failed("unexpected request".to_owned()))
    }
}

/// Guards against a request that crashes further upstreams through other hosts, a request that is refused although its
/// upstreams stayed up, and a host that is cut off and delays the answer.
#[tokio::test(start_paused = true)]
async fn crashes_are_shared_and_counted_only_if_the_upstream_is_down() {
    let (hub, probe, clock) = (
        PeerHub::new(),
        Arc::new(ManualProbe::default()),
        Arc::new(ManualClock::default()),
    );
    let hosts: Vec<_> = ["a", "b", "c"]
        .map(|name| {
            let others = ["a", "b", "c"]
                .into_iter()
                .filter(|n| *n != name)
                .map(|n| member(n, "a"));
            let members = Arc::new(StaticMembers::new(member(name, "a"), others));
            let quarantine = CrashQuarantine::new(clock.clone(), probe.clone());
            let quarantine = Arc::new(quarantine.with_peers(members, hub.link(&name.into())));
            hub.connect(
                &name.into(),
                Arc::new(QuarantineHandler(quarantine.clone())),
            );
            quarantine
        })
        .into();
    for attempt in 1..5 {
        hosts[0]
            .report_interruption(report(1, 1, attempt), any_loopback())
            .await;
    }
    assert!(
        hosts.iter().all(|h| !h.is_quarantined(&[1; 32])),
        "upstreams were up"
    );
    probe.down.store(true, Ordering::SeqCst);
    hosts[0]
        .report_interruption(report(1, 1, 1), any_loopback())
        .await;
    hub.drop_replies(2);
    assert!(
        hosts.iter().all(|h| !h.is_quarantined(&[1; 32])),
        "one crash"
    );
    // The upstream restarts, and the request crashes it again.
    clock.advance(SAME_CRASH_WINDOW);
    hosts[1]
        .report_interruption(report(1, 2, 1), any_loopback())
        .await;
    assert!(
        hosts.iter().all(|h| h.is_quarantined(&[1; 32])),
        "two crashes"
    );
    clock.advance(FINGERPRINT_TTL);
    assert!(
        hosts.iter().all(|h| !h.is_quarantined(&[1; 32])),
        "kept too long"
    );
    hub.drop_replies(0);
    hub.set_delay(Duration::from_mins(1));
    let start = tokio::time::Instant::now();
    hosts[0]
        .report_interruption(report(2, 1, 1), any_loopback())
        .await;
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a request that is refused for unrelated crashes of upstreams although it ran to its end after each.
#[tokio::test(start_paused = true)]
async fn request_that_ran_since_is_not_refused() {
    let (probe, clock) = (
        Arc::new(ManualProbe::default()),
        Arc::new(ManualClock::default()),
    );
    let quarantine = CrashQuarantine::new(clock.clone(), probe.clone());
    probe.down.store(true, Ordering::SeqCst);
    for request in 0..4 {
        clock.advance(SAME_CRASH_WINDOW);
        let report = report(1, request, 1);
        quarantine.report_interruption(report, any_loopback()).await;
        assert!(!quarantine.is_quarantined(&[1; 32]), "{request}");
        // One that was sent before says nothing.
        quarantine.record_sound(&[1; 32], clock.now());
        clock.advance(Duration::from_millis(1));
        quarantine.record_sound(&[1; 32], clock.now());
    }
    for request in 10..12 {
        clock.advance(SAME_CRASH_WINDOW);
        let report = report(1, request, 1);
        quarantine.report_interruption(report, any_loopback()).await;
    }
    assert!(quarantine.is_quarantined(&[1; 32]));
}

/// Starts a host with one decode engine, `count` prefill engines and a plain service. The engines crash on the word
/// "poison".
async fn start(count: usize, service: SocketAddr) -> (Node, Vec<EmulatorServer>) {
    let settings = EngineSettings {
        faults: EngineFaults {
            crash_substring: Some("poison".to_owned()),
            ..EngineFaults::default()
        },
        ..EngineSettings::default()
    };
    let mut document = format!(
        "[t/fleet/main]\ndata_centres = a\n\
         [t/route/completions]\npath = /v1\nopen = yes\n\
         [t/route/status]\npath = /status\nservice = status\nopen = yes\n\
         [t/upstream/s1]\naddress = {service}\ndata_centre = a\nrole = service\nmodel = status\n"
    );
    let mut servers = Vec::new();
    for n in 0..=count {
        let server = EngineEmulator::new(settings.clone())
            .start(any_loopback())
            .await;
        let server = server.expect("loopback binds");
        let role = if n == 0 { "decode" } else { "prefill" };
        let _ = writeln!(
            document,
            "[t/upstream/e{n}]\naddress = {}\ndata_centre = a\nrole = {role}\nmodel = forecast",
            server.address()
        );
        servers.push(server);
    }
    let versions = versions(&document);
    let settings = Settings {
        callers_address: any_loopback(),
        ..Settings::default()
    };
    let node = Node::start(settings, versions).await.expect("host starts");
    (node, servers)
}

async fn post(node: &Node, path: &str, body: &str) -> (u16, String) {
    let answer = support::post(node.callers_address, &[], path, body).await;
    (answer.status, answer.body)
}

/// Guards against a request that crashes every engine because it is retried here and repeated by its caller.
#[tokio::test]
async fn request_is_refused_after_its_second_crash() {
    let (node, _servers) = start(3, any_loopback()).await;
    let poison = r#"{"model":"forecast","prompt":"poison","max_tokens":2}"#;
    let healthy = r#"{"model":"forecast","prompt":"fair","max_tokens":2}"#;
    let (status, body) = post(&node, "/v1/completions", poison).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains(r#""run":"unknown""#), "{body}");
    let (status, body) = post(&node, "/v1/completions", poison).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains(r#""run":"not_run""#), "{body}");
    // The third prefill engine is still up.
    let (status, body) = post(&node, "/v1/completions", healthy).await;
    assert_eq!(status, 200, "{body}");
}

/// A service that answers probes but closes the connection of every other request; counts these.
struct ClosingHandler(AtomicU64);

#[async_trait]
impl Handler for ClosingHandler {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        if req.method() == Method::GET {
            return Some(json(200, &"up"));
        }
        self.0.fetch_add(1, Ordering::SeqCst);
        None
    }
}

/// Guards against counting a closed connection as a crash although the upstream is up.
#[tokio::test]
async fn broken_connection_to_a_live_upstream_is_no_crash() {
    let closing = Arc::new(ClosingHandler(AtomicU64::new(0)));
    let server = EmulatorServer::start(any_loopback(), closing.clone())
        .await
        .expect("loopback binds");
    let (node, _servers) = start(1, server.address()).await;
    for _ in 0..4 {
        let (status, body) = post(&node, "/status", "{}").await;
        assert_ne!(status, 422, "{body}");
    }
    assert!(closing.0.load(Ordering::SeqCst) >= 4);
}
