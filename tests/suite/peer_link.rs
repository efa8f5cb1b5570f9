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
    Dropped, MAX_FRAME_BYTES, PeerClient, PeerCounters, PeerIdentity, PeerSecret, PeerServer,
    PeerTimeouts, ReplayWindow, connect, decode, encode, seal, seal_answer, unseal, unseal_answer,
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

/// Answers everything, slowly where the question asks for it.
#[derive(Default)]
struct Echo {
    handled: AtomicU64,
    abandoned: Arc<AtomicU64>,
    last_from: std::sync::Mutex<Option<HostId>>,
    last_entry: std::sync::Mutex<Option<(HostId, Incarnation)>>,
}

struct Abandoned(Arc<AtomicU64>, bool);

impl Drop for Abandoned {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl PeerHandler for Echo {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        self.handled.fetch_add(1, Ordering::SeqCst);
        *self.last_from.lock().unwrap() = Some(from.clone());
        match req {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            PeerRequest::Place(place) => {
                let entry = (place.host, place.incarnation);
                *self.last_entry.lock().unwrap() = Some(entry);
                let mut guard = Abandoned(self.abandoned.clone(), false);
                tokio::time::sleep(place.max_wait).await;
                guard.1 = true;
                PeerReply::Place(PlaceReply::NotOwner)
            }
            _ => PeerReply::Ack,
        }
    }
}

struct Served {
    member: Member,
    echo: Arc<Echo>,
    counters: Arc<PeerCounters>,
    book: Arc<AddressBook>,
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

async fn serve(host: &str) -> Served {
    let listener = TcpListener::bind(any_loopback()).await.unwrap();
    let member = member(host, listener.local_addr().unwrap(), 1);
    let echo = Arc::new(Echo::default());
    let book = Arc::new(AddressBook::default());
    let server = PeerServer::new(
        identity(host, 1),
        PeerSecret::new(SECRET),
        book.clone(),
        echo.clone(),
    );
    let counters = server.counters();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(Arc::new(server).serve(listener, stopped));
    Served {
        member,
        echo,
        counters,
        book,
        task,
        _stop: stop,
    }
}

fn client(target: &Member, secret: &str) -> PeerClient {
    let timeouts = PeerTimeouts {
        ping: Duration::from_millis(100),
        silence: Duration::from_millis(200),
        ..PeerTimeouts::default()
    };
    let book = Arc::new(AddressBook::default());
    book.set(target.clone());
    PeerClient::with_timeouts(
        identity("asker", 7),
        PeerSecret::new(secret),
        book,
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

fn place(wait: Duration) -> PeerRequest {
    PeerRequest::Place(PlaceRequest {
        host: "asker".into(),
        pieces: (0..8).collect(),
        max_wait: wait,
        avoid: ["u".into()].into_iter().collect(),
        ..place_request(1, "c")
    })
}

fn small() -> PeerRequest {
    PeerRequest::Leaving(Leaving {
        host: "asker".into(),
        incarnation: 7,
    })
}

/// Asks in a task of its own.
fn ask_to_place(client: &PeerClient, wait: Duration) -> JoinHandle<Result<PeerReply, PeerError>> {
    let client = client.clone();
    tokio::spawn(async move { client.ask(&"h".into(), place(wait)).await })
}

impl Served {
    async fn handled(&self, count: u64) {
        let handled = || self.echo.handled.load(Ordering::SeqCst) == count;
        eventually("question handled", handled).await;
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

/// Guards against a message that changes on the way and a handler that can't tell who asks.
#[tokio::test]
async fn answers_and_names_the_asker() {
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

/// Guards against upstreams held for another entry host than the one that asks: its death would not free them.
#[tokio::test]
async fn place_request_is_of_its_sender() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let PeerRequest::Place(asked) = place(Duration::ZERO) else {
        unreachable!("a place request was made")
    };
    let posing = PeerRequest::Place(PlaceRequest {
        host: "someone".into(),
        incarnation: 8,
        ..asked
    });
    assert!(client.ask(&"h".into(), posing).await.is_ok());
    let entry = served.echo.last_entry.lock().unwrap().clone();
    assert_eq!(entry, Some(("asker".into(), 7)));
}

/// Guards against a place question that waits in a queue and holds up all other questions to the
/// same host.
#[tokio::test]
async fn slow_question_does_not_block_others() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let slow = ask_to_place(&client, Duration::from_secs(1));
    served.handled(1).await;
    let asks = (0..200).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.ask(&"h".into(), small()).await })
    });
    for ask in asks.collect::<Vec<_>>() {
        assert!(matches!(ask.await.unwrap(), Ok(PeerReply::Ack)));
    }
    assert!(!slow.is_finished(), "the slow question ended early");
    assert_matches!(slow.await.unwrap() => Ok(PeerReply::Place(PlaceReply::NotOwner)));
}

/// Guards against work for a question that nobody waits for any more.
#[tokio::test]
async fn dropped_question_resets_its_stream() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let ask = ask_to_place(&client, Duration::from_secs(20));
    served.handled(1).await;
    ask.abort();
    eventually("handler dropped", || {
        served.echo.abandoned.load(Ordering::SeqCst) == 1
    })
    .await;
    assert_matches!(client.ask(&"h".into(), small()).await => Ok(PeerReply::Ack));
}

