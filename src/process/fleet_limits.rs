//! Customers' rate limits over all hosts. Charges go to the owner of the customer's partition in the data
//! centre, and the owners in different data centres lend shares and tokens to each other.

mod handler;
mod handover;
mod lead;
mod loans;
mod owners;
mod remote;

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

/// How long a charge waits until the data centre has an owner, and how long that owner may take to reply.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the owner in another data centre may take to reply; many times the round trip.
const REMOTE_OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// The retry delay for a charge that arrives while loans are being requested for another one.
const BORROWING_RETRY_AFTER: Duration = Duration::from_millis(5);
/// The retry delay for a charge whose partition is being handed over; a few times the duration of a store write.
const HAND_OVER_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The dependencies of `FleetLimits`.
pub struct FleetLimitsParts {
    /// The current configuration version.
    pub versions: Arc<VersionCell>,
    /// The clock that leases, loans and buckets are timed by.
    pub clock: Arc<dyn Clock>,
    /// The store that holds the ownership records.
    pub store: Arc<dyn Store>,
    /// Sends requests to other hosts.
    pub peers: Arc<dyn PeerLink>,
    /// The known hosts, by which partitions are assigned.
    pub members: Arc<dyn Members>,
}

/// The rate limits that all hosts enforce together.
pub struct FleetLimits {
    /// A reference to itself for the tasks that it starts.
    this: Weak<Self>,
    parts: FleetLimitsParts,
    host: HostId,
    data_centre: DataCentreId,
    ownership: Mutex<Ownership>,
    remote: Mutex<HashMap<DataCentreId, owners::RemoteOwners>>,
    held: Shards<HashMap<CustomerId, HeldAllowance>>,
    /// The states that a previous owner handed over, until the allowance is created in that epoch.
    received: Mutex<HashMap<CustomerId, (Epoch, CustomerState)>>,
    /// Asks the background task to read the store again.
    refresh: Notify,
    /// Counts the possible changes of ownership; waiting charges look for the owner again on each.
    owners_changed: watch::Sender<u64>,
    stopped: watch::Sender<bool>,
    /// A random number per process, the upper half of its loan ids.
    loan_prefix: u64,
    /// The number of loans requested so far, the lower half of the next loan id.
    loan_count: AtomicU64,
}

struct HeldAllowance {
    allowance: Allowance,
    /// Whether a task waits for the next renewal of a loan.
    renewing: bool,
}

