//! The age of the last confirmation, and what depends on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::connection::probe::HttpProbe;
use hibiscusspread::connection::service::HttpUpstreams;
use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::distribution::freshness::{Confirmation, Freshness};
use hibiscusspread::process::idempotency::LocalIdempotency;
use hibiscusspread::process::limits::LocalLimits;
use hibiscusspread::process::message::{CancelPlace, PlaceReply, PlaceRequest, Release};
use hibiscusspread::process::placer::{LocalPlacer, Placer};
use hibiscusspread::process::quarantine::CrashQuarantine;
use hibiscusspread::process::settings::Settings;
use hibiscusspread::request::flow::{
    AnswerEvent, CompletionJob, CompletionStream, Envelope, FlowSettings, RequestContext,
    start_completion,
};
use hibiscusspread::version::cell::VersionCell;

use crate::fixtures::completion_envelope;
use crate::support::{Bench, KEY};

const HOSTS: usize = 5;

#[derive(Debug, Clone)]
enum Event {
    /// The store confirms to a host; the answer takes `back`.
    Store {
        host: usize,
        back: u64,
    },
    /// A host asks another; the question takes `there`, the answer `back`. Both may include a paused process.
    Ask {
        host: usize,
        peer: usize,
        there: u64,
        back: u64,
    },
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let delay = prop_oneof![4 => 0..50_u64, 1 => 0..4_000_000_u64];
    let host = 0..HOSTS;
    let event = prop_oneof![
        1 => (host.clone(), delay.clone()).prop_map(|(host, back)| Event::Store { host, back }),
        8 => (host.clone(), host, delay.clone(), delay)
            .prop_map(|(host, peer, there, back)| Event::Ask { host, peer, there, back }),
        2 => (0..2_000_000_u64).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..80)
}

/// Per host: what it believes, the true time of the store's confirmation, the delays that may have been added to
/// the age, and when a naive timer was last started.
struct Fleet {
    start: Instant,
    now: u64,
    freshness: Vec<Freshness>,
    truth: Vec<Option<u64>>,
    added: u64,
    naive: Vec<Option<u64>>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            now: 0,
            freshness: (0..HOSTS)
                .map(|_| Freshness::new(Duration::from_mins(90)))
                .collect(),
            truth: vec![None; HOSTS],
            added: 0,
            naive: vec![None; HOSTS],
        }
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn run(&mut self, event: &Event) {
        let asked_at = self.instant();
        match *event {
            Event::Wait(time) => self.now += time,
            Event::Store { host, back } => {
                // The store reads its head at once; the answer is late.
                let read = self.now;
                self.now += back;
                self.added += back;
                let age = Duration::ZERO;
                self.freshness[host].confirm(Confirmation { asked_at, age });
                self.truth[host] = self.truth[host].max(Some(read));
                self.naive[host] = Some(self.now);
            }
            Event::Ask {
                host,
                peer,
                there,
                back,
            } => {
                self.now += there;
                self.added += there;
                let age = self.freshness[peer].age(self.instant());
                let (truth, naive) = (self.truth[peer], self.naive[peer]);
                self.now += back;
                if let Some(age) = age {
                    self.freshness[host].confirm(Confirmation { asked_at, age });
                }
                self.truth[host] = self.truth[host].max(truth);
                if naive.is_some() {
                    self.naive[host] = Some(self.now);
                }
            }
        }
    }
}

/// Guards against a confirmation that lives longer because hosts pass it on in chains or loops, or because it lay in
/// a buffer. A timer that each relay starts anew, run beside it, does fail.
#[test]
fn no_chain_or_loop_prolongs_a_confirmation() {
    let cases = 2_000;
    let mut runner = TestRunner::deterministic();
    let mut naive_failures = 0;
    let mut worst_naive = 0;
    for _ in 0..cases {
        let tree = events().new_tree(&mut runner).expect("events");
        let events = proptest::strategy::ValueTree::current(&tree);
        let mut fleet = Fleet::new();
        let mut naive_failed = false;
        for event in &events {
            fleet.run(event);
            for host in 0..HOSTS {
                let age = fleet.freshness[host].age(fleet.instant());
                let truth = fleet.truth[host].map(|at| Duration::from_millis(fleet.now - at));
                assert_eq!(age.is_some(), truth.is_some(), "{events:?}");
                let (Some(age), Some(truth)) = (age, truth) else {
                    continue;
                };
                assert!(
                    age >= truth,
                    "host {host}: {age:?} younger than {truth:?}: {events:?}"
                );
                let slack = Duration::from_millis(fleet.added);
                assert!(
                    age <= truth + slack,
                    "host {host}: {age:?} too old: {events:?}"
                );
                let naive = fleet.naive[host].map_or(0, |at| fleet.now - at);
                let shortfall =
                    u64::try_from(truth.as_millis()).expect("small") - naive.min(fleet.now);
                naive_failed |= shortfall > 0;
                worst_naive = worst_naive.max(shortfall);
            }
        }
        naive_failures += u32::from(naive_failed);
    }
    println!(
        "{cases} random runs: carried ages never too young; a timer restarted by each relay was too young in \
         {naive_failures} runs, by up to {} s",
        worst_naive / 1_000
    );
    assert!(
        naive_failures > cases / 2,
        "the naive timer was not put to the test"
    );
}

