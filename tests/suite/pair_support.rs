//! A whole fleet whose hosts have a runtime each, so that a crash ends all that a host does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::Request;

use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::emulator::engine::EngineCounters;
use hibiscusspread::emulator::environment::{Environment, caller_key, hosts_of};
use hibiscusspread::emulator::http::any_loopback;
use hibiscusspread::load::shape::Shape;
use hibiscusspread::prelude::*;
use hibiscusspread::process::members::{StaticMembers, owners};
use hibiscusspread::process::node::Node;
use hibiscusspread::process::node::outside::Outside;
use hibiscusspread::process::ownership::{OwnerRecord, partition_of, partition_prefix};
use hibiscusspread::process::settings::{PeerSettings, Settings};
use hibiscusspread::version::repository::Repository;
use tokio::runtime::{Builder, Runtime};

use crate::chaos::{self, Caller, Observations};
use crate::engine_fleet::TEST_TIMEOUT;
use crate::fixtures::member;
use crate::fleet::StoreLine;
use crate::repository::edit;
use crate::support::{Answer, post};

/// The time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

struct Host {
    name: HostId,
    data_centre: DataCentreId,
    node: Node,
    line: Arc<StoreLine>,
    /// `None` after a crash.
    runtime: Option<Runtime>,
}

/// A fleet on which a pair of failures is tried.
pub struct Pair {
    /// Everything outside the hosts.
    pub environment: Environment,
    /// The shape of the fleet.
    pub shape: Shape,
    hosts: Vec<Host>,
    seen: Arc<Mutex<Observations>>,
    started: Instant,
}

impl Drop for Pair {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.end();
        }
    }
}

impl Host {
    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn get_json(address: SocketAddr, path: &str) -> serde_json::Value {
    let req = Request::get(format!("http://{address}{path}"));
    let req = req.body(Full::default()).expect("request is valid");
    let answer = HttpClient::default().send(req, TEST_TIMEOUT).await;
    let body = answer.expect("host answers").into_body().collect().await;
    let body = body.expect("answer is whole").to_bytes();
    serde_json::from_slice(&body).expect("answer is JSON")
}

impl Pair {
    /// Starts the fleet of the random runs with a change.
    pub async fn start(change: impl FnOnce(&mut Shape)) -> Self {
        let pair = Self::with_secrets(change, |_| "pair".to_owned()).await;
        // Hosts learn of other data centres when they read the store.
        pair.eventually("all hosts know each other", async || {
            for host in &pair.hosts {
                let address = host.node.operators_address.expect("port is open");
                let dump: serde_json::Value = get_json(address, "/dump").await;
                if dump["members"].as_array().map(Vec::len) != Some(pair.hosts.len()) {
                    return false;
                }
            }
            true
        })
        .await;
        pair
    }

    /// Starts a host in each of two data centres without a link between them: each takes the other for a stranger.
    pub async fn start_cut(change: impl FnOnce(&mut Shape)) -> Self {
        let two = |shape: &mut Shape| {
            shape.hosts = vec![1, 1];
            change(shape);
        };
        Self::with_secrets(two, ToString::to_string).await
    }

    async fn with_secrets(
        change: impl FnOnce(&mut Shape),
        secret: impl Fn(&HostId) -> String,
    ) -> Self {
        let mut shape = chaos::shape();
        change(&mut shape);
        let environment = Environment::start(&shape)
            .await
            .expect("environment starts");
        let mut hosts = Vec::new();
        for listed in hosts_of(&shape) {
            let line = StoreLine::new(&environment.store);
            let outside = Outside {
                store: line.clone(),
                ..environment.outside()
            };
            let mut settings = Settings {
                host: listed.host.clone(),
                data_centre: listed.data_centre.clone(),
                callers_address: any_loopback(),
                operators_address: Some(any_loopback()),
                peer: PeerSettings {
                    address: any_loopback(),
                    secret: secret(&listed.host),
                },
                ..Settings::default()
            };
            // The fleet holds no allowance for the first seconds.
            settings.requests.admission_wait = TEST_TIMEOUT;
            let runtime = Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build();
            let runtime = runtime.expect("runtime starts");
            let node = runtime.spawn(Node::join(settings, outside)).await;
            hosts.push(Host {
                name: listed.host,
                data_centre: listed.data_centre,
                node: node.expect("host does not panic").expect("host starts"),
                line,
                runtime: Some(runtime),
            });
        }
        let pair = Self {
            environment,
            shape,
            hosts,
            seen: Arc::default(),
            started: Instant::now(),
        };
        pair.eventually("all hosts are ready", async || {
            pair.hosts
                .iter()
                .all(|host| host.node.not_ready().is_none())
        })
        .await;
        pair
    }

