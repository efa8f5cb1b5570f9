//! The responses on callers' connections: bodies arrive unchanged, and requests that can't be parsed are refused in JSON.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use hibiscusspread::connection::caller_io::response_framing::{QueuedResponses, ResponseFraming};
use hibiscusspread::connection::caller_listener::{
    CallerHandler, CallerListener, CallerSettings, ResponseBody, StopPhase,
};
use hibiscusspread::request::forward::transport::BodyError;

use crate::engine_fleet::TEST_TIMEOUT;

/// The response of the HTTP library to a request that it can't parse.
const LIBRARY_REFUSAL: &str =
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The time between two parts of a body, in which the HTTP library writes the first one.
const FLUSH_TIME: Duration = Duration::from_millis(2);

/// Responds with a body that ends with the bytes of a refusal. The request's path states where the body is cut in two
/// and whether its length is stated, such as `/12/length`.
struct LookalikeHandler;

impl LookalikeHandler {
    fn body() -> String {
        format!("a recorded exchange\r\n{LIBRARY_REFUSAL}")
    }
}

#[async_trait]
impl CallerHandler for LookalikeHandler {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let mut path = req.uri().path().split('/').skip(1);
        let cut = path.next().and_then(|cut| cut.parse().ok());
        let mut rest = Bytes::from(Self::body());
        let len = rest.len();
        let first = rest.split_to(cut.expect("path has a cut"));
        let parts = stream::unfold(VecDeque::from([first, rest]), |mut parts| async {
            let part = parts.pop_front()?;
            tokio::time::sleep(FLUSH_TIME).await;
            Some((Ok::<_, BodyError>(Frame::data(part)), parts))
        });
        let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
        if path.next() == Some("length") {
            let headers = response.headers_mut();
            headers.insert(CONTENT_LENGTH, HeaderValue::from(len));
        }
        response
    }
}

async fn connect_to_lookalikes() -> (TcpStream, watch::Sender<StopPhase>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(StopPhase::Serving);
    let callers = CallerListener::new(Arc::new(LookalikeHandler), CallerSettings::default());
    tokio::spawn(callers.serve(listener, stopped));
    let socket = TcpStream::connect(address).await.expect("host accepts");
    (socket, stop)
}

/// Returns the content of a chunked body.
fn join_chunks(mut text: &str) -> String {
    let mut content = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("size of a chunk");
        content += &rest[..size];
        text = rest[size..].strip_prefix("\r\n").expect("end of a chunk");
    }
    content
}

