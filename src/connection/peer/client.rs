//! The connecting side of links, which sends requests.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::connection::peer::server::{CONNECTION_WINDOW, MAX_BODY_BYTES, read_body};
use crate::connection::peer::{
    DropReason, PeerCounters, PeerIdentity, PeerSecret, PeerTimeouts, Session, client_handshake,
    decode, encode, sign_request, verify_reply,
};
use crate::prelude::*;
use crate::process::membership::AddressBook;
use crate::process::message::{Member, PeerError, PeerReply, PeerRequest};
use crate::process::peer::PeerLink;
use crate::process::shard::Shards;

/// The time allowed for a place request beyond its wait in the queue of the other host.
const PLACE_REQUEST_MARGIN: Duration = Duration::from_secs(2);

/// Sends requests to other hosts, over one connection per host.
#[derive(Clone)]
pub struct PeerClient(Arc<Inner>);

struct Inner {
    identity: PeerIdentity,
    secret: PeerSecret,
    address_book: Arc<AddressBook>,
    timeouts: PeerTimeouts,
    counters: PeerCounters,
    links: Shards<HashMap<HostId, HostLink>>,
}

/// Receives the result of a connection attempt, which all requests to the host wait for.
type Connecting = watch::Receiver<Option<Result<Arc<Connection>, PeerError>>>;

/// The link to one host.
struct HostLink {
    /// The process that the link leads to. A new process on the host gets a new link at once, without backoff.
    target: (SocketAddr, Incarnation),
    state: LinkState,
    /// The connection attempts that failed since the last success.
    failures: u32,
}

enum LinkState {
    Open(Arc<Connection>),
    Connecting(Connecting),
    /// No connection attempt starts before this time.
    Closed(Instant),
}

struct Connection {
    session: Session,
    send: SendRequest<Bytes>,
    /// The sequence number of the next request.
    sequence: AtomicU64,
    open_requests: AtomicU64,
    /// The time in milliseconds since `opened` at which a request last started or ended.
    last_request_ms: AtomicU64,
    opened: Instant,
    closed: AtomicBool,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a>(&'a Connection);

impl<'a> OpenRequest<'a> {
    fn new(connection: &'a Connection) -> Self {
        connection.open_requests.fetch_add(1, Ordering::Relaxed);
        connection.record_activity();
        Self(connection)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.record_activity();
    }
}

impl PeerClient {
    /// Creates a client that looks up hosts in `address_book`.
    pub fn new(identity: PeerIdentity, secret: PeerSecret, address_book: Arc<AddressBook>) -> Self {
        Self::with_timeouts(identity, secret, address_book, PeerTimeouts::default())
    }

    /// Creates a client with other than the default time limits.
    pub fn with_timeouts(
        identity: PeerIdentity,
        secret: PeerSecret,
        address_book: Arc<AddressBook>,
        timeouts: PeerTimeouts,
    ) -> Self {
        Self(Arc::new(Inner {
            identity,
            secret,
            address_book,
            timeouts,
            counters: PeerCounters::default(),
            links: Shards::default(),
        }))
    }

    /// Returns the number of replies and connections dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.0.counters.get(reason)
    }
}

#[async_trait]
impl PeerLink for PeerClient {
    async fn ask(&self, host: &HostId, req: PeerRequest) -> Result<PeerReply, PeerError> {
        let deadline = Instant::now() + time_limit(&req);
        let payload = encode(&req).map_err(PeerError::NotSent)?;
        let connection = self.0.connection(host);
        let connection = tokio::time::timeout_at(deadline, connection)
            .await
            .map_err(|_| PeerError::NotSent("no connection in time".to_owned()))??;
        let _open = OpenRequest::new(&connection);
        let ready = connection.send.clone().ready();
        let send = tokio::time::timeout_at(deadline, ready)
            .await
            .map_err(|_| PeerError::NotSent("no free stream in time".to_owned()))?
            .map_err(|e| PeerError::NotSent(e.to_string()))?;
        let reply = connection.exchange(&self.0.counters, send, &payload);
        tokio::time::timeout_at(deadline, reply)
            .await
            .map_err(|_| PeerError::Unanswered("no reply in time".to_owned()))?
    }
}

/// Returns the time after which a request counts as unanswered.
fn time_limit(req: &PeerRequest) -> Duration {
    match req {
        PeerRequest::Place(place) => place.max_wait + PLACE_REQUEST_MARGIN,
        PeerRequest::Heartbeat(_) => Duration::from_millis(1500),
        PeerRequest::ConfigDelta(_) | PeerRequest::FetchSections(_) | PeerRequest::Adopt(_) => {
            Duration::from_secs(5)
        }
        PeerRequest::ClaimOnce(_) | PeerRequest::FinishOnce(_) => Duration::from_secs(3),
        _ => Duration::from_secs(2),
    }
}

impl Inner {
    /// Returns the open connection to `host`, or waits until one is open.
    async fn connection(self: &Arc<Self>, host: &HostId) -> Result<Arc<Connection>, PeerError> {
        let member = self.address_book.get(host);
        let member = member.ok_or_else(|| PeerError::UnknownHost(host.clone()))?;
        let mut connecting = match self.open_or_connect(&member)? {
            Ok(connection) => return Ok(connection),
            Err(connecting) => connecting,
        };
        let result = connecting.wait_for(Option::is_some).await;
        let result =
            result.map_err(|_| PeerError::NotSent("connection attempt ended".to_owned()))?;
        match &*result {
            Some(result) => result.clone(),
            None => Err(PeerError::NotSent("connection attempt ended".to_owned())),
        }
    }