/// Guards against taking a process for gone that is not, and a question for unhandled that may have been.
#[tokio::test]
async fn errors_tell_refused_from_not_sent_from_unanswered() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    let unknown = client.ask(&"other".into(), small()).await;
    assert_eq!(unknown.unwrap_err(), PeerError::UnknownHost("other".into()));
    let ask = ask_to_place(&client, Duration::from_secs(20));
    served.handled(1).await;
    served.task.abort();
    assert_matches!(ask.await.unwrap() => Err(PeerError::Unanswered(_)));
    let mut refused = client.ask(&"h".into(), small()).await;
    for _ in 0..100 {
        if matches!(refused, Err(PeerError::ConnectionRefused)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        refused = client.ask(&"h".into(), small()).await;
    }
    assert_eq!(refused.unwrap_err(), PeerError::ConnectionRefused);
    assert_matches!(client.ask(&"h".into(), small()).await => Err(PeerError::NotSent(_)));
}

/// Guards against connecting without pause to a host that closes every connection.
#[tokio::test]
async fn connects_again_with_backoff() {
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
        assert_matches!(client.ask(&"h".into(), small()).await => Err(PeerError::NotSent(_)));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Waits of at least 50, 100, 200, 400 and 500 ms fit at most five connections into a second.
    let accepted = accepted.load(Ordering::SeqCst);
    assert!((2..=5).contains(&accepted), "{accepted} connections");
}

/// Guards against strangers that are heard, and hosts that pose as another one.
#[tokio::test]
async fn strangers_change_nothing() {
    let served = serve("h").await;
    let found = client(&served.member, "other")
        .ask(&"h".into(), small())
        .await;
    assert_matches!(found => Err(PeerError::NotSent(_)));
    // A side that skips the check of the server's proof still can't prove itself.
    let mut stream = TcpStream::connect(served.member.address).await.unwrap();
    let forged = connect(
        &mut stream,
        &identity("asker", 7),
        &PeerSecret::new("other"),
    )
    .await;
    assert!(forged.is_err());
    drop(stream);
    let strangers = || served.counters.get(Dropped::Stranger) >= 2;
    eventually("strangers counted", strangers).await;
    let posing = member("someone", served.member.address, 1);
    let as_someone = client(&posing, SECRET);
    assert_matches!(as_someone.ask(&"someone".into(), small()).await => Err(PeerError::NotSent(_)));
    assert_eq!(as_someone.dropped(Dropped::Stranger), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 0);
}

/// Guards against bytes before the proof that crash or block the listener.
#[tokio::test]
async fn garbage_before_the_proof_is_dropped() {
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
    let strangers = || served.counters.get(Dropped::Stranger) == 4;
    eventually("strangers counted", strangers).await;
    let found = client(&served.member, SECRET)
        .ask(&"h".into(), small())
        .await;
    assert_matches!(found => Ok(PeerReply::Ack));
}

/// Guards against frames that are replayed, cut, changed, too large or senseless and yet have an effect.
#[tokio::test]
async fn bad_frames_are_counted_and_change_nothing() {
    let served = serve("h").await;
    let mut stream = TcpStream::connect(served.member.address).await.unwrap();
    let session = connect(&mut stream, &identity("asker", 7), &PeerSecret::new(SECRET))
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
    let key = session.question_key;
    let payload = encode(&small()).unwrap();
    let good = seal(&key, 1, &payload);
    assert!(exchange(good.clone()).await);
    let mut changed = seal(&key, 2, &payload);
    *changed.last_mut().unwrap() ^= 1;
    let mut renumbered = good.clone();
    renumbered[0] = 3;
    let longer = [&payload[..], &[0]].concat();
    let huge = vec![0; MAX_FRAME_BYTES + 1];
    for (what, frame) in [
        ("replay", good.clone()),
        ("truncated seal", good[..10].to_vec()),
        ("truncated payload", good[..good.len() - 1].to_vec()),
        ("changed frame", changed),
        ("renumbered frame", renumbered),
        ("foreign key", seal(&[0; 32], 4, &payload)),
        ("garbled payload", seal(&key, 5, &[250; 40])),
        ("trailing byte", seal(&key, 6, &longer)),
        ("oversized frame", seal(&key, 7, &huge)),
    ] {
        assert!(!exchange(frame).await, "{what} answered");
    }
    let counters = &served.counters;
    assert_eq!(counters.get(Dropped::Replay), 1);
    assert_eq!(counters.get(Dropped::Forged), 5);
    assert_eq!(counters.get(Dropped::Garbled), 2);
    assert_eq!(counters.get(Dropped::Oversized), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 1);
    assert!(
        exchange(seal(&key, 8, &payload)).await,
        "link unusable after bad frames"
    );
}

