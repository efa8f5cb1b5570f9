//! Two lost answers get equal lookups refused at all hosts.

use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Request, ask};
use crate::host::Host;
use crate::runner::{Answer, Runner, booking_route, configure, plain_service, status_route};
use crate::store::Store;
use crate::{Run, Verdict};

const HOSTS: usize = 3;
const RUNNERS: usize = 4;

/// The time between two lookups and between two bookings, over all hosts.
const GAP: Duration = Duration::from_millis(100);

/// The traffic before the disruption, during it, until it counts as over (`stableMs` and more), and while the rule is judged.
const CALM: Duration = Duration::from_secs(6);
const TROUBLE: Duration = Duration::from_secs(4);
const SETTLING: Duration = Duration::from_secs(5);
const JUDGED: Duration = Duration::from_secs(15);

/// Of the lookups that half of the runners ran while answers are lost, one in this many loses its answer: an eighth of all that they ran.
const LOST_EACH: u32 = 4;

/// The requests on a route that was added later from which the rule is judged.
const MIN_JUDGED: u32 = 20;

/// Which answers are lost.
#[derive(Default)]
struct Loss {
    /// The lookups that each runner has run.
    lookups: HashMap<String, u32>,
    /// The runners that lose answers now: the half that ran most.
    runners: HashSet<String>,
    /// The lookups that these have run meanwhile.
    exposed: u32,
}

impl Loss {
    fn set_active(&mut self, is_active: bool) {
        if !is_active {
            self.runners.clear();
        } else if self.runners.is_empty() {
            let mut busiest: Vec<_> = self.lookups.iter().collect();
            busiest.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
            self.runners = busiest.into_iter().take(RUNNERS / 2).map(|(id, _)| id.clone()).collect();
        }
    }

    /// Counts a lookup that `runner` has run; returns whether its answer is lost.
    fn is_lost(&mut self, runner: &str) -> bool {
        *self.lookups.entry(runner.to_owned()).or_default() += 1;
        let is_exposed = self.runners.contains(runner);
        self.exposed += u32::from(is_exposed);
        is_exposed && self.exposed % LOST_EACH == 1
    }
}

#[derive(Default)]
struct Served {
    sent: AtomicU32,
    served: AtomicU32,
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    let loss = Arc::new(Mutex::new(Loss::default()));
    let runners: Vec<_> = (0..RUNNERS)
        .map(|number| Runner::start(&store, &format!("i-{number:02}"), "desk", None, answer_lookups(loss.clone())))
        .collect();
    let services = [plain_service("desk")];
    let bookings = booking_route("bookings", "/bookings/", "desk");
    configure(&store, 1, std::slice::from_ref(&bookings), &services);
    let hosts: Vec<_> = (0..HOSTS)
        .map(|number| Host::start(&format!("front-{number}"), store.port, &run.folder, false))
        .collect();
    for host in &hosts {
        if !host.wait_until_ready(Duration::from_secs(10)) {
            return Verdict::NotRun(format!("{} isn't ready", host.name));
        }
    }
    configure(&store, 3, &[bookings, status_route("lookups", "/status/", "desk")], &services);
    record.line("the configuration has a second route, for lookups");
    thread::sleep(Duration::from_secs(3));

    let (first, later) = (Served::default(), Served::default());
    let ports: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let began = Instant::now();
    let judged_from = CALM + TROUBLE + SETTLING;
    thread::scope(|scope| {
        for number in 0.. {
            let time = began.elapsed();
            if time >= judged_from + JUDGED {
                break;
            }
            let is_trouble = run.has_trouble && time >= CALM && time < CALM + TROUBLE;
            loss.lock().expect("poisoned").set_active(is_trouble);
            let is_judged = time >= judged_from;
            let port = ports[number % ports.len()];
            let (first, later) = (&first, &later);
            scope.spawn(move || {
                let lookup = format!("l{:08x}{number:06x}", std::process::id());
                let (status, wait) = ask(port, &Request {
                    method: "GET",
                    path: "/status/4711",
                    id: &lookup,
                    deadline_ms: 1500,
                    ..Request::default()
                });
                count(later, is_judged, status);
                record.line(format_args!("lookup {lookup}: {status} {wait}"));
                let booking = format!("b{:08x}{number:06x}", std::process::id());
                let body = format!("booking {booking}");
                let (status, wait) = ask(port, &Request {
                    method: "POST",
                    path: "/bookings/1",
                    id: &booking,
                    deadline_ms: 1500,
                    body: body.as_bytes(),
                    ..Request::default()
                });
                count(first, is_judged, status);
                record.line(format_args!("booking {booking}: {status} {wait}"));
            });
            thread::sleep(GAP);
        }
    });
    drop((hosts, runners));
    let get = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
    let (first_sent, first_served) = (get(&first.sent), get(&first.served));
    let (later_sent, later_served) = (get(&later.sent), get(&later.served));
    record.line(format_args!(
        "later than {} s after the last lost answer: {first_served} of {first_sent} bookings served, {later_served} of {later_sent} lookups",
        SETTLING.as_secs()
    ));
    if first_sent == 0 || later_sent < MIN_JUDGED {
        return Verdict::NotRun("too few requests".to_owned());
    }
    // Shares compared without a division.
    let is_broken = 4 * later_served * first_sent < first_served * later_sent;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

fn count(served: &Served, is_judged: bool, status: u16) {
    if is_judged {
        served.sent.fetch_add(1, Ordering::Relaxed);
        served.served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
    }
}

/// Answers all requests; closes the connection of some lookups after they have run.
fn answer_lookups(loss: Arc<Mutex<Loss>>) -> Answer {
    Arc::new(move |runner, socket: &mut TcpStream, head, _| {
        thread::sleep(Duration::from_millis(15));
        if head.method() == "GET" && loss.lock().expect("poisoned").is_lost(&runner.id) {
            socket.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        runner.answer(socket, head, 200, &[b'.'; 800])?;
        Ok(true)
    })
}
