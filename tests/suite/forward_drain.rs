//! Requests that arrive while their host stops as planned.

use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::ext::on_informational;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use crate::platform_stand_in::{
    Answer, Behaviour, REQUEST_BODY, StandIns, configuration, read_answer, request, send, send_on,
};
use crate::soak_hosts::{GRACE, SoakHost, host_folder};

/// The time within which a host must have read the heads of all requests.
const HEADS_TIMEOUT: Duration = Duration::from_secs(10);

/// How long callers wait: longer than the grace of the host, so that only its stop can end a request.
const PATIENCE_MS: u32 = 10_000;

/// The parts of the grace at whose beginnings requests arrive.
const TENTHS: u32 = 10;

/// The paths that are called: once-only and repeatable calls, once-only and resumable streams.
const CALLS: [(&str, &str); 4] = [
    ("POST", "/book/1"),
    ("GET", "/read/1"),
    ("POST", "/text/1"),
    ("POST", "/long/1"),
];

/// A request that arrived whole `after` the beginning of the stop, and its answer if there was one.
struct Late {
    id: String,
    path: &'static str,
    has_early_head: bool,
    after: Duration,
    answer: Option<Answer>,
}

/// What the requests and the stop of their host wait for.
struct StopSignals {
    /// Gets a permit for each request whose head the host has read.
    heads_read: Semaphore,
    begun: watch::Sender<bool>,
}

impl StopSignals {
    async fn wait_until(&self, after: Duration) {
        let mut begun = self.begun.subscribe();
        begun.wait_for(|begun| *begun).await.expect("stop begins");
        tokio::time::sleep(after).await;
    }
}

/// Opens a connection and sends a request on it `after` the beginning of the stop: all of it or, with `has_early_head`, its body.
async fn send_late(
    host: SocketAddr,
    (method, path): (&'static str, &'static str),
    has_early_head: bool,
    after: Duration,
    stop: Arc<StopSignals>,
) -> Late {
    let socket = TcpStream::connect(host).await.expect("host accepts");
    let mut req = request(method, &format!("http://{host}{path}"));
    let headers = req.headers_mut();
    headers.insert("x-deadline-ms", PATIENCE_MS.into());
    // Without a length, the HTTP library sends no body with a GET.
    headers.insert("content-length", REQUEST_BODY.len().into());
    let id = req.headers()["x-request-id"].to_str().expect("id");
    let id = id.to_owned();
    if has_early_head {
        // The host asks for the body once it has read the head.
        let expected = "100-continue".parse().expect("value");
        req.headers_mut().insert("expect", expected);
        let stop = stop.clone();
        on_informational(&mut req, move |_| stop.heads_read.add_permits(1));
    } else {
        stop.wait_until(after).await;
    }
    let req = req.map(|body| {
        let late = stream::once(async move {
            if has_early_head {
                stop.wait_until(after).await;
            }
            Ok::<_, Infallible>(Frame::data(body.collect().await?.to_bytes()))
        });
        StreamBody::new(Box::pin(late))
    });
    let answer = match send_on(socket, req).await {
        Some(response) => Some(read_answer(response).await),
        None => None,
    };
    Late {
        id,
        path,
        has_early_head,
        after,
        answer,
    }
}

/// Stops a host whose plain services have `behaviour`, while requests of all kinds arrive at each tenth of its grace.
async fn stop_under_requests(behaviour: Behaviour) -> (Vec<Late>, HashSet<String>) {
    let stand_ins = StandIns::start().await;
    stand_ins.register_all().await;
    let mut document = configuration(1);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = PATIENCE_MS.into();
    }
    stand_ins.configure(&document).await;
    let folder = host_folder();
    let host = SoakHost::start(0, stand_ins.store_address, &folder);
    host.wait_ready().await;
    for (method, path) in CALLS {
        let req = request(method, &format!("http://{}{path}", host.callers));
        assert_eq!(send(host.callers, req).await.status, 200);
    }
    for id in ["s-0", "s-1"] {
        stand_ins.upstream(id).set_behaviour(behaviour);
    }
    let stop = Arc::new(StopSignals {
        heads_read: Semaphore::new(0),
        begun: watch::Sender::new(false),
    });
    let mut sending = Vec::new();
    for after in (0..TENTHS).map(|tenth| GRACE * tenth / TENTHS) {
        for call in CALLS {
            sending.push(send_late(host.callers, call, false, after, stop.clone()));
            sending.push(send_late(host.callers, call, true, after, stop.clone()));
        }
    }
    let heads = u32::try_from(sending.len() / 2).expect("requests are few");
    let stopping = async {
        let read = timeout(HEADS_TIMEOUT, stop.heads_read.acquire_many(heads)).await;
        let _ =
            read.unwrap_or_else(|_| panic!("{} heads read", stop.heads_read.available_permits()));
        stop.begun.send_replace(true);
        host.stop().await
    };
    let (late, stopped) = tokio::join!(join_all(sending), stopping);
    stopped.expect("host stops within its grace");
    std::fs::remove_dir_all(&folder).expect("folder is removed");
    let seen = stand_ins.seen_by("").into_iter();
    let ran = seen.filter(|seen| seen.may_have_run);
    let ids = ran.filter_map(|seen| seen.header("x-request-id").map(str::to_owned));
    (late, ids.collect())
}

/// Guards against requests that a stopping host takes late in its grace, passes on and cuts off without an answer, whether upstreams are
/// fast, slow or never answer.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_host_answers_what_it_passes_on() {
    for behaviour in [Behaviour::Run, Behaviour::Slow, Behaviour::Hang] {
        let (late, ran) = stop_under_requests(behaviour).await;
        for Late {
            id,
            path,
            has_early_head,
            after,
            answer,
        } in &late
        {
            let what = format!(
                "{behaviour:?}: {path} after {after:?}, early head: {has_early_head}: {answer:?}"
            );
            let is_whole = answer.as_ref().is_some_and(|answer| answer.is_complete);
            assert!(is_whole || !ran.contains(id), "cut off: {what}");
            let Some(answer) = answer else { continue };
            assert!(is_whole, "{what}");
            if matches!(answer.status, 429 | 503) {
                assert!(!ran.contains(id), "refused as not run: {what}");
                assert!(answer.headers.contains_key("retry-after"), "{what}");
            }
        }
        // What arrives in the first half can be served, except where upstreams never answer.
        let early = late.iter();
        let early = early.filter(|late| late.has_early_head && late.after < GRACE / 2);
        let served = early.filter(|late| late.answer.as_ref().is_some_and(|a| a.status == 200));
        let expected = if behaviour == Behaviour::Hang { 10 } else { 20 };
        assert_eq!(served.count(), expected, "{behaviour:?}");
    }
}
