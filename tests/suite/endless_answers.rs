//! Upstreams that send without end to many requests at once, before a host of the size of the platform's smallest ones.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http_body_util::BodyExt;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::forward_connections::{header, read_request};
use crate::platform_stand_in::{StandIns, configuration, request, send_on};
use crate::soak_hosts::{SoakHost, host_folder};

/// The memory that the platform's pages give a host, in MiB.
const HOST_MEMORY_MIB: u64 = 88;

/// The callers that make one request after the other, and how long they do.
const CALLERS: usize = 160;
const CALLING_TIME: Duration = Duration::from_millis(1500);

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Each such caller reads slowly: a part of an answer after this pause.
const SLOW_CALLER_STEP: usize = 8;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(50);

/// What is sent without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flood {
    /// Interim answers and never a final one.
    InterimAnswers,
    /// The body of an error.
    ErrorBody,
    /// The body of a success, without events.
    Body,
    /// Whole events.
    Events,
    /// The headers of an answer.
    Headers,
}

impl Flood {
    /// Returns what the answer to request `id` begins with, and what follows again and again.
    fn parts(self, id: &str) -> (String, String) {
        let head = |status| {
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-server-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
            )
        };
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        match self {
            Self::InterimAnswers => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(600)),
            Self::ErrorBody => (head("500 Failed"), chunk("x".repeat(16 << 10))),
            Self::Body => (head("200 OK"), chunk("x".repeat(16 << 10))),
            Self::Events => (head("200 OK"), chunk("id: 1\ndata: again\n\n".repeat(800))),
            Self::Headers => (
                "HTTP/1.1 200 OK\r\n".to_owned(),
                "x-header: yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(400),
            ),
        }
    }
}

/// Answers a request on a connection with `flood`, until the connection closes.
async fn send_without_end(socket: TcpStream, flood: Flood) {
    let mut socket = BufReader::new(socket);
    let Some(head) = read_request(&mut socket).await else {
        return;
    };
    let id = header(&head, "x-request-id").unwrap_or_default();
    let (begin, rest) = flood.parts(id);
    let mut sent = socket.write_all(begin.as_bytes()).await;
    while sent.is_ok() {
        sent = socket.write_all(rest.as_bytes()).await;
    }
}

/// Starts an upstream that sends `flood` to each request; returns its address.
async fn start_flooding(flood: Flood) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(send_without_end(socket, flood));
        }
    });
    address
}

/// Makes one request after the other. Returns how many got a whole answer with status 200.
async fn call_again_and_again(host: SocketAddr, no: usize) -> usize {
    let (method, path) = [
        ("POST", "book"),
        ("GET", "read"),
        ("POST", "text"),
        ("POST", "long"),
    ][no % 4];
    let (mut served, mut calls) = (0, 0);
    let started = Instant::now();
    while started.elapsed() < CALLING_TIME {
        calls += 1;
        let req = request(method, &format!("http://{host}/{path}/{no}-{calls}"));
        let calling = async {
            let socket = TcpStream::connect(host).await.ok()?;
            let mut response = send_on(socket, req).await?;
            while let Some(frame) = response.body_mut().frame().await {
                frame.ok()?;
                if no.is_multiple_of(SLOW_CALLER_STEP) {
                    sleep(SLOW_READ_PAUSE).await;
                }
            }
            (response.status() == 200).then_some(())
        };
        let answer = timeout(PATIENCE, calling).await;
        served += usize::from(matches!(answer, Ok(Some(()))));
        // Callers don't come back at once.
        sleep(Duration::from_millis(20)).await;
    }
    served
}

/// Guards against upstreams that send without end, and a host that keeps what they send until it runs out of memory, or has no time left
/// for the requests of others.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_take_neither_the_memory_nor_the_time_of_a_host() {
    let mut found = Vec::new();
    for flood in [
        Flood::InterimAnswers,
        Flood::ErrorBody,
        Flood::Body,
        Flood::Events,
        Flood::Headers,
    ] {
        let mut stand_ins = StandIns::start().await;
        // One of two prefill engines, both decode engines, and one of two services.
        for index in [0, 2, 3, 4] {
            stand_ins.addresses[index] = start_flooding(flood).await;
        }
        stand_ins.register_all().await;
        let mut document = configuration(1);
        document["tenants"][0]["ratePerS"] = 0.into();
        stand_ins.configure(&document).await;
        let folder = host_folder();
        let host = SoakHost::start(0, stand_ins.store_address, &folder);
        host.wait_ready().await;
        let callers = (0..CALLERS).map(|no| {
            let calling = call_again_and_again(host.callers, no);
            tokio::spawn(calling)
        });
        let served = join_all(callers).await.into_iter();
        let served: Vec<usize> = served.map(|served| served.expect("caller ends")).collect();
        let (peak, all) = (host.peak_memory(), served.iter().sum::<usize>());
        let of_path = |path| -> usize { served.iter().skip(path).step_by(4).sum() };
        let paths = [0, 1, 2, 3].map(of_path);
        println!("{flood:?}: {peak} MiB, {all} whole answers, by path {paths:?}");
        std::fs::remove_dir_all(&folder).expect("folder is removed");
        found.push((flood, peak, all));
    }
    for (flood, peak, all) in found {
        assert!(peak < HOST_MEMORY_MIB, "{flood:?}: {peak} MiB");
        // Each caller could have been served by a sound upstream several times.
        assert!(all > CALLERS * 2, "{flood:?}: {all} whole answers");
    }
}
