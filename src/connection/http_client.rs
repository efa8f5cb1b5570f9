//! The HTTP/1.1 client for calls to upstreams.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderValue};
use http::uri::InvalidUri;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::prelude::*;

/// The largest response body read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The most bytes read from a connection before they are passed on, which is also the largest head of a response. Each connection of a
/// host may hold as many.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// The most interim responses, such as `100 Continue`, before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The time limit to open a connection. The round trip to an upstream takes about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that opens a connection for each call.
///
/// A pooled connection may have gone silent or be closing undetected, so that a call sent on it has an unknown outcome.
/// At the planned size, a host makes fewer than 100 calls per second with round trips of at most a millisecond, so a
/// handshake for each costs little.
#[derive(Debug, Default, Clone)]
pub struct HttpClient {}

impl HttpClient {
    /// Sends a request and waits up to `timeout` for the head of the response.
    ///
    /// # Errors
    /// Returns `Unreachable` or `Invalid` with `run: not_run` if no connection could be opened or the URI is invalid;
    /// otherwise an error with `run: unknown`.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<AnswerBody>, UpstreamError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let socket = connect(req.uri(), timeout.min(CONNECT_TIMEOUT)).await?;
        let broken = |e| UpstreamError::may_have_run(UpstreamErrorKind::Broken, e);
        let (mut sender, connection) = open_connection(socket).await.map_err(broken)?;
        let sending = send_request(&mut sender, origin_form(req)?);
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(response)) => Ok(response.map(|body| AnswerBody {
                body,
                _connection: connection,
            })),
            Ok(Err(
                SendError::Broken { cause }
                | SendError::Invalid { cause }
                | SendError::Unsent { cause, .. },
            )) => {
                let broken = UpstreamErrorKind::Broken;
                Err(UpstreamError::may_have_run(broken, cause))
            }
            Err(_) => {
                let cause = format!("no answer in {timeout:?}");
                Err(UpstreamError::may_have_run(
                    UpstreamErrorKind::Timeout,
                    cause,
                ))
            }
        }
    }

    /// Sends a POST request with a JSON body and reads a JSON response. `timeout` applies to the head and again to the
    /// body.
    ///
    /// # Errors
    /// Returns the errors of `send`, `check_status` and `read_body`; `Invalid` with `run: not_run` if the request can't be
    /// built, or with `run: unknown` if the response can't be parsed.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        uri: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, UpstreamError> {
        let response = self.send(json_request(uri, body)?, timeout).await?;
        let bytes = read_body(check_status(response).await?.into_body(), timeout).await?;
        parse_json(&bytes)
    }

    /// Sends a GET request and reads a JSON response. `timeout` applies to the head and again to the body.
    ///
    /// # Errors
    /// Returns the errors of `send`, `check_status` and `read_body`; `Invalid` with `run: not_run` if the request can't be
    /// built, or with `run: unknown` if the response can't be parsed.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        uri: &str,
        timeout: Duration,
    ) -> Result<T, UpstreamError> {
        let req = Request::get(uri).body(Full::default());
        let req = req.map_err(|e| UpstreamError::not_run(UpstreamErrorKind::Invalid, e))?;
        let response = self.send(req, timeout).await?;
        let bytes = read_body(check_status(response).await?.into_body(), timeout).await?;
        parse_json(&bytes)
    }
}

/// The body of a response. Dropping it closes the connection.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    _connection: ConnectionTask,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The task that drives a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct ConnectionTask(JoinHandle<()>);

/// Starts an HTTP/1.1 connection on a connected socket.
///
/// # Errors
/// Returns the handshake error of the HTTP library.
pub async fn open_connection(
    socket: TcpStream,
) -> Result<(http1::SendRequest<Full<Bytes>>, ConnectionTask), hyper::Error> {
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(socket));
    let (sender, connection) = handshake.await?;
    let task = tokio::spawn(async move {
        // The pending request or its body reports the error too.
        let _ = connection.await;
    });
    Ok((sender, ConnectionTask(task)))
}

/// Why a request got no response on its connection.
#[derive(Debug)]
pub enum SendError {
    /// The connection had closed before a byte was sent.
    Unsent {
        /// The request.
        req: Box<Request<Full<Bytes>>>,
        /// The error of the HTTP library.
        cause: String,
    },
    /// The connection broke before a response had arrived.
    Broken {
        /// The error of the HTTP library.
        cause: String,
    },
    /// What arrived is no response.
    Invalid {
        /// The error of the HTTP library, or what is wrong with the response.
        cause: String,
    },
}

