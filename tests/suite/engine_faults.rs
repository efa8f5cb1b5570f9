//! Engines that crash, stall, go silent or send frames of other requests, and callers that disconnect in each phase.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::emulator::engine::{
    CrashPhase, EngineFaults, EngineSettings, FOREIGN_TEXT, FrameFault,
};
use hibiscusspread::request::prefix::estimate_tokens;

use hibiscusspread::process::settings::Settings;
use hibiscusspread::request::flow::FlowSettings;

use crate::engine_fleet::{Fleet, PROMPT, RunningEngine, set_faults, slow_engines, wait_for};

/// Guards against a prefill that stays queued, and later runs, after the caller disconnected.
#[tokio::test]
async fn frees_the_queue_when_a_caller_disconnects_while_queued() {
    let fleet = Fleet::start(1, slow_engines()).await;
    let prefill = &fleet.prefill[0].engine;
    let first = fleet.begin(PROMPT, 4);
    wait_for(prefill, |c| c.prefilling == 1).await;
    let second = fleet.begin("another brief", 4);
    wait_for(prefill, |c| c.queued == 1).await;
    second.abort();
    wait_for(prefill, |c| c.queued == 0).await;
    first.abort();
    fleet.wait_until_free().await;
    assert_eq!(
        prefill.counters().prefills,
        1,
        "the queued prefill ran without a caller"
    );
}

/// Guards against a prefill that goes on and holds memory after the caller disconnected.
#[tokio::test]
async fn frees_the_engine_when_a_caller_disconnects_in_prefill() {
    let fleet = Fleet::start(1, slow_engines()).await;
    let caller = fleet.begin(PROMPT, 4);
    wait_for(&fleet.prefill[0].engine, |c| c.prefilling == 1).await;
    caller.abort();
    fleet.wait_until_free().await;
    assert_eq!(fleet.decode[0].engine.counters().streams, 0);
    let counters = fleet.prefill[0].engine.counters();
    assert_eq!(counters.wasted_tokens, counters.prefilled_tokens);
}

/// Guards against memory that stays reserved at the decode engine for a transfer whose caller disconnected.
#[tokio::test]
async fn frees_both_engines_when_a_caller_disconnects_in_transfer() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let decode = &fleet.decode[0].engine;
    set_faults(&fleet.decode, |f| f.stall_transfers = 1);
    let caller = fleet.begin(PROMPT, 4);
    wait_for(decode, |c| c.transferring == 1).await;
    caller.abort();
    fleet.wait_until_free().await;
    assert_eq!(decode.counters().streams, 0);
}

/// Guards against a stream that is generated further after the caller disconnected.
#[tokio::test]
async fn frees_the_engine_when_a_caller_disconnects_in_decode() {
    let fleet = Fleet::start(1, slow_engines()).await;
    let mut stream = fleet.open(PROMPT, 30_000).await;
    stream.read_tokens(2).await;
    drop(stream);
    fleet.wait_until_free().await;
}

/// Guards against a completion that is refused, or whose answer lacks or repeats tokens, because an engine crashed in
/// any phase.
#[tokio::test]
async fn survives_an_engine_crash() {
    completes_despite_a_crash(CrashPhase::Prefill, true).await;
    completes_despite_a_crash(CrashPhase::Transfer, false).await;
    completes_despite_a_crash(CrashPhase::Decode { after: 5 }, false).await;
}

/// Lets one of two engines crash in this phase, and checks that every request is answered completely.
async fn completes_despite_a_crash(phase: CrashPhase, in_prefill_engine: bool) {
    let fleet = Fleet::start(2, EngineSettings::default()).await;
    let engines = if in_prefill_engine {
        &fleet.prefill
    } else {
        &fleet.decode
    };
    // Concurrent requests use both engines, whichever is chosen first.
    set_faults(&engines[..1], |f| f.crash_in = Some(phase));
    let request = || async {
        fleet.complete(PROMPT, 12).await;
    };
    tokio::join!(request(), request(), request(), request());
    assert_eq!(fleet.sum(|c| c.crashes), 1, "no crash in {phase:?}");
    fleet.wait_until_free().await;
}

/// Guards against a stream that ends without an error although tokens are missing, when no engine is left to continue
/// it.
#[tokio::test]
async fn reports_a_failure_after_the_stream_began() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let mut stream = fleet.open(PROMPT, 500).await;
    stream.read_tokens(3).await;
    fleet.decode[0].engine.crash();
    let received = stream.read_all().await;
    let error = received.error().expect("the failure is visible");
    assert_eq!(error["run"], "unknown");
    assert!(!received.is_done(), "a failed stream has an end mark");
    fleet.wait_until_free().await;
}

