//! Hands partitions over to other hosts of the data centre: to rebalance them, and when this host leaves.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

use crate::prelude::*;
use crate::process::members::owners;
use crate::process::message::{HandOver, PeerReply, PeerRequest};
use crate::process::ownership::{OwnerRecord, partition_key, partition_of};
use crate::process::shard::lock;

use super::FleetLimits;
use super::owners::partition_rank_key;

/// How long the next owner may take: a message and a write to the store, which answers in milliseconds.
const HAND_OVER_WAIT: Duration = Duration::from_millis(250);
/// The most charges in a message. Each takes at most 58 bytes, and a message may have 1 MiB.
const CHARGES_IN_MESSAGE: usize = 10_000;
/// The longest time for which a leaving host hands back; afterwards its entries go with its lease.
const HAND_BACK_WAIT: Duration = Duration::from_secs(5);
/// The hand-overs of a leaving host that run at once, so that one host doesn't use up the store's rate.
const HAND_BACKS_AT_ONCE: usize = 8;
/// The longest time for the call that then deletes what is left.
const REVOKE_WAIT: Duration = Duration::from_secs(2);
/// The longest pause before a store call is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl FleetLimits {
    /// Hands everything that is owned here to other hosts, for a host that leaves.
    pub async fn hand_over_all(&self) {
        let (given_up, lease) = lock(&self.ownership).release_all();
        let all = async {
            let mut waiting = given_up.into_iter();
            let hand = |(partition, epoch)| self.hand_back_one(partition, epoch);
            let first: Vec<_> = waiting.by_ref().take(HAND_BACKS_AT_ONCE).collect();
            let mut running: FuturesUnordered<_> = first.into_iter().map(hand).collect();
            while running.next().await.is_some() {
                running.extend(waiting.next().map(hand));
            }
        };
        if timeout(HAND_BACK_WAIT, all).await.is_err() {
            log::warn!("not all partitions handed over in {HAND_BACK_WAIT:?}");
        }
        lock(&self.ownership).end_all_hand_overs();
        if let Some(lease) = lease {
            // Deletes what is left, and makes a claim that is still under way fail.
            let revoke = retry(|| self.parts.store.revoke_lease(lease));
            match timeout(REVOKE_WAIT, revoke).await {
                Ok(Ok(()) | Err(StoreError::LeaseGone)) => {}
                Ok(Err(e)) => log::warn!("ownership lease not revoked; it lapses by itself: {e}"),
                Err(_) => log::warn!("ownership lease not revoked in {REVOKE_WAIT:?}"),
            }
        }
    }

    async fn hand_back_one(&self, partition: Partition, epoch: Epoch) {
        let message = self.take_out(partition, epoch);
        if !self.hand_over(message).await {
            let key = partition_key(&self.data_centre, partition);
            let deleted = retry(|| self.parts.store.delete(&key, epoch)).await;
            match deleted {
                // On a conflict the next owner has it, or the first call took effect.
                Ok(()) | Err(StoreError::Conflict { .. }) => {}
                Err(e) => log::warn!("partition {partition} not handed back: {e}"),
            }
        }
        lock(&self.ownership).end_hand_over(partition);
    }

    /// Hands over up to `most` partitions that rendezvous hashing assigns to other hosts. Returns how
    /// many were taken and how many were not.
    pub(super) async fn rebalance(&self, most: usize) -> (usize, usize) {
        let owned = lock(&self.ownership).owned();
        let misplaced = owned.into_iter().filter(|partition| {
            let next = self.next_owner(&self.data_centre, *partition);
            next.is_some_and(|host| host != self.host)
        });
        let misplaced: Vec<_> = misplaced.take(most).collect();
        let (mut taken, mut kept) = (0, 0);
        for partition in misplaced {
            let Some(epoch) = lock(&self.ownership).release(partition) else {
                continue;
            };
            let message = self.take_out(partition, epoch);
            if self.hand_over(message.clone()).await {
                taken += 1;
            } else {
                // The store decides whether the next owner was faster.
                self.take_over(message).await;
                kept += 1;
            }
            lock(&self.ownership).end_hand_over(partition);
        }
        (taken, kept)
    }

    /// Sends a partition that was given up to its next owner; tells whether that host took it.
    async fn hand_over(&self, message: HandOver) -> bool {
        let key = partition_rank_key(message.partition);
        let ranked = owners(&*self.parts.members, &self.data_centre, &key);
        let Some(to) = ranked.into_iter().find(|host| *host != self.host) else {
            return false;
        };
        let ask = self.parts.peers.ask(&to, PeerRequest::HandOver(message));
        let reply = timeout(HAND_OVER_WAIT, ask).await;
        matches!(reply, Ok(Ok(PeerReply::Ack)))
    }

    /// Ends the holdings of a partition's customers. The partition has been given up, so no charge adds any.
    fn take_out(&self, partition: Partition, epoch: Epoch) -> HandOver {
        let mut customers = Vec::new();
        let mut returned = Vec::new();
        let mut charges_left = CHARGES_IN_MESSAGE;
        for mut shard in self.held.iter() {
            let now = self.parts.clock.now();
            let moved = shard.extract_if(|customer, _| partition_of(customer) == partition);
            for (customer, held) in moved {
                let (mut state, loans) = held.allowance.hand_over(&customer, now);
                // Without its charge, a settlement costs the customer tokens but never exceeds its limit.
                let dropped = state.charges.len().saturating_sub(charges_left);
                state.charges.drain(..dropped);
                charges_left -= state.charges.len();
                customers.push(state);
                returned.extend(loans);
            }
        }
        for (data_centre, back) in returned {
            self.send_back(data_centre, back);
        }
        HandOver {
            partition,
            epoch,
            customers,
        }
    }

    /// Takes over a partition that its owner has given up: the level counts only for the host whose
    /// claim replaces the entry in the store. Tells whether this host owns it now.
    pub(super) async fn take_over(&self, from: HandOver) -> bool {
        let now = self.parts.clock.now();
        let claim = lock(&self.ownership).claim_handed_over(from.partition, from.epoch, now);
        let Some(claim) = claim else {
            return false;
        };
        let key = partition_key(&self.data_centre, claim.partition);
        let store = &self.parts.store;
        let value = claim.record.encode();
        let lease = Some(claim.record.lease);
        let revision = match store.swap(&key, claim.expected, value, lease).await {
            Ok(revision) => revision,
            Err(StoreError::Unknown { .. }) => match store.get(&key).await {
                Ok(Some(entry)) if is_record(&entry, &claim.record) => entry.revision,
                _ => return false,
            },
            Err(e) => {
                log::debug!("partition {} not taken over: {e}", claim.partition);
                return false;
            }
        };
        let customers: Vec<_> = from.customers.iter().map(|s| s.customer.clone()).collect();
        {
            let mut received = lock(&self.received);
            let states = from.customers.into_iter();
            received.extend(states.map(|state| (state.customer.clone(), (revision, state))));
        }
        lock(&self.ownership).note_claimed(claim, revision);
        for customer in customers {
            self.with_allowance(&customer, |_, _, _| ());
            // What was not used by now must not be added to what was gained since.
            lock(&self.received).remove(&customer);
        }
        self.owners_changed.send_modify(|count| *count += 1);
        true
    }
}

/// Repeats a store call once if it was throttled or its outcome is unknown.
async fn retry<F: Future<Output = Result<(), StoreError>>>(
    call: impl Fn() -> F,
) -> Result<(), StoreError> {
    let first = call().await;
    match &first {
        Err(StoreError::Throttled { retry_after }) => {
            tokio::time::sleep((*retry_after).min(RETRY_PAUSE)).await;
            call().await
        }
        Err(StoreError::Unknown { .. }) => call().await,
        _ => first,
    }
}

fn is_record(entry: &StoreEntry, record: &OwnerRecord) -> bool {
    OwnerRecord::decode(&entry.value).is_some_and(|stored| stored == *record)
}
