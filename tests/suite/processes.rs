//! Tests of hosts that run as separate processes: kills, freezes and graceful stops.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};

use hibiscusspread::connection::http_client::{AnswerBody, HttpClient};
use hibiscusspread::connection::service::HttpUpstreamClients;
use hibiscusspread::connection::store::{HttpStore, StoreClientSettings};
use hibiscusspread::prelude::*;
use hibiscusspread::version::document::compile;
use hibiscusspread::version::repository::Repository;

/// The timeout of waits for a condition; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The interval at which a condition of another process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The first port that processes get.
const FIRST_PORT: u16 = 20_000;

/// The number of ports for processes; the range ends below 32,768, where the system's ephemeral ports begin.
const PORT_COUNT: u32 = 12_000;

/// The hosts of the emulated deployment that are started, with their data centres.
const HOSTS: [(&str, &str); 3] = [("host-a1", "a"), ("host-a2", "a"), ("host-b1", "b")];

struct HostProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl HostProcess {
    fn signal(&self, signal: &str) {
        assert!(self::signal(&self.child, signal));
    }
}

/// A fleet of processes; dropping it ends them.
struct Processes {
    emulator: Child,
    hosts: Vec<HostProcess>,
    store: SocketAddr,
    folder: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.child.kill();
            let _ = host.child.wait();
        }
        let _ = self.emulator.kill();
        let _ = self.emulator.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address for a process that is about to start. Its port is below the system's ephemeral ports, because a
/// connection or a listener without a port could take one of these before the process does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Test runs at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(64);
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(offset).expect("the range is small");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a command for the program, without arguments.
pub fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_hibiscusspread"))
}

