//! Retries, resumes and continuations against scripted engines.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::distribution::freshness::Freshness;
use hibiscusspread::process::idempotency::LocalIdempotency;
use hibiscusspread::process::limits::LocalLimits;
use hibiscusspread::process::message::{CancelPlace, PlaceReply, PlaceRequest, Release};
use hibiscusspread::process::placer::{LocalPlacer, Placer};
use hibiscusspread::process::quarantine::{CrashQuarantine, UpstreamProbe};
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::engine::{DecodeJob, FinishReason, PrefillJob, PrefillResult};
use hibiscusspread::request::flow::{
    AnswerEvent, CompletionJob, CompletionStream, FlowSettings, RequestContext, start_completion,
};
use hibiscusspread::request::retry::{FailedAttempt, RetryBudget, RetryBudgets};
use hibiscusspread::version::cell::VersionCell;
use hibiscusspread::version::compiled::Compiled;
use hibiscusspread::version::key::{hash_key, write_hash};
use proptest::prelude::*;

use crate::fixtures::{EnginesOnly, StubEngine, compiled, completion_envelope};

/// What a scripted decode engine does with one stream.
#[derive(Debug, Clone)]
pub enum Script {
    /// Sends this many tokens, then breaks.
    Break(u32),
    /// Sends every token and the end.
    Whole,
    /// Sends every token, then breaks instead of sending the end.
    NoEnd,
    /// Opens no stream, but returns this error.
    Fail(UpstreamError),
}

/// The calls that reached the engines.
#[derive(Default)]
struct CallLog {
    prefills: Vec<PrefillJob>,
    decodes: Vec<(String, DecodeJob)>,
    resumes: Vec<(AttemptNo, u32)>,
    cancels: Vec<(String, AttemptNo)>,
}

/// The state shared by the scripted engines of a fixture.
#[derive(Default)]
struct ScriptedEngines {
    prefill_errors: Mutex<VecDeque<UpstreamError>>,
    /// The scripts of the coming decodes and resumes in order; once empty, `Whole`.
    scripts: Mutex<VecDeque<Script>>,
    /// The offset at which the answer to each request ends.
    ends: Mutex<HashMap<RequestId, u32>>,
    calls: Mutex<CallLog>,
}

struct ScriptedEngine {
    address: String,
    state: Arc<ScriptedEngines>,
}

struct ScriptedStream {
    frames: VecDeque<Frame>,
}

impl ScriptedEngine {
    fn stream(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        from: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let end = lock(&self.state.ends)[&request];
        let script = lock(&self.state.scripts).pop_front();
        let (stop, has_end) = match script.unwrap_or(Script::Whole) {
            Script::Fail(error) => return Err(error),
            Script::Break(count) => ((from + count).min(end), false),
            Script::Whole => (end, true),
            Script::NoEnd => (end, false),
        };
        let frame = |offset, content| Frame {
            request,
            attempt,
            offset,
            content,
        };
        let mut frames: VecDeque<_> = (from..stop)
            .map(|k| frame(k, FrameContent::Token(format!("t{k} "))))
            .collect();
        if has_end {
            frames.push_back(frame(end, FrameContent::End(FinishReason::Length)));
        }
        Ok(Box::new(ScriptedStream { frames }))
    }
}

#[async_trait]
impl TokenStream for ScriptedStream {
    async fn next(&mut self) -> Result<Frame, UpstreamError> {
        let broken = || UpstreamError::may_have_run(UpstreamErrorKind::Broken, "scripted");
        self.frames.pop_front().ok_or_else(broken)
    }
}

#[async_trait]
impl StubEngine for ScriptedEngine {
    async fn prefill(&self, job: PrefillJob) -> Result<PrefillResult, UpstreamError> {
        let result = PrefillResult {
            request: job.request,
            attempt: job.attempt,
            prompt_tokens: 1,
            cached_tokens: 0,
            kv: String::new(),
        };
        lock(&self.state.calls).prefills.push(job);
        let error = lock(&self.state.prefill_errors).pop_front();
        error.map_or(Ok(result), Err)
    }

    async fn decode(&self, job: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let (request, attempt, offset) = (job.request, job.attempt, job.offset);
        let end = job.offset + job.max_tokens;
        lock(&self.state.ends).insert(request, end);
        lock(&self.state.calls)
            .decodes
            .push((self.address.clone(), job));
        self.stream(request, attempt, offset)
    }

    async fn resume(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        lock(&self.state.calls).resumes.push((attempt, offset));
        self.stream(request, attempt, offset)
    }

    async fn cancel(&self, _: RequestId, attempt: AttemptNo) -> Result<(), UpstreamError> {
        lock(&self.state.calls)
            .cancels
            .push((self.address.clone(), attempt));
        Ok(())
    }
}

