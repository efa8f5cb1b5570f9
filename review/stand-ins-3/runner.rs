//! Stand-ins of runners: their entries in the store. What they answer is each case's matter.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::host::ZONE;
use crate::http::{Head, Reader, listen, respond};
use crate::store::Store;

/// The time between two writes of a runner's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A runner.
pub struct Runner {
    pub id: String,
    service: &'static str,
    slots: u32,
    born: u128,
    stage: Option<&'static str>,
    writes: AtomicU64,
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
            stage,
            writes: AtomicU64::new(0),
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
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    fn register(&self, store: &Store, port: u16) {
        let sequence = self.writes.fetch_add(1, Ordering::Relaxed) + 1;
        let engine = self.stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let value = format!(
            r#"{{"service":"{}","address":"127.0.0.1:{port}","zone":"{ZONE}","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"seq":{},"born":{}{engine}}}"#,
            self.service, self.slots, sequence, self.born
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    /// Answers with the signature of the runner and the id of the request.
    pub fn answer(&self, socket: &mut TcpStream, head: &Head, status: u16, body: &[u8]) -> io::Result<()> {
        let headers = format!("X-Request-Id: {}\r\nX-Server-Stamp: {}.1\r\n", head.header("x-request-id"), self.id);
        respond(socket, status, &headers, body)
    }
}

/// The largest body of the sites' configurations.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Writes a configuration with these routes and services, as the operator does.
pub fn configure(store: &Store, version: u64, routes: &[String], services: &[String]) {
    configure_with_limit(store, version, routes, services, MAX_BODY_BYTES);
}

/// Writes a configuration with another limit on bodies.
pub fn configure_with_limit(store: &Store, version: u64, routes: &[String], services: &[String], max_body_bytes: usize) {
    let (routes, services) = (routes.join(","), services.join(","));
    let limits = format!(r#"{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let document = format!(r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{limits}}}"#);
    store.put("op/config", &document);
}

/// A route of streams that may be resumed, with the figures of the sheets.
pub fn stream_route(prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"streams","hostname":"host.example","pathPrefix":"{prefix}","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"{service}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":300}}"#
    )
}

/// A service of engines, with the figures of the sheets.
pub fn engine_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":54104,"kvTokenBytes":163840,"linkMbps":2000000.0,"moves":true,"backups":true,"stride":14,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}}"#
    )
}

/// A route of requests that may be repeated, with the figures of the sheets.
pub fn status_route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"host.example","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"{service}","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}"#
    )
}

/// A route of requests that may run once, with the figures of the sheets.
pub fn booking_route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"host.example","pathPrefix":"{prefix}","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"{service}","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}"#
    )
}

/// A plain service.
pub fn plain_service(name: &str) -> String {
    format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}"#)
}