/// Returns whether the host with this operators' port is ready.
pub async fn is_ready(operators: SocketAddr) -> bool {
    let req = Request::get(format!("http://{operators}/readyz"));
    let req = req.body(Full::default()).expect("valid");
    let answer = HttpClient::default()
        .send(req, Duration::from_secs(1))
        .await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Sends a signal to a process; returns `false` if it has just ended.
pub fn signal(child: &Child, signal: &str) -> bool {
    let pid = child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    status.expect("kill runs").success()
}

impl Processes {
    async fn start() -> Self {
        let (store, list) = (free_address(), free_address());
        let mut emulator = binary()
            .args(["emulate", "--shape", "tillicum"])
            .args(["--store", &store.to_string()])
            .args(["--host-list", &list.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .expect("emulator starts");
        let lines = BufReader::new(emulator.stdout.take().expect("output is piped")).lines();
        let ready = lines.map_while(Result::ok).any(|line| line == "ready");
        assert!(ready, "emulator ended early");
        let folder =
            std::env::temp_dir().join(format!("hibiscusspread-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&folder).expect("folder is created");
        let mut processes = Self {
            emulator,
            hosts: Vec::new(),
            store,
            folder,
        };
        for (name, data_centre) in HOSTS {
            processes.start_host(name, data_centre, list);
        }
        for index in 0..HOSTS.len() {
            processes.wait_until_ready(index).await;
        }
        processes
    }

    fn start_host(&mut self, name: &str, data_centre: &str, list: SocketAddr) {
        let (callers, operators) = (free_address(), free_address());
        let mut text =
            format!("[host]\nname = {name}\ndata_centre = {data_centre}\ndrain_delay = 200ms\n");
        // In the first seconds after the start of a fleet no host holds allowance.
        let _ = write!(text, "[requests]\nadmission_wait = 15s\n");
        let addresses = [
            ("callers", callers),
            ("operators", operators),
            ("store", self.store),
            ("host_list", list),
        ];
        for (section, address) in addresses {
            let _ = write!(text, "[{section}]\naddress = {address}\n");
        }
        let _ = write!(
            text,
            "[peer]\naddress = {}\nsecret = test\n",
            free_address()
        );
        let _ = write!(text, "[log]\nlevel = error\n");
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, text).expect("settings are written");
        let child = binary()
            .args(["serve", "--settings"])
            .arg(&file)
            .spawn()
            .expect("host starts");
        self.hosts.push(HostProcess {
            child,
            callers,
            operators,
        });
    }

    async fn wait_until_ready(&self, index: usize) {
        let operators = self.hosts[index].operators;
        wait_for("host ready", || is_ready(operators)).await;
    }

    async fn complete(&self, index: usize, max_tokens: u32) -> Response<AnswerBody> {
        let body = format!(
            r#"{{"model":"forecast","prompt":"Coast tonight","max_tokens":{max_tokens},"stream":true}}"#
        );
        self.post(index, "/v1/completions", body).await
    }

    async fn post(&self, index: usize, path: &str, body: String) -> Response<AnswerBody> {
        let uri = format!("http://{}{path}", self.hosts[index].callers);
        let req = Request::post(uri)
            .header("authorization", "Bearer customer-1-key")
            .header("content-type", "application/json")
            .header(
                "idempotency-key",
                format!("{:032x}", rand::random::<u128>()),
            )
            .body(Full::from(body))
            .expect("request is valid");
        let answer = HttpClient::default().send(req, WAIT_TIMEOUT).await;
        answer.expect("host answers")
    }

    /// Returns the requests running at all engines.
    async fn running_requests(&self) -> u32 {
        let store = HttpStore::new(&self.store.to_string(), StoreClientSettings::default());
        let repository = Repository::new(Arc::new(store), Arc::new(SystemClock));
        let head = repository.read_head(0).await.expect("head is read");
        let texts = repository
            .read_texts(&head.head, &BTreeMap::default())
            .await;
        let compiled = compile(1, &texts.expect("texts are read")).expect("document compiles");
        let upstreams = HttpUpstreamClients::default();
        let mut running = 0;
        for upstream in compiled.upstreams.values() {
            if &*upstream.model == "forecast" {
                let engine = upstreams.engine(&upstream.address.to_string());
                running += engine.load().await.expect("engine answers").running;
            }
        }
        running
    }
}

async fn wait_for<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let reached = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(
        reached.await.is_ok(),
        "not reached in {WAIT_TIMEOUT:?}: {what}"
    );
}

async fn text_of(answer: Response<AnswerBody>) -> String {
    assert!(answer.status().is_success(), "{}", answer.status());
    let body = answer.into_body().collect().await.expect("answer is whole");
    String::from_utf8_lossy(&body.to_bytes()).into_owned()
}

fn tokens_in(text: &str) -> usize {
    text.matches(r#""finish_reason":null"#).count()
}

/// Guards against hosts that work together only within one process, and against a graceful stop that cuts off a stream
/// or does not end the process.
#[tokio::test]
async fn serves_across_processes_and_stops_without_cutting_streams() {
    let mut processes = Processes::start().await;
    for index in 0..HOSTS.len() {
        let text = text_of(processes.complete(index, 5).await).await;
        assert_eq!(tokens_in(&text), 5);
        let booked = processes
            .post(index, "/bookings/studio", "{}".to_owned())
            .await;
        assert_eq!(booked.status(), 201);
    }
    let stream = processes.complete(0, 100).await;
    processes.hosts[0].signal("-TERM");
    let text = text_of(stream).await;
    assert_eq!(tokens_in(&text), 100);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let mut stopped = processes.hosts.remove(0);
    let ended = tokio::task::spawn_blocking(move || stopped.child.wait());
    let status = tokio::time::timeout(WAIT_TIMEOUT, ended)
        .await
        .expect("host ends");
    assert!(status.expect("waited").expect("status").success());
    // The other host of the data centre still serves.
    let text = text_of(processes.complete(0, 5).await).await;
    assert_eq!(tokens_in(&text), 5);
}

/// Guards against engine memory that stays reserved for requests of a killed host.
#[tokio::test]
async fn killed_host_leaves_no_engine_memory_held() {
    let mut processes = Processes::start().await;
    for (index, others) in [(0, 1), (1, 2)] {
        let mut stream = processes.complete(index, 3000).await.into_body();
        stream.frame().await.expect("stream begins").expect("token");
        wait_for("request runs", || async {
            processes.running_requests().await > 0
        })
        .await;
        processes.hosts[index].child.kill().expect("host is killed");
        processes.hosts[index].child.wait().expect("host is gone");
        if others == 1 {
            wait_for("memory free", || async {
                processes.running_requests().await == 0
            })
            .await;
            let text = text_of(processes.complete(others, 5).await).await;
            assert_eq!(tokens_in(&text), 5);
        }
    }
    // With the last host of the data centre gone, hosts elsewhere still serve their callers.
    let text = text_of(processes.complete(2, 5).await).await;
    assert_eq!(tokens_in(&text), 5);
}

/// Guards against a frozen host that keeps the others from serving, and against one that does not serve again after it
/// is resumed.
#[tokio::test]
async fn frozen_host_does_not_stop_the_others() {
    let processes = Processes::start().await;
    processes.hosts[1].signal("-STOP");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = text_of(processes.complete(0, 5).await).await;
    assert_eq!(tokens_in(&text), 5);
    processes.hosts[1].signal("-CONT");
    processes.wait_until_ready(1).await;
    let text = text_of(processes.complete(1, 5).await).await;
    assert_eq!(tokens_in(&text), 5);
}

/// Guards against a host that a SIGHUP ends while it starts: the signal came before its handler was installed.
#[test]
fn reload_signal_does_not_end_a_host_that_starts() {
    let folder = std::env::temp_dir().join(format!("hibiscusspread-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let settings = folder.join("host.ini");
    let made = Command::new("mkfifo").arg(&settings).status();
    assert!(made.expect("mkfifo runs").success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusspread"))
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("host starts");
    // Opening the pipe returns once the host has opened it, and the host waits for its settings until the pipe is closed.
    let pipe = std::fs::OpenOptions::new().write(true).open(&settings);
    assert!(signal(&child, "-HUP"));
    std::thread::sleep(POLL_INTERVAL * 4);
    drop(pipe.expect("pipe opens"));
    let status = child.wait().expect("host ends");
    // Empty settings are refused, which is an exit of the program and no end by a signal.
    assert!(status.code().is_some(), "{status}");
    std::fs::remove_dir_all(&folder).expect("folder is removed");
}
