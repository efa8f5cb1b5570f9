//! Loans between data centres: the borrower's and the lender's side.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{Borrow, BorrowReply, ReturnLoan};

use super::loan_given::{LoanGiven, LoanTerm};
use super::{Allowance, BURST_LOAN_TTL, FLOOR_DIVISOR, LOAN_TTL, lender_wait};

/// The pause after a charge requested loans. It doubles up to `MAX_BORROW_PAUSE` each time the loans did not
/// suffice, so that a customer above its rate costs few messages.
pub(super) const BORROW_PAUSE: Duration = Duration::from_secs(1);
const MAX_BORROW_PAUSE: Duration = Duration::from_secs(8);
/// Demand below this share counts as none, so that isolated requests do not prevent loans.
const MIN_DEMAND: Share = WHOLE_SHARE / 100;

/// A loan from another data centre.
#[derive(Debug)]
pub struct LoanTaken {
    pub from: DataCentreId,
    pub rate: Share,
    pub burst: Share,
    pub until: Instant,
    /// The number of the last renewal, 0 for the first request.
    round: u32,
    /// When it is renewed or returned; `until` if it is never renewed.
    renew_at: Instant,
}

/// A request for a loan or its renewal that is not answered yet.
#[derive(Debug)]
pub struct PendingLoan {
    from: DataCentreId,
    /// The time before the request was sent, from which the loan's time to live counts.
    asked_at: Instant,
    round: u32,
}

/// What a charge that exceeds the local level needs from other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanAmount {
    /// The share of the rate; 0 to request burst and tokens for a single charge only.
    pub rate: Share,
    /// The share of the burst.
    pub burst: Share,
    /// The tokens that the local bucket lacks.
    pub tokens: Tokens,
}

impl LoanAmount {
    /// Returns whether nothing needs to be borrowed. Burst is never needed alone.
    pub fn is_zero(&self) -> bool {
        self.tokens == 0 && self.rate == 0
    }
}

/// What to do about a loan taken whose time to live is half over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanAction {
    /// Request a renewal from this data centre.
    Renew(DataCentreId, Borrow),
    /// Return the loan to this data centre.
    Return(DataCentreId, ReturnLoan),
}

impl Allowance {
    /// Returns whether a charge of `tokens` that exceeds the local level may request loans now, and if so starts the
    /// pause until the next one may.
    pub fn begin_borrowing(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.is_gathering(now) {
            return self.begin_gathering(tokens, now);
        }
        if self.borrow_not_before.is_some_and(|at| now < at) {
            return false;
        }
        self.borrow_not_before = Some(now + self.borrow_pause);
        true
    }

    /// Returns whether requests for loans or renewals are unanswered.
    pub fn has_pending_loans(&self) -> bool {
        !self.pending_loans.is_empty()
    }

    /// Ends what `begin_borrowing` began. If the charge was `granted`, the next one may request loans at once.
    pub fn end_borrowing(&mut self, granted: bool) {
        if granted {
            self.borrow_not_before = None;
            self.borrow_pause = BORROW_PAUSE;
        } else {
            self.borrow_pause = (self.borrow_pause * 2).min(MAX_BORROW_PAUSE);
        }
    }

    /// Returns what to borrow for a charge of `tokens`: the rate that the current demand needs, and the missing tokens
    /// with the burst to hold them.
    pub fn amount_to_borrow(&mut self, tokens: Tokens, now: Instant) -> LoanAmount {
        self.advance(now);
        let (held_rate, held_burst) = self.held_shares();
        let demand = self.demand.share(self.limit.rate, now);
        // 25 % above the estimate, because the average lags behind rising demand.
        let rate = (demand + demand / 4).min(WHOLE_SHARE);
        // For a charge above the home share of the burst, only a loan without rate may include the floor.
        let burst_only = tokens > tokens_in_share(self.limit.burst, self.limit.home_share);
        let rate = if burst_only {
            0
        } else {
            rate.saturating_sub(held_rate)
        };
        let missing = tokens.saturating_sub(self.bucket.level(now));
        let excess = tokens.saturating_sub(self.bucket.capacity());
        // Tokens come with the burst that holds them, and a charge above the capacity needs that burst as well.
        let burst = self.share_of_burst(missing.max(excess)).max(rate);
        LoanAmount {
            rate,
            burst: burst.min(WHOLE_SHARE.saturating_sub(held_burst)),
            tokens: missing,
        }
    }

    /// Records a request for a loan, and returns the message to send to `from`.
    pub fn request_loan(
        &mut self,
        loan: LoanId,
        customer: &CustomerId,
        me: &DataCentreId,
        from: &DataCentreId,
        amount: LoanAmount,
        now: Instant,
    ) -> Borrow {
        let pending = PendingLoan {
            from: from.clone(),
            asked_at: now,
            round: 0,
        };
        self.pending_loans.insert(loan, pending);
        Borrow {
            loan,
            round: 0,
            customer: customer.clone(),
            data_centre: me.clone(),
            rate: amount.rate,
            burst: amount.burst,
            tokens: amount.tokens,
            gather: self.is_gathering(now),
        }
    }

