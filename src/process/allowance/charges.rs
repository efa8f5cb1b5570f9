//! The charges that a bucket remembers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, ChargeState, Settle};
use crate::process::token_bucket::TokenBucket;

use super::GRANT_VALIDITY;

/// How long a charge is remembered; longer than any stream. A later settlement is lost.
const MEMORY: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct Record {
    tokens: Tokens,
    /// The ownership period of the charge; an earlier one if the charge was handed over.
    epoch: Epoch,
    take: u64,
    at: Instant,
    settled: bool,
}

/// The charges of the last minutes.
#[derive(Debug, Default)]
pub struct Charges {
    records: HashMap<RequestId, Record>,
    order: VecDeque<(Instant, RequestId, u64)>,
}

impl Charges {
    /// Answers a repeated charge; `None` if it has to be charged.
    ///
    /// An answer that is no longer valid is not repeated: it would be spent long after it was counted.
    pub fn repeat(&self, charge: &Charge, epoch: Epoch, now: Instant) -> Option<ChargeReply> {
        let record = self.records.get(&charge.request)?;
        if record.settled {
            // Only a late copy of a message asks again after the settlement.
            return Some(ChargeReply::Refused {
                retry_after: GRANT_VALIDITY,
                level: 0,
            });
        }
        // The age of a charge that was handed over is known only roughly.
        let recent = now.saturating_duration_since(record.at) < GRANT_VALIDITY;
        let valid = recent && record.epoch == epoch;
        (valid && record.tokens == charge.tokens).then_some(ChargeReply::Granted { epoch })
    }

    /// Remembers a charge as the bucket's `take`.
    pub fn remember(&mut self, charge: &Charge, epoch: Epoch, take: u64, at: Instant) {
        let record = Record {
            tokens: charge.tokens,
            epoch,
            take,
            at,
            settled: false,
        };
        self.records.insert(charge.request, record);
        self.order.push_back((at, charge.request, take));
    }

    /// Returns the charges that are not settled, for the next owner.
    pub fn hand_over(&self, bucket: &mut TokenBucket, now: Instant) -> Vec<ChargeState> {
        let mut open: Vec<_> = self.records.iter().filter(|(_, r)| !r.settled).collect();
        open.sort_by_key(|(_, record)| record.take);
        let state = |(request, record): &(&RequestId, &Record)| ChargeState {
            request: **request,
            epoch: record.epoch,
            tokens: record.tokens,
            room: bucket.headroom_since(record.take, now),
            age: now.saturating_duration_since(record.at),
        };
        open.iter().map(state).collect()
    }

    /// Continues the charges of the previous owner, as takes of the new bucket.
    pub fn take_over(&mut self, charges: &[ChargeState], bucket: &mut TokenBucket, now: Instant) {
        for state in charges {
            let record = Record {
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

    /// Marks a charge as settled and returns its take and the tokens to return, none for a repeat; `None` for a
    /// charge that isn't known here.
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

    /// Forgets old charges and returns the last take that was forgotten.
    pub fn forget_old(&mut self, now: Instant) -> Option<u64> {
        let mut last = None;
        while let Some(&(at, request, take)) = self.order.front() {
            if now.saturating_duration_since(at) < MEMORY {
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
