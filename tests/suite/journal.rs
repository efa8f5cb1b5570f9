//! The decisions that the request path records for the dump, and its metrics.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, Once};
use std::time::Duration;

use hibiscusspread::process::journal::{Decision, Journal, JournalEntry};
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::flow::{AnswerEvent, FlowSettings};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::retry::{Fixture, KEY, Script, unreachable};

/// The log lines of the whole test binary.
static LINES: Mutex<String> = Mutex::new(String::new());

struct CapturedLog;

impl Log for CapturedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if !record.target().starts_with("hibiscusspread") {
            return;
        }
        let mut line = format!("{}", record.args());
        let _ = record.key_values().visit(&mut KeyValues(&mut line));
        let mut lines = lock(&LINES);
        lines.push_str(&line);
        lines.push('\n');
    }

    fn flush(&self) {}
}

struct KeyValues<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for KeyValues<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(|_| Error::msg("line not written"))
    }
}

fn capture_logs() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_logger(&CapturedLog).expect("no other test sets a logger");
        log::set_max_level(LevelFilter::Debug);
    });
}

/// Returns the only entry of this decision, and checks that no entry contains the key.
fn entry(journal: &Arc<Journal>, decision: Decision) -> JournalEntry {
    let entries = journal.recent();
    let text = serde_json::to_string(&entries).expect("entries serialise");
    assert!(!text.contains(KEY), "journal contains the key: {text}");
    let found: Vec<_> = entries.iter().filter(|e| e.decision == decision).collect();
    assert_eq!(found.len(), 1, "{decision:?}: {text}");
    let entry = found[0].clone();
    assert_eq!(entry.customer.as_deref(), Some("c"));
    assert_eq!(entry.path, "/v1/completions");
    entry
}

fn assert_figures(entry: &JournalEntry, rule: &str, figures: &[&str]) {
    assert_eq!(entry.rule, rule, "{}", entry.figures);
    for figure in figures {
        assert!(entry.figures.contains(figure), "{}", entry.figures);
    }
    let lines = lock(&LINES);
    assert!(!lines.contains(KEY), "the log contains the key");
}

/// Guards against a refusal by the rate limit whose figures the dump lacks.
#[tokio::test(start_paused = true)]
async fn journals_a_refusal_with_its_wait() {
    capture_logs();
    let settings = FlowSettings {
        admission_wait: Duration::ZERO,
        ..FlowSettings::default()
    };
    let fixture = Fixture::with_settings("", settings);
    // 7 tokens per request and a burst of 1,000: the 143rd exceeds it, because the paused clock refills nothing.
    for _ in 0..142 {
        fixture.run().await.1.expect("within the burst");
    }
    fixture.start().await.err().expect("above the rate");
    let entry = entry(&fixture.cx.journal, Decision::Refused);
    assert_figures(&entry, "rate_limited", &["tokens=7", "wait=", "limit=0ns"]);
}

/// Guards against entries of a retry and of the final refusal that lack the upstream or the error.
#[tokio::test]
async fn journals_retries_with_upstream_and_error() {
    capture_logs();
    let fixture = Fixture::new("").prefill_errors([unreachable()]);
    fixture.run().await.1.expect("the second attempt answers");
    let retried = entry(&fixture.cx.journal, Decision::Retried);
    let figures = ["attempts=1 of 3", "upstream=u", "error=scripted"];
    assert_figures(&retried, "unreachable", &figures);

    let fixture = Fixture::new("").prefill_errors(vec![unreachable(); 3]);
    fixture.run().await.1.expect_err("three attempts fail");
    let refused = entry(&fixture.cx.journal, Decision::Refused);
    let figures = ["no attempts left", "attempts=3 of 3", "upstream=u"];
    assert_figures(&refused, "overloaded", &figures);
}

/// Guards against an answer that breaks off without an entry that says where and why.
#[tokio::test]
async fn journals_an_answer_that_is_cut() {
    capture_logs();
    let scripts = [Script::Break(2), Script::Fail(unreachable())];
    let fixture = Fixture::new("repeatable = no").scripts(scripts);
    fixture
        .run()
        .await
        .1
        .expect_err("route forbids a continuation");
    let cut = entry(&fixture.cx.journal, Decision::Cut);
    let figures = [
        "tokens=2",
        "route forbids repeats",
        "attempts=1 of 3",
        "upstream=u",
    ];
    assert_figures(&cut, "overloaded", &figures);
    let resumed = entry(&fixture.cx.journal, Decision::Retried);
    assert_figures(&resumed, "broken", &["offset=2", "upstream=u"]);
}

/// Guards against a long wait in a queue without an entry, and against entries for short waits.
#[tokio::test]
async fn journals_a_long_queue_only() {
    capture_logs();
    let fixture = Fixture::new("").queue_wait(Duration::from_millis(700));
    fixture.run().await.1.expect("answered");
    let queued = entry(&fixture.cx.journal, Decision::QueuedLong);
    assert_figures(
        &queued,
        "queue",
        &["waited=700ms", "limit=30s", "attempt=1"],
    );

    let fixture = Fixture::new("").queue_wait(Duration::from_millis(300));
    fixture.run().await.1.expect("answered");
    assert_eq!(fixture.cx.journal.recent(), []);
}

/// Guards against requests that are counted twice, under another outcome or not at all.
#[test]
fn counts_each_request_under_one_outcome() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    metrics::with_local_recorder(&recorder, || runtime.block_on(run_every_outcome()));
    let text = handle.render();
    for line in [
        r#"hibiscusspread_requests_total{outcome="answered"} 2"#,
        r#"hibiscusspread_requests_total{outcome="refused"} 1"#,
        r#"hibiscusspread_requests_total{outcome="cut"} 1"#,
        r#"hibiscusspread_requests_total{outcome="left"} 1"#,
        r#"hibiscusspread_refusals_total{kind="overloaded"} 1"#,
        r#"hibiscusspread_retries_total{cause="unreachable"} 3"#,
        // Two answers of 6 tokens, one cut after 2 and one left after 1.
        "hibiscusspread_tokens_total 15",
        "hibiscusspread_first_token_seconds_count 4",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}

async fn run_every_outcome() {
    let fixture = Fixture::new("");
    fixture.run().await.1.expect("answered");
    let fixture = Fixture::new("").prefill_errors([unreachable()]);
    fixture
        .run()
        .await
        .1
        .expect("answered by the second attempt");
    let fixture = Fixture::new("").prefill_errors(vec![unreachable(); 3]);
    fixture.run().await.1.expect_err("refused");
    let scripts = [Script::Break(2), Script::Fail(unreachable())];
    let fixture = Fixture::new("repeatable = no").scripts(scripts);
    fixture.run().await.1.expect_err("cut");
    let fixture = Fixture::new("");
    let mut answer = fixture.start().await.expect("stream opens");
    assert!(matches!(answer.next().await, Ok(AnswerEvent::Token(_))));
}
