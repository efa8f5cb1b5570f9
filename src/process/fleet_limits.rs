//! Customers' limits over all hosts: charges go to the owner of the customer's partition, and owners
//! in different data centres lend to each other.

mod elsewhere;
mod handler;
mod handover;
mod lead;
mod loans;
mod owners;

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::prelude::*;
use crate::process::allowance::{Allowance, AllowanceView, CustomerLimit, GRANT_VALIDITY};
use crate::process::limits::Limits;
use crate::process::members::Members;
use crate::process::message::{
    Charge, ChargeReply, CustomerState, PeerError, PeerReply, PeerRequest, Settle,
};
use crate::process::ownership::{OwnerRecord, Ownership, partition_of};
use crate::process::peer::PeerLink;
use crate::process::shard::{Shards, lock};
use crate::version::cell::VersionCell;

/// How long a charge waits for an owner to be found.
const OWNER_WAIT: Duration = Duration::from_secs(1);
/// How long the owner in another data centre may take to answer; many times the round trip.
const LOAN_WAIT: Duration = Duration::from_millis(250);
/// The wait told to a charge that meets a round of questions in progress.
const ROUND_WAIT: Duration = Duration::from_millis(5);
/// The wait told to a charge whose partition is being handed over; a few times a write to the store.
const MOVING_WAIT: Duration = Duration::from_millis(20);

/// What limits over all hosts are built from.
pub struct FleetLimitsParts {
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The link to other hosts.
    pub peers: Arc<dyn PeerLink>,
    /// The hosts.
    pub members: Arc<dyn Members>,
}

/// Limits over all hosts together.
pub struct FleetLimits {
    /// For the tasks that it starts.
    this: Weak<Self>,
    parts: FleetLimitsParts,
    host: HostId,
    data_centre: DataCentreId,
    ownership: Mutex<Ownership>,
    remote: Mutex<HashMap<DataCentreId, owners::RemoteOwners>>,
    held: Shards<HashMap<CustomerId, Held>>,
    /// What a previous owner handed over, until the holding begins in that epoch.
    received: Mutex<HashMap<CustomerId, (Epoch, CustomerState)>>,
    /// Asks the background task to read the store again.
    refresh: Notify,
    /// Counts the changes of ownership seen.
    owners_changed: watch::Sender<u64>,
    stopped: watch::Sender<bool>,
    loan_prefix: u64,
    /// The loans asked for so far.
    loans: AtomicU64,
}

struct Held {
    allowance: Allowance,
    /// Whether a task waits for the next renewal of a loan.
    renewing: bool,
}

impl FleetLimits {
    /// Creates limits that own nothing until `start`.
    pub fn new(parts: FleetLimitsParts) -> Arc<Self> {
        let me = parts.members.me();
        Arc::new_cyclic(|this| Self {
            this: this.clone(),
            ownership: Mutex::new(Ownership::new(me.host.clone(), me.incarnation)),
            host: me.host,
            data_centre: me.data_centre,
            parts,
            remote: Mutex::default(),
            held: Shards::default(),
            received: Mutex::default(),
            refresh: Notify::new(),
            owners_changed: watch::Sender::new(0),
            stopped: watch::Sender::new(false),
            loan_prefix: rand::random(),
            loans: AtomicU64::new(0),
        })
    }

    /// Ends the background tasks. What is owned stays owned until its lease ends.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Returns every allowance held here.
    pub fn dump(&self) -> Vec<AllowanceView> {
        let mut views = Vec::new();
        for mut shard in self.held.iter() {
            for (customer, held) in shard.iter_mut() {
                let now = self.parts.clock.now();
                let until = lock(&self.ownership).lease_until(now);
                let view = held
                    .allowance
                    .view(customer.clone(), self.host.clone(), until, now);
                views.push(view);
            }
        }
        views.sort_by(|a, b| a.customer.cmp(&b.customer));
        views
    }

    /// Returns the customer's limit in this data centre in the configuration in force.
    fn limit(&self, customer: &str) -> Option<CustomerLimit> {
        let compiled = self.parts.versions.current();
        let found = compiled.customer(customer)?;
        let centres = &compiled.data_centres;
        let home_share = if centres.contains(&self.data_centre) {
            compiled.home_share()
        } else if centres.is_empty() {
            WHOLE_SHARE
        } else {
            0
        };
        Some(CustomerLimit {
            version: compiled.version,
            rate: found.rate,
            burst: found.burst,
            home_share,
        })
    }

    /// Runs `act` on the allowance of a customer that this host owns. The clock is read inside the
    /// lock, so that a paused process sees its lapsed lease when it wakes.
    fn with_allowance<T>(
        &self,
        customer: &CustomerId,
        act: impl FnOnce(&mut Held, Instant, Instant) -> T,
    ) -> Option<T> {
        let limit = self.limit(customer)?;
        let mut shard = self.held.lock(customer);
        let now = self.parts.clock.now();
        let (epoch, moving, until) = {
            let ownership = lock(&self.ownership);
            let partition = partition_of(customer);
            let epoch = ownership.epoch(partition);
            let moving = ownership.is_handing_over(partition);
            (epoch, moving, ownership.lease_until(now))
        };
        let Some(epoch) = epoch.filter(|_| now < until) else {
            // The hand-over takes out the holding of a partition that is moving.
            if !moving {
                shard.remove(customer);
            }
            return None;
        };
        let known = shard.get(customer).map(|held| held.allowance.epoch());
        if known != Some(epoch) {
            let received = lock(&self.received).remove(customer);
            let received = received.filter(|(received, _)| *received == epoch);
            let allowance = match received {
                Some((_, state)) => Allowance::from_hand_over(limit, epoch, &state, now),
                None => Allowance::new(limit, epoch, now),
            };
            let held = Held {
                allowance,
                renewing: false,
            };
            shard.insert(customer.clone(), held);
        }
        let held = shard.get_mut(customer)?;
        held.allowance.set_limit(limit, now);
        Some(act(held, until, now))
    }

