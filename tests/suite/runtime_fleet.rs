//! A whole fleet whose hosts each have a runtime of their own, so that a crash ends all tasks of a host.

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
use hibiscusspread::process::node::external::ExternalServices;
use hibiscusspread::process::ownership::{OwnerRecord, partition_of, partition_prefix};
use hibiscusspread::process::settings::{PeerSettings, Settings};
use hibiscusspread::version::repository::Repository;
use tokio::runtime::{Builder, Runtime};

use crate::chaos::{self, Caller, Observations};
use crate::config_fleet::StoreProxy;
use crate::engine_fleet::TEST_TIMEOUT;
use crate::fixtures::member;
use crate::repository::edit;
use crate::support::{Answer, post};

/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Host {
    name: HostId,
    data_centre: DataCentreId,
    node: Node,
    store_proxy: Arc<StoreProxy>,
    /// `None` after a crash.
    runtime: Option<Runtime>,
}

/// A fleet under test, with the observations of its callers.
pub struct Fleet {
    /// The emulated systems that the hosts use.
    pub environment: Environment,
    /// The shape of the fleet.
    pub shape: Shape,
    hosts: Vec<Host>,
    observations: Arc<Mutex<Observations>>,
    started: Instant,
}

impl Drop for Fleet {
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
    let body = body.expect("answer is complete").to_bytes();
    serde_json::from_slice(&body).expect("answer is JSON")
}

impl Fleet {
    /// Starts the fleet of the random runs, with its shape changed by `change`.
    pub async fn start(change: impl FnOnce(&mut Shape)) -> Self {
        let fleet = Self::with_secrets(change, |_| "pair".to_owned()).await;
        // Hosts discover other data centres when they read the store.
        fleet
            .wait_until("all hosts know each other", async || {
                for host in &fleet.hosts {
                    let address = host.node.operators_address.expect("port is open");
                    let dump: serde_json::Value = get_json(address, "/dump").await;
                    if dump["members"].as_array().map(Vec::len) != Some(fleet.hosts.len()) {
                        return false;
                    }
                }
                true
            })
            .await;
        fleet
    }

    /// Starts one host in each of two data centres. Their secrets differ, so that they refuse each other's connections.
    pub async fn start_partitioned(change: impl FnOnce(&mut Shape)) -> Self {
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
            let store_proxy = StoreProxy::new(&environment.store);
            let external = ExternalServices {
                store: store_proxy.clone(),
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
            // No customer has allowance in the first seconds of the fleet.
            settings.requests.admission_wait = TEST_TIMEOUT;
            let runtime = Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build();
            let runtime = runtime.expect("runtime starts");
            let node = runtime.spawn(Node::join(settings, external)).await;
            hosts.push(Host {
                name: listed.host,
                data_centre: listed.data_centre,
                node: node.expect("host does not panic").expect("host starts"),
                store_proxy,
                runtime: Some(runtime),
            });
        }
        let fleet = Self {
            environment,
            shape,
            hosts,
            observations: Arc::default(),
            started: Instant::now(),
        };
        fleet
            .wait_until("all hosts are ready", async || {
                fleet
                    .hosts
                    .iter()
                    .all(|host| host.node.not_ready().is_none())
            })
            .await;
        fleet
    }

