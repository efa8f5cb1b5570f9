//! A link between two hosts over loopback: the processor time of a request and its reply on either side.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::connection::peer::{PeerClient, PeerIdentity, PeerSecret, PeerServer};
use crate::emulator::http::any_loopback;
use crate::load::slopes::hosts::members;
use crate::load::slopes::probe::{median, threads_cpu};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::membership::AddressBook;
use crate::process::message::{
    ConfigDelta, Member, PeerReply, PeerRequest, SectionRef, SectionText,
};
use crate::process::peer::{PeerHandler, PeerLink};

const ROLE: &str = "peer link";
/// Thread names, which the kernel truncates to 15 bytes.
const ASKING_THREADS: &str = "slopes-asking";
const ANSWERING_THREADS: &str = "slopes-answerin";
/// The sizes of the sent texts.
const TEXT_BYTES: [usize; 4] = [10, 1_000, 10_000, 60_000];
/// The pause between two requests, so that each wakes both sides, as it does at the request rates of a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);

/// Measures the link between two hosts.
pub struct PeerLinkRole;

impl RoleMeasurement for PeerLinkRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity| Series::new(ROLE, quantity, "bytes", Method::Cpu);
        let mut asking = new("question, asking side [us]");
        let mut answering = new("question, answering side [us]");
        let bench = Bench::start()?;
        for size in TEXT_BYTES {
            let mut times = [Vec::new(), Vec::new()];
            // The first run opens the connection.
            for _ in 0..=sizes.repeats {
                let before = cpu_of_both_sides()?;
                bench.asking.block_on(bench.ask(size, sizes.requests))?;
                for (times, (after, before)) in times
                    .iter_mut()
                    .zip(cpu_of_both_sides()?.iter().zip(before))
                {
                    times.push((after - before) / sizes.requests as f64);
                }
            }
            let [asked, answered] = times.map(|mut times| median(times.split_off(1)));
            asking.push(size, asked);
            answering.push(size, answered);
        }
        Ok(vec![asking, answering])
    }
}

fn cpu_of_both_sides() -> Result<[f64; 2], MeasureError> {
    Ok([
        threads_cpu(ASKING_THREADS)?,
        threads_cpu(ANSWERING_THREADS)?,
    ])
}

struct AckHandler;

#[async_trait]
impl PeerHandler for AckHandler {
    async fn handle(&self, _from: &HostId, _req: PeerRequest) -> PeerReply {
        PeerReply::Ack
    }
}

struct Bench {
    asking: Runtime,
    _answering: Runtime,
    client: Arc<PeerClient>,
    receiver: HostId,
    _stop: watch::Sender<bool>,
}

impl Bench {
    fn start() -> Result<Self, MeasureError> {
        let (asking, answering) = (runtime(ASKING_THREADS)?, runtime(ANSWERING_THREADS)?);
        let listener = answering.block_on(TcpListener::bind(any_loopback()))?;
        let mut hosts = members(2);
        hosts[1].address = listener.local_addr()?;
        let address_book = Arc::new(AddressBook::default());
        for host in &hosts {
            address_book.set(host.clone());
        }
        let server = PeerServer::new(
            identity(&hosts[1]),
            PeerSecret::new("slopes"),
            address_book.clone(),
            Arc::new(AckHandler),
        );
        let (stop, stopped) = watch::channel(false);
        answering.spawn(Arc::new(server).serve(listener, stopped));
        let client = PeerClient::new(identity(&hosts[0]), PeerSecret::new("slopes"), address_book);
        Ok(Self {
            asking,
            _answering: answering,
            client: Arc::new(client),
            receiver: hosts[1].host.clone(),
            _stop: stop,
        })
    }

    async fn ask(&self, size: usize, requests: usize) -> Result<(), MeasureError> {
        let (client, receiver) = (self.client.clone(), self.receiver.clone());
        // Spawned to run on the measured threads, unlike the future that the caller blocks on.
        let asked = self.asking.spawn(async move {
            for _ in 0..requests {
                let req = PeerRequest::ConfigDelta(delta(size));
                let reply = client.ask(&receiver, req).await;
                reply.map_err(|e| MeasureError(e.to_string()))?;
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            Ok(())
        });
        asked.await.map_err(|e| MeasureError(e.to_string()))?
    }
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(2).thread_name(name);
    builder.enable_all().build()
}

fn identity(member: &Member) -> PeerIdentity {
    PeerIdentity {
        host: member.host.clone(),
        data_centre: member.data_centre.clone(),
        incarnation: member.incarnation,
    }
}

fn delta(size: usize) -> ConfigDelta {
    let section = SectionRef {
        team: "team".into(),
        version: 2,
        hash: [7; 32],
    };
    ConfigDelta {
        base: 1,
        version: 2,
        changed: vec![SectionText {
            section,
            text: "x".repeat(size),
        }],
        removed: Vec::new(),
        next: None,
        result: [9; 32],
        age: None,
    }
}
