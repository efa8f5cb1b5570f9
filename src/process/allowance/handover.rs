//! A planned change of the owner within a data centre: the level, the loans given and the charges move along.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{BorrowReply, CustomerState, LoanState, ReturnLoan};

use super::given::{Given, Part};
use super::{Allowance, CustomerLimit};

impl Allowance {
    /// Ends the holding: returns what the next owner takes over, and the loans to return.
    pub fn hand_over(
        mut self,
        customer: &CustomerId,
        now: Instant,
    ) -> (CustomerState, Vec<(DataCentreId, ReturnLoan)>) {
        self.advance(now);
        let loans: Vec<_> = self.taken.keys().copied().collect();
        let returned = loans
            .into_iter()
            .filter_map(|loan| self.give_up(loan, customer, now))
            .collect();
        let charges = self.charges.hand_over(&mut self.bucket, now);
        let left = |until: Instant| until.saturating_duration_since(now);
        let given = self.given.iter().map(|(loan, given)| LoanState {
            loan: *loan,
            to: given.to.clone(),
            round: given.round,
            rate: given.rate(),
            burst: given.burst(),
            left: left(given.until()),
        });
        let state = CustomerState {
            customer: customer.clone(),
            level: self.bucket.level(now),
            floor_wait: left(self.floor_from),
            whole_wait: left(self.whole_from),
            given: given.collect(),
            charges,
            demand: self.demand.hand_over(now),
            shortage: self.shortage_left(now),
        };
        (state, returned)
    }

    /// Continues the holding of the previous owner in a new ownership period.
    ///
    /// The waits run from the receipt of the message, so they end later than at the previous owner.
    pub fn from_hand_over(
        limit: CustomerLimit,
        epoch: Epoch,
        state: &CustomerState,
        now: Instant,
    ) -> Self {
        let until = |left: Duration| now + left + left / 50;
        let mut allowance = Self::new(limit, epoch, now);
        allowance.floor_from = until(state.floor_wait);
        allowance.whole_from = until(state.whole_wait);
        allowance.given = state
            .given
            .iter()
            .map(|loan| {
                let part = Part {
                    rate: loan.rate,
                    burst: loan.burst,
                    until: until(loan.left),
                };
                let given = Given {
                    to: loan.to.clone(),
                    round: loan.round,
                    // A repeated question finds no answer here; the borrower then asks anew.
                    first: BorrowReply::Nothing,
                    parts: SmallVec::from_iter([part]),
                };
                (loan.loan, given)
            })
            .collect();
        allowance.demand.take_over(state.demand);
        allowance.continue_shortage(state.shortage, now);
        allowance.apply_shares(now);
        allowance.bucket.add(state.level, now);
        // The room of the bucket while it was still empty says nothing about these charges.
        allowance
            .charges
            .take_over(&state.charges, &mut allowance.bucket, now);
        allowance
    }
}