/// Guards against a request that never ends because its prefill stalled, and against memory still held at that engine.
#[tokio::test]
async fn retries_a_stalled_prefill_elsewhere() {
    completes_despite_a_stall(|f| f.stall_prefills = 1, |fleet| &fleet.prefill).await;
}

/// Guards against a request that never ends because its transfer stalled, and against memory still held at that engine.
#[tokio::test]
async fn retries_a_stalled_transfer_elsewhere() {
    completes_despite_a_stall(|f| f.stall_transfers = 1, |fleet| &fleet.decode).await;
}

/// Lets whichever of two engines is chosen first stall, and checks that the other one completes the request.
async fn completes_despite_a_stall(
    stall: fn(&mut EngineFaults),
    engines: fn(&Fleet) -> &Vec<RunningEngine>,
) {
    let fleet = Fleet::start(2, EngineSettings::default()).await;
    let engines = engines(&fleet);
    set_faults(engines, stall);
    let (first, second) = (&engines[0].engine, &engines[1].engine);
    let stalled = async {
        tokio::select! {
            () = wait_for(first, |c| c.stalled == 1) => {}
            () = wait_for(second, |c| c.stalled == 1) => {}
        }
        set_faults(engines, |_| ());
    };
    let (stream, ()) = tokio::join!(fleet.open(PROMPT, 6), stalled);
    stream.read_all().await.assert_whole(PROMPT, 6);
    fleet.wait_until_free().await;
    // Only the prefill that stalled, or whose transfer stalled, counts as wasted.
    assert_eq!(fleet.sum(|c| c.wasted_tokens), estimate_tokens(PROMPT));
    assert_eq!(
        fleet.sum(|c| c.prefilled_tokens),
        2 * estimate_tokens(PROMPT)
    );
}

/// Guards against an answer that hangs, repeats tokens or is prefilled again when its connection goes silent.
#[tokio::test]
async fn resumes_a_silent_stream_at_its_offset() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    set_faults(&fleet.decode, |f| f.silent_after = Some(4));
    fleet.complete(PROMPT, 300).await;
    assert_eq!(fleet.prefill[0].engine.counters().prefills, 1);
    fleet.wait_until_free().await;
}

/// Guards against a stream that goes silent at the same token again and is resumed there without end.
#[tokio::test]
async fn continues_elsewhere_when_a_resumed_stream_makes_no_progress() {
    let fleet = Fleet::start(2, EngineSettings::default()).await;
    let silence_all = |after| set_faults(&fleet.decode, |f| f.silent_after = Some(after));
    silence_all(4);
    let mut stream = fleet.open(PROMPT, 700).await;
    stream.read_tokens(1).await;
    // The first stream has used up its fault; the resumed one gets this.
    silence_all(0);
    let received = stream.read_all().await;
    received.assert_whole(PROMPT, 700);
    assert_eq!(fleet.sum(|c| c.prefills), 2, "no continuation was made");
    fleet.wait_until_free().await;
}

/// Guards against a slot that stays taken at the placer after a resumed stream: after enough of them, the engine would
/// get no more work.
#[tokio::test]
async fn frees_the_slot_of_a_resumed_stream() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    // More rounds than the 20 slots that an upstream has by default.
    for round in 0..24 {
        set_faults(&fleet.decode, |f| {
            f.frame_fault = Some(FrameFault::Reordered);
        });
        let stream = fleet.open(PROMPT, 6).await;
        let received = stream.read_all().await;
        assert_eq!(received.error(), None, "round {round}");
        received.assert_whole(PROMPT, 6);
    }
}

/// Guards against tokens that appear twice, out of order, or from another request or an older attempt.
#[tokio::test]
async fn drops_frames_that_are_late_duplicated_or_foreign() {
    for fault in [
        FrameFault::Duplicated,
        FrameFault::Reordered,
        FrameFault::OtherRequest,
        FrameFault::OlderAttempt,
    ] {
        let fleet = Fleet::start(1, EngineSettings::default()).await;
        set_faults(&fleet.decode, |f| f.frame_fault = Some(fault));
        let stream = fleet.open(PROMPT, 30).await;
        let received = stream.read_all().await;
        assert!(!received.0.contains(FOREIGN_TEXT), "{fault:?}");
        received.assert_whole(PROMPT, 30);
        fleet.wait_until_free().await;
    }
}

