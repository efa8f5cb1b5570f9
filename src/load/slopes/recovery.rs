//! Recovery of a pool by its standby, and the messages from entry hosts.

use std::time::Instant;

use crate::connection::peer::{SEAL_BYTES, encode};
use crate::load::slopes::pools::{new_pool, pool_id, running, upstreams};
use crate::load::slopes::probe::{median, thread_cpu};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::process::message::{Adopt, Inflight, ListPart, PeerRequest};

const ROLE: &str = "recovery";
/// The upstreams of the pool that is taken over; a pool of 3,000 attempts needs 150 decode engines of 20 slots.
const UPSTREAMS: usize = 225;

/// The new owner of a pool.
pub struct RecoveryRole;

impl RoleMeasurement for RecoveryRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity, method| Series::new(ROLE, quantity, "attempts", method);
        let mut adopt_bytes = new("Adopt [bytes]", Method::Counted);
        let mut whole_bytes = new("whole Inflight [bytes]", Method::Counted);
        let mut take_over = new("take over the standby's list [us]", Method::Cpu);
        let mut adopt_time = new("adopt what was taken over [us]", Method::Cpu);
        let mut host_down = new("end all of a host that is gone [us]", Method::Cpu);
        let engines = upstreams(UPSTREAMS);
        for size in &sizes.attempt_counts {
            let attempts: Vec<_> = (0..*size).map(|at| running(at, &engines)).collect();
            let part = ListPart::only(attempts[0].incarnation, 1);
            let adopt = Adopt {
                pool: pool_id(),
                host: attempts[0].host.clone(),
                part,
                attempts: attempts.clone(),
            };
            let inflight = Inflight {
                whole: Some(part),
                placed: attempts.clone(),
                ..Inflight::empty(pool_id())
            };
            let parts = adopt.clone().split().into_iter();
            adopt_bytes.push(*size, size_of(parts.map(PeerRequest::Adopt))?);
            let parts = inflight.split().into_iter();
            whole_bytes.push(*size, size_of(parts.map(PeerRequest::Inflight))?);
            let mut times = [Vec::new(), Vec::new(), Vec::new()];
            for _ in 0..sizes.repeats {
                let now = Instant::now();
                let mut pool = new_pool(&engines, now);
                let list = attempts.clone();
                let start = thread_cpu()?;
                pool.take_over(list, now);
                let taken = thread_cpu()?;
                pool.adopt(&adopt, now);
                let adopted = thread_cpu()?;
                // The changes go to the next standby, in batches.
                pool.take_changes();
                let before = thread_cpu()?;
                let host = &attempts[0];
                let actions = pool.host_down(&host.host, host.incarnation, now);
                let ended = thread_cpu()?;
                if pool.placed() > 0 || actions.len() != *size {
                    return Err(MeasureError("attempts left behind".to_owned()));
                }
                times[0].push(taken - start);
                times[1].push(adopted - taken);
                times[2].push(ended - before);
            }
            let [taken, adopted, ended] = times.map(median);
            take_over.push(*size, taken);
            adopt_time.push(*size, adopted);
            host_down.push(*size, ended);
        }
        Ok(vec![
            adopt_bytes,
            whole_bytes,
            take_over,
            adopt_time,
            host_down,
        ])
    }
}

/// Returns the bytes of several messages.
fn size_of(messages: impl Iterator<Item = PeerRequest>) -> Result<f64, MeasureError> {
    let mut sum = 0;
    for message in messages {
        sum += encode(&message).map_err(MeasureError)?.len() + SEAL_BYTES;
    }
    Ok(sum as f64)
}
