//! The recent charges of a bucket, so that repeats are not charged again and unused tokens can be returned.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, ChargeState, Settle};
use crate::process::token_bucket::TokenBucket;

use super::GRANT_VALIDITY;

/// How long a charge is kept; longer than any stream lasts. A later settlement is ignored.
const RETENTION: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct ChargeRecord {
    tokens: Tokens,
    /// The ownership period in which the tokens were charged; an earlier one if the charge was handed over.
    epoch: Epoch,
    /// The take of the bucket that the tokens belong to.
    take: u64,
    at: Instant,
    settled: bool,
}

/// The charges of the last `RETENTION`.
#[derive(Debug, Default)]
pub struct Charges {
    records: HashMap<RequestId, ChargeRecord>,
    /// Time, request and take of each record, oldest first.
    order: VecDeque<(Instant, RequestId, u64)>,
}

impl Charges {
    /// Returns the reply to a repeated charge; `None` if the tokens have to be charged.
    ///
    /// A grant that is no longer valid is not repeated: it would be used long after its tokens were counted.
    pub fn reply_to_repeat(
        &self,
        charge: &Charge,
        epoch: Epoch,
        now: Instant,
    ) -> Option<ChargeReply> {
        let record = self.records.get(&charge.request)?;
        if record.settled {
            // A settled request sends no more charges, so this is a delayed copy of an earlier message.
            return Some(ChargeReply::Refused {
                retry_after: GRANT_VALIDITY,
                level: 0,
            });
        }
        // A grant of an earlier ownership period is not repeated: after a hand-over its age is only approximate.
        let recent = now.saturating_duration_since(record.at) < GRANT_VALIDITY;
        let valid = recent && record.epoch == epoch;
        (valid && record.tokens == charge.tokens).then_some(ChargeReply::Granted { epoch })
    }

    /// Records a granted charge as number `take` of the bucket.
    pub fn insert(&mut self, charge: &Charge, epoch: Epoch, take: u64, at: Instant) {
        let record = ChargeRecord {
            tokens: charge.tokens,
            epoch,
            take,
            at,
            settled: false,
        };
        self.records.insert(charge.request, record);
        self.order.push_back((at, charge.request, take));
    }

    /// Returns the unsettled charges, oldest first, for the next owner.
    pub fn hand_over(&self, bucket: &mut TokenBucket, now: Instant) -> Vec<ChargeState> {
        let mut unsettled: Vec<_> = self.records.iter().filter(|(_, r)| !r.settled).collect();
        unsettled.sort_by_key(|(_, record)| record.take);
        let state = |(request, record): &(&RequestId, &ChargeRecord)| ChargeState {
            request: **request,
            epoch: record.epoch,
            tokens: record.tokens,
            room: bucket.headroom_since(record.take, now),
            age: now.saturating_duration_since(record.at),
        };
        unsettled.iter().map(state).collect()
    }

    /// Imports the charges of the previous owner as takes of the new bucket.
    pub fn take_over(&mut self, charges: &[ChargeState], bucket: &mut TokenBucket, now: Instant) {
        for state in charges {
            let record = ChargeRecord {
                tokens: state.tokens,
                epoch: state.epoch,
                take: bucket.import_take(state.room),
                at: now.checked_sub(state.age).unwrap_or(now),
                settled: false,
            };
            self.order
                .push_back((record.at, state.request, record.take));
            self.records.insert(state.request, record);
        }
    }

    /// Marks a charge as settled. Returns its take and the tokens to return, 0 if it was settled before; `None` if
    /// the charge is not known here.
    pub fn settle(&mut self, settle: &Settle) -> Option<(u64, Tokens)> {
        let record = self.records.get_mut(&settle.request)?;
        if record.epoch != settle.epoch {
            return None;
        }
        if std::mem::replace(&mut record.settled, true) {
            return Some((record.take, 0));
        }
        Some((record.take, settle.unused.min(record.tokens)))
    }

    /// Drops the charges older than `RETENTION` and returns the last take dropped.
    pub fn expire(&mut self, now: Instant) -> Option<u64> {
        let mut last = None;
        while let Some(&(at, request, take)) = self.order.front() {
            if now.saturating_duration_since(at) < RETENTION {
                break;
            }
            self.order.pop_front();
            if self.records.get(&request).is_some_and(|r| r.take == take) {
                self.records.remove(&request);
            }
            last = Some(take);
        }
        last
    }
}
