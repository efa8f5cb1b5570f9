//! Links between hosts, over real connections on loopback.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use hibiscusspread::connection::peer::{
    DropReason, MAX_MESSAGE_BYTES, PeerClient, PeerCounters, PeerIdentity, PeerSecret, PeerServer,
    PeerTimeouts, ReplayWindow, client_handshake, decode, encode, sign_reply, sign_request,
    verify_reply, verify_request,
};
use hibiscusspread::emulator::http::any_loopback;
use hibiscusspread::prelude::*;
use hibiscusspread::process::membership::AddressBook;
use hibiscusspread::process::message::{
    CrashReport, Heartbeat, HostDown, Leaving, Member, PeerError, PeerReply, PeerRequest,
    PlaceReply, PlaceRequest,
};
use hibiscusspread::process::peer::{PeerHandler, PeerLink};

use crate::fixtures;
use crate::fixtures::assert_matches;
use crate::pool_support::place_request;

const SECRET: &str = "tide-table";

/// Replies to every request; to a place request only after the wait that it allows.
#[derive(Default)]
struct EchoHandler {
    handled: AtomicU64,
    abandoned: Arc<AtomicU64>,
    last_from: std::sync::Mutex<Option<HostId>>,
    last_entry: std::sync::Mutex<Option<(HostId, Incarnation)>>,
}

struct AbandonedCounter(Arc<AtomicU64>, bool);

impl Drop for AbandonedCounter {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        self.handled.fetch_add(1, Ordering::SeqCst);
        *self.last_from.lock().unwrap() = Some(from.clone());
        match req {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            PeerRequest::Place(place) => {
                let entry = (place.host, place.incarnation);
                *self.last_entry.lock().unwrap() = Some(entry);
                let mut guard = AbandonedCounter(self.abandoned.clone(), false);
                tokio::time::sleep(place.max_wait).await;
                guard.1 = true;
                PeerReply::Place(PlaceReply::NotOwner)
            }
            _ => PeerReply::Ack,
        }
    }
}

struct TestServer {
    member: Member,
    echo: Arc<EchoHandler>,
    counters: Arc<PeerCounters>,
    address_book: Arc<AddressBook>,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

fn identity(host: &str, incarnation: Incarnation) -> PeerIdentity {
    PeerIdentity {
        host: host.into(),
        data_centre: "a".into(),
        incarnation,
    }
}

fn member(host: &str, address: SocketAddr, incarnation: Incarnation) -> Member {
    Member {
        address,
        incarnation,
        ..fixtures::member(host, "a")
    }
}

async fn serve(host: &str) -> TestServer {
    let listener = TcpListener::bind(any_loopback()).await.unwrap();
    let member = member(host, listener.local_addr().unwrap(), 1);
    let echo = Arc::new(EchoHandler::default());
    let address_book = Arc::new(AddressBook::default());
    let server = PeerServer::new(
        identity(host, 1),
        PeerSecret::new(SECRET),
        address_book.clone(),
        echo.clone(),
    );
    let counters = server.counters();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(Arc::new(server).serve(listener, stopped));
    TestServer {
        member,
        echo,
        counters,
        address_book,
        task,
        _stop: stop,
    }
}

fn client(target: &Member, secret: &str) -> PeerClient {
    let timeouts = PeerTimeouts {
        ping_interval: Duration::from_millis(100),
        ping_timeout: Duration::from_millis(200),
        ..PeerTimeouts::default()
    };
    let address_book = Arc::new(AddressBook::default());
    address_book.set(target.clone());
    PeerClient::with_timeouts(
        identity("asker", 7),
        PeerSecret::new(secret),
        address_book,
        timeouts,
    )
}

fn heartbeat(target: &Member) -> PeerRequest {
    PeerRequest::Heartbeat(Heartbeat {
        version: 3,
        suspected: ["x".into()].into_iter().collect(),
        ..fixtures::heartbeat(target.clone())
    })
}

fn place_with_wait(wait: Duration) -> PeerRequest {
    PeerRequest::Place(PlaceRequest {
        host: "asker".into(),
        pieces: (0..8).collect(),
        max_wait: wait,
        avoid: ["u".into()].into_iter().collect(),
        ..place_request(1, "c")
    })
}

fn small_request() -> PeerRequest {
    PeerRequest::Leaving(Leaving {
        host: "asker".into(),
        incarnation: 7,
    })
}

/// Sends a place request in its own task.
fn spawn_place(client: &PeerClient, wait: Duration) -> JoinHandle<Result<PeerReply, PeerError>> {
    let client = client.clone();
    tokio::spawn(async move { client.ask(&"h".into(), place_with_wait(wait)).await })
}

impl TestServer {
    async fn handled(&self, count: u64) {
        let handled = || self.echo.handled.load(Ordering::SeqCst) == count;
        eventually("request handled", handled).await;
    }
}

async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "not in 10 s: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a message that changes in transit, and a handler that doesn't learn the sender.
#[tokio::test]
async fn handler_learns_the_sender() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let reply = client.ask(&"h".into(), heartbeat(&served.member)).await;
    let Ok(PeerReply::Heartbeat(found)) = reply else {
        panic!("no heartbeat: {reply:?}");
    };
    assert_eq!(found.from, served.member);
    assert_eq!(found.suspected.len(), 1);
    let from = served.echo.last_from.lock().unwrap().clone();
    assert_eq!(from.as_deref(), Some("asker"));
}