    /// Returns the open connection, or the connection attempt in progress, which it starts if needed.
    fn open_or_connect(
        self: &Arc<Self>,
        member: &Member,
    ) -> Result<Result<Arc<Connection>, Connecting>, PeerError> {
        let target = (member.address, member.incarnation);
        let mut links = self.links.lock(&member.host);
        let failures = match links.get(&member.host) {
            Some(link) if link.target == target => match &link.state {
                LinkState::Open(open) if !open.closed.load(Ordering::Acquire) => {
                    return Ok(Ok(open.clone()));
                }
                LinkState::Connecting(connecting) => return Ok(Err(connecting.clone())),
                // The last error is not returned again: it says nothing about the state of the process now.
                LinkState::Closed(until) if Instant::now() < *until => {
                    return Err(PeerError::NotSent("waiting to reconnect".to_owned()));
                }
                _ => link.failures,
            },
            _ => 0,
        };
        let (tx, rx) = watch::channel(None);
        let state = LinkState::Connecting(rx.clone());
        let link = HostLink {
            target,
            state,
            failures,
        };
        links.insert(member.host.clone(), link);
        drop(links);
        let (inner, member) = (self.clone(), member.clone());
        tokio::spawn(async move {
            let result = inner.open(&member).await;
            inner.store_result(&member, &result);
            tx.send_replace(Some(result));
        });
        Ok(Err(rx))
    }

    fn store_result(&self, member: &Member, result: &Result<Arc<Connection>, PeerError>) {
        let mut links = self.links.lock(&member.host);
        let Some(link) = links.get_mut(&member.host) else {
            return;
        };
        if link.target != (member.address, member.incarnation) {
            return;
        }
        if let Ok(connection) = result {
            link.failures = 0;
            link.state = LinkState::Open(connection.clone());
        } else {
            link.failures = link.failures.saturating_add(1);
            let wait =
                self.timeouts.initial_backoff * (1 << link.failures.min(8).saturating_sub(1));
            let wait = wait.min(self.timeouts.max_backoff);
            // Random jitter between half and all of the wait, so that hosts don't reconnect at the same time.
            let wait = wait.mul_f64(rand::random_range(0.5..=1.0));
            link.state = LinkState::Closed(Instant::now() + wait);
        }
    }

    async fn open(self: &Arc<Self>, member: &Member) -> Result<Arc<Connection>, PeerError> {
        let opening = self.open_without_timeout(member);
        tokio::time::timeout(self.timeouts.connect, opening)
            .await
            .unwrap_or_else(|_| {
                Err(PeerError::NotSent(
                    "connection attempt timed out".to_owned(),
                ))
            })
    }