/// Records placements and releases, and passes them on to a local placer.
struct RecordingPlacer {
    inner: LocalPlacer,
    clock: Arc<ManualClock>,
    /// How far the clock advances during each placement.
    queue_wait: Mutex<Duration>,
    placed: Mutex<Vec<PlaceRequest>>,
    released: Mutex<Vec<Release>>,
}

#[async_trait]
impl Placer for RecordingPlacer {
    async fn place(&self, req: PlaceRequest) -> PlaceReply {
        lock(&self.placed).push(req.clone());
        self.clock.advance(*lock(&self.queue_wait));
        self.inner.place(req).await
    }

    async fn release(&self, release: Release) {
        lock(&self.released).push(release.clone());
        self.inner.release(release).await;
    }

    async fn cancel(&self, cancel: CancelPlace) {
        self.inner.cancel(cancel).await;
    }
}

/// Reports every upstream as up, so that requests are ended by the limit on attempts and not by the quarantine.
struct AlwaysUp;

#[async_trait]
impl UpstreamProbe for AlwaysUp {
    async fn is_down(&self, _address: SocketAddr) -> bool {
        false
    }
}

/// The request path with scripted engines.
pub struct Fixture {
    /// The context that requests run in.
    pub cx: Arc<RequestContext>,
    engines: Arc<ScriptedEngines>,
    placer: Arc<RecordingPlacer>,
    versions: Arc<VersionCell>,
}

/// The key of the fixture's customer.
pub const KEY: &str = "retry-key";

/// Compiles a configuration with one route, three engines of each role and, if `has_key` is set, one key. `route` is
/// added to the route's section.
fn configuration(version: Version, route: &str, has_key: bool) -> Compiled {
    let mut document = format!(
        "[t/fleet/main]\ndata_centres = a\n[t/customer/c]\nrate = 1000\nburst = 1000\n\
         [t/route/r]\npath = /v1\n{route}\n"
    );
    if has_key {
        let hash = write_hash(&hash_key(KEY));
        let key = format!("[t/key/k]\ncustomer = c\nhash = {hash}\n");
        document.push_str(&key);
    }
    for index in 0..6 {
        let (role, port) = (["prefill", "decode"][index % 2], index + 1);
        let upstream = format!(
            "[t/upstream/u{index}]\naddress = 127.0.0.1:{port}\ndata_centre = a\nrole = {role}\nmodel = m\n"
        );
        document.push_str(&upstream);
    }
    compiled(version, &document)
}

impl Fixture {
    /// Creates a path whose route has `route` as further lines of its section.
    pub fn new(route: &str) -> Self {
        Self::with_settings(route, FlowSettings::default())
    }

    /// Creates a path with these settings.
    pub fn with_settings(route: &str, settings: FlowSettings) -> Self {
        let versions = Arc::new(VersionCell::default());
        versions.advance(configuration(1, route, true));
        let manual = Arc::new(ManualClock::default());
        let clock: Arc<dyn Clock> = manual.clone();
        let engines = Arc::new(ScriptedEngines::default());
        let placer = Arc::new(RecordingPlacer {
            inner: LocalPlacer::new(versions.clone()),
            clock: manual,
            queue_wait: Mutex::default(),
            placed: Mutex::default(),
            released: Mutex::default(),
        });
        let cx = Arc::new(RequestContext {
            host: "h".into(),
            data_centre: "a".into(),
            incarnation: 1,
            settings,
            limits: Arc::new(LocalLimits::new(versions.clone(), clock.clone())),
            clock,
            placer: placer.clone(),
            retry_budgets: Arc::new(RetryBudgets::default()),
            versions: versions.clone(),
            freshness: Arc::new(Freshness::unlimited()),
            upstreams: Arc::new(EnginesOnly({
                let state = engines.clone();
                move |address: &str| ScriptedEngine {
                    address: address.to_owned(),
                    state: state.clone(),
                }
            })),
            quarantine: Arc::new(CrashQuarantine::new(
                Arc::new(SystemClock),
                Arc::new(AlwaysUp),
            )),
            idempotency: Arc::new(LocalIdempotency::new(Arc::new(SystemClock))),
            journal: Arc::default(),
            tasks: BackgroundTasks::default(),
        });
        Self {
            cx,
            engines,
            placer,
            versions,
        }
    }

    /// Makes every request wait in the queue for this time.
    pub fn queue_wait(self, wait: Duration) -> Self {
        *lock(&self.placer.queue_wait) = wait;
        self
    }

    /// Appends scripts for the coming decodes and resumes.
    pub fn scripts(self, scripts: impl IntoIterator<Item = Script>) -> Self {
        lock(&self.engines.scripts).extend(scripts);
        self
    }

