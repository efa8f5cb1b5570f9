//! The engine emulator on its own: cache, queue, link, load reports, orders and deadlines.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hibiscusspread::connection::engine::{EngineTimeouts, HttpEngine};
use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::emulator::engine::{EngineEmulator, EngineSettings};
use hibiscusspread::emulator::http::{EmulatorServer, any_loopback};
use hibiscusspread::prelude::*;
use hibiscusspread::request::engine::{CacheEvent, DecodeJob, Order, PrefillJob, PrefillResult};
use hibiscusspread::request::prefix::piece_hashes;

use crate::engine_fleet::{TEST_TIMEOUT, slow_engines, wait_for};

/// Guards against engine memory that is never freed if no cancel arrives: the deadline must free it.
#[tokio::test]
async fn frees_memory_at_the_deadline() {
    let (engine, _server, client) = one_engine(|s| *s = slow_engines()).await;
    let mut job = batch_job(1, &"a".repeat(4_000));
    job.deadline = Duration::from_millis(100);
    let waiting = PrefillJob {
        request: 2,
        ..job.clone()
    };
    let (first, second) = tokio::join!(client.prefill(job), client.prefill(waiting));
    assert!(first.is_err() && second.is_err());
    wait_for(&engine, |c| c.held == 0).await;
    let counters = engine.counters();
    assert_eq!(counters.prefills, 1, "an expired prefill ran");
    assert_eq!(counters.wasted_tokens, counters.prefilled_tokens);
}

/// Guards against running a request whose cancel arrived first. A newer attempt must still run.
#[tokio::test]
async fn remembers_a_cancel_that_comes_first() {
    let (engine, _server, client) = one_engine(|_| ()).await;
    assert_eq!(client.cancel(1, 1).await, Ok(()));
    let late = client.prefill(batch_job(1, "late")).await;
    let error = late.expect_err("cancelled before it arrived");
    assert_eq!(
        (error.kind, error.run),
        (UpstreamErrorKind::Gone, Run::NotRun)
    );
    assert_eq!(engine.counters().prefills, 0);
    let newer = PrefillJob {
        attempt: 2,
        ..batch_job(1, "newer")
    };
    assert!(
        client.prefill(newer).await.is_ok(),
        "a newer attempt is cancelled"
    );
}

/// Guards against a load report that is current although `report_interval` delays it, and the reverse.
#[tokio::test]
async fn lags_in_its_load_report() {
    for (report_interval, lags) in [(Duration::from_hours(1), true), (Duration::ZERO, false)] {
        let (engine, _server, client) = one_engine(|s| {
            *s = slow_engines();
            s.report_interval = report_interval;
        })
        .await;
        let job = batch_job(1, &"a".repeat(4_000));
        let report = async {
            wait_for(&engine, |c| c.prefilling == 1).await;
            client.load().await.expect("engine answers")
        };
        tokio::select! {
            _ = client.prefill(job) => panic!("the prefill takes longer than the report"),
            load = report => assert_eq!(load.queued_tokens, if lags { 0 } else { 1_000 }),
        }
    }
}

/// Guards against concurrent transfers that each get the full link bandwidth.
#[tokio::test]
async fn shares_the_link_between_transfers() {
    let (_prefill, source, prefills) = one_engine(|s| {
        s.kv_ttl = TEST_TIMEOUT;
        s.prefill_rate = 1_000_000;
    })
    .await;
    let (decode, _server, decodes) = one_engine(|s| {
        s.link_rate = 10_000;
        s.token_interval = Duration::from_secs(1);
    })
    .await;
    let mut jobs = Vec::new();
    for request in 1..=3 {
        let prompt = request.to_string().repeat(8_000);
        let prefilled = prefills.prefill(batch_job(request, &prompt)).await;
        jobs.push(decode_job(request, &source, prefilled, 4));
    }
    let started = Instant::now();
    let streams = jobs.into_iter().map(|job| decodes.decode(job));
    let streams = futures_util::future::join_all(streams).await;
    assert!(streams.iter().all(Result::is_ok));
    // Three transfers of 2,000 tokens at 10,000 tokens per second.
    assert!(started.elapsed() >= Duration::from_millis(600));
    assert_eq!(decode.counters().decoding, 3);
}