    /// Looks at a condition until it holds.
    pub async fn eventually(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let reached = tokio::time::timeout(TEST_TIMEOUT, async {
            while !holds().await {
                tokio::time::sleep(LOOK).await;
            }
        });
        assert!(reached.await.is_ok(), "not reached: {what}");
    }

    fn host(&self, name: &HostId) -> &Host {
        let found = self.hosts.iter().find(|host| host.name == *name);
        found.expect("host is known")
    }

    /// Returns the hosts of a data centre.
    pub fn hosts_of(&self, data_centre: &str) -> Vec<HostId> {
        let hosts = self.hosts.iter().filter(|h| &*h.data_centre == data_centre);
        hosts.map(|host| host.name.clone()).collect()
    }

    /// Returns the hosts of a data centre in the order in which they own its pool of engines.
    pub fn pool_owners(&self, data_centre: &str) -> Vec<HostId> {
        let hosts = self.hosts_of(data_centre);
        let mut members = hosts.iter().map(|host| member(host, data_centre));
        let first = members.next().expect("there is a host");
        let members = StaticMembers::new(first, members);
        owners(
            &members,
            data_centre,
            &format!("pool/{data_centre}/forecast"),
        )
    }

    /// Returns the host that owns the first customer's limit in a data centre, once there is one.
    pub async fn customer_owner(&self, data_centre: &str) -> HostId {
        let partition = partition_of(&self.shape.customers[0].id);
        let key = format!("{}{partition}", partition_prefix(data_centre));
        self.eventually("the customer has an owner", async || {
            self.environment
                .store
                .get(&key)
                .await
                .is_ok_and(|entry| entry.is_some())
        })
        .await;
        let entry = self
            .environment
            .store
            .get(&key)
            .await
            .expect("store answers");
        let entry = entry.expect("there is an owner");
        let record = OwnerRecord::decode(&entry.value).expect("record reads");
        record.host
    }

    /// Ends a host's process.
    pub fn crash(&mut self, name: &HostId) {
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        host.expect("host is known").end();
    }

    /// Returns a host's way to the store.
    pub fn line(&self, host: &HostId) -> &StoreLine {
        &self.host(host).line
    }

    /// Loses the reply to the next write of each host to keys with this prefix.
    pub fn lose_replies(&self, prefix: &'static str) {
        for host in &self.hosts {
            host.line.lose_reply_to(Some(prefix));
        }
    }

    /// Tells whether a reply was lost; if so, no more are.
    pub fn keep_replies(&self) -> bool {
        let is_lost = self.hosts.iter().any(|host| !host.line.loses_reply());
        if is_lost {
            self.hosts
                .iter()
                .for_each(|host| host.line.lose_reply_to(None));
        }
        is_lost
    }

    /// Edits a team's section; returns the version.
    pub async fn edit(&self, team: &str, text: &str) -> Version {
        let repository = Repository::new(self.environment.store.clone(), Arc::new(SystemClock));
        repository
            .edit(&edit(team, text))
            .await
            .expect("edit")
            .version
    }

    /// Waits until a version is in force at every host.
    pub async fn in_force(&self, version: Version) {
        self.eventually("the version is in force", async || {
            self.hosts
                .iter()
                .all(|host| host.node.versions.current().version >= version)
        })
        .await;
    }

    /// Returns what callers saw so far.
    pub fn seen(&self) -> MutexGuard<'_, Observations> {
        self.seen.lock().expect("not poisoned")
    }

    /// Returns the whole answers and the visible failures so far.
    pub fn answered_and_failed(&self) -> (u64, u64) {
        let seen = self.seen();
        (seen.answered, seen.failed)
    }