    /// Appends the errors of the coming prefills.
    pub fn prefill_errors(self, errors: impl IntoIterator<Item = UpstreamError>) -> Self {
        lock(&self.engines.prefill_errors).extend(errors);
        self
    }

    /// Starts a completion.
    pub async fn start(&self) -> Result<CompletionStream, Refusal> {
        let envelope = completion_envelope(KEY);
        let job = CompletionJob {
            model: "m".into(),
            prompt: "p".to_owned(),
            max_tokens: Some(6),
        };
        start_completion(self.cx.clone(), envelope, job).await
    }

    /// Runs a completion; returns its text and how it ended.
    pub async fn run(&self) -> (String, Result<u64, Refusal>) {
        let mut text = String::new();
        let mut answer = match self.start().await {
            Ok(answer) => answer,
            Err(refusal) => return (text, Err(refusal)),
        };
        let end = loop {
            match answer.next().await {
                Ok(AnswerEvent::Token(token)) => text += &token,
                Ok(AnswerEvent::End { output_tokens, .. }) => break Ok(output_tokens),
                Err(refusal) => break Err(refusal),
            }
        };
        drop(answer);
        // Lets the spawned releases finish.
        tokio::time::sleep(Duration::from_millis(20)).await;
        (text, end)
    }
}

impl Fixture {
    /// Runs a completion that must be answered completely.
    async fn assert_whole(&self) {
        let (text, end) = self.run().await;
        assert_eq!((text.as_str(), end), ("t0 t1 t2 t3 t4 t5 ", Ok(6)));
    }

    /// Runs a completion that must fail after this text.
    async fn assert_ends(&self, expected: &str, run: Run) {
        let (text, end) = self.run().await;
        assert_eq!(
            (text.as_str(), end.expect_err("fails").run),
            (expected, run)
        );
    }
}

/// Returns the error of an engine that accepts no connection.
pub fn unreachable() -> UpstreamError {
    UpstreamError::not_run(UpstreamErrorKind::Unreachable, "scripted")
}

fn broken() -> UpstreamError {
    UpstreamError::may_have_run(UpstreamErrorKind::Broken, "scripted")
}

/// Guards against a resumed stream that repeats or loses tokens, and against a slot that is never freed because the
/// release names an attempt that the pool owner does not know.
#[tokio::test]
async fn resumes_on_the_same_engine_first() {
    let fixture = Fixture::new("").scripts([Script::Break(2), Script::Break(1), Script::Whole]);
    fixture.assert_whole().await;
    assert_eq!(lock(&fixture.engines.calls).resumes, [(2, 2), (3, 3)]);
    assert_eq!(lock(&fixture.placer.placed).len(), 1);
    let released = lock(&fixture.placer.released).clone();
    assert_eq!(released.iter().map(|r| r.attempt).collect::<Vec<_>>(), [1]);
}

/// Guards against a continuation that starts the answer again, runs on the engine that failed, or generates too many
/// tokens.
#[tokio::test]
async fn continues_elsewhere_at_the_offset() {
    let fixture = Fixture::new("").scripts([Script::Break(2), Script::Fail(unreachable())]);
    fixture.assert_whole().await;
    let calls = lock(&fixture.engines.calls);
    assert_eq!(calls.prefills[1].prompt, "pt0 t1 ");
    assert_eq!(
        (calls.decodes[1].1.offset, calls.decodes[1].1.max_tokens),
        (2, 4)
    );
    assert_ne!(calls.decodes[0].0, calls.decodes[1].0);
    let placed = lock(&fixture.placer.placed);
    assert!(placed[1].attempt > placed[0].attempt);
    assert_eq!(placed[1].avoid.len(), 1);
    let released = lock(&fixture.placer.released);
    let down = format!("{:?}", released[0].outcome);
    assert!(down.contains("down: true"), "failure not reported: {down}");
}

/// Guards against a stream that breaks at the same token and is resumed there without end.
#[tokio::test]
async fn resumes_once_at_an_offset() {
    let scripts = [Script::Break(2), Script::Break(0), Script::Whole];
    let fixture = Fixture::new("").scripts(scripts);
    fixture.assert_whole().await;
    assert_eq!(lock(&fixture.engines.calls).resumes.len(), 1);
    assert_eq!(lock(&fixture.placer.placed).len(), 2);
}

/// Guards against another prefill only because the end of a complete answer was lost.
#[tokio::test]
async fn ends_a_complete_answer_whose_end_was_lost() {
    let fixture = Fixture::new("").scripts([Script::NoEnd, Script::Fail(unreachable())]);
    fixture.assert_whole().await;
    assert_eq!(lock(&fixture.placer.placed).len(), 1);
}