/// Guards against two cut-off hosts that keep each other's keys alive.
#[test]
fn a_loop_of_two_runs_out() {
    let mut fleet = Fleet::new();
    fleet.run(&Event::Store { host: 0, back: 1 });
    let mut refused_at = None;
    while fleet.now < 24 * 3_600_000 {
        for (host, peer) in [(1, 0), (0, 1)] {
            fleet.run(&Event::Ask {
                host,
                peer,
                there: 1,
                back: 1,
            });
        }
        fleet.run(&Event::Wait(30_000));
        if refused_at.is_none() && fleet.freshness[1].check(fleet.instant()).is_err() {
            refused_at = Some(fleet.now / 60_000);
        }
    }
    let naive = fleet.now - fleet.naive[1].expect("told");
    println!(
        "two hosts cut off: keys refused after {refused_at:?} min; naive timer after a day: {naive} ms"
    );
    // Up to one poll late.
    assert!(refused_at.is_some_and(|min| (90..=91).contains(&min)));
    assert!(naive < 31_000);
}

/// Guards against a host that takes keyed requests without ever having heard from the store, or for too long after.
#[test]
fn keys_are_trusted_for_key_trust_only() {
    let start = Instant::now();
    let trust = Duration::from_mins(90);
    let freshness = Freshness::new(trust);
    assert!(freshness.not_ready(start).is_some());
    let refusal = freshness.check(start).expect_err("never confirmed");
    assert_eq!(
        (refusal.kind, refusal.run),
        (RefusalKind::Unavailable, Run::NotRun)
    );
    let age = Duration::from_hours(1);
    freshness.confirm(Confirmation {
        asked_at: start,
        age,
    });
    assert!(freshness.check(start + Duration::from_mins(30)).is_ok());
    assert!(
        freshness
            .not_ready(start + Duration::from_mins(30))
            .is_none()
    );
    let late = start + Duration::from_mins(30) + Duration::from_millis(1);
    assert!(freshness.check(late).is_err());
    assert!(freshness.not_ready(late).is_some());
    // An older confirmation that arrives later changes nothing.
    let age = Duration::from_mins(80);
    freshness.confirm(Confirmation {
        asked_at: start,
        age,
    });
    assert!(freshness.check(start + Duration::from_mins(30)).is_ok());
}

/// Guards against a `key_trust` so long that a replaced list of data centres is still in use after it stopped to
/// count, and against one that is ignored.
#[test]
fn key_trust_is_read_and_bounded() {
    let read = |trust: &str| {
        let text =
            format!("[host]\nname = h\ndata_centre = a\n[config]\nfile = f\nkey_trust = {trust}\n");
        Settings::parse("settings.ini", &text).map(|settings| settings.key_trust)
    };
    assert_eq!(read("30s"), Ok(Duration::from_secs(30)));
    assert_eq!(read("2h"), Ok(Duration::from_hours(2)));
    let problems = read("2h 1s").expect_err("too long");
    assert_eq!(problems[0].key, "key_trust");
}

/// Places at once when opened, and keeps requests waiting before.
struct GatedPlacer {
    gate: Notify,
    waiting: Notify,
    inner: LocalPlacer,
}

#[async_trait]
impl Placer for GatedPlacer {
    async fn place(&self, req: PlaceRequest) -> PlaceReply {
        self.waiting.notify_one();
        self.gate.notified().await;
        self.inner.place(req).await
    }

    async fn release(&self, release: Release) {
        self.inner.release(release).await;
    }

    async fn cancel(&self, cancel: CancelPlace) {
        self.inner.cancel(cancel).await;
    }
}

struct FlowBench {
    bench: Bench,
    cx: Arc<RequestContext>,
    placer: Arc<GatedPlacer>,
    clock: Arc<ManualClock>,
    versions: Arc<VersionCell>,
}