impl FleetLimits {
    /// Creates limits that own no partition until `start`.
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
            loan_count: AtomicU64::new(0),
        })
    }

    /// Ends the background tasks. Partitions stay owned until the lease ends.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Returns the state of every allowance on this host, sorted by customer.
    pub fn dump(&self) -> Vec<AllowanceView> {
        let mut views = Vec::new();
        for mut shard in self.held.iter() {
            for (customer, held) in shard.iter_mut() {
                let now = self.parts.clock.now();
                let lease_until = lock(&self.ownership).lease_until(now);
                let view =
                    held.allowance
                        .view(customer.clone(), self.host.clone(), lease_until, now);
                views.push(view);
            }
        }
        views.sort_by(|a, b| a.customer.cmp(&b.customer));
        views
    }

    /// Returns the customer's limit in this data centre in the current configuration version.
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

    /// Calls `f` with the allowance of a customer that this host owns, the deadline of the ownership lease and the time.
    /// Creates the allowance if the partition was acquired since the last call, and returns `None` if it is not owned.
    ///
    /// The clock is read under the lock, so that a process that was paused while it waited sees that its lease has ended.
    fn with_allowance<T>(
        &self,
        customer: &CustomerId,
        f: impl FnOnce(&mut HeldAllowance, Instant, Instant) -> T,
    ) -> Option<T> {
        let limit = self.limit(customer)?;
        let mut shard = self.held.lock(customer);
        let now = self.parts.clock.now();
        let (epoch, handing_over, lease_until) = {
            let ownership = lock(&self.ownership);
            let partition = partition_of(customer);
            let epoch = ownership.epoch(partition);
            let handing_over = ownership.is_handing_over(partition);
            (epoch, handing_over, ownership.lease_until(now))
        };
        let Some(epoch) = epoch.filter(|_| now < lease_until) else {
            // While the partition is handed over, `remove_partition` needs the allowance.
            if !handing_over {
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
            let held = HeldAllowance {
                allowance,
                renewing: false,
            };
            shard.insert(customer.clone(), held);
        }
        let held = shard.get_mut(customer)?;
        held.allowance.set_limit(limit, now);
        Some(f(held, lease_until, now))
    }

    /// Applies the current configuration version to every customer owned, and creates the allowances of new ones.
    fn apply_limits(&self) {
        let compiled = self.parts.versions.current();
        for customer in compiled.customers.keys() {
            self.with_allowance(customer, |_, _, _| ());
        }
    }

    /// Charges a customer as its owner. A charge that was `forwarded` by another data centre is not forwarded again.
    async fn charge_as_owner(&self, charge: &Charge, forwarded: bool) -> ChargeReply {
        if forwarded {
            self.with_allowance(&charge.customer, |held, _, now| {
                held.allowance.note_shortage(true, now);
            });
        }
        let Some(reply) = self.try_charge(charge) else {
            return self.reply_not_held(&charge.customer);
        };
        let ChargeReply::Later(wait) = reply else {
            return reply;
        };
        if !forwarded && let Some(reply) = self.charge_at_lead(charge).await {
            return reply;
        }
        let borrowing = self.with_allowance(&charge.customer, |held, _, now| {
            if held.allowance.has_pending_loans() {
                return Err(wait.min(BORROWING_RETRY_AFTER));
            }
            let begun = held.allowance.begin_borrowing(charge.tokens, now);
            begun.then_some(()).ok_or(wait)
        });
        match borrowing {
            None => return self.reply_not_held(&charge.customer),
            Some(Err(wait)) => return ChargeReply::Later(wait),
            Some(Ok(())) => {}
        }
        self.borrow_for(charge).await;
        let reply = self.try_charge(charge);
        let reply = reply.unwrap_or_else(|| self.reply_not_held(&charge.customer));
        let granted = matches!(reply, ChargeReply::Granted { .. });
        let is_lead = self.lead_data_centre(&charge.customer).as_ref() == Some(&self.data_centre);
        let back = self.with_allowance(&charge.customer, |held, _, now| {
            held.allowance.end_borrowing(granted);
            if !granted {
                held.allowance
                    .note_borrowing_failed(forwarded || is_lead, now);
            }
            held.allowance.return_burst_loans(&charge.customer, now)
        });
        for (data_centre, back) in back.unwrap_or_default() {
            self.return_loan(data_centre, back);
        }
        self.start_renewing_loans(&charge.customer);
        reply
    }

    /// Returns the reply to a charge of a customer that this host does not own.
    fn reply_not_held(&self, customer: &str) -> ChargeReply {
        if lock(&self.ownership).is_handing_over(partition_of(customer)) {
            ChargeReply::Later(HAND_OVER_RETRY_AFTER)
        } else {
            ChargeReply::NotOwner
        }
    }

    fn try_charge(&self, charge: &Charge) -> Option<ChargeReply> {
        self.with_allowance(&charge.customer, |held, lease_until, now| {
            held.allowance.charge(charge, lease_until, now)
        })
    }

    /// Charges once at the owner in this data centre; `None` if no owner replied with a decision.
    async fn charge_at_owner(&self, charge: &Charge) -> Option<ChargeReply> {
        let (host, record) = self.local_owner(&charge.customer)?;
        let asked_at = self.parts.clock.now();
        let reply = if host == self.host {
            self.charge_as_owner(charge, false).await
        } else {
            let req = PeerRequest::Charge(charge.clone());
            match timeout(OWNER_TIMEOUT, self.parts.peers.ask(&host, req)).await {
                Ok(Ok(PeerReply::Charge(reply))) => reply,
                Ok(Err(PeerError::ConnectionRefused)) => {
                    self.note_connection_refused(record);
                    return None;
                }
                _ => return None,
            }
        };
        self.usable_reply(reply, asked_at)
    }

    /// Returns the reply to a charge that was sent at `asked_at`, a late grant as `Later`; `None` if the host does not
    /// own the bucket.
    fn usable_reply(&self, reply: ChargeReply, asked_at: Instant) -> Option<ChargeReply> {
        let age = self.parts.clock.now().saturating_duration_since(asked_at);
        match reply {
            ChargeReply::NotOwner => None,
            // A late grant is not used: the owner may have lost the bucket in the meantime.
            ChargeReply::Granted { .. } if age >= GRANT_VALIDITY => {
                Some(ChargeReply::Later(Duration::from_millis(1)))
            }
            reply => Some(reply),
        }
    }

    fn note_connection_refused(&self, record: Option<OwnerRecord>) {
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
        let deadline = tokio::time::Instant::now() + OWNER_TIMEOUT;
        loop {
            changed.mark_unchanged();
            if let Some(reply) = self.charge_at_owner(&charge).await {
                return reply;
            }
            self.refresh.notify_one();
            let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                return self.charge_remote(&charge).await;
            }
        }
    }

    async fn settle(&self, settle: Settle) {
        self.settle_at_owner(&settle).await;
    }
}
