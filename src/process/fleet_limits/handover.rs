//! Hands partitions over to other hosts of the data centre, to rebalance them and when this host leaves.

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

/// How long the next owner may take to reply. It needs a message and a store write, which take milliseconds.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(250);
/// The most charges in a message. Each takes at most 58 bytes, and a message is limited to 1 MiB.
const MAX_CHARGES_PER_MESSAGE: usize = 10_000;
/// How long a leaving host hands partitions over; then the revocation of its lease deletes the remaining entries.
const HAND_OVER_ALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The most concurrent hand-overs of a leaving host, so that one host does not exhaust the store's call rate.
const MAX_CONCURRENT_HAND_OVERS: usize = 8;
/// How long the revocation of the lease may take, with one retry.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest pause before a throttled store call is retried.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl FleetLimits {
    /// Hands all partitions over to other hosts of the data centre. Called when this host leaves.
    pub async fn hand_over_all(&self) {
        let (released, lease) = lock(&self.ownership).release_all();
        let all = async {
            let mut waiting = released.into_iter();
            let hand = |(partition, epoch)| self.hand_over_or_delete(partition, epoch);
            let first: Vec<_> = waiting.by_ref().take(MAX_CONCURRENT_HAND_OVERS).collect();
            let mut running: FuturesUnordered<_> = first.into_iter().map(hand).collect();
            while running.next().await.is_some() {
                running.extend(waiting.next().map(hand));
            }
        };
        if timeout(HAND_OVER_ALL_TIMEOUT, all).await.is_err() {
            log::warn!("could not hand over all partitions in {HAND_OVER_ALL_TIMEOUT:?}");
        }
        lock(&self.ownership).end_all_hand_overs();
        if let Some(lease) = lease {
            // Deletes the remaining entries, and makes claims fail that were sent before.
            let revoke = retry(|| self.parts.store.revoke_lease(lease));
            match timeout(REVOKE_TIMEOUT, revoke).await {
                Ok(Ok(()) | Err(StoreError::LeaseGone)) => {}
                Ok(Err(e)) => log::warn!(
                    "could not revoke the ownership lease; its entries stay until it expires: {e}"
                ),
                Err(_) => log::warn!(
                    "could not revoke the ownership lease in {REVOKE_TIMEOUT:?}; its entries stay until it expires"
                ),
            }
        }
    }

    /// Hands a released partition over, or deletes its entry so that another host can claim it.
    async fn hand_over_or_delete(&self, partition: Partition, epoch: Epoch) {
        let message = self.remove_partition(partition, epoch);
        if !self.hand_over(message).await {
            let key = partition_key(&self.data_centre, partition);
            let deleted = retry(|| self.parts.store.delete(&key, epoch)).await;
            match deleted {
                // On a conflict the next owner has claimed it, or the first of two calls has deleted it.
                Ok(()) | Err(StoreError::Conflict { .. }) => {}
                Err(e) => log::warn!("could not hand over or delete partition {partition}: {e}"),
            }
        }
        lock(&self.ownership).end_hand_over(partition);
    }

    /// Hands over up to `most` partitions that rendezvous hashing assigns to other hosts. Returns how many those hosts
    /// took over and how many they did not.
    pub(super) async fn rebalance(&self, most: usize) -> (usize, usize) {
        let owned = lock(&self.ownership).owned();
        let misplaced = owned.into_iter().filter(|partition| {
            let next = self.preferred_owner(&self.data_centre, *partition);
            next.is_some_and(|host| host != self.host)
        });
        let misplaced: Vec<_> = misplaced.take(most).collect();
        let (mut accepted, mut declined) = (0, 0);
        for partition in misplaced {
            let Some(epoch) = lock(&self.ownership).release(partition) else {
                continue;
            };
            let message = self.remove_partition(partition, epoch);
            if self.hand_over(message.clone()).await {
                accepted += 1;
            } else {
                // Claims the partition again; the store refuses if the next owner has claimed it.
                self.take_over(message).await;
                declined += 1;
            }
            lock(&self.ownership).end_hand_over(partition);
        }
        (accepted, declined)
    }

    /// Sends a released partition to its next owner. Returns whether that host confirmed to have taken it over.
    async fn hand_over(&self, message: HandOver) -> bool {
        let key = partition_rank_key(message.partition);
        let ranked = owners(&*self.parts.members, &self.data_centre, &key);
        let Some(to) = ranked.into_iter().find(|host| *host != self.host) else {
            return false;
        };
        let ask = self.parts.peers.ask(&to, PeerRequest::HandOver(message));
        let reply = timeout(HAND_OVER_TIMEOUT, ask).await;
        matches!(reply, Ok(Ok(PeerReply::Ack)))
    }

    /// Removes the allowances of a released partition's customers and returns the message for the next owner. No charge
    /// can create new ones, because the partition is not owned any more.
    fn remove_partition(&self, partition: Partition, epoch: Epoch) -> HandOver {
        let mut customers = Vec::new();
        let mut returned = Vec::new();
        let mut charges_left = MAX_CHARGES_PER_MESSAGE;
        for mut shard in self.held.iter() {
            let now = self.parts.clock.now();
            let moved = shard.extract_if(|customer, _| partition_of(customer) == partition);
            for (customer, held) in moved {
                let (mut state, loans) = held.allowance.hand_over(&customer, now);
                // Drops the oldest charges if there are too many. Their unused tokens can't be returned, which
                // costs the customer tokens but never exceeds its limit.
                let dropped = state.charges.len().saturating_sub(charges_left);
                state.charges.drain(..dropped);
                charges_left -= state.charges.len();
                customers.push(state);
                returned.extend(loans);
            }
        }
        for (data_centre, back) in returned {
            self.return_loan(data_centre, back);
        }
        HandOver {
            partition,
            epoch,
            customers,
        }
    }

    /// Takes over a partition that its owner has released. The levels apply only at the host whose claim replaces the
    /// entry in the store. Returns whether this host owns the partition now.
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
                log::debug!("could not take over partition {}: {e}", claim.partition);
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
            // A state that no allowance was created from must not be added later to tokens gained since.
            lock(&self.received).remove(&customer);
        }
        self.owners_changed.send_modify(|count| *count += 1);
        true
    }
}

/// Makes a store call, and repeats it once if it was throttled or its outcome is unknown.
async fn retry<F: Future<Output = Result<(), StoreError>>>(
    call: impl Fn() -> F,
) -> Result<(), StoreError> {
    let first = call().await;
    match &first {
        Err(StoreError::Throttled { retry_after }) => {
            tokio::time::sleep((*retry_after).min(MAX_RETRY_PAUSE)).await;
            call().await
        }
        Err(StoreError::Unknown { .. }) => call().await,
        _ => first,
    }
}

fn is_record(entry: &StoreEntry, record: &OwnerRecord) -> bool {
    OwnerRecord::decode(&entry.value).is_some_and(|stored| stored == *record)
}