/// Guards against a place request in the name of another host: the end of the real sender would not free the upstreams
/// that it holds.
#[tokio::test]
async fn place_request_names_its_authenticated_sender() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let PeerRequest::Place(asked) = place_with_wait(Duration::ZERO) else {
        unreachable!("a place request was made")
    };
    let spoofed = PeerRequest::Place(PlaceRequest {
        host: "someone".into(),
        incarnation: 8,
        ..asked
    });
    assert!(client.ask(&"h".into(), spoofed).await.is_ok());
    let entry = served.echo.last_entry.lock().unwrap().clone();
    assert_eq!(entry, Some(("asker".into(), 7)));
}

/// Guards against a place request that waits in a queue and blocks all other requests to the same host.
#[tokio::test]
async fn slow_request_does_not_block_others() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let slow = spawn_place(&client, Duration::from_secs(1));
    served.handled(1).await;
    let asks = (0..200).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.ask(&"h".into(), small_request()).await })
    });
    for ask in asks.collect::<Vec<_>>() {
        assert!(matches!(ask.await.unwrap(), Ok(PeerReply::Ack)));
    }
    assert!(!slow.is_finished(), "the slow request ended early");
    assert_matches!(slow.await.unwrap() => Ok(PeerReply::Place(PlaceReply::NotOwner)));
}

/// Guards against work for a request whose sender no longer waits for the reply.
#[tokio::test]
async fn dropped_request_resets_its_stream() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let ask = spawn_place(&client, Duration::from_secs(20));
    served.handled(1).await;
    ask.abort();
    eventually("handler dropped", || {
        served.echo.abandoned.load(Ordering::SeqCst) == 1
    })
    .await;
    assert_matches!(client.ask(&"h".into(), small_request()).await => Ok(PeerReply::Ack));
}

/// Guards against errors that report a running process as gone, or a request that may have run as not sent.
#[tokio::test]
async fn errors_distinguish_refused_not_sent_and_unanswered() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let unknown = client.ask(&"other".into(), small_request()).await;
    assert_eq!(unknown.unwrap_err(), PeerError::UnknownHost("other".into()));
    let ask = spawn_place(&client, Duration::from_secs(20));
    served.handled(1).await;
    served.task.abort();
    assert_matches!(ask.await.unwrap() => Err(PeerError::Unanswered(_)));
    let mut refused = client.ask(&"h".into(), small_request()).await;
    for _ in 0..100 {
        if matches!(refused, Err(PeerError::ConnectionRefused)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        refused = client.ask(&"h".into(), small_request()).await;
    }
    assert_eq!(refused.unwrap_err(), PeerError::ConnectionRefused);
    assert_matches!(client.ask(&"h".into(), small_request()).await => Err(PeerError::NotSent(_)));
}

/// Guards against reconnecting without a wait to a host that closes every connection.
#[tokio::test]
async fn reconnects_with_backoff() {
    let listener = TcpListener::bind(any_loopback()).await.unwrap();
    let target = member("h", listener.local_addr().unwrap(), 1);
    let accepted = Arc::new(AtomicU64::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            drop(stream);
        }
    });
    let client = client(&target, SECRET);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_matches!(client.ask(&"h".into(), small_request()).await => Err(PeerError::NotSent(_)));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Waits of at least 50, 100, 200, 400 and 500 ms fit at most five connections into a second.
    let accepted = accepted.load(Ordering::SeqCst);
    assert!((2..=5).contains(&accepted), "{accepted} connections");
}