    /// Applies the reply to a request for a loan or renewal. Duplicate, late and unexpected replies are ignored.
    pub fn apply_loan_reply(
        &mut self,
        loan: LoanId,
        round: u32,
        reply: &BorrowReply,
        now: Instant,
    ) {
        self.advance(now);
        let Some(pending) = self.pending_loans.get(&loan).filter(|a| a.round == round) else {
            return;
        };
        let (asked_at, from) = (pending.asked_at, pending.from.clone());
        self.pending_loans.remove(&loan);
        let BorrowReply::Lent {
            rate,
            burst,
            tokens,
            ttl,
        } = *reply
        else {
            return;
        };
        let until = asked_at + ttl;
        if now >= until {
            return;
        }
        let taken = LoanTaken {
            from,
            rate,
            burst,
            until,
            round,
            renew_at: if rate == 0 { until } else { asked_at + ttl / 2 },
        };
        self.taken.insert(loan, taken);
        self.apply_shares(now);
        self.bucket
            .add(tokens.min(tokens_in_share(self.limit.burst, burst)), now);
    }

    /// Removes a request that got no reply.
    pub fn drop_pending_loan(&mut self, loan: LoanId) {
        self.pending_loans.remove(&loan);
    }

    /// Returns the reply to another data centre's request. Lent shares and tokens are subtracted before it is sent.
    pub fn lend(&mut self, borrow: &Borrow, lease_until: Instant, now: Instant) -> BorrowReply {
        self.advance(now);
        let demand = self.demand.share(self.limit.rate, now);
        let above_home = demand > self.limit.home_share;
        // While demand here is above the home share, tokens go to the data centre that gathers them.
        let gathered = borrow.gather && above_home;
        // A borrower lends nothing, so that two data centres do not lend to each other in turn.
        let is_borrower = !gathered && !self.taken.is_empty();
        if now >= lease_until || now < self.home_free_from || is_borrower {
            return BorrowReply::Nothing;
        }
        let renewed = self.given.get(&borrow.loan);
        if let Some(given) = renewed.filter(|given| borrow.round <= given.round) {
            return given.reply_to_repeat(borrow.round, now);
        }
        let (renewed_rate, renewed_burst) = renewed.map_or((0, 0), |g| (g.rate(), g.burst()));
        let lent = |part: fn(&LoanGiven) -> Share| self.given.values().map(part).sum::<Share>();
        let free_rate =
            (self.limit.home_share + renewed_rate).saturating_sub(lent(LoanGiven::rate));
        let free_burst =
            (self.limit.home_share + renewed_burst).saturating_sub(lent(LoanGiven::burst));
        let (rate, burst, ttl) = if borrow.rate == 0 {
            (0, borrow.burst.min(free_burst), BURST_LOAN_TTL)
        } else {
            let own_demand = if gathered || demand < MIN_DEMAND {
                0
            } else {
                demand + demand / 4
            };
            let kept = own_demand.clamp(
                self.limit.home_share / FLOOR_DIVISOR,
                self.limit.home_share.max(1),
            );
            let rate = borrow.rate.min(free_rate.saturating_sub(kept));
            let burst = borrow.burst.min(free_burst.saturating_sub(kept));
            if rate > 0 && burst > 0 {
                (rate, burst, LOAN_TTL)
            } else if renewed.is_none() {
                // Without rate to spare, half of the level is lent for a single charge. A lender with demand
                // above its home share lends the whole level: otherwise what is left in each data centre may
                // be too little for any charge.
                let level = self.bucket.level(now);
                let level = if above_home { level } else { level / 2 };
                let level = self.share_of_burst(level);
                (0, borrow.burst.min(level).min(free_burst), BURST_LOAN_TTL)
            } else {
                return BorrowReply::Nothing;
            }
        };
        if burst == 0 {
            return BorrowReply::Nothing;
        }
        // Tokens move only together with burst. A renewal moves no burst, hence no tokens.
        let tokens = if renewed.is_none() {
            // Tokens above the remaining burst are included, because they would be discarded here.
            let (_, held) = self.held_shares();
            let fits = tokens_in_share(self.limit.burst, held.saturating_sub(burst));
            let excess = self.bucket.level(now).saturating_sub(fits);
            let wanted = if gathered { Tokens::MAX } else { borrow.tokens };
            let most = tokens_in_share(self.limit.burst, burst);
            self.bucket.remove(most.min(wanted.max(excess)), now)
        } else {
            0
        };
        let reply = BorrowReply::Lent {
            rate,
            burst,
            tokens,
            ttl,
        };
        let given = self.given.entry(borrow.loan).or_insert_with(|| LoanGiven {
            to: borrow.data_centre.clone(),
            round: 0,
            last_reply: BorrowReply::Nothing,
            terms: SmallVec::new(),
        });
        given.round = borrow.round;
        given.last_reply = reply.clone();
        given.terms.push(LoanTerm {
            rate,
            burst,
            until: now + lender_wait(ttl),
        });
        self.apply_shares(now);
        reply
    }