/// Sends a request on an open connection and waits for the head of its final response. After an error, or if the future is dropped, the
/// connection must not be used again.
///
/// # Errors
/// Returns a `SendError` that tells whether the request may have been sent.
pub async fn send_request(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    mut req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    let is_flooded = Arc::new(Notify::new());
    let (interim, flooded) = (AtomicU32::new(0), is_flooded.clone());
    // The HTTP library reads on as long as interim responses arrive.
    on_informational(&mut req, move |_| {
        if interim.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            flooded.notify_one();
        }
    });
    tokio::select! {
        sent = sender.try_send_request(req) => sent.map_err(|mut e| {
            let cause = e.error().to_string();
            match e.take_message() {
                Some(req) => SendError::Unsent {
                    req: Box::new(req),
                    cause,
                },
                None if e.error().is_parse() => SendError::Invalid { cause },
                None => SendError::Broken { cause },
            }
        }),
        () = is_flooded.notified() => {
            let cause = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
            Err(SendError::Invalid { cause })
        }
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a TCP connection. All its errors have `run: not_run`, because no byte of the request has been sent.
async fn connect(uri: &Uri, timeout: Duration) -> Result<TcpStream, UpstreamError> {
    let unreachable =
        |e: &dyn fmt::Display| UpstreamError::not_run(UpstreamErrorKind::Unreachable, e);
    let authority = uri.authority().ok_or_else(|| {
        UpstreamError::not_run(UpstreamErrorKind::Invalid, "address without host")
    })?;
    let port = authority.port_u16().unwrap_or(80);
    let host = authority
        .host()
        .trim_start_matches('[')
        .trim_end_matches(']');
    let connecting = TcpStream::connect((host, port));
    let socket = match tokio::time::timeout(timeout, connecting).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => return Err(unreachable(&e)),
        Err(_) => return Err(unreachable(&format!("no connection in {timeout:?}"))),
    };
    socket.set_nodelay(true).map_err(|e| unreachable(&e))?;
    Ok(socket)
}

/// Changes the request target to origin form: the authority moves from the URI to the `Host` header.
fn origin_form(mut req: Request<Full<Bytes>>) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let invalid = |e: &dyn fmt::Display| UpstreamError::not_run(UpstreamErrorKind::Invalid, e);
    let uri = req.uri().clone();
    let host = uri.authority().map_or("", |authority| authority.as_str());
    let host = HeaderValue::from_str(host).map_err(|e| invalid(&e))?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    *req.uri_mut() = path.parse().map_err(|e: InvalidUri| invalid(&e))?;
    req.headers_mut().insert(HOST, host);
    Ok(req)
}

/// Builds a POST request with a JSON body.
///
/// # Errors
/// Returns `Invalid` if the body can't be serialized or the URI can't be parsed.
pub fn json_request(
    uri: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let invalid = |e: &dyn std::fmt::Display| UpstreamError::not_run(UpstreamErrorKind::Invalid, e);
    let body = serde_json::to_vec(body).map_err(|e| invalid(&e))?;
    Request::post(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| invalid(&e))
}

/// Returns the response if its status is 2xx, or an error by status. Engines send 4xx, and 503 when full, only for
/// calls that they did not run.
///
/// # Errors
/// Returns `Gone`, `Fenced`, `Full` or `Refused` with `run: not_run`, or `Broken` with `run: unknown`.
pub async fn check_status(
    response: Response<AnswerBody>,
) -> Result<Response<AnswerBody>, UpstreamError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.into_body();
    let text = read_body(body, Duration::from_secs(1))
        .await
        .unwrap_or_default();
    let cause = format!("{status}: {}", String::from_utf8_lossy(&text));
    Err(match status.as_u16() {
        404 | 410 => UpstreamError::not_run(UpstreamErrorKind::Gone, cause),
        412 => UpstreamError::not_run(UpstreamErrorKind::Fenced, cause),
        503 => UpstreamError::not_run(UpstreamErrorKind::Full, cause),
        400..=499 => UpstreamError::not_run(UpstreamErrorKind::Refused, cause),
        _ => UpstreamError::may_have_run(UpstreamErrorKind::Broken, cause),
    })
}

/// Reads a whole body of bounded size.
///
/// # Errors
/// Returns an error with `run: unknown` if the body breaks off, is too large or takes longer than `timeout`.
pub async fn read_body(body: AnswerBody, timeout: Duration) -> Result<Bytes, UpstreamError> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    match tokio::time::timeout(timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) => Err(UpstreamError::may_have_run(UpstreamErrorKind::Broken, e)),
        Err(_) => {
            let cause = format!("answer not complete in {timeout:?}");
            Err(UpstreamError::may_have_run(
                UpstreamErrorKind::Timeout,
                cause,
            ))
        }
    }
}

fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UpstreamError> {
    serde_json::from_slice(bytes)
        .map_err(|e| UpstreamError::may_have_run(UpstreamErrorKind::Invalid, e))
}
