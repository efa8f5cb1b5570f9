//! The accepting side of links, which handles requests.

use std::future::poll_fn;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::connection::peer::{
    DropReason, MAX_MESSAGE_BYTES, PeerCounters, PeerIdentity, PeerSecret, PeerTimeouts,
    REQUEST_OVERHEAD_BYTES, ReplayWindow, Session, decode, encode, server_handshake, sign_reply,
    verify_request,
};
use crate::process::membership::AddressBook;
use crate::process::message::{PeerReply, PeerRequest};
use crate::process::peer::PeerHandler;
use crate::process::shard::lock;

/// The largest frame, in bytes.
pub(super) const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES + REQUEST_OVERHEAD_BYTES;
/// The most requests open on one connection at once.
pub(super) const MAX_STREAMS: u32 = 1024;
/// The HTTP/2 flow-control window of a connection, in bytes.
pub(super) const CONNECTION_WINDOW: u32 = 16 << 20;
/// The most handshakes at once; bounds the memory that unauthenticated connections can use.
const MAX_HANDSHAKES: usize = 64;
/// The wait after a failed accept, which is mostly a lack of file descriptors that are freed with time.
const ACCEPT_RETRY: std::time::Duration = std::time::Duration::from_millis(50);
/// How many times longer than the connecting side this side waits for a pong. The connecting side should notice a silent
/// connection first, because it also replaces it.
const PING_TIMEOUT_FACTOR: u32 = 5;

/// Handles requests from other hosts.
pub struct PeerServer {
    identity: PeerIdentity,
    secret: PeerSecret,
    address_book: Arc<AddressBook>,
    handler: Arc<dyn PeerHandler>,
    timeouts: PeerTimeouts,
    counters: Arc<PeerCounters>,
    handshake_permits: Arc<Semaphore>,
}

impl PeerServer {
    /// Creates a server that passes requests to `handler`.
    pub fn new(
        identity: PeerIdentity,
        secret: PeerSecret,
        address_book: Arc<AddressBook>,
        handler: Arc<dyn PeerHandler>,
    ) -> Self {
        Self {
            identity,
            secret,
            address_book,
            handler,
            timeouts: PeerTimeouts::default(),
            counters: Arc::default(),
            handshake_permits: Arc::new(Semaphore::new(MAX_HANDSHAKES)),
        }
    }

    /// Sets other than the default time limits.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: PeerTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Returns the counters of dropped connections and frames.
    pub fn counters(&self) -> Arc<PeerCounters> {
        self.counters.clone()
    }

    /// Serves until `stop` becomes true or its sender is dropped. Dropping the future closes all connections.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(self.clone().serve_connection(stream));
                    }
                    Err(e) => {
                        log::warn!("failed to accept a peer connection: {e}");
                        tokio::time::sleep(ACCEPT_RETRY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                () = stopped(&mut stop) => return,
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let Ok(permit) = self.handshake_permits.clone().try_acquire_owned() else {
            self.counters.count(DropReason::Stranger);
            return;
        };
        let _ = stream.set_nodelay(true);
        let handshake = server_handshake(&mut stream, &self.identity, &self.secret);
        let session = match tokio::time::timeout(self.timeouts.connect, handshake).await {
            Ok(Ok(session)) => session,
            Ok(Err(cause)) => {
                self.counters.count(DropReason::Stranger);
                log::debug!("peer connection dropped: {cause}");
                return;
            }
            Err(_) => return self.counters.count(DropReason::Stranger),
        };
        drop(permit);
        if let Err(e) = self.serve_streams(stream, session).await {
            log::debug!("peer connection ended: {e}");
        }
    }

    async fn serve_streams(
        self: Arc<Self>,
        stream: TcpStream,
        session: Session,
    ) -> Result<(), h2::Error> {
        let body = u32::try_from(MAX_BODY_BYTES).unwrap_or(u32::MAX);
        let mut connection = h2::server::Builder::new()
            .initial_window_size(body)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake::<_, Bytes>(stream)
            .await?;
        let Some(pings) = connection.ping_pong() else {
            return Ok(());
        };
        let silence = watch_silence(pings, self.timeouts.ping_timeout * PING_TIMEOUT_FACTOR);
        tokio::pin!(silence);
        let link = Arc::new(AcceptedConnection {
            server: self,
            session,
            window: Mutex::default(),
        });
        // Aborted when the connection ends, because nobody waits for the replies any more.
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(accepted) => {
                        let (req, respond) = accepted?;
                        requests.spawn(link.clone().handle_request(req.into_body(), respond));
                    }
                    None => return Ok(()),
                },
                Some(_) = requests.join_next() => {}
                () = &mut silence => return Ok(()),
            }
        }
    }
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Returns when the other side has not answered a ping within `timeout`.
async fn watch_silence(mut pings: h2::PingPong, timeout: std::time::Duration) {
    loop {
        match tokio::time::timeout(timeout, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => tokio::time::sleep(timeout).await,
            _ => return,
        }
    }
}

/// A connection whose handshake succeeded.
struct AcceptedConnection {
    server: Arc<PeerServer>,
    session: Session,
    window: Mutex<ReplayWindow>,
}

impl AcceptedConnection {
    async fn handle_request(self: Arc<Self>, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let counters = &self.server.counters;
        let read = read_body(body);
        let frame = match tokio::time::timeout(self.server.timeouts.read, read).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(reason)) => {
                counters.count(reason);
                return respond.send_reset(Reason::CANCEL);
            }
            Err(_) => return respond.send_reset(Reason::CANCEL),
        };
        let (sequence, req) = match self.verify(&frame) {
            Ok(verified) => verified,
            Err(reason) => {
                counters.count(reason);
                return respond.send_reset(Reason::REFUSED_STREAM);
            }
        };
        let reply = tokio::select! {
            reply = self.server.handler.handle(&self.session.peer.host, req) => reply,
            // The requester dropped its request.
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        let payload = encode(&reply).or_else(|cause| encode(&PeerReply::Failed(cause)));
        let Ok(payload) = payload else {
            return respond.send_reset(Reason::INTERNAL_ERROR);
        };
        let frame = sign_reply(&self.session.reply_key, sequence, &payload);
        let sent = respond
            .send_response(http::Response::new(()), false)
            .and_then(|mut body| body.send_data(frame.into(), true));
        if let Err(e) = sent {
            log::debug!("failed to send a reply to a peer: {e}");
        }
    }

    /// Authenticates and decodes a request, and replaces the sender that it names by the authenticated one.
    fn verify(&self, frame: &[u8]) -> Result<(u64, PeerRequest), DropReason> {
        let highest = lock(&self.window).highest();
        let (sequence, payload) = verify_request(&self.session.request_key, highest, frame)
            .map_err(|_| DropReason::Forged)?;
        if !lock(&self.window).insert(sequence) {
            return Err(DropReason::Replay);
        }
        let peer = &self.session.peer;
        if self
            .server
            .address_book
            .is_retired(&peer.host, peer.incarnation)
        {
            return Err(DropReason::Retired);
        }
        let mut req: PeerRequest = decode(payload).map_err(|_| DropReason::Garbled)?;
        req.set_sender(&peer.host, peer.incarnation);
        Ok((sequence, req))
    }
}

/// Reads a body of at most `MAX_BODY_BYTES`.
pub(super) async fn read_body(mut body: RecvStream) -> Result<Bytes, DropReason> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| DropReason::Forged)?;
        if bytes.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(DropReason::Oversized);
        }
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}