/// Guards against requests from peers without the secret, and hosts that impersonate another one.
#[tokio::test]
async fn unauthenticated_peers_have_no_effect() {
    let served = serve("h").await;
    let found = client(&served.member, "other")
        .ask(&"h".into(), small_request())
        .await;
    assert_matches!(found => Err(PeerError::NotSent(_)));
    // A client that skips verifying the server's proof still can't prove itself.
    let mut stream = TcpStream::connect(served.member.address).await.unwrap();
    let forged = client_handshake(
        &mut stream,
        &identity("asker", 7),
        &PeerSecret::new("other"),
    )
    .await;
    assert!(forged.is_err());
    drop(stream);
    let all_rejected = || served.counters.get(DropReason::Stranger) >= 2;
    eventually("failed handshakes counted", all_rejected).await;
    let spoofed = member("someone", served.member.address, 1);
    let impostor = client(&spoofed, SECRET);
    assert_matches!(impostor.ask(&"someone".into(), small_request()).await => Err(PeerError::NotSent(_)));
    assert_eq!(impostor.dropped(DropReason::Stranger), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 0);
}

/// Guards against bytes before the handshake that crash or block the listener.
#[tokio::test]
async fn garbage_before_the_handshake_is_dropped() {
    use tokio::io::AsyncWriteExt;
    let served = serve("h").await;
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0],
        &[255; 70],
        &[3, 0, 1, 2, 3],
    ] {
        let mut stream = TcpStream::connect(served.member.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let _ = stream.shutdown().await;
    }
    let all_rejected = || served.counters.get(DropReason::Stranger) == 4;
    eventually("failed handshakes counted", all_rejected).await;
    let found = client(&served.member, SECRET)
        .ask(&"h".into(), small_request())
        .await;
    assert_matches!(found => Ok(PeerReply::Ack));
}

/// Guards against frames that are replayed, truncated, changed, oversized or malformed, but are handled.
#[tokio::test]
async fn bad_frames_are_counted_and_have_no_effect() {
    let served = serve("h").await;
    let mut stream = TcpStream::connect(served.member.address).await.unwrap();
    let session = client_handshake(&mut stream, &identity("asker", 7), &PeerSecret::new(SECRET))
        .await
        .unwrap();
    let (send, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let exchange = async |frame: Vec<u8>| {
        let mut send = send.clone().ready().await.unwrap();
        let req = http::Request::post("http://p/").body(()).unwrap();
        let (response, mut body) = send.send_request(req, false).unwrap();
        let _ = body.send_data(Bytes::from(frame), true);
        response.await.is_ok()
    };
    let key = session.request_key;
    let payload = encode(&small_request()).unwrap();
    let good = sign_request(&key, 1, &payload);
    assert!(exchange(good.clone()).await);
    let mut changed = sign_request(&key, 2, &payload);
    *changed.last_mut().unwrap() ^= 1;
    let mut renumbered = good.clone();
    renumbered[0] = 3;
    let longer = [&payload[..], &[0]].concat();
    let huge = vec![0; MAX_MESSAGE_BYTES + 1];
    for (what, frame) in [
        ("replay", good.clone()),
        ("truncated MAC", good[..10].to_vec()),
        ("truncated payload", good[..good.len() - 1].to_vec()),
        ("changed frame", changed),
        ("renumbered frame", renumbered),
        ("foreign key", sign_request(&[0; 32], 4, &payload)),
        ("garbled payload", sign_request(&key, 5, &[250; 40])),
        ("trailing byte", sign_request(&key, 6, &longer)),
        ("oversized frame", sign_request(&key, 7, &huge)),
    ] {
        assert!(!exchange(frame).await, "{what} answered");
    }
    let counters = &served.counters;
    assert_eq!(counters.get(DropReason::Replay), 1);
    assert_eq!(counters.get(DropReason::Forged), 5);
    assert_eq!(counters.get(DropReason::Garbled), 2);
    assert_eq!(counters.get(DropReason::Oversized), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 1);
    assert!(
        exchange(sign_request(&key, 8, &payload)).await,
        "link unusable after bad frames"
    );
}

/// Guards against handling late messages of a process that is known to have ended.
#[tokio::test]
async fn requests_of_a_retired_process_are_rejected() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    assert!(client.ask(&"h".into(), small_request()).await.is_ok());
    served.address_book.retire(&"asker".into(), 7);
    assert_matches!(client.ask(&"h".into(), small_request()).await => Err(PeerError::Rejected(_)));
    assert_eq!(served.counters.get(DropReason::Retired), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 1);
}

/// Guards against messages larger than the limit, sent or received.
#[tokio::test]
async fn large_messages_pass_up_to_the_limit() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let sized = |bytes: usize| {
        PeerRequest::CrashReport(CrashReport {
            fingerprint: [0; 32],
            request: 1,
            attempt: 1,
            upstream: "u".repeat(bytes).into(),
        })
    };
    let found = client
        .ask(&"h".into(), sized(MAX_MESSAGE_BYTES - 100))
        .await;
    assert_matches!(found => Ok(PeerReply::Ack));
    let found = client.ask(&"h".into(), sized(MAX_MESSAGE_BYTES)).await;
    assert_matches!(found => Err(PeerError::NotSent(_)));
}