    /// Ends a loan that its borrower returned early, and adds the returned tokens.
    pub fn reclaim(&mut self, back: &ReturnLoan, now: Instant) {
        self.advance(now);
        if let Some(given) = self.given.remove(&back.loan) {
            self.apply_shares(now);
            let most = tokens_in_share(self.limit.burst, given.burst());
            self.bucket.add(back.tokens.min(most), now);
        }
    }

    /// Ends the loans taken without rate. Returns the messages to their lenders.
    pub fn return_burst_loans(
        &mut self,
        customer: &CustomerId,
        now: Instant,
    ) -> Vec<(DataCentreId, ReturnLoan)> {
        self.advance(now);
        let loans = self.taken.iter().filter(|(_, t)| t.rate == 0);
        let loans: Vec<_> = loans.map(|(id, _)| *id).collect();
        loans
            .into_iter()
            .filter_map(|loan| self.return_loan(loan, customer, now))
            .collect()
    }

    /// Returns the renewals to request and the loans to return among the loans taken that are due.
    pub fn process_due_loans(
        &mut self,
        customer: &CustomerId,
        me: &DataCentreId,
        now: Instant,
    ) -> Vec<LoanAction> {
        self.advance(now);
        let due = self.taken.iter().filter(|(_, t)| t.renew_at <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        let (gather, forwards) = (self.is_gathering(now), self.should_forward(now));
        let mut actions = Vec::new();
        for loan in due {
            let demand = self.demand.share(self.limit.rate, now);
            let (held, _) = self.held_shares();
            let Some(taken) = self.taken.get_mut(&loan) else {
                continue;
            };
            // A loan is renewed until demand is 20 % below the share held without it.
            let without = held.saturating_sub(taken.rate);
            if !forwards && demand >= MIN_DEMAND && demand > without - without / 5 {
                taken.round += 1;
                taken.renew_at = taken.until;
                let pending = PendingLoan {
                    from: taken.from.clone(),
                    asked_at: now,
                    round: taken.round,
                };
                self.pending_loans.insert(loan, pending);
                let borrow = Borrow {
                    loan,
                    round: taken.round,
                    customer: customer.clone(),
                    data_centre: me.clone(),
                    rate: taken.rate,
                    burst: taken.burst,
                    tokens: 0,
                    gather,
                };
                actions.push(LoanAction::Renew(taken.from.clone(), borrow));
            } else if let Some((to, back)) = self.return_loan(loan, customer, now) {
                actions.push(LoanAction::Return(to, back));
            }
        }
        actions
    }

    /// Returns when the next loan taken is due or ends; `None` without loans taken.
    pub fn next_loan_due(&self) -> Option<Instant> {
        self.taken.values().map(|t| t.renew_at.min(t.until)).min()
    }

    /// Ends a loan taken. The tokens above the remaining burst go back to the lender with it.
    pub(super) fn return_loan(
        &mut self,
        loan: LoanId,
        customer: &CustomerId,
        now: Instant,
    ) -> Option<(DataCentreId, ReturnLoan)> {
        let taken = self.taken.remove(&loan)?;
        self.pending_loans.remove(&loan);
        let (_, burst) = self.held_shares();
        let kept = tokens_in_share(self.limit.burst, burst);
        let excess = self.bucket.level(now).saturating_sub(kept);
        let excess = excess.min(tokens_in_share(self.limit.burst, taken.burst));
        let tokens = self.bucket.remove(excess, now);
        self.apply_shares(now);
        let back = ReturnLoan {
            loan,
            customer: customer.clone(),
            tokens,
        };
        Some((taken.from, back))
    }

    /// Returns the share of the burst that holds `tokens`.
    fn share_of_burst(&self, tokens: Tokens) -> Share {
        let parts = u128::from(tokens) * u128::from(WHOLE_SHARE);
        let parts = parts.div_ceil(u128::from(self.limit.burst.max(1)));
        Share::try_from(parts)
            .unwrap_or(WHOLE_SHARE)
            .min(WHOLE_SHARE)
    }
}

/// Returns a share of `tokens`, rounded down.
fn tokens_in_share(tokens: Tokens, share: Share) -> Tokens {
    let part = u128::from(tokens) * u128::from(share) / u128::from(WHOLE_SHARE);
    Tokens::try_from(part).unwrap_or(Tokens::MAX)
}