/// Guards against a request that crashes one engine after the other without limit.
#[tokio::test]
async fn limits_the_attempts_of_a_request_that_crashes_engines() {
    let fleet = Fleet::start(5, EngineSettings::default()).await;
    set_faults(&fleet.prefill, |f| {
        f.crash_substring = Some("poison".to_owned());
    });
    let stream = fleet.open("poison brief", 6).await;
    assert_eq!(stream.response.status(), 422);
    let received = stream.read_all().await;
    let error: serde_json::Value = serde_json::from_str(&received.0).expect("refusal is JSON");
    assert_eq!(error["error"]["run"], "unknown");
    assert!(
        fleet.sum(|c| c.crashes) <= 2,
        "run again after the second crash"
    );
}

/// Guards against endless attempts of a request when each one crashes its engine in decode, after the stream began.
#[tokio::test]
async fn limits_the_attempts_of_a_request_that_crashes_in_decode() {
    let fleet = Fleet::start(6, EngineSettings::default()).await;
    set_faults(&fleet.decode, |f| {
        f.crash_in = Some(CrashPhase::Decode { after: 1 });
    });
    let received = fleet.open(PROMPT, 40).await.read_all().await;
    assert!(received.error().is_some(), "no error event");
    assert!(!received.is_done());
    assert!(
        fleet.sum(|c| c.crashes) <= 3,
        "more crashes than attempts allowed"
    );
}