/// Guards against more than three attempts, and against `not_run` in the refusal of a request that may have run.
#[tokio::test]
async fn stops_after_three_attempts_and_reports_whether_one_ran() {
    let fixture = Fixture::new("").prefill_errors([unreachable(), broken(), unreachable()]);
    fixture.assert_ends("", Run::Unknown).await;
    assert_eq!(lock(&fixture.engines.calls).prefills.len(), 3);

    let fixture = Fixture::new("").prefill_errors(vec![unreachable(); 3]);
    fixture.assert_ends("", Run::NotRun).await;

    // The stream counts as one of the attempts.
    let scripts = [Script::Break(1), Script::Fail(unreachable())]
        .into_iter()
        .cycle()
        .take(8);
    let fixture = Fixture::new("").scripts(scripts);
    fixture.assert_ends("t0 t1 t2 ", Run::Unknown).await;
    assert_eq!(lock(&fixture.placer.placed).len(), 3);
}

/// Guards against work that runs twice on a route that forbids it.
#[tokio::test]
async fn retries_only_what_did_not_run_on_routes_that_forbid_repeats() {
    let fixture = Fixture::new("repeatable = no").prefill_errors([unreachable(), broken()]);
    fixture.assert_ends("", Run::Unknown).await;
    assert_eq!(lock(&fixture.engines.calls).prefills.len(), 2);

    let scripts = [Script::Break(2), Script::Fail(unreachable())];
    let fixture = Fixture::new("repeatable = no").scripts(scripts);
    fixture.assert_ends("t0 t1 ", Run::Unknown).await;
}

/// Guards against `not_run` for a request that ran before its key was withdrawn or its upstreams removed.
#[tokio::test]
async fn reports_that_a_request_may_have_run_whatever_ends_it() {
    let without_key = configuration(2, "", false);
    let without_upstreams = Compiled {
        upstreams: HashMap::new(),
        pools: HashMap::new(),
        ..configuration(2, "", true)
    };
    for (compiled, kind) in [
        (without_key, RefusalKind::InvalidKey),
        (without_upstreams, RefusalKind::Overloaded),
    ] {
        let fixture = Fixture::new("").scripts([Script::Break(1), Script::Fail(unreachable())]);
        let mut answer = fixture.start().await.expect("stream opens");
        assert!(matches!(answer.next().await, Ok(AnswerEvent::Token(_))));
        fixture.versions.advance(compiled);
        let refusal = answer.next().await.expect_err("can't go on");
        assert_eq!((refusal.kind, refusal.run), (kind, Run::Unknown));
    }
}

/// Guards against retry storms: once the budget is used up, requests are refused at their first failure.
#[tokio::test]
async fn stops_retrying_when_the_budget_is_used_up() {
    let fixture = Fixture::new("").prefill_errors(vec![unreachable(); 400]);
    for _ in 0..100 {
        fixture.start().await.err().expect("refused");
        // Lets the spawned releases run.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let prefills = lock(&fixture.engines.calls).prefills.len();
    // 100 first attempts, 100 saved retries, and at most 10 retries earned by 100 requests.
    assert!((200..=210).contains(&prefills), "{prefills} prefills");
}

/// Guards against a retry of an attempt that may have run, on a route that must not run a request twice.
#[test]
fn retries_only_repeatable_or_unrun_work() {
    let failed = FailedAttempt {
        attempts: 1,
        max_attempts: 3,
        run: Run::Unknown,
        repeatable: true,
    };
    assert!(failed.may_retry());
    for (repeatable, attempts, run, may_retry) in [
        (true, 3, Run::Unknown, false),
        (false, 1, Run::Unknown, false),
        (false, 1, Run::NotRun, true),
    ] {
        let failed = FailedAttempt {
            attempts,
            run,
            repeatable,
            ..failed
        };
        assert_eq!(failed.may_retry(), may_retry, "{failed:?}");
    }
}

proptest! {
    /// Guards against more retries than 10 per 100 requests, 3 per second and the 100 saved up.
    #[test]
    fn budget_bounds_retries(steps in prop::collection::vec((0..200u64, any::<bool>()), 1..400)) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(now);
        let (mut requests, mut retries) = (0u32, 0u32);
        for (millis, is_request) in steps {
            now += Duration::from_millis(millis);
            if is_request {
                budget.count_request(now);
                requests += 1;
            }
            retries += u32::from(budget.try_take(now));
            let allowed = 100.0 + f64::from(requests) / 10.0 + 3.0 * (now - start).as_secs_f64();
            prop_assert!(f64::from(retries) <= allowed + 1e-6);
        }
    }
}
