//! Stand-ins of runners: their entries in the store and the orders that they get. The rest of what they answer is each case's matter.

use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::host::ZONE;
use crate::http::{Head, Reader, listen, respond};
use crate::store::Store;

/// The time between two writes of a runner's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a runner says of itself.
pub struct Entry {
    pub stage: Option<&'static str>,
    pub sequence: u64,
    pub is_busy: bool,
}

/// A runner.
pub struct Runner {
    pub id: String,
    service: &'static str,
    slots: u32,
    born: u128,
    pub entry: Mutex<Entry>,
}

/// Answers a request of a runner, whose body was read; returns whether the connection is kept.
pub type Answer = Arc<dyn Fn(&Arc<Runner>, &mut TcpStream, &Head, &[u8]) -> io::Result<bool> + Send + Sync>;

impl Runner {
    /// Starts a runner and its heartbeat.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &'static str,
        stage: Option<&'static str>,
        answer: Answer,
    ) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            slots: 64,
            born: since_epoch.map_or(0, |time| time.as_millis()),
            entry: Mutex::new(Entry {
                stage,
                sequence: 0,
                is_busy: false,
            }),
        });
        let served = runner.clone();
        let port = listen(move |mut socket| {
            let mut reader = Reader::new(&socket)?;
            loop {
                let head = reader.head()?;
                let body = reader.body(&head)?;
                if !answer(&served, &mut socket, &head, &body)? {
                    return Ok(());
                }
            }
        });
        let (beating, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            loop {
                beating.register(&store, port);
                let (_, era) = store.position();
                let next = Instant::now() + HEARTBEAT;
                // What was written since the copy of a drill is written again.
                while Instant::now() < next && store.position().1 == era {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        runner
    }

    fn register(&self, store: &Store, port: u16) {
        let mut entry = self.entry.lock().expect("poisoned");
        entry.sequence += 1;
        let engine = entry.stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let value = format!(
            r#"{{"service":"{}","address":"127.0.0.1:{port}","zone":"{ZONE}","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"seq":{},"born":{}{engine}}}"#,
            self.service, self.slots, entry.sequence, self.born
        );
        drop(entry);
        store.put(&format!("servers/{}", self.id), &value);
    }

    /// Answers with the signature of the runner and the id of the request.
    pub fn answer(&self, socket: &mut TcpStream, head: &Head, status: u16, body: &[u8]) -> io::Result<()> {
        let headers = format!("X-Request-Id: {}\r\nX-Server-Stamp: {}.1\r\n", head.header("x-request-id"), self.id);
        respond(socket, status, &headers, body)
    }
}

/// A configuration with these routes and services, as the operator writes it.
pub fn configure(store: &Store, version: u64, routes: &[String], services: &[String]) {
    let (routes, services) = (routes.join(","), services.join(","));
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
    let document = format!(r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{limits}}}"#);
    store.put("op/config", &document);
}

/// A route of streams that can't be resumed.
pub fn stream_route(prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"streams","hostname":"host.example","pathPrefix":"{prefix}","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"{service}","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}}"#
    )
}

/// A service of engines, with the figures of the sheets.
pub fn engine_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":54104,"kvTokenBytes":163840,"linkMbps":2000000.0,"moves":true,"backups":true,"stride":14,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}}"#
    )
}

/// A route of requests that may be repeated.
pub fn status_route(prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"status","hostname":"host.example","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"{service}","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}"#
    )
}

/// A plain service.
pub fn plain_service(name: &str) -> String {
    format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}"#)
}
