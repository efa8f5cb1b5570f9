//! An emulated booking service with a ledger that counts how often each booking ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use http::header::{HeaderValue, LOCATION};
use hyper::{Method, Response};
use serde_json::json as value;
use tokio::sync::watch;

use crate::connection::service::IDEMPOTENCY_KEY_HEADER;
use crate::emulator::http::{Body, BufferedRequest, EmulatorServer, Handler, json};
use crate::process::shard::lock;

/// The faults injected into an emulated booking service.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct BookingFaults {
    /// The point of the next call at which the service crashes.
    pub crash: Option<CrashPoint>,
    /// The delay of each response after the call took effect.
    pub response_delay: Duration,
}

/// The point of a call at which a booking service crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the booking takes effect.
    BeforeEffect,
    /// After the booking took effect and before its response.
    AfterEffect,
}

/// An emulated booking service. Every POST makes a booking, even one with a known idempotency key, so that the ledger
/// shows repeated runs.
pub struct BookingEmulator {
    ledger: Mutex<Ledger>,
    /// Whether the emulated process is up. Its server stops and starts with it.
    up: watch::Sender<bool>,
}

#[derive(Default)]
struct Ledger {
    /// The number of bookings by idempotency key.
    runs: BTreeMap<String, u64>,
    /// The number of all bookings.
    booked: u64,
    /// The headers of received requests, for checks that no caller's key is forwarded.
    headers: Vec<String>,
    faults: BookingFaults,
}

impl BookingEmulator {
    /// Creates a service with an empty ledger. It accepts no connection until `start`.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::default(),
            up: watch::Sender::new(true),
        })
    }

    /// Starts the service's server.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<EmulatorServer> {
        let handler = Arc::new(BookingHandler(self.clone()));
        EmulatorServer::start_switchable(address, handler, self.up.subscribe()).await
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: BookingFaults) {
        lock(&self.ledger).faults = faults;
    }

    /// Emulates a crash of the process: connections break and new ones are refused until `restart`. The ledger is kept.
    pub fn crash(&self) {
        self.up.send_replace(false);
    }

    /// Restarts the process at the same address after a crash.
    pub fn restart(&self) {
        self.up.send_replace(true);
    }

    /// Returns whether a crash is injected at `point`, and removes it from the faults.
    fn crashes_at(&self, point: CrashPoint) -> bool {
        let mut ledger = lock(&self.ledger);
        let due = ledger.faults.crash.take_if(|crash| *crash == point);
        due.is_some()
    }

    /// Makes a booking and returns its number.
    fn book(&self, key: Option<&str>) -> u64 {
        let mut ledger = lock(&self.ledger);
        ledger.booked += 1;
        if let Some(key) = key {
            *ledger.runs.entry(key.to_owned()).or_default() += 1;
        }
        ledger.booked
    }

    /// Returns the number of bookings made with this idempotency key.
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.ledger)
            .runs
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of all bookings made.
    pub fn booked(&self) -> u64 {
        lock(&self.ledger).booked
    }

    /// Returns the headers of all received requests as `name: value`.
    pub fn headers_seen(&self) -> Vec<String> {
        lock(&self.ledger).headers.clone()
    }
}

struct BookingHandler(Arc<BookingEmulator>);

#[async_trait]
impl Handler for BookingHandler {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        let service = &self.0;
        {
            let mut ledger = lock(&service.ledger);
            for (name, header) in req.headers() {
                let header = header.to_str().unwrap_or_default();
                ledger.headers.push(format!("{name}: {header}"));
            }
        }
        if service.crashes_at(CrashPoint::BeforeEffect) {
            service.crash();
            return None;
        }
        let is_booking = req.method() == Method::POST;
        let response = if is_booking {
            let key = req.headers().get(IDEMPOTENCY_KEY_HEADER);
            let booking = service.book(key.and_then(|key| key.to_str().ok()));
            let mut response = json(201, &value!({ "booking": booking }));
            if let Ok(location) = HeaderValue::from_str(&format!("/bookings/{booking}")) {
                response.headers_mut().insert(LOCATION, location);
            }
            response
        } else {
            json(200, &value!({ "booked": service.booked() }))
        };
        if service.crashes_at(CrashPoint::AfterEffect) {
            service.crash();
            return None;
        }
        let delay = lock(&service.ledger).faults.response_delay;
        tokio::time::sleep(delay).await;
        Some(response)
    }
}
