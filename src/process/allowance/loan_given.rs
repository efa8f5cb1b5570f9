//! A loan in the lender's records.

use std::time::Instant;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::BorrowReply;

use super::lender_wait;

/// A loan to another data centre. A renewal adds a term that overlaps with the earlier one; the largest rate,
/// the largest burst and the latest end of the terms count.
#[derive(Debug)]
pub struct LoanGiven {
    pub to: DataCentreId,
    /// The number of the last renewal, 0 for the first request.
    pub round: u32,
    /// The reply to the request with number `round`, for repeats of that request.
    pub last_reply: BorrowReply,
    pub terms: SmallVec<[LoanTerm; 2]>,
}

/// Shares that are lent until a time.
#[derive(Debug, Clone, Copy)]
pub struct LoanTerm {
    pub rate: Share,
    pub burst: Share,
    pub until: Instant,
}

impl LoanGiven {
    pub fn rate(&self) -> Share {
        self.terms
            .iter()
            .map(|term| term.rate)
            .max()
            .unwrap_or_default()
    }

    pub fn burst(&self) -> Share {
        self.terms
            .iter()
            .map(|term| term.burst)
            .max()
            .unwrap_or_default()
    }

    pub fn until(&self) -> Instant {
        let ends = self.terms.iter().map(|term| term.until);
        ends.max().expect("a loan has a term")
    }

    pub fn next_end(&self) -> Instant {
        let ends = self.terms.iter().map(|term| term.until);
        ends.min().expect("a loan has a term")
    }

    /// Drops the terms that have ended. Returns whether any is left.
    pub fn drop_ended_terms(&mut self, now: Instant) -> bool {
        self.terms.retain(|term| term.until > now);
        !self.terms.is_empty()
    }

    /// Returns the reply to a repeated request: the last reply, with a time to live reduced by the time since then.
    pub fn reply_to_repeat(&self, round: u32, now: Instant) -> BorrowReply {
        let BorrowReply::Lent {
            rate,
            burst,
            tokens,
            ttl,
        } = self.last_reply
        else {
            return BorrowReply::Nothing;
        };
        let left = self.until().saturating_duration_since(now);
        let elapsed = lender_wait(ttl).saturating_sub(left);
        match ttl.checked_sub(elapsed) {
            Some(ttl) if round == self.round => BorrowReply::Lent {
                rate,
                burst,
                tokens,
                ttl,
            },
            _ => BorrowReply::Nothing,
        }
    }
}