async fn one_engine(
    change: impl FnOnce(&mut EngineSettings),
) -> (Arc<EngineEmulator>, EmulatorServer, HttpEngine) {
    let mut settings = EngineSettings::default();
    change(&mut settings);
    let engine = EngineEmulator::new(settings);
    let server = engine.start(any_loopback()).await.expect("loopback binds");
    let address = server.address().to_string();
    let client = HttpEngine::new(&address, HttpClient::default(), EngineTimeouts::default());
    (engine, server, client)
}

fn batch_job(request: RequestId, prompt: &str) -> PrefillJob {
    prefill_job(request, prompt, Priority::Batch)
}

fn prefill_job(request: RequestId, prompt: &str, priority: Priority) -> PrefillJob {
    PrefillJob {
        request,
        attempt: 1,
        model: "forecast".into(),
        prompt: prompt.to_owned(),
        priority,
        deadline: Duration::from_mins(1),
    }
}

fn decode_job(
    request: RequestId,
    source: &EmulatorServer,
    prefilled: Result<PrefillResult, UpstreamError>,
    max_tokens: u32,
) -> DecodeJob {
    DecodeJob {
        request,
        attempt: 1,
        model: "forecast".into(),
        source: source.address().to_string(),
        kv: prefilled.expect("engine answers").kv,
        offset: 0,
        max_tokens,
        priority: Priority::Batch,
        deadline: TEST_TIMEOUT,
    }
}

/// Guards against a prefix cache that is not used, exceeds its capacity, or evicts without an event.
#[tokio::test]
async fn caches_prefixes_in_limited_memory() {
    let (engine, _server, client) = one_engine(|s| {
        s.cache_pieces = 2;
        s.prefill_rate = 1_000_000;
    })
    .await;
    let long = "a".repeat(16_400);
    let other = "b".repeat(8_000);
    let first = client.prefill(batch_job(1, &long)).await;
    assert_eq!(first.map(|r| r.cached_tokens), Ok(0));
    let second = client.prefill(batch_job(2, &long)).await;
    assert_eq!(second.map(|r| r.cached_tokens), Ok(4_000));
    assert_eq!(engine.counters().prefilled_tokens, 4_100 + 100);
    let third = client.prefill(batch_job(3, &other)).await;
    assert_eq!(third.map(|r| r.cached_tokens), Ok(0));
    let long = piece_hashes(&"forecast".into(), &long);
    let other = piece_hashes(&"forecast".into(), &other);
    let events = client.cache_events(0).await.expect("engine answers");
    assert_eq!(events.first, 0);
    assert_eq!(
        events.events,
        [
            CacheEvent::Stored(long[0]),
            CacheEvent::Stored(long[1]),
            CacheEvent::Stored(other[0]),
            CacheEvent::Evicted(long[0]),
        ]
    );
}

/// Guards against accepting more streams than there are slots, and against a refusal that counts as a run.
#[tokio::test]
async fn refuses_streams_beyond_its_slots() {
    let (_prefill, source, prefills) = one_engine(|_| ()).await;
    let (decode, _server, decodes) = one_engine(|s| {
        s.slots = 1;
        s.token_interval = Duration::from_secs(1);
    })
    .await;
    let mut outcomes = Vec::new();
    for request in 1..=2 {
        let prefilled = prefills.prefill(batch_job(request, "brief")).await;
        let job = decode_job(request, &source, prefilled, 40);
        let outcome = decodes.decode(job).await;
        outcomes.push(outcome.err().map(|e| (e.kind, e.run)));
    }
    assert_eq!(
        outcomes,
        [None, Some((UpstreamErrorKind::Full, Run::NotRun))]
    );
    assert_eq!(decode.counters().decoding, 1);
}