    fn caller_of(&self, host: &HostId, customer: &CustomerId) -> Caller {
        Caller {
            seen: self.seen.clone(),
            addresses: vec![self.host(host).node.callers_address.to_string()],
            customer: customer.clone(),
            unique: rand::random(),
            disconnects: false,
        }
    }

    /// Returns a caller at a host, of the first customer.
    pub fn caller(&self, host: &HostId) -> Caller {
        self.caller_of(host, &self.shape.customers[0].id)
    }

    /// Sends completions until one is answered whole.
    pub async fn complete_until_answered(&self, host: &HostId) {
        self.complete_as(host, &self.shape.customers[0].id).await;
    }

    /// Sends completions of a customer until one is answered whole.
    pub async fn complete_as(&self, host: &HostId, customer: &CustomerId) {
        let answered = self.seen().answered;
        self.eventually("a completion is answered", async || {
            self.caller_of(host, customer).complete(20).await;
            self.seen().answered > answered
        })
        .await;
    }

    async fn post(&self, host: &HostId, customer: &CustomerId, call: [&str; 3]) -> Answer {
        let key = format!("Bearer {}", caller_key(customer));
        let [path, idempotency_key, body] = call;
        let mut headers = vec![("authorization", key.as_str())];
        if !idempotency_key.is_empty() {
            headers.push(("idempotency-key", idempotency_key));
        }
        post(self.host(host).node.callers_address, &headers, path, body).await
    }

    /// Calls the plain service on a route that may be repeated; the stand-in answers 201.
    pub async fn call(&self, host: &HostId, customer: &CustomerId) -> Answer {
        self.post(host, customer, ["/status", "", "{}"]).await
    }

    /// Books under an idempotency key.
    pub async fn book(&self, host: &HostId, key: &str) -> Answer {
        let customer = &self.shape.customers[0].id;
        self.post(host, customer, ["/bookings/studio", key, "{}"])
            .await
    }

    /// Returns how often a booking ran.
    pub fn runs(&self, key: &str) -> u64 {
        self.environment.services.iter().map(|s| s.runs(key)).sum()
    }

    /// Has the check at the end look at a booking that was answered.
    pub fn note_booking(&self, key: &str) {
        self.seen().bookings.push((key.to_owned(), false));
    }

    /// Sends the request that crashes upstreams.
    pub async fn poison(&self, host: &HostId) -> Answer {
        let body = r#"{"model":"forecast","prompt":"poison","max_tokens":2}"#;
        let customer = &self.shape.customers[0].id;
        self.post(host, customer, ["/v1/completions", "", body])
            .await
    }

    /// Waits until an engine's counters are as wanted; returns its place.
    pub async fn engine_with(&self, wanted: impl Fn(&EngineCounters) -> bool) -> usize {
        let find = || {
            self.environment
                .engines
                .iter()
                .position(|e| wanted(&e.counters()))
        };
        self.eventually("an engine's counters", async || find().is_some())
            .await;
        find().expect("counters stay")
    }

    /// Waits until an engine decodes; returns its place.
    pub async fn decoding(&self) -> usize {
        self.engine_with(|c| c.decoding == 1).await
    }

    /// Returns the name of an engine in the configuration.
    pub fn engine_name(&self, place: usize) -> String {
        let (prefills, decodes) = (self.shape.prefill_engines, self.shape.decode_engines);
        let data_centre = &self.shape.data_centres[place / (prefills + decodes)];
        match place % (prefills + decodes) {
            index if index < prefills => format!("prefill-{data_centre}{}", index + 1),
            index => format!("decode-{data_centre}{}", index - prefills + 1),
        }
    }

    /// Returns the sum of a counter over all engines.
    pub fn sum(&self, counter: impl Fn(&EngineCounters) -> u64) -> u64 {
        self.environment
            .engines
            .iter()
            .map(|e| counter(&e.counters()))
            .sum()
    }

    /// Checks the promises.
    pub async fn check(&self) {
        let elapsed = self.started.elapsed();
        chaos::check_invariants(&self.environment, &self.shape, &self.seen, elapsed).await;
    }
}