    async fn open_without_timeout(
        self: &Arc<Self>,
        member: &Member,
    ) -> Result<Arc<Connection>, PeerError> {
        let stream = TcpStream::connect(member.address).await;
        let mut stream = stream.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => PeerError::ConnectionRefused,
            _ => PeerError::NotSent(e.to_string()),
        })?;
        let _ = stream.set_nodelay(true);
        let session = client_handshake(&mut stream, &self.identity, &self.secret).await;
        let session = session.map_err(PeerError::NotSent)?;
        if session.peer.host != member.host {
            self.counters.count(DropReason::Stranger);
            let cause = format!("host {} runs at its address", session.peer.host);
            return Err(PeerError::NotSent(cause));
        }
        let body = u32::try_from(MAX_BODY_BYTES).unwrap_or(u32::MAX);
        let (send, mut connection) = h2::client::Builder::new()
            .initial_window_size(body)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(|e| PeerError::NotSent(e.to_string()))?;
        let pings = connection.ping_pong();
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("peer connection ended: {e}");
            }
        });
        let opened = Arc::new(Connection {
            session,
            send,
            sequence: AtomicU64::new(1),
            open_requests: AtomicU64::new(0),
            last_request_ms: AtomicU64::new(0),
            opened: Instant::now(),
            closed: AtomicBool::new(false),
            driver: driver.abort_handle(),
        });
        if let Some(pings) = pings {
            let watched = Arc::downgrade(&opened);
            tokio::spawn(watch_link(
                Arc::downgrade(self),
                member.clone(),
                watched,
                pings,
                self.timeouts.clone(),
            ));
        }
        Ok(opened)
    }
}

/// Pings a connection; closes it when it is idle and replaces it when a ping times out.
async fn watch_link(
    inner: Weak<Inner>,
    member: Member,
    connection: Weak<Connection>,
    mut pings: h2::PingPong,
    timeouts: PeerTimeouts,
) {
    loop {
        let pong =
            tokio::time::timeout(timeouts.ping_timeout, pings.ping(h2::Ping::opaque())).await;
        let (Some(inner), Some(connection)) = (inner.upgrade(), connection.upgrade()) else {
            return;
        };
        let silent = !matches!(pong, Ok(Ok(_)));
        if silent || connection.idle_for() >= timeouts.idle {
            connection.closed.store(true, Ordering::Release);
            inner.remove_link(&member, &connection);
            if pong.is_err() {
                log::info!(host:% = member.host; "peer connection does not answer pings; replacing it");
                connection.driver.abort();
                let _ = inner.open_or_connect(&member);
            }
            return;
        }
        drop((inner, connection));
        tokio::time::sleep(timeouts.ping_interval).await;
    }
}

impl Inner {
    fn remove_link(&self, member: &Member, connection: &Arc<Connection>) {
        let mut links = self.links.lock(&member.host);
        if let Some(link) = links.get(&member.host)
            && let LinkState::Open(open) = &link.state
            && Arc::ptr_eq(open, connection)
        {
            links.remove(&member.host);
        }
    }
}

impl Connection {
    fn record_activity(&self) {
        let now = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_request_ms.store(now, Ordering::Relaxed);
    }

    fn idle_for(&self) -> Duration {
        if self.open_requests.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        let last = Duration::from_millis(self.last_request_ms.load(Ordering::Relaxed));
        self.opened.elapsed().saturating_sub(last)
    }

    /// Sends one request and reads its reply. Dropping the future resets the stream.
    async fn exchange(
        &self,
        counters: &PeerCounters,
        mut send: SendRequest<Bytes>,
        payload: &[u8],
    ) -> Result<PeerReply, PeerError> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let frame = sign_request(&self.session.request_key, sequence, payload);
        let req = http::Request::post("http://p/");
        let req = req
            .body(())
            .map_err(|e| PeerError::NotSent(e.to_string()))?;
        let stream = send.send_request(req, false);
        let (response, mut body) = stream.map_err(|e| PeerError::NotSent(e.to_string()))?;
        let to_unanswered = |e: h2::Error| match e.reason() {
            Some(h2::Reason::REFUSED_STREAM) => PeerError::Rejected(e.to_string()),
            _ => PeerError::Unanswered(e.to_string()),
        };
        body.send_data(frame.into(), true).map_err(to_unanswered)?;
        let response = response.await.map_err(to_unanswered)?;
        let frame = read_body(response.into_body()).await.map_err(|reason| {
            counters.count(reason);
            PeerError::Unanswered("failed to read the reply".to_owned())
        })?;
        let opened = verify_reply(&self.session.reply_key, sequence, &frame);
        let payload = opened.map_err(|_| {
            counters.count(DropReason::Forged);
            PeerError::Unanswered("reply not authentic, or to another request".to_owned())
        })?;
        decode(payload).map_err(|cause| {
            counters.count(DropReason::Garbled);
            PeerError::Unanswered(cause)
        })
    }
}
