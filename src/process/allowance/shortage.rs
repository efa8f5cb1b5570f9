//! Shortage: while a customer sends more than its rate, its lead data centre gathers the tokens.
//!
//! Spread over all data centres they lie in pieces that are each too small for the requests that wait,
//! although together they would suffice.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply};

use super::{Allowance, LOAN_TTL};

/// How long a shortage is assumed to last after its last sign; as long as the loans that it leads to.
const SHORTAGE: Duration = LOAN_TTL;
/// The least time between two rounds of the lead. It bounds the messages of customers that send many
/// small requests.
const GATHER_PAUSE: Duration = Duration::from_millis(100);

/// What a data centre knows about a customer's shortage.
#[derive(Debug, Default)]
pub struct Shortage {
    /// When it is assumed to be over, and whether this data centre leads.
    until: Option<(Instant, bool)>,
    /// No charge is forwarded before this time, because the lead did not answer.
    not_before: Option<Instant>,
    /// The lead's last round.
    gathered: Option<Instant>,
}

impl Allowance {
    /// Records that all data centres together have too few tokens. `leads` tells whether this one gathers
    /// them.
    pub fn note_shortage(&mut self, leads: bool, now: Instant) {
        self.shortage.until = Some((now + SHORTAGE, leads));
    }

    /// Records that a round of questions did not bring enough, which shows a shortage if demand is above
    /// the home share. A data centre that holds most of the rate already is no worse place than the lead.
    pub fn note_borrowing_failed(&mut self, leads: bool, now: Instant) {
        self.advance(now);
        let (held, _) = self.held();
        let scattered = leads || held <= WHOLE_SHARE / 2;
        if scattered && self.demand.share(self.limit.rate, now) > self.limit.home_share {
            self.note_shortage(leads, now);
        }
    }

    /// Records that the lead is silent. Charges are served as without a lead for a while.
    pub fn note_lead_unreachable(&mut self, now: Instant) {
        self.shortage.until = None;
        self.shortage.not_before = Some(now + SHORTAGE);
    }

    /// Tells whether a charge that doesn't fit goes to the lead.
    pub fn should_forward(&self, now: Instant) -> bool {
        let lost = self.shortage.not_before.is_some_and(|at| now < at);
        !lost && self.shortage(now) == Some(false)
    }

    /// Tells whether tokens are gathered here.
    pub fn is_gathering(&self, now: Instant) -> bool {
        self.shortage(now) == Some(true)
    }

    /// Applies the lead's answer to a charge that was forwarded.
    pub fn apply_forwarded_reply(&mut self, charge: &Charge, reply: &ChargeReply, now: Instant) {
        match reply {
            ChargeReply::Granted { .. } => self.demand.served(charge.request),
            ChargeReply::Later(_) => self.note_shortage(false, now),
            _ => {}
        }
    }

    /// Begins a round of questions at the lead, if the other data centres may have gained what a charge
    /// is missing since the last round emptied them.
    pub(super) fn begin_gathering(&mut self, tokens: Tokens, now: Instant) -> bool {
        let missing = tokens.saturating_sub(self.bucket.level(now));
        if let Some(last) = self.shortage.gathered {
            let elapsed = now.saturating_duration_since(last);
            let (held, _) = self.held();
            let elsewhere = u128::from(WHOLE_SHARE.saturating_sub(held));
            let gained = elapsed.as_nanos() * u128::from(self.limit.rate) * elsewhere;
            let needed = u128::from(missing) * 1_000_000_000 * u128::from(WHOLE_SHARE);
            if elapsed < GATHER_PAUSE || gained < needed {
                return false;
            }
        }
        self.shortage.gathered = Some(now);
        true
    }

    /// Returns how long the shortage is assumed to last, and whether this data centre leads.
    pub(super) fn shortage_left(&self, now: Instant) -> Option<(Duration, bool)> {
        let (until, leads) = self.shortage.until?;
        Some((until.checked_duration_since(now)?, leads))
    }

    /// Continues the shortage that the previous owner saw.
    pub(super) fn continue_shortage(&mut self, left: Option<(Duration, bool)>, now: Instant) {
        self.shortage.until = left.map(|(left, leads)| (now + left.min(SHORTAGE), leads));
    }

    fn shortage(&self, now: Instant) -> Option<bool> {
        let (until, leads) = self.shortage.until?;
        (now < until).then_some(leads)
    }
}