/// Guards against a message within the limit that can't be decoded because its numbers are larger in memory than on the
/// wire, and a length field that makes the decoder allocate without bound.
#[test]
fn decoder_accepts_all_encoded_messages() {
    let numbers: Vec<u128> = vec![1; MAX_MESSAGE_BYTES - 8];
    let bytes = encode(&numbers).expect("message fits");
    assert_eq!(decode::<Vec<u128>>(&bytes).expect("message reads"), numbers);
    let claims_4_gb = [253, 0, 0, 0, 0, 1, 0, 0, 0];
    assert!(decode::<String>(&claims_4_gb).is_err());
}

/// Starts a TCP proxy; when the sender changes, its open connections stay open but carry no more data.
async fn tcp_proxy(to: SocketAddr) -> (SocketAddr, watch::Sender<u64>, Arc<AtomicU64>) {
    let listener = TcpListener::bind(any_loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (silence, silenced) = watch::channel(0);
    let accepted = Arc::new(AtomicU64::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    _ = silenced.changed() => {
                        tokio::time::sleep(Duration::from_mins(1)).await;
                        drop((near, far));
                    }
                }
            });
        }
    });
    (address, silence, accepted)
}

/// Guards against keeping a connection that no longer carries data although new ones would.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let served = serve("h").await;
    let (address, silence, accepted) = tcp_proxy(served.member.address).await;
    let client = client(&member("h", address, 1), SECRET);
    assert!(client.ask(&"h".into(), small_request()).await.is_ok());
    let waiting = spawn_place(&client, Duration::from_secs(30));
    served.handled(2).await;
    silence.send_modify(|count| *count += 1);
    let start = Instant::now();
    assert_matches!(waiting.await.unwrap() => Err(PeerError::Unanswered(_)));
    // A ping interval and a ping timeout, with a margin for a busy machine; the request alone would time out after 32
    // s.
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    assert_matches!(client.ask(&"h".into(), small_request()).await => Ok(PeerReply::Ack));
    assert_eq!(accepted.load(Ordering::SeqCst), 2);
}

proptest! {
    /// Guards against bytes that crash the decoder or make it allocate without bound.
    #[test]
    fn decoder_survives_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        prop_assert!(verify_request(&[1; 32], 1, &bytes).is_err());
        prop_assert!(verify_reply(&[1; 32], 1, &bytes).is_err());
    }

    /// Guards against a message that another host decodes differently.
    #[test]
    fn messages_survive_the_encoding(host in "[a-z]{0,20}", incarnation: u64, proven: bool) {
        let down = HostDown { host: host.as_str().into(), incarnation, proven };
        let bytes = encode(&PeerRequest::HostDown(down.clone())).unwrap();
        let Ok(PeerRequest::HostDown(found)) = decode(&bytes) else {
            return Err(TestCaseError::fail("another message"));
        };
        prop_assert_eq!(found, down);
    }

    /// Guards against a sequence number that is accepted twice, and a new one close to the highest that is rejected.
    #[test]
    fn replay_window_accepts_each_number_once(numbers in proptest::collection::vec(1_u64..3000, 1..400)) {
        let mut window = ReplayWindow::default();
        let (mut received, mut highest) = (HashSet::new(), 0);
        for number in numbers {
            let new = received.insert(number);
            let recent = number + 2048 >= highest.max(number);
            prop_assert_eq!(window.insert(number), new && recent);
            highest = highest.max(number);
        }
    }

    /// Guards against a request that is rejected because its sequence number was expanded wrongly, and a request or
    /// reply that verifies under another number, even one with the same bytes on the wire.
    #[test]
    fn frames_verify_for_one_sequence_number(near: u32, distance in -2048_i64..100_000, other in 1..u64::MAX) {
        let key = [3; 32];
        let sequence = (i64::from(near) + distance).max(1).cast_unsigned();
        let frame = sign_request(&key, sequence, b"request");
        prop_assert_eq!(verify_request(&key, near.into(), &frame), Ok((sequence, &b"request"[..])));
        prop_assert!(verify_request(&key, u64::from(near) + (1 << 24), &frame).is_err());
        let reply = sign_reply(&key, sequence, b"reply");
        prop_assert_eq!(verify_reply(&key, sequence, &reply), Ok(&b"reply"[..]));
        prop_assert!(verify_reply(&key, sequence.wrapping_add(other), &reply).is_err());
        prop_assert!(verify_request(&key, near.into(), &reply).is_err());
    }
}
