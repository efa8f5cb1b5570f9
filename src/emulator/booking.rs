//! A stand-in booking service with a ledger that counts how often each booking ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use http::header::{HeaderValue, LOCATION};
use hyper::{Method, Response};
use serde_json::json as value;
use tokio::sync::watch;

use crate::connection::service::IDEMPOTENCY_HEADER;
use crate::emulator::http::{Body, BufferedRequest, EmulatorServer, Handler, json};
use crate::process::shard::lock;

/// How a stand-in booking service misbehaves.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct BookingFaults {
    /// When the service crashes at the next call.
    pub crash: Option<CrashPoint>,
    /// The time between a booking and its answer.
    pub answer_delay: Duration,
}

/// When a booking service crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the booking took effect.
    BeforeEffect,
    /// After the booking took effect, before its answer.
    AfterEffect,
}

/// A booking service. Every POST books; it does not look at idempotency keys when deciding to book, so
/// that the ledger shows every run.
pub struct BookingEmulator {
    ledger: Mutex<Ledger>,
    /// Whether the process is up; its server follows.
    up: watch::Sender<bool>,
}

#[derive(Default)]
struct Ledger {
    runs: BTreeMap<String, u64>,
    booked: u64,
    /// The headers of the requests seen, to check that no caller's key is among them.
    headers: Vec<String>,
    faults: BookingFaults,
}

impl BookingEmulator {
    /// Creates a service with an empty ledger.
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

    /// Changes how the service misbehaves.
    pub fn set_faults(&self, faults: BookingFaults) {
        lock(&self.ledger).faults = faults;
    }

    /// Ends the process: connections break and new ones are refused until `restart`. The ledger outlasts it.
    pub fn crash(&self) {
        self.up.send_replace(false);
    }

    /// Starts the process again after a crash, at the same address.
    pub fn restart(&self) {
        self.up.send_replace(true);
    }

    /// Takes the crash out of the faults if it is due at `point`.
    fn crashes_at(&self, point: CrashPoint) -> bool {
        let mut ledger = lock(&self.ledger);
        let due = ledger.faults.crash.take_if(|crash| *crash == point);
        due.is_some()
    }

    /// Books, and returns the number of the booking.
    fn book(&self, key: Option<&str>) -> u64 {
        let mut ledger = lock(&self.ledger);
        ledger.booked += 1;
        if let Some(key) = key {
            *ledger.runs.entry(key.to_owned()).or_default() += 1;
        }
        ledger.booked
    }

    /// Returns how often the booking with this idempotency key ran.
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.ledger)
            .runs
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the bookings made in all.
    pub fn booked(&self) -> u64 {
        lock(&self.ledger).booked
    }

    /// Returns the headers seen, as `name: value`.
    pub fn headers_seen(&self) -> Vec<String> {
        lock(&self.ledger).headers.clone()
    }
}

struct BookingHandler(Arc<BookingEmulator>);

#[async_trait]
impl Handler for BookingHandler {
    async fn answer(&self, req: BufferedRequest) -> Option<Response<Body>> {
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
        let answer = if is_booking {
            let key = req.headers().get(IDEMPOTENCY_HEADER);
            let booking = service.book(key.and_then(|key| key.to_str().ok()));
            let mut answer = json(201, &value!({ "booking": booking }));
            if let Ok(location) = HeaderValue::from_str(&format!("/bookings/{booking}")) {
                answer.headers_mut().insert(LOCATION, location);
            }
            answer
        } else {
            json(200, &value!({ "booked": service.booked() }))
        };
        if service.crashes_at(CrashPoint::AfterEffect) {
            service.crash();
            return None;
        }
        let delay = lock(&service.ledger).faults.answer_delay;
        tokio::time::sleep(delay).await;
        Some(answer)
    }
}