    /// Waits until a condition holds, at most for `TEST_TIMEOUT`.
    pub async fn wait_until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let reached = tokio::time::timeout(TEST_TIMEOUT, async {
            while !holds().await {
                tokio::time::sleep(POLL_INTERVAL).await;
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

    /// Returns the hosts of a data centre by rank as owners of its pool of engines: the owner, its standby, the rest.
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

    /// Waits until the first customer's limit has an owner in a data centre; returns this host.
    pub async fn customer_owner(&self, data_centre: &str) -> HostId {
        let partition = partition_of(&self.shape.customers[0].id);
        let key = format!("{}{partition}", partition_prefix(data_centre));
        self.wait_until("the customer has an owner", async || {
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

    /// Crashes a host.
    pub fn crash(&mut self, name: &HostId) {
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        host.expect("host is known").end();
    }

    /// Returns the proxy through which a host calls the store.
    pub fn store_proxy(&self, host: &HostId) -> &StoreProxy {
        &self.host(host).store_proxy
    }

    /// Makes each host lose the reply to its next write to a key with this prefix.
    pub fn lose_replies(&self, prefix: &'static str) {
        for host in &self.hosts {
            host.store_proxy.lose_reply_to(Some(prefix));
        }
    }

    /// Returns whether a host has lost a reply; if so, the other hosts lose none any more.
    pub fn stop_losing_replies(&self) -> bool {
        let is_lost = self
            .hosts
            .iter()
            .any(|host| !host.store_proxy.loses_reply());
        if is_lost {
            self.hosts
                .iter()
                .for_each(|host| host.store_proxy.lose_reply_to(None));
        }
        is_lost
    }

    /// Replaces a team's section of the configuration; returns the new version.
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
        self.wait_until("the version is in force", async || {
            self.hosts
                .iter()
                .all(|host| host.node.versions.current().version >= version)
        })
        .await;
    }

    /// Returns the observations of all callers so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("not poisoned")
    }

    /// Returns the numbers of complete answers and of visible failures so far.
    pub fn answered_and_failed(&self) -> (u64, u64) {
        let observations = self.observations();
        (observations.answered, observations.failed)
    }

    fn caller_of(&self, host: &HostId, customer: &CustomerId) -> Caller {
        Caller {
            seen: self.observations.clone(),
            addresses: vec![self.host(host).node.callers_address.to_string()],
            customer: customer.clone(),
            unique: rand::random(),
            disconnects: false,
        }
    }

    /// Returns a caller of the first customer that is connected to a host.
    pub fn caller(&self, host: &HostId) -> Caller {
        self.caller_of(host, &self.shape.customers[0].id)
    }

    /// Sends completions of the first customer until one is answered completely.
    pub async fn complete_until_answered(&self, host: &HostId) {
        self.complete_as(host, &self.shape.customers[0].id).await;
    }

    /// Sends completions of a customer until one is answered completely.
    pub async fn complete_as(&self, host: &HostId, customer: &CustomerId) {
        let answered = self.observations().answered;
        self.wait_until("a completion is answered", async || {
            self.caller_of(host, customer).complete(20).await;
            self.observations().answered > answered
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

    /// Calls the plain service on a route whose requests may be retried; the emulator answers 201.
    pub async fn call(&self, host: &HostId, customer: &CustomerId) -> Answer {
        self.post(host, customer, ["/status", "", "{}"]).await
    }

    /// Sends a booking with an idempotency key.
    pub async fn book(&self, host: &HostId, key: &str) -> Answer {
        let customer = &self.shape.customers[0].id;
        self.post(host, customer, ["/bookings/studio", key, "{}"])
            .await
    }

    /// Returns how often a booking ran.
    pub fn runs(&self, key: &str) -> u64 {
        self.environment.services.iter().map(|s| s.runs(key)).sum()
    }

    /// Includes a booking that was answered in the check of the invariants.
    pub fn note_booking(&self, key: &str) {
        self.observations().bookings.push((key.to_owned(), false));
    }

    /// Sends the request that crashes the engines which run it.
    pub async fn poison(&self, host: &HostId) -> Answer {
        let body = r#"{"model":"forecast","prompt":"poison","max_tokens":2}"#;
        let customer = &self.shape.customers[0].id;
        self.post(host, customer, ["/v1/completions", "", body])
            .await
    }

    /// Waits until `matches` accepts an engine's counters; returns the engine's index.
    pub async fn engine_with(&self, matches: impl Fn(&EngineCounters) -> bool) -> usize {
        let find = || {
            self.environment
                .engines
                .iter()
                .position(|e| matches(&e.counters()))
        };
        self.wait_until("an engine's counters", async || find().is_some())
            .await;
        find().expect("counters stay")
    }

    /// Waits until an engine decodes a single stream; returns the engine's index.
    pub async fn decoding(&self) -> usize {
        self.engine_with(|c| c.decoding == 1).await
    }

    /// Returns the name that the engine with this index has in the configuration.
    pub fn engine_name(&self, engine: usize) -> String {
        let (prefills, decodes) = (self.shape.prefill_engines, self.shape.decode_engines);
        let data_centre = &self.shape.data_centres[engine / (prefills + decodes)];
        match engine % (prefills + decodes) {
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

    /// Checks the invariants of the random runs.
    pub async fn check_invariants(&self) {
        let elapsed = self.started.elapsed();
        chaos::check_invariants(&self.environment, &self.shape, &self.observations, elapsed).await;
    }
}
