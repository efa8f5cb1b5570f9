//! Loans between data centres, from both sides.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{Borrow, BorrowReply, ReturnLoan};

use super::given::{Given, Part};
use super::{Allowance, BURST_LOAN_TTL, FLOOR_DIVISOR, LOAN_TTL, lender_wait};

/// The pause after a round of questions; it doubles up to the longest with each round that brought too
/// little, so that a customer above its rate costs few messages.
pub(super) const ASK_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_ASK_PAUSE: Duration = Duration::from_secs(8);
/// Demand below this share counts as none, so that single requests block no loans.
const NO_DEMAND: Share = WHOLE_SHARE / 100;

/// A loan taken.
#[derive(Debug)]
pub struct Taken {
    pub from: DataCentreId,
    pub rate: Share,
    pub burst: Share,
    pub until: Instant,
    round: u32,
    renew_at: Instant,
}

/// A question for a loan that is under way.
#[derive(Debug)]
pub struct Asked {
    from: DataCentreId,
    at: Instant,
    round: u32,
}

/// What a charge that doesn't fit needs from other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanAmount {
    /// The part of the rate; 0 to collect tokens for one charge.
    pub rate: Share,
    /// The part of the burst.
    pub burst: Share,
    /// The tokens.
    pub tokens: Tokens,
}

impl LoanAmount {
    /// Tells whether nothing is left to ask for.
    pub fn is_zero(&self) -> bool {
        self.tokens == 0 && self.rate == 0
    }
}

/// What to do about a loan that is at half of its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanAction {
    /// Ask this data centre to renew.
    Renew(DataCentreId, Borrow),
    /// Tell this data centre that the loan is over.
    Return(DataCentreId, ReturnLoan),
}

impl Allowance {
    /// Begins a round of questions for a charge that didn't fit, unless one was made just now.
    pub fn begin_borrowing(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.is_gathering(now) {
            return self.begin_gathering(tokens, now);
        }
        if self.next_ask.is_some_and(|at| now < at) {
            return false;
        }
        self.next_ask = Some(now + self.ask_pause);
        true
    }

