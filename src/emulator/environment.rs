//! The emulated environment of a fleet: store, host list, engines and services, on loopback.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use crate::connection::service::HttpUpstreamClients;
use crate::emulator::booking::BookingEmulator;
use crate::emulator::engine::EngineEmulator;
use crate::emulator::host_list::LaggingHostList;
use crate::emulator::http::{EmulatorServer, any_loopback};
use crate::emulator::store::MemoryStore;
use crate::load::shape::Shape;
use crate::prelude::*;
use crate::process::host_list::{ListedHost, ListedState};
use crate::process::node::external::{ExternalServices, StaticWeightStore};
use crate::version::document::split_by_team;
use crate::version::fields::list_problems;
use crate::version::key::{format_hash, hash_key};
use crate::version::repository::{Edit, Repository};

/// The time until a change of the host list is visible to hosts.
const HOST_LIST_LAG: Duration = Duration::from_secs(5);

/// The external systems that the hosts of a fleet use.
pub struct Environment {
    /// The platform's store, which also holds the configuration document.
    pub store: Arc<MemoryStore>,
    /// The platform's host list.
    pub host_list: Arc<LaggingHostList>,
    /// The engines of all data centres, in the order in which they were started.
    pub engines: Vec<Arc<EngineEmulator>>,
    /// The instances of the plain service.
    pub services: Vec<Arc<BookingEmulator>>,
    servers: Vec<EmulatorServer>,
}

/// Returns the API key of a customer of an emulated fleet.
pub fn caller_key(customer: &CustomerId) -> String {
    format!("{customer}-key")
}

/// Returns the hosts of a shape as entries of the host list.
pub fn hosts_of(shape: &Shape) -> Vec<ListedHost> {
    let data_centres = shape.data_centres.iter().zip(&shape.hosts);
    data_centres
        .flat_map(|(data_centre, count)| {
            (1..=*count).map(move |index| ListedHost {
                host: format!("host-{data_centre}{index}").into(),
                data_centre: data_centre.clone(),
                state: ListedState::Live,
            })
        })
        .collect()
}

impl Environment {
    /// Starts the external systems of a shape and stores its configuration document.
    ///
    /// # Errors
    /// Returns an I/O error if an address can't be bound or the document is rejected.
    pub async fn start(shape: &Shape) -> std::io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let mut environment = Self {
            store: MemoryStore::new(clock.clone()),
            host_list: LaggingHostList::new(clock, HOST_LIST_LAG, hosts_of(shape)),
            engines: Vec::new(),
            services: Vec::new(),
            servers: Vec::new(),
        };
        let mut document = fleet_document(shape);
        for data_centre in &shape.data_centres {
            document += &environment.start_upstreams(shape, data_centre).await?;
        }
        environment.put_document(shape.name, &document).await?;
        Ok(environment)
    }

    /// Writes a document to the store, one edit for each team's section.
    async fn put_document(&self, name: &str, document: &str) -> std::io::Result<()> {
        let sections = split_by_team(name, document)
            .map_err(|problems| std::io::Error::other(list_problems(&problems)))?;
        let repository = Repository::new(self.store.clone(), Arc::new(SystemClock));
        // The fleet section goes first: every version of the document needs its list of data centres.
        let (fleet, others): (Vec<_>, Vec<_>) = sections
            .into_iter()
            .partition(|(team, _)| &**team == "fleet");
        for (team, text) in fleet.into_iter().chain(others) {
            let edit = Edit {
                team,
                text: Some(text),
                by: "emulator".to_owned(),
                base: None,
                above: 0,
            };
            repository
                .edit(&edit)
                .await
                .map_err(std::io::Error::other)?;
        }
        Ok(())
    }

    /// Returns the external systems as trait objects for a host.
    pub fn outside(&self) -> ExternalServices {
        ExternalServices {
            clock: Arc::new(SystemClock),
            store: self.store.clone(),
            host_list: self.host_list.clone(),
            weights: Arc::new(StaticWeightStore::default()),
            upstreams: Arc::new(HttpUpstreamClients::default()),
        }
    }

    /// Returns the number of prompt tokens that all engines have prefilled.
    pub fn prefilled_tokens(&self) -> Tokens {
        let counters = self.engines.iter().map(|e| e.counters());
        counters.map(|c| c.prefilled_tokens).sum()
    }

    /// Returns the number of requests that hold memory or a queue position at an engine, summed over all engines.
    pub fn held_requests(&self) -> usize {
        self.engines.iter().map(|e| e.counters().held).sum()
    }

    /// Starts the upstreams of a data centre and returns their entries for the document.
    async fn start_upstreams(
        &mut self,
        shape: &Shape,
        data_centre: &DataCentreId,
    ) -> std::io::Result<String> {
        let mut entries = String::new();
        let engines = [
            ("prefill", shape.prefill_engines),
            ("decode", shape.decode_engines),
        ];
        for (role, count) in engines {
            for index in 1..=count {
                let engine = EngineEmulator::new(shape.engine.clone());
                let server = engine.start(any_loopback()).await?;
                let name = format!("{role}-{data_centre}{index}");
                let _ = write!(
                    entries,
                    "{}slots = {}\nprefill_rate = {}\nlink_rate = {}\n",
                    upstream_entry(&name, data_centre, role, "forecast", &server),
                    shape.engine.slots,
                    shape.engine.prefill_rate,
                    shape.engine.link_rate,
                );
                self.engines.push(engine);
                self.servers.push(server);
            }
        }
        for index in 1..=shape.service_runners {
            let service = BookingEmulator::new();
            let server = service.start(any_loopback()).await?;
            let name = format!("booking-{data_centre}{index}");
            entries += &upstream_entry(&name, data_centre, "service", "booking", &server);
            self.services.push(service);
            self.servers.push(server);
        }
        Ok(entries)
    }
}

/// Returns the part of the document that doesn't depend on addresses.
fn fleet_document(shape: &Shape) -> String {
    let data_centres: Vec<_> = shape.data_centres.iter().map(|d| &**d).collect();
    let mut document = format!(
        "[fleet/fleet/main]\ndata_centres = {}\n\
         [fleet/route/completions]\npath = /v1\n\
         [fleet/route/overnight]\npath = /overnight\npriority = batch\ndeadline = 10m\n\
         [fleet/route/bookings]\npath = /bookings\nservice = booking\nrepeatable = no\n\
         [fleet/route/status]\npath = /status\nservice = booking\n",
        data_centres.join(", ")
    );
    for customer in &shape.customers {
        let id = &customer.id;
        let _ = write!(
            document,
            "[{id}/customer/{id}]\nrate = {}\nburst = {}\n[{id}/key/{id}]\ncustomer = {id}\nhash = {}\n",
            shape.customer_rate(customer),
            shape.customer_burst(customer),
            format_hash(&hash_key(&caller_key(id))),
        );
    }
    document
}

fn upstream_entry(
    name: &str,
    data_centre: &str,
    role: &str,
    model: &str,
    server: &EmulatorServer,
) -> String {
    format!(
        "[fleet/upstream/{name}]\naddress = {}\ndata_centre = {data_centre}\nrole = {role}\nmodel = {model}\n",
        server.address()
    )
}