/// Guards against cache events that are published immediately although `event_delay` delays them.
#[tokio::test]
async fn publishes_cache_events_late() {
    for (event_delay, published) in [(Duration::from_hours(1), 0), (Duration::ZERO, 1)] {
        let (_engine, _server, client) = one_engine(|s| s.event_delay = event_delay).await;
        let job = batch_job(1, &"a".repeat(8_000));
        client.prefill(job).await.expect("engine answers");
        let events = client.cache_events(0).await.expect("engine answers");
        assert_eq!((events.first, events.events.len()), (0, published));
    }
}

/// Guards against lost cache events that readers can't detect: by a crash and by `event_loss_ppm`.
#[tokio::test]
async fn shows_gaps_in_cache_events() {
    let (engine, server, client) = one_engine(|s| s.prefill_rate = 1_000_000).await;
    let prompt = "a".repeat(8_000);
    let job = batch_job(1, &prompt);
    client.prefill(job).await.expect("engine answers");
    engine.crash();
    server.wait_listening(false).await;
    engine.restart();
    server.wait_listening(true).await;
    let before = client.cache_events(0).await.expect("engine answers");
    assert_eq!((before.first, before.events.len()), (0, 1));
    let after = client.cache_events(1).await.expect("engine answers");
    assert_eq!((after.first, after.events.len()), (2, 0), "no gap shown");
    let lossy = one_engine(|s| {
        s.event_loss_ppm = 500_000;
        s.prefill_rate = 10_000_000;
    })
    .await;
    let job = batch_job(1, &"a".repeat(40 * 8_000));
    lossy.2.prefill(job).await.expect("engine answers");
    let (mut from, mut seen, mut gaps) = (0, 0, 0);
    while from < 40 {
        let events = lossy.2.cache_events(from).await.expect("engine answers");
        gaps += usize::from(events.first > from);
        seen += events.events.len();
        from = events.first + events.events.len() as u64;
    }
    assert!(gaps > 3, "{gaps} gaps");
    assert!((10..31).contains(&seen), "{seen} of 40 events received");
}

/// Guards against a prefill queue that runs batch work before interactive work.
#[tokio::test]
async fn prefills_interactive_work_first() {
    let (engine, _server, client) = one_engine(|s| s.prefill_rate = 100).await;
    let client = Arc::new(client);
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    let jobs = [
        (1, Priority::Batch),
        (2, Priority::Batch),
        (3, Priority::Interactive),
    ];
    for (position, (request, priority)) in jobs.into_iter().enumerate() {
        let (client, order) = (client.clone(), order.clone());
        tasks.push(tokio::spawn(async move {
            let job = prefill_job(request, &"a".repeat(80), priority);
            client.prefill(job).await.expect("engine answers");
            order.lock().expect("not poisoned").push(request);
        }));
        wait_for(&engine, |c| c.queued + c.prefilling == position + 1).await;
    }
    for task in tasks {
        task.await.expect("prefill ends");
    }
    assert_eq!(*order.lock().expect("not poisoned"), [1, 3, 2]);
}

/// Guards against obeying a deposed controller if the engine checks fencing tokens.
#[tokio::test]
async fn refuses_orders_with_an_older_fencing_token() {
    for checks_fence in [true, false] {
        let (engine, _server, client) = one_engine(|s| {
            s.checks_fence = checks_fence;
            s.model_load_time = Duration::from_millis(20);
        })
        .await;
        let order = |fence, role: &str| Order {
            fence,
            model: "forecast".into(),
            model_version: "1".to_owned(),
            adapters: Vec::new(),
            role: role.to_owned(),
            timeout: Duration::from_secs(5),
        };
        client
            .order(order(7, "decode"))
            .await
            .expect("order obeyed");
        let answer = client.order(order(6, "prefill")).await;
        if checks_fence {
            let kind = answer.expect_err("older fence refused").kind;
            assert_eq!(kind, UpstreamErrorKind::Fenced);
        }
        let role = engine.last_order().map(|order| order.role);
        let expected = if checks_fence { "decode" } else { "prefill" };
        assert_eq!(role.as_deref(), Some(expected));
    }
}
