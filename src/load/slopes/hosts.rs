//! Membership: the cost of heartbeats between all hosts of a fleet, in simulated time.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use crate::connection::peer::{REPLY_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES, encode};
use crate::load::slopes::documents::DATA_CENTRES;
use crate::load::slopes::probe::{RetainedObjects, median, thread_cpu};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::membership::{Action, Detector, DetectorSettings};
use crate::process::message::{Member, PeerReply, PeerRequest};

const ROLE: &str = "membership";
/// The detector's tick interval, and the number of ticks between two reads of the host records. Both as in
/// `process::membership::shell`.
const TICK: Duration = Duration::from_millis(250);
const TICKS_PER_READING: u32 = 40;
/// The number of ticks until all hosts know each other, and the number of measured ticks.
const SETTLING_TICKS: u32 = 60;
const MEASURED_TICKS: u32 = 80;

/// Measures the failure detector.
pub struct MembershipRole;

impl RoleMeasurement for MembershipRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn memory(
        &self,
        sizes: &Sizes,
        retained: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        let quantity = "resident memory per host's detector [bytes]";
        let mut memory = Series::new(ROLE, quantity, "hosts", Method::Resident);
        for hosts in &sizes.hosts {
            let all = members(*hosts);
            let copies = (sizes.min_objects / hosts).max(1);
            let grown = retained.growth(|| {
                let now = Instant::now();
                let detectors = (0..copies).map(|_| {
                    let settings = DetectorSettings::default();
                    let mut detector = Detector::new(settings, all[0].clone(), now);
                    detector.handle_records(now, &all);
                    detector
                });
                detectors.collect::<Vec<_>>()
            })?;
            memory.push(*hosts, grown / copies as f64);
        }
        Ok(vec![memory])
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity, method| Series::new(ROLE, quantity, "hosts", method);
        let mut messages = new("questions sent per host and second", Method::Counted);
        let mut bytes = new("bytes sent+received per host and second", Method::Counted);
        let mut cpu = new("cpu per host and second [us]", Method::Cpu);
        for hosts in &sizes.hosts {
            let mut fleet = SimulatedFleet::new(*hosts);
            fleet.run(SETTLING_TICKS);
            let mut times = Vec::new();
            let seconds = TICK.as_secs_f64() * f64::from(MEASURED_TICKS);
            for _ in 0..sizes.repeats {
                fleet.requests = 0;
                let start = thread_cpu()?;
                fleet.run(MEASURED_TICKS);
                times.push((thread_cpu()? - start) / *hosts as f64 / seconds);
            }
            let per_second = fleet.requests as f64 / *hosts as f64 / seconds;
            messages.push(*hosts, per_second);
            // Each heartbeat and its reply are counted at two hosts.
            bytes.push(*hosts, per_second * 2.0 * fleet.exchange_bytes()? as f64);
            cpu.push(*hosts, median(times));
        }
        Ok(vec![messages, bytes, cpu])
    }
}

/// Returns the hosts of a fleet, spread evenly over the data centres.
pub fn members(hosts: usize) -> Vec<Member> {
    let member = |index: usize| {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        Member {
            host: format!("host-{data_centre}{index:03}").into(),
            data_centre: data_centre.into(),
            address: SocketAddr::from((Ipv4Addr::new(10, 1, 0, 1), 7_000)),
            incarnation: u64::MAX / 2 + index as u64,
            leaving: false,
        }
    };
    (0..hosts).map(member).collect()
}

struct SimulatedFleet {
    members: Vec<Member>,
    index: HashMap<HostId, usize>,
    detectors: Vec<Detector>,
    now: Instant,
    ticks: u32,
    requests: usize,
}

impl SimulatedFleet {
    fn new(hosts: usize) -> Self {
        let members = members(hosts);
        let now = Instant::now();
        let detector = |m: &Member| Detector::new(DetectorSettings::default(), m.clone(), now);
        Self {
            index: members.iter().map(|m| m.host.clone()).zip(0..).collect(),
            detectors: members.iter().map(detector).collect(),
            members,
            now,
            ticks: 0,
            requests: 0,
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            for at in 0..self.detectors.len() {
                let mut actions = Vec::new();
                if self.ticks.is_multiple_of(TICKS_PER_READING) {
                    actions = self.detectors[at].handle_records(self.now, &self.members);
                }
                self.detectors[at].set_payload((1_000, Some(Duration::from_millis(700))));
                actions.extend(self.detectors[at].tick(self.now));
                self.deliver(at, actions);
            }
            self.now += TICK;
            self.ticks += 1;
        }
    }

    fn deliver(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::SendHeartbeat {
                to, seq, heartbeat, ..
            } = action
            else {
                continue;
            };
            self.requests += 1;
            let (reply, _) = self.detectors[self.index[&to]].handle_heartbeat(self.now, &heartbeat);
            self.detectors[from].handle_reply(self.now, &to, seq, &reply);
        }
    }

    /// Returns the encoded size of a heartbeat with its reply.
    fn exchange_bytes(&mut self) -> Result<usize, MeasureError> {
        let last = self.detectors.len() - 1;
        for _ in 0..10 {
            self.now += TICK;
            for action in self.detectors[0].tick(self.now) {
                if let Action::SendHeartbeat { heartbeat, .. } = action {
                    let (reply, _) = self.detectors[last].handle_heartbeat(self.now, &heartbeat);
                    let request = encode(&PeerRequest::Heartbeat(heartbeat));
                    let reply = encode(&PeerReply::Heartbeat(reply));
                    let bytes =
                        request.map_err(MeasureError)?.len() + reply.map_err(MeasureError)?.len();
                    return Ok(bytes + REQUEST_OVERHEAD_BYTES + REPLY_OVERHEAD_BYTES);
                }
            }
        }
        Err(MeasureError("no heartbeat sent".to_owned()))
    }
}
