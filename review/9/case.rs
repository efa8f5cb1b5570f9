//! A runner states the largest whole number of seconds as its `Keep-Alive` time, and the bookings that it has run get no answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Host, HostSettings, SWANREACH, give_up};
use crate::http::{self, Message, json_answer};
use crate::record;
use crate::runner::{Override, Runner, client_request, configuration};
use crate::store::Store;

/// The times that the runner states with and without the trouble.
const STATED: u64 = i64::MAX as u64;
const STATED_CALMLY: u64 = 5;

/// The clients, each of which sends one booking after the other on a connection that it keeps.
const CLIENTS: usize = 4;

/// For how long, and the pause between two bookings of a client.
const TIME: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, has_trouble: bool) -> Vec<String> {
    let store = Store::start();
    store.write("op/config", &configuration(3));
    let stated = if has_trouble { STATED } else { STATED_CALMLY };
    let special: Override = Box::new(
        move |runner: &Runner, req: &Message, socket: &mut TcpStream| {
            if req.path() == "/healthz" {
                return None;
            }
            runner.record_run(req);
            thread::sleep(Duration::from_millis(15));
            let headers = format!(
                "{}Keep-Alive: timeout={stated}\r\n",
                runner.answer_headers(req)
            );
            Some(socket.write_all(&json_answer(200, &headers, "{}")).is_ok())
        },
    );
    let runners = [
        Runner::start(
            &store,
            "i-desk0",
            "lodge-app",
            SWANREACH.zones[0],
            "",
            Some(special),
        ),
        Runner::start(&store, "i-desk1", "lodge-app", SWANREACH.zones[1], "", None),
    ];
    let settings = HostSettings {
        sheet: &SWANREACH,
        name: "front-coast-1-1".to_owned(),
        zone: SWANREACH.zones[0].to_owned(),
        store: store.address,
        bootstrap: true,
    };
    let mut host = Host::start(&settings, folder);
    if !host.wait_ready(Duration::from_secs(10)) {
        give_up("the host isn't ready");
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = host.callers;
            thread::spawn(move || book(client, to))
        })
        .collect();
    let clients = clients.into_iter().map(|client| client.join());
    let clients: Vec<(usize, Vec<String>)> = clients
        .map(|client| client.unwrap_or_else(|_| give_up("a client failed")))
        .collect();
    let sent: usize = clients.iter().map(|(sent, _)| sent).sum();
    let had_run = |id: &String| {
        let mut runners = runners.iter();
        runners.any(|runner| runner.runs.lock().expect("poisoned").contains(id))
    };
    let lost: Vec<_> = clients
        .into_iter()
        .flat_map(|(_, unanswered)| unanswered)
        .filter(had_run)
        .collect();
    let still_runs = host.is_running();
    record!(
        "{} of {sent} bookings had run and got no answer; the host still runs: {still_runs}",
        lost.len()
    );
    if lost.len() <= 3 {
        return Vec::new();
    }
    vec![format!(
        "{} of {sent} bookings were passed on and run, and their connections ended without an answer",
        lost.len()
    )]
}

/// Sends bookings on a kept connection, and opens another one when it ends. Returns how many, and the ids of those without an answer.
fn book(client: usize, to: SocketAddr) -> (usize, Vec<String>) {
    let start = Instant::now();
    let (mut sent, mut unanswered) = (0, Vec::new());
    while start.elapsed() < TIME {
        let Ok(mut socket) = TcpStream::connect(to) else {
            thread::sleep(PAUSE);
            continue;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(6)));
        let Ok(reading) = socket.try_clone() else {
            continue;
        };
        let mut reader = BufReader::new(reading);
        while start.elapsed() < TIME {
            sent += 1;
            let id = format!("b-{client}-{sent}");
            if socket
                .write_all(&client_request("POST", "/lodge/1", &id, b"{}"))
                .is_err()
            {
                break;
            }
            let answer = http::read_answer(&mut reader);
            record!("client: {id} got {} {}", answer.message.start, answer.error);
            if answer.message.start.is_empty() {
                unanswered.push(id);
                break;
            }
            thread::sleep(PAUSE);
        }
    }
    (sent, unanswered)
}