    /// Applies the configuration in force to every customer owned, and begins the buckets of new ones.
    fn apply_limits(&self) {
        let compiled = self.parts.versions.current();
        for customer in compiled.customers.keys() {
            self.with_allowance(customer, |_, _, _| ());
        }
    }

    /// Charges a customer that this host should own. A charge that was `forwarded` is never forwarded again.
    async fn charge_here(&self, charge: &Charge, forwarded: bool) -> ChargeReply {
        if forwarded {
            self.with_allowance(&charge.customer, |held, _, now| {
                held.allowance.note_shortage(true, now);
            });
        }
        let Some(reply) = self.try_charge(charge) else {
            return self.not_held(&charge.customer);
        };
        let ChargeReply::Later(wait) = reply else {
            return reply;
        };
        if !forwarded && let Some(reply) = self.charge_at_lead(charge).await {
            return reply;
        }
        let round = self.with_allowance(&charge.customer, |held, _, now| {
            if held.allowance.has_pending_loans() {
                return Err(wait.min(ROUND_WAIT));
            }
            let begun = held.allowance.begin_borrowing(charge.tokens, now);
            begun.then_some(()).ok_or(wait)
        });
        match round {
            None => return self.not_held(&charge.customer),
            Some(Err(wait)) => return ChargeReply::Later(wait),
            Some(Ok(())) => {}
        }
        self.borrow_for(charge).await;
        let reply = self.try_charge(charge);
        let reply = reply.unwrap_or_else(|| self.not_held(&charge.customer));
        let granted = matches!(reply, ChargeReply::Granted { .. });
        let leads = self.lead(&charge.customer).as_ref() == Some(&self.data_centre);
        let back = self.with_allowance(&charge.customer, |held, _, now| {
            held.allowance.end_borrowing(granted);
            if !granted {
                held.allowance
                    .note_borrowing_failed(forwarded || leads, now);
            }
            held.allowance.return_burst_loans(&charge.customer, now)
        });
        for (data_centre, back) in back.unwrap_or_default() {
            self.send_back(data_centre, back);
        }
        self.keep_renewing(&charge.customer);
        reply
    }

    /// Returns the answer to a charge of a customer that isn't held here.
    fn not_held(&self, customer: &str) -> ChargeReply {
        if lock(&self.ownership).is_handing_over(partition_of(customer)) {
            ChargeReply::Later(MOVING_WAIT)
        } else {
            ChargeReply::NotOwner
        }
    }

    fn try_charge(&self, charge: &Charge) -> Option<ChargeReply> {
        self.with_allowance(&charge.customer, |held, until, now| {
            held.allowance.charge(charge, until, now)
        })
    }

    /// Charges once; `None` if no owner could be asked.
    async fn charge_at_owner(&self, charge: &Charge) -> Option<ChargeReply> {
        let (host, record) = self.owner_here(&charge.customer)?;
        let asked = self.parts.clock.now();
        let reply = if host == self.host {
            self.charge_here(charge, false).await
        } else {
            let req = PeerRequest::Charge(charge.clone());
            match timeout(OWNER_WAIT, self.parts.peers.ask(&host, req)).await {
                Ok(Ok(PeerReply::Charge(reply))) => reply,
                Ok(Err(PeerError::ConnectionRefused)) => {
                    self.note_refused(record);
                    return None;
                }
                _ => return None,
            }
        };
        self.spendable(reply, asked)
    }

    /// Returns the reply to a charge that was asked for at `asked`; `None` from a host that does not own the bucket.
    fn spendable(&self, reply: ChargeReply, asked: Instant) -> Option<ChargeReply> {
        let age = self.parts.clock.now().saturating_duration_since(asked);
        match reply {
            ChargeReply::NotOwner => None,
            // A late grant is not spent: its owner may have lost the bucket meanwhile.
            ChargeReply::Granted { .. } if age >= GRANT_VALIDITY => {
                Some(ChargeReply::Later(Duration::from_millis(1)))
            }
            reply => Some(reply),
        }
    }

    fn note_refused(&self, record: Option<OwnerRecord>) {
        if let Some(record) = record {
            self.note_process_gone(record.host, record.incarnation);
        }
    }
}

#[async_trait]
impl Limits for FleetLimits {
    async fn charge(&self, charge: Charge) -> ChargeReply {
        if self.limit(&charge.customer).is_none() {
            return ChargeReply::NotOwner;
        }
        let mut changed = self.owners_changed.subscribe();
        let deadline = tokio::time::Instant::now() + OWNER_WAIT;
        loop {
            changed.mark_unchanged();
            if let Some(reply) = self.charge_at_owner(&charge).await {
                return reply;
            }
            self.refresh.notify_one();
            let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                return self.charge_elsewhere(&charge).await;
            }
        }
    }

    async fn settle(&self, settle: Settle) {
        self.settle_at_owner(&settle).await;
    }
}
