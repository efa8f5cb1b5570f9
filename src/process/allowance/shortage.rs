//! Shortage: while a customer's demand exceeds its rate, one data centre, its lead, gathers the tokens.
//!
//! Otherwise the level of each data centre may be too low for every waiting request although all levels together
//! would suffice for some of them.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply};

use super::{Allowance, LOAN_TTL};

/// How long a shortage is assumed to last after it was last detected; as long as the loans that it leads to.
const SHORTAGE_TTL: Duration = LOAN_TTL;
/// The least time between two rounds in which the lead requests loans. It bounds the messages for customers that
/// send many small requests.
const MIN_GATHER_INTERVAL: Duration = Duration::from_millis(100);

/// What a data centre knows about a customer's shortage.
#[derive(Debug, Default)]
pub struct Shortage {
    /// When it is assumed to be over, and whether this data centre is the lead.
    until: Option<(Instant, bool)>,
    /// No charge is forwarded before this time. Set when the lead did not answer.
    no_forwarding_before: Option<Instant>,
    /// When this data centre last gathered tokens as the lead.
    last_gathered: Option<Instant>,
}

impl Allowance {
    /// Records that all data centres together have too few tokens. `is_lead` is whether this one gathers them.
    pub fn note_shortage(&mut self, is_lead: bool, now: Instant) {
        self.shortage.until = Some((now + SHORTAGE_TTL, is_lead));
    }

    /// Records that the loans requested for a charge did not suffice. This is a shortage if demand here is above the
    /// home share, unless this data centre already holds most of the rate: it can then serve charges as well as the
    /// lead.
    pub fn note_borrowing_failed(&mut self, is_lead: bool, now: Instant) {
        self.advance(now);
        let (held, _) = self.held_shares();
        let gathering_helps = is_lead || held <= WHOLE_SHARE / 2;
        if gathering_helps && self.demand.share(self.limit.rate, now) > self.limit.home_share {
            self.note_shortage(is_lead, now);
        }
    }

    /// Records that the lead did not answer. No charges are forwarded for `SHORTAGE_TTL`.
    pub fn note_lead_unreachable(&mut self, now: Instant) {
        self.shortage.until = None;
        self.shortage.no_forwarding_before = Some(now + SHORTAGE_TTL);
    }

    /// Returns whether a charge that exceeds the local level is forwarded to the lead.
    pub fn should_forward(&self, now: Instant) -> bool {
        let paused = self
            .shortage
            .no_forwarding_before
            .is_some_and(|at| now < at);
        !paused && self.active_shortage(now) == Some(false)
    }

    /// Returns whether this data centre gathers tokens as the lead.
    pub fn is_gathering(&self, now: Instant) -> bool {
        self.active_shortage(now) == Some(true)
    }

    /// Applies the lead's reply to a forwarded charge.
    pub fn apply_forwarded_reply(&mut self, charge: &Charge, reply: &ChargeReply, now: Instant) {
        match reply {
            ChargeReply::Granted { .. } => self.demand.mark_served(charge.request),
            ChargeReply::Later(_) => self.note_shortage(false, now),
            _ => {}
        }
    }

    /// Returns whether the lead may request loans for a charge, and if so records the time. It may if the other data
    /// centres, emptied by the last round, have gained the missing tokens since.
    pub(super) fn begin_gathering(&mut self, tokens: Tokens, now: Instant) -> bool {
        let missing = tokens.saturating_sub(self.bucket.level(now));
        if let Some(last) = self.shortage.last_gathered {
            let elapsed = now.saturating_duration_since(last);
            let (held, _) = self.held_shares();
            let remote_share = u128::from(WHOLE_SHARE.saturating_sub(held));
            let gained = elapsed.as_nanos() * u128::from(self.limit.rate) * remote_share;
            let needed = u128::from(missing) * 1_000_000_000 * u128::from(WHOLE_SHARE);
            if elapsed < MIN_GATHER_INTERVAL || gained < needed {
                return false;
            }
        }
        self.shortage.last_gathered = Some(now);
        true
    }

    /// Returns how long the shortage is still assumed to last, and whether this data centre is the lead; `None` if
    /// there is none.
    pub(super) fn shortage_left(&self, now: Instant) -> Option<(Duration, bool)> {
        let (until, is_lead) = self.shortage.until?;
        Some((until.checked_duration_since(now)?, is_lead))
    }

    /// Sets the shortage to what the previous owner's `shortage_left` returned.
    pub(super) fn restore_shortage(&mut self, left: Option<(Duration, bool)>, now: Instant) {
        self.shortage.until = left.map(|(left, is_lead)| (now + left.min(SHORTAGE_TTL), is_lead));
    }

    /// Returns whether this data centre is the lead; `None` if there is no shortage.
    fn active_shortage(&self, now: Instant) -> Option<bool> {
        let (until, is_lead) = self.shortage.until?;
        (now < until).then_some(is_lead)
    }
}
