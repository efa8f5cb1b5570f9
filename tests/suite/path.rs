//! Requests over real connections through the whole path to emulated upstreams.

use crate::support::{self, Bench};
use hibiscusspread::emulator::engine::EngineEmulator;
use serde_json::Value;

/// Guards against an answer with missing or repeated tokens, or without an end mark.
#[tokio::test]
async fn streams_every_token_once_with_an_end_mark() {
    let bench = Bench::start().await;
    let answer = bench
        .post(
            "/v1/completions",
            r#"{"model":"forecast","prompt":"Coast tonight","max_tokens":12,"stream":true}"#,
        )
        .await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    let expected: String = (0..12)
        .map(|k| EngineEmulator::expected_token("Coast tonight", k))
        .collect();
    assert_eq!(answer.streamed_text(), expected);
    assert_eq!(
        bench.decode.counters().held,
        0,
        "decode engine still holds memory"
    );
}

/// Guards against an unstreamed answer that differs from the streamed one.
#[tokio::test]
async fn answers_chat_without_streaming() {
    let bench = Bench::start().await;
    let answer = bench
        .post(
            "/v1/chat/completions",
            r#"{"model":"forecast","messages":[{"role":"user","content":"Coast"}],"max_tokens":3}"#,
        )
        .await;
    assert_eq!(answer.status, 200);
    let body: Value = serde_json::from_str(&answer.body).expect("answer is JSON");
    let expected: String = (0..3)
        .map(|k| EngineEmulator::expected_token("user: Coast\n", k))
        .collect();
    assert_eq!(body["choices"][0]["message"]["content"], expected.as_str());
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

/// Guards against a booking that runs twice and against a key that reaches an upstream.
#[tokio::test]
async fn books_once_and_hides_the_key() {
    let bench = Bench::start().await;
    let answer = bench
        .post("/bookings/studio-2", r#"{"slot":"18:00"}"#)
        .await;
    assert_eq!(answer.status, 201);
    assert_eq!(bench.booking.booked(), 1);
    let headers = bench.booking.headers_seen().join("\n");
    assert!(
        !headers.contains(support::KEY),
        "an upstream saw the key: {headers}"
    );
}

/// Guards against invalid input that reaches an engine or is not refused with a JSON body.
#[tokio::test]
async fn refuses_bad_input_without_running_it() {
    let bench = Bench::start().await;
    let cases = [
        ("/v1/completions", "{", 400),
        ("/v1/completions", r#"{"model":"forecast"}"#, 400),
        (
            "/v1/completions",
            r#"{"model":"forecast","prompt":"x","max_tokens":-4}"#,
            400,
        ),
        (
            "/v1/completions",
            r#"{"model":"forecast","prompt":"x","max_tokens":0}"#,
            400,
        ),
        ("/v1/completions", r#"{"model":"none","prompt":"x"}"#, 404),
        ("/nowhere", "{}", 404),
    ];
    for (path, body, status) in cases {
        let answer = bench.post(path, body).await;
        assert_eq!(answer.status, status, "{path} {body}: {}", answer.body);
        assert_eq!(answer.refusal()["run"], "not_run");
    }
    let answer = bench
        .post_with_key(
            "wrong",
            "/v1/completions",
            r#"{"model":"forecast","prompt":"x"}"#,
        )
        .await;
    assert_eq!(answer.status, 401);
    assert_eq!(bench.prefills(), 0);
}