/// Guards against bytes of an upstream's body that are replaced because they look like a response of the HTTP library, wherever the
/// body is split between writes, and against later responses of the connection that are shifted by them.
#[tokio::test]
async fn passes_on_bodies_that_end_like_a_refusal() {
    let body = LookalikeHandler::body();
    for cut in 0..=body.len() {
        let (mut socket, _stop) = connect_to_lookalikes().await;
        let requests = format!(
            "GET /{cut}/length HTTP/1.1\r\nhost: h\r\n\r\nGET /{cut} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        );
        let sent = socket.write_all(requests.as_bytes()).await;
        sent.expect("host reads");
        let mut received = String::new();
        let read = timeout(TEST_TIMEOUT, socket.read_to_string(&mut received)).await;
        read.expect("host closes").expect("connection is whole");
        let (_, first) = received.split_once("\r\n\r\n").expect("first head");
        let second = first.strip_prefix(&body);
        let second = second.unwrap_or_else(|| panic!("cut at {cut}: {received}"));
        let (head, chunks) = second.split_once("\r\n\r\n").expect("second head");
        assert!(head.starts_with("HTTP/1.1 200"), "cut at {cut}: {received}");
        assert_eq!(join_chunks(chunks), body, "cut at {cut}");
    }
}

/// Guards against requests that can't be parsed and get no JSON refusal because they follow a body that looks like one.
#[tokio::test]
async fn refuses_malformed_requests_after_lookalikes() {
    let len = LookalikeHandler::body().len();
    for path in [format!("/{len}/length"), format!("/{len}"), "/0".to_owned()] {
        let (mut socket, _stop) = connect_to_lookalikes().await;
        let requests = format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\ngarbage\r\n\r\n");
        let sent = socket.write_all(requests.as_bytes()).await;
        sent.expect("host reads");
        let mut received = String::new();
        let read = timeout(TEST_TIMEOUT, socket.read_to_string(&mut received)).await;
        read.expect("host closes").expect("connection is whole");
        assert_eq!(received.matches(LIBRARY_REFUSAL).count(), 1, "{received}");
        let end = received.rsplit("\r\n\r\n").next().unwrap_or_default();
        assert!(end.contains(r#""run":"not_run""#), "{path}: {received}");
    }
}

/// A response as the HTTP library writes it.
#[derive(Debug, Clone)]
struct Written {
    method: Method,
    bytes: Vec<u8>,
}

fn body_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        Just(LIBRARY_REFUSAL.as_bytes().to_vec()),
        Just(b"\r\n\r\n0\r\n\r\nHTTP/1.1 431 x\r\ncontent-length: 0\r\n\r\n".to_vec()),
        vec(any::<u8>(), 0..40),
    ]
}

fn written() -> impl Strategy<Value = Written> {
    let bodies = vec(body_bytes(), 0..4);
    (bodies, 0..6_u8, any::<bool>()).prop_map(|(bodies, framing, continues)| {
        let mut bytes = Vec::new();
        if continues {
            bytes.extend(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let body = bodies.concat();
        let length = format!("content-length: {}\r\n", body.len());
        let (method, status, header) = match framing {
            0 | 1 => (Method::GET, "200 OK", length),
            2 | 3 => (
                Method::POST,
                "503 x",
                "transfer-encoding: chunked\r\n".to_owned(),
            ),
            4 => (Method::HEAD, "200 OK", length),
            _ => (Method::GET, "204 No Content", String::new()),
        };
        bytes.extend(format!("HTTP/1.1 {status}\r\nx: y\r\n{header}date: now\r\n\r\n").bytes());
        match framing {
            0 | 1 => bytes.extend(body),
            2 | 3 => {
                for chunk in bodies.iter().filter(|chunk| !chunk.is_empty()) {
                    bytes.extend(format!("{:X}\r\n", chunk.len()).bytes());
                    bytes.extend(chunk);
                    bytes.extend(b"\r\n");
                }
                let end = if framing == 2 {
                    "0\r\n\r\n"
                } else {
                    "0\r\nx-sum: 1\r\n\r\n"
                };
                bytes.extend(end.bytes());
            }
            _ => {}
        }
        Written { method, bytes }
    })
}

/// Returns the end of the head that starts at `start`.
fn head_end(bytes: &[u8], start: usize) -> usize {
    let end = bytes[start..].windows(4).position(|w| w == b"\r\n\r\n");
    start + end.expect("head") + 4
}

proptest! {
    /// Guards against responses of the handler that are taken for one of the library, and the reverse, for any bodies, framings, sizes
    /// of the library's buffer and partial writes.
    #[test]
    fn finds_only_the_responses_of_the_library(
        responses in vec(written(), 0..5),
        is_refused in any::<bool>(),
        sizes in vec(1..60_usize, 1..20),
    ) {
        let queued = QueuedResponses::default();
        let mut framing = ResponseFraming::new(queued.clone());
        let mut all = Vec::new();
        // The library passes on heads in one piece.
        let mut heads: Vec<Range<usize>> = Vec::new();
        for response in &responses {
            queued.push(response.method.clone());
            let start = all.len();
            all.extend(&response.bytes);
            let mut end = head_end(&all, start);
            heads.push(start..end);
            if all[start..].starts_with(b"HTTP/1.1 100") {
                let start = end;
                end = head_end(&all, start);
                heads.push(start..end);
            }
        }
        let handler_len = all.len();
        if is_refused {
            heads.push(handler_len..handler_len + LIBRARY_REFUSAL.len());
            all.extend(LIBRARY_REFUSAL.bytes());
        }
        let mut sizes = sizes.into_iter().cycle();
        let (mut written, mut buffered) = (0, 0);
        while written < all.len() {
            buffered = (buffered + sizes.next().unwrap_or(1)).min(all.len());
            if let Some(head) = heads.iter().find(|head| head.contains(&buffered)) {
                buffered = head.end;
            }
            let buf = &all[written..buffered];
            let len = framing.handler_len(buf);
            prop_assert_eq!(len, buffered.min(handler_len) - written);
            if len == 0 {
                break;
            }
            let accepted = len.min(sizes.next().unwrap_or(1));
            framing.record_written(accepted);
            written += accepted;
        }
        prop_assert_eq!(written, handler_len);
    }
}

/// Guards against responses to HTTP/1.0 callers, whose body ends with the connection, that are cut or replaced.
#[test]
fn passes_on_bodies_that_end_with_the_connection() {
    let queued = QueuedResponses::default();
    queued.push(Method::GET);
    let mut framing = ResponseFraming::new(queued);
    let response = format!("HTTP/1.0 200 OK\r\n\r\n{LIBRARY_REFUSAL}");
    assert_eq!(framing.handler_len(response.as_bytes()), response.len());
    framing.record_written(response.len());
    let rest = LIBRARY_REFUSAL.as_bytes();
    assert_eq!(framing.handler_len(rest), rest.len());
}