impl FlowBench {
    async fn start() -> Self {
        let bench = Bench::start().await;
        let versions = bench.node.versions.clone();
        let clock = Arc::new(ManualClock::default());
        let placer = Arc::new(GatedPlacer {
            gate: Notify::new(),
            waiting: Notify::new(),
            inner: LocalPlacer::new(versions.clone()),
        });
        let settings = Settings::default();
        let freshness = Freshness::new(Duration::from_mins(90));
        freshness.confirm(Confirmation {
            asked_at: clock.now(),
            age: Duration::ZERO,
        });
        let cx = Arc::new(RequestContext {
            host: settings.host,
            data_centre: settings.data_centre,
            incarnation: 1,
            settings: FlowSettings::default(),
            clock: clock.clone(),
            versions: versions.clone(),
            freshness: Arc::new(freshness),
            limits: Arc::new(LocalLimits::new(versions.clone(), clock.clone())),
            placer: placer.clone(),
            retry_budgets: Arc::default(),
            upstreams: Arc::new(HttpUpstreams::default()),
            quarantine: Arc::new(CrashQuarantine::new(
                Arc::new(SystemClock),
                Arc::new(HttpProbe::default()),
            )),
            idempotency: Arc::new(LocalIdempotency::new(Arc::new(SystemClock))),
            journal: Arc::default(),
            tasks: BackgroundTasks::default(),
        });
        Self {
            bench,
            cx,
            placer,
            clock,
            versions,
        }
    }

    fn request(&self) -> (Arc<RequestContext>, Envelope, CompletionJob) {
        let envelope = completion_envelope(KEY);
        let job = CompletionJob {
            model: "forecast".into(),
            prompt: "Coast".to_owned(),
            max_tokens: Some(5),
        };
        (self.cx.clone(), envelope, job)
    }

    /// Starts a request that waits in the queue.
    async fn queued(&self) -> JoinHandle<Result<CompletionStream, Refusal>> {
        let (cx, envelope, job) = self.request();
        let queued = tokio::spawn(start_completion(cx, envelope, job));
        self.placer.waiting.notified().await;
        queued
    }

    fn withdraw_key(&self) {
        withdraw_key(&self.versions);
    }
}

fn withdraw_key(versions: &VersionCell) {
    let mut compiled = (*versions.current()).clone();
    compiled.version += 1;
    compiled.keys.clear();
    assert!(versions.advance(compiled));
}

/// Guards against a request that runs although its key was withdrawn while it was queued.
#[tokio::test]
async fn a_withdrawn_key_stops_queued_requests() {
    let flow = FlowBench::start().await;
    let queued = flow.queued().await;
    flow.withdraw_key();
    flow.placer.gate.notify_one();
    let refusal = queued.await.expect("task").err().expect("key is withdrawn");
    assert_eq!(
        (refusal.kind, refusal.run),
        (RefusalKind::InvalidKey, Run::NotRun)
    );
    assert_eq!(flow.bench.prefills(), 0);
}

/// Guards against a request that runs although keys stopped being trusted while it was queued.
#[tokio::test]
async fn keyed_requests_are_refused_when_the_configuration_is_too_old() {
    let flow = FlowBench::start().await;
    let queued = flow.queued().await;
    flow.clock.advance(Duration::from_mins(91));
    flow.placer.gate.notify_one();
    let refusal = queued
        .await
        .expect("task")
        .err()
        .expect("configuration is too old");
    assert_eq!(
        (refusal.kind, refusal.run),
        (RefusalKind::Unavailable, Run::NotRun)
    );
    let (cx, envelope, job) = flow.request();
    let refusal = start_completion(cx, envelope, job)
        .await
        .err()
        .expect("too old");
    assert_eq!(refusal.kind.status(), 503);
    assert_eq!(flow.bench.prefills(), 0);
}

/// Guards against an accepted answer that is cut off because its key was withdrawn while it ran.
#[tokio::test]
async fn a_running_stream_of_a_withdrawn_key_finishes() {
    let flow = FlowBench::start().await;
    let (cx, envelope, job) = flow.request();
    flow.placer.gate.notify_one();
    let Ok(mut answer) = start_completion(cx, envelope, job).await else {
        panic!("request was not admitted")
    };
    flow.withdraw_key();
    let mut tokens = 0;
    while let AnswerEvent::Token(_) = answer.next().await.expect("stream goes on") {
        tokens += 1;
    }
    assert_eq!(tokens, 5);
}

/// Guards against a key that stays valid for new requests on a connection that was open when it was withdrawn.
#[tokio::test]
async fn a_withdrawn_key_stops_new_requests_on_open_connections() {
    let bench = Bench::start().await;
    let client = HttpClient::default();
    let ask = async || {
        let uri = format!("http://{}/v1/completions", bench.node.callers_address);
        let body = r#"{"model":"forecast","prompt":"x","max_tokens":2}"#;
        let req = Request::post(uri)
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .expect("request is valid");
        let response = client
            .send(req, Duration::from_secs(20))
            .await
            .expect("answer");
        let status = response.status().as_u16();
        response.into_body().collect().await.expect("whole answer");
        status
    };
    assert_eq!(ask().await, 200);
    withdraw_key(&bench.node.versions);
    assert_eq!(ask().await, 401);
}