/// Guards against `not_run` in a refusal although the prefill ran.
#[tokio::test]
async fn reports_a_run_prefill_as_unknown() {
    // A second attempt would prefill again.
    let settings = Settings {
        requests: FlowSettings {
            max_attempts: 1,
            ..FlowSettings::default()
        },
        ..Settings::default()
    };
    let fleet = Fleet::with_settings(1, EngineSettings::default(), settings).await;
    let decode = &fleet.decode[0];
    decode.engine.crash();
    decode.server.wait_listening(false).await;
    let refusal = fleet.open(PROMPT, 4).await.read_all().await;
    assert_eq!(fleet.prefill[0].engine.counters().prefills, 1);
    assert!(refusal.0.contains(r#""run":"unknown""#), "{}", refusal.0);
}

/// Guards against prefills that only find out that the sole decode engine is still down, and against a caller who waits
/// long for the refusal.
#[tokio::test]
async fn spends_one_prefill_when_the_only_decode_engine_is_down() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let decode = &fleet.decode[0];
    decode.engine.crash();
    decode.server.wait_listening(false).await;
    let began = std::time::Instant::now();
    let refusal = fleet.open(PROMPT, 4).await;
    assert_eq!(refusal.response.status(), 503);
    // An outage is reported after 2 s; the rest allows for a busy machine.
    assert!(began.elapsed() < Duration::from_secs(10));
    assert_eq!(fleet.prefill[0].engine.counters().prefills, 1);
    decode.engine.restart();
    decode.server.wait_listening(true).await;
    fleet.complete(PROMPT, 4).await;
    assert_eq!(fleet.prefill[0].engine.counters().prefills, 2);
}

/// Guards against another attempt after the key was withdrawn, and against `not_run` in the refusal although an earlier
/// attempt ran.
#[tokio::test]
async fn checks_the_key_before_each_attempt() {
    let fleet = Fleet::start(2, slow_engines()).await;
    set_faults(&fleet.prefill, |f| f.crash_in = Some(CrashPhase::Prefill));
    let (first, second) = (&fleet.prefill[0].engine, &fleet.prefill[1].engine);
    let withdraw = async {
        tokio::select! {
            () = wait_for(first, |c| c.prefilling == 1) => {}
            () = wait_for(second, |c| c.prefilling == 1) => {}
        }
        fleet.withdraw_key();
    };
    let (stream, ()) = tokio::join!(fleet.open(PROMPT, 4), withdraw);
    assert_eq!(stream.response.status(), 401);
    let refusal = stream.read_all().await;
    assert!(refusal.0.contains(r#""run":"unknown""#), "{}", refusal.0);
    assert_eq!(fleet.sum(|c| c.prefills), 1);
    fleet.wait_until_free().await;
}

/// Guards against an engine that gets no more work after its restart.
#[tokio::test]
async fn uses_an_engine_again_after_its_restart() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let prefill = &fleet.prefill[0];
    prefill.engine.crash();
    prefill.server.wait_listening(false).await;
    let stream = fleet.open(PROMPT, 4).await;
    assert_eq!(stream.response.status(), 503);
    let refusal = stream.read_all().await;
    assert!(
        refusal.0.contains(r#""run":"not_run""#),
        "refused connection not reported as not run: {}",
        refusal.0
    );
    prefill.engine.restart();
    prefill.server.wait_listening(true).await;
    fleet.complete(PROMPT, 4).await;
}

/// Guards against a key that reaches an engine or a service.
#[tokio::test]
async fn hides_the_key_from_every_upstream() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    fleet.open(PROMPT, 4).await.read_all().await;
    fleet
        .send(fleet.request("/bookings/studio-2", "{}"))
        .await
        .into_body();
    for running in fleet.engines() {
        let seen = running.server.headers_seen();
        assert!(!seen.is_empty());
        assert!(!seen.join("\n").contains(crate::support::KEY), "{seen:?}");
    }
    assert_eq!(fleet.bookings[0].booking.booked(), 1);
    let seen = fleet.bookings[0].server.headers_seen();
    assert!(!seen.is_empty());
    assert!(!seen.join("\n").contains(crate::support::KEY), "{seen:?}");
}

/// Guards against tokens that end up in the answer of another request running at the same time.
#[tokio::test]
async fn gives_each_caller_its_own_answer() {
    let fleet = Fleet::start(2, EngineSettings::default()).await;
    set_faults(&fleet.decode, |f| {
        f.frame_fault = Some(FrameFault::OtherRequest);
    });
    fleet.complete_concurrently(24, 20).await;
    fleet.wait_until_free().await;
}

/// The number of requests in `upholds_invariants_under_random_faults`.
const RANDOM_REQUESTS: usize = 120;

/// Guards against combinations of faults that leave memory or slots held, end a stream early without an error, or
/// repeat or mix up tokens. The seed fixes the choices, not their interleaving.
#[tokio::test(flavor = "multi_thread")]
async fn upholds_invariants_under_random_faults() {
    let mut random = StdRng::seed_from_u64(20_261_204);
    let fleet = Arc::new(Fleet::start(3, EngineSettings::default()).await);
    let mut callers = Vec::new();
    for index in 0..RANDOM_REQUESTS {
        let (pool, engine) = (random.random_range(0..2), random.random_range(0..3));
        let running = [&fleet.prefill, &fleet.decode][pool].get(engine);
        let engine = &running.expect("three engines a role").engine;
        let frame_fault = match random.random_range(0..6) {
            0 => Some(FrameFault::Duplicated),
            1 => Some(FrameFault::Reordered),
            2 => Some(FrameFault::OtherRequest),
            3 => Some(FrameFault::OlderAttempt),
            _ => None,
        };
        match random.random_range(0..12) {
            0 => engine.crash(),
            1 => engine.set_faults(EngineFaults {
                crash_in: Some(CrashPhase::Decode { after: 3 }),
                frame_fault,
                ..EngineFaults::default()
            }),
            2 => engine.set_faults(EngineFaults {
                stall_transfers: 1,
                frame_fault,
                ..EngineFaults::default()
            }),
            3 => engine.set_faults(EngineFaults {
                silent_after: Some(2),
                frame_fault,
                ..EngineFaults::default()
            }),
            _ => engine.restart(),
        }
        let disconnects_after = match random.random_range(0..4) {
            0 => Some(Duration::from_millis(random.random_range(0..300))),
            _ => None,
        };
        let fleet = fleet.clone();
        callers.push(tokio::spawn(async move {
            let prompt = format!("brief {index}: the coast tonight");
            let request = async {
                let stream = fleet.open(&prompt, 25).await;
                let status = stream.response.status();
                (status, stream.read_all().await)
            };
            let Some(disconnects_after) = disconnects_after else {
                return Some((prompt.clone(), request.await));
            };
            let _ = tokio::time::timeout(disconnects_after, request).await;
            None
        }));
        tokio::time::sleep(Duration::from_millis(random.random_range(0..40))).await;
    }
    let mut whole = 0;
    for caller in callers {
        let Some((prompt, (status, received))) = caller.await.expect("caller does not panic")
        else {
            continue;
        };
        if received.is_done() {
            received.assert_whole(&prompt, 25);
            whole += 1;
        } else if status.is_success() {
            assert!(
                received.error().is_some(),
                "ended early without an error: {}",
                received.0
            );
        }
    }
    assert!(
        whole > RANDOM_REQUESTS / 4,
        "only {whole} answers are complete"
    );
    for running in fleet.engines() {
        running.engine.set_faults(EngineFaults::default());
        running.engine.restart();
        running.server.wait_listening(true).await;
    }
    fleet.wait_until_free().await;
    // All slots of the placer are free again: 3 engines with 20 each.
    fleet.complete_concurrently(60, 60).await;
}