/// Guards against a process that is known to be gone and whose late messages count.
#[tokio::test]
async fn retired_process_is_not_heard() {
    let served = serve("h").await;
    let client = client(&served.member, SECRET);
    assert!(client.ask(&"h".into(), small()).await.is_ok());
    served.book.retire(&"asker".into(), 7);
    assert_matches!(client.ask(&"h".into(), small()).await => Err(PeerError::Rejected(_)));
    assert_eq!(served.counters.get(Dropped::Retired), 1);
    assert_eq!(served.echo.handled.load(Ordering::SeqCst), 1);
}

/// Guards against messages larger than the bound, sent or received.
#[tokio::test]
async fn large_messages_pass_up_to_the_bound() {
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
    let found = client.ask(&"h".into(), sized(MAX_FRAME_BYTES - 100)).await;
    assert_matches!(found => Ok(PeerReply::Ack));
    let found = client.ask(&"h".into(), sized(MAX_FRAME_BYTES)).await;
    assert_matches!(found => Err(PeerError::NotSent(_)));
}

/// Guards against a message within the bound that can't be decoded, because its numbers are larger in memory
/// than on the wire, and a length field that makes the decoder allocate without bound.
#[test]
fn decoder_takes_all_that_the_encoder_makes() {
    let numbers: Vec<u128> = vec![1; MAX_FRAME_BYTES - 8];
    let bytes = encode(&numbers).expect("message fits");
    assert_eq!(decode::<Vec<u128>>(&bytes).expect("message reads"), numbers);
    let claims_4_gb = [253, 0, 0, 0, 0, 1, 0, 0, 0];
    assert!(decode::<String>(&claims_4_gb).is_err());
}

/// Forwards connections until it is told to let the open ones go silent.
async fn forwarder(to: SocketAddr) -> (SocketAddr, watch::Sender<u64>, Arc<AtomicU64>) {
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
                        // Both connections stay open and carry nothing any more.
                        tokio::time::sleep(Duration::from_mins(1)).await;
                        drop((near, far));
                    }
                }
            });
        }
    });
    (address, silence, accepted)
}

/// Guards against a connection that has lost its path for good while new ones work.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let served = serve("h").await;
    let (address, silence, accepted) = forwarder(served.member.address).await;
    let client = client(&member("h", address, 1), SECRET);
    assert!(client.ask(&"h".into(), small()).await.is_ok());
    let waiting = ask_to_place(&client, Duration::from_secs(30));
    served.handled(2).await;
    silence.send_modify(|count| *count += 1);
    let start = Instant::now();
    assert_matches!(waiting.await.unwrap() => Err(PeerError::Unanswered(_)));
    // One ping interval and one silence, with room for a busy machine; the question itself had 32 s.
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    assert_matches!(client.ask(&"h".into(), small()).await => Ok(PeerReply::Ack));
    assert_eq!(accepted.load(Ordering::SeqCst), 2);
}

proptest! {
    /// Guards against bytes that crash the decoder or make it allocate without bound.
    #[test]
    fn decoder_survives_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        prop_assert!(unseal(&[1; 32], 1, &bytes).is_err());
        prop_assert!(unseal_answer(&[1; 32], 1, &bytes).is_err());
    }

    /// Guards against a message that another host reads differently.
    #[test]
    fn messages_survive_the_encoding(host in "[a-z]{0,20}", incarnation: u64, proven: bool) {
        let down = HostDown { host: host.as_str().into(), incarnation, proven };
        let bytes = encode(&PeerRequest::HostDown(down.clone())).unwrap();
        let Ok(PeerRequest::HostDown(found)) = decode(&bytes) else {
            return Err(TestCaseError::fail("another message"));
        };
        prop_assert_eq!(found, down);
    }

    /// Guards against a number that is taken twice, and a new one that is refused although it is close to the highest.
    #[test]
    fn replay_window_takes_each_number_once(numbers in proptest::collection::vec(1_u64..3000, 1..400)) {
        let mut window = ReplayWindow::default();
        let (mut taken, mut highest) = (HashSet::new(), 0);
        for number in numbers {
            let new = taken.insert(number);
            let recent = number + 2048 >= highest.max(number);
            prop_assert_eq!(window.take(number), new && recent);
            highest = highest.max(number);
        }
    }

    /// Guards against a question that is refused because its sequence number was completed wrongly, and an answer
    /// or a question that counts under another number, even one with the same bytes on the wire.
    #[test]
    fn seals_hold_for_one_number(near: u32, distance in -2048_i64..100_000, other in 1..u64::MAX) {
        let key = [3; 32];
        let sequence = (i64::from(near) + distance).max(1).cast_unsigned();
        let frame = seal(&key, sequence, b"question");
        prop_assert_eq!(unseal(&key, near.into(), &frame), Ok((sequence, &b"question"[..])));
        prop_assert!(unseal(&key, u64::from(near) + (1 << 24), &frame).is_err());
        let answer = seal_answer(&key, sequence, b"answer");
        prop_assert_eq!(unseal_answer(&key, sequence, &answer), Ok(&b"answer"[..]));
        prop_assert!(unseal_answer(&key, sequence.wrapping_add(other), &answer).is_err());
        prop_assert!(unseal(&key, near.into(), &answer).is_err());
    }
}