    /// Tells whether questions for loans are under way.
    pub fn has_pending_loans(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Ends a round; after one that brought what was needed, the next may begin at once.
    pub fn end_borrowing(&mut self, met: bool) {
        if met {
            self.next_ask = None;
            self.ask_pause = ASK_PAUSE;
        } else {
            self.ask_pause = (self.ask_pause * 2).min(LONGEST_ASK_PAUSE);
        }
    }

    /// Returns what is missing for a charge of `tokens`.
    pub fn amount_to_borrow(&mut self, tokens: Tokens, now: Instant) -> LoanAmount {
        self.advance(now);
        let (held_rate, held_burst) = self.held();
        let demand = self.demand.share(self.limit.rate, now);
        // A quarter more than the estimate, because the average lags behind rising demand.
        let rate = (demand + demand / 4).min(WHOLE_SHARE);
        // A charge above the home part is collected: only such a loan may include the floor.
        let collect = tokens > share_of(self.limit.burst, self.limit.home_share);
        let rate = if collect {
            0
        } else {
            rate.saturating_sub(held_rate)
        };
        let missing = tokens.saturating_sub(self.bucket.level(now));
        let over = tokens.saturating_sub(self.bucket.capacity());
        // Room for what is missing comes with the tokens; a charge above the capacity needs both.
        let burst = self.share_of_burst(missing.max(over)).max(rate);
        LoanAmount {
            rate,
            burst: burst.min(WHOLE_SHARE.saturating_sub(held_burst)),
            tokens: missing,
        }
    }

    /// Records a question for a loan before it is sent to `from`.
    pub fn request_loan(
        &mut self,
        loan: LoanId,
        customer: &CustomerId,
        me: &DataCentreId,
        from: &DataCentreId,
        amount: LoanAmount,
        now: Instant,
    ) -> Borrow {
        let asked = Asked {
            from: from.clone(),
            at: now,
            round: 0,
        };
        self.asked.insert(loan, asked);
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

    /// Applies the answer to a question; a repeated, late or unasked one is dropped.
    pub fn apply_loan_reply(
        &mut self,
        loan: LoanId,
        round: u32,
        reply: &BorrowReply,
        now: Instant,
    ) {
        self.advance(now);
        let Some(asked) = self.asked.get(&loan).filter(|a| a.round == round) else {
            return;
        };
        let (at, from) = (asked.at, asked.from.clone());
        self.asked.remove(&loan);
        let BorrowReply::Lent {
            rate,
            burst,
            tokens,
            ttl,
        } = *reply
        else {
            return;
        };
        let until = at + ttl;
        if now >= until {
            return;
        }
        let taken = Taken {
            from,
            rate,
            burst,
            until,
            round,
            renew_at: if rate == 0 { until } else { at + ttl / 2 },
        };
        self.taken.insert(loan, taken);
        self.apply_shares(now);
        self.bucket
            .add(tokens.min(share_of(self.limit.burst, burst)), now);
    }

    /// Drops a question that got no answer.
    pub fn drop_pending_loan(&mut self, loan: LoanId) {
        self.asked.remove(&loan);
    }

    /// Answers another data centre's question. What is lent is subtracted before the answer.
    pub fn lend(&mut self, borrow: &Borrow, lease_until: Instant, now: Instant) -> BorrowReply {
        self.advance(now);
        let demand = self.demand.share(self.limit.rate, now);
        let above_home = demand > self.limit.home_share;
        // What doesn't fit here any more goes to the data centre that gathers the tokens.
        let gathered = borrow.gather && above_home;
        // A borrower lends nothing, so that loans don't go back and forth.
        let borrows = !gathered && !self.taken.is_empty();
        if now >= lease_until || now < self.whole_from || borrows {
            return BorrowReply::Nothing;
        }
        let renewed = self.given.get(&borrow.loan);
        if let Some(given) = renewed.filter(|given| borrow.round <= given.round) {
            return given.repeat(borrow.round, now);
        }
        let (own_rate, own_burst) = renewed.map_or((0, 0), |g| (g.rate(), g.burst()));
        let others = |part: fn(&Given) -> Share| self.given.values().map(part).sum::<Share>();
        let free_rate = (self.limit.home_share + own_rate).saturating_sub(others(Given::rate));
        let free_burst = (self.limit.home_share + own_burst).saturating_sub(others(Given::burst));
        let (rate, burst, ttl) = if borrow.rate == 0 {
            (0, borrow.burst.min(free_burst), BURST_LOAN_TTL)
        } else {
            let own = if gathered || demand < NO_DEMAND {
                0
            } else {
                demand + demand / 4
            };
            let kept = own.clamp(
                self.limit.home_share / FLOOR_DIVISOR,
                self.limit.home_share.max(1),
            );
            let rate = borrow.rate.min(free_rate.saturating_sub(kept));
            let burst = borrow.burst.min(free_burst.saturating_sub(kept));
            if rate > 0 && burst > 0 {
                (rate, burst, LOAN_TTL)
            } else if renewed.is_none() {
                // Without rate to spare, half of the level still helps out for a single charge. A lender
                // above its own rate lends all of it: what is left there, and in every other data centre,
                // would be enough for none of the charges.
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
        // Tokens move only with burst that moves with them, never with a renewal.
        let tokens = if renewed.is_none() {
            // What no longer fits here goes along, so that it isn't lost.
            let (_, held) = self.held();
            let fits = share_of(self.limit.burst, held.saturating_sub(burst));
            let over = self.bucket.level(now).saturating_sub(fits);
            let wanted = if gathered { Tokens::MAX } else { borrow.tokens };
            let most = share_of(self.limit.burst, burst);
            self.bucket.remove(most.min(wanted.max(over)), now)
        } else {
            0
        };
        let reply = BorrowReply::Lent {
            rate,
            burst,
            tokens,
            ttl,
        };
        let given = self.given.entry(borrow.loan).or_insert_with(|| Given {
            to: borrow.data_centre.clone(),
            round: 0,
            first: BorrowReply::Nothing,
            parts: SmallVec::new(),
        });
        given.round = borrow.round;
        given.first = reply.clone();
        given.parts.push(Part {
            rate,
            burst,
            until: now + lender_wait(ttl),
        });
        self.apply_shares(now);
        reply
    }

    /// Takes back a loan that its borrower no longer uses.
    pub fn reclaim(&mut self, back: &ReturnLoan, now: Instant) {
        self.advance(now);
        if let Some(given) = self.given.remove(&back.loan) {
            self.apply_shares(now);
            let most = share_of(self.limit.burst, given.burst());
            self.bucket.add(back.tokens.min(most), now);
        }
    }

    /// Gives up the loans that were collected for a charge and are still held.
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
            .filter_map(|loan| self.give_up(loan, customer, now))
            .collect()
    }

    /// Returns what to do about the loans taken that are at half of their time.
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
            let (held, _) = self.held();
            let Some(taken) = self.taken.get_mut(&loan) else {
                continue;
            };
            // A loan is kept until demand is a fifth below what is held without it.
            let without = held.saturating_sub(taken.rate);
            if !forwards && demand >= NO_DEMAND && demand > without - without / 5 {
                taken.round += 1;
                taken.renew_at = taken.until;
                let asked = Asked {
                    from: taken.from.clone(),
                    at: now,
                    round: taken.round,
                };
                self.asked.insert(loan, asked);
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
            } else if let Some((to, back)) = self.give_up(loan, customer, now) {
                actions.push(LoanAction::Return(to, back));
            }
        }
        actions
    }

    /// Returns when `process_due_loans` has something to do; `None` without loans taken.
    pub fn next_loan_due(&self) -> Option<Instant> {
        self.taken.values().map(|t| t.renew_at.min(t.until)).min()
    }

    /// Gives up a loan taken; the burst goes back with the tokens that no longer fit.
    pub(super) fn give_up(
        &mut self,
        loan: LoanId,
        customer: &CustomerId,
        now: Instant,
    ) -> Option<(DataCentreId, ReturnLoan)> {
        let taken = self.taken.remove(&loan)?;
        self.asked.remove(&loan);
        let (_, burst) = self.held();
        let kept = share_of(self.limit.burst, burst);
        let over = self.bucket.level(now).saturating_sub(kept);
        let over = over.min(share_of(self.limit.burst, taken.burst));
        let tokens = self.bucket.remove(over, now);
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

/// Returns the whole tokens in a share of `tokens`.
fn share_of(tokens: Tokens, share: Share) -> Tokens {
    let part = u128::from(tokens) * u128::from(share) / u128::from(WHOLE_SHARE);
    Tokens::try_from(part).unwrap_or(Tokens::MAX)
}
