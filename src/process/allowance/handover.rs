//! The hand-over of an allowance to the next owner in the data centre, with its level, loans given and charges.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{BorrowReply, CustomerState, LoanState, ReturnLoan};

use super::loan_given::{LoanGiven, LoanTerm};
use super::{Allowance, CustomerLimit};

impl Allowance {
    /// Ends this allowance. Returns the state for the next owner, and the loans to return to their lenders.
    pub fn hand_over(
        mut self,
        customer: &CustomerId,
        now: Instant,
    ) -> (CustomerState, Vec<(DataCentreId, ReturnLoan)>) {
        self.advance(now);
        let loans: Vec<_> = self.taken.keys().copied().collect();
        let returned = loans
            .into_iter()
            .filter_map(|loan| self.return_loan(loan, customer, now))
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
            floor_wait: left(self.floor_free_from),
            whole_wait: left(self.home_free_from),
            given: given.collect(),
            charges,
            demand: self.demand.hand_over(now),
            shortage: self.shortage_left(now),
        };
        (state, returned)
    }

    /// Creates the allowance of a new ownership period from the state of the previous owner.
    ///
    /// Remaining times count from the receipt of the message with 2 % for clock drift, so they end later than they
    /// would have at the previous owner.
    pub fn from_hand_over(
        limit: CustomerLimit,
        epoch: Epoch,
        state: &CustomerState,
        now: Instant,
    ) -> Self {
        let until = |left: Duration| now + left + left / 50;
        let mut allowance = Self::new(limit, epoch, now);
        allowance.floor_free_from = until(state.floor_wait);
        allowance.home_free_from = until(state.whole_wait);
        allowance.given = state
            .given
            .iter()
            .map(|loan| {
                let term = LoanTerm {
                    rate: loan.rate,
                    burst: loan.burst,
                    until: until(loan.left),
                };
                let given = LoanGiven {
                    to: loan.to.clone(),
                    round: loan.round,
                    // The last reply is not handed over. A repeat gets no loan, and the borrower requests a new one.
                    last_reply: BorrowReply::Nothing,
                    terms: SmallVec::from_iter([term]),
                };
                (loan.loan, given)
            })
            .collect();
        allowance.demand.take_over(state.demand);
        allowance.restore_shortage(state.shortage, now);
        allowance.apply_shares(now);
        allowance.bucket.add(state.level, now);
        // Imported after the level: the headroom of the still empty bucket does not apply to these charges.
        allowance
            .charges
            .take_over(&state.charges, &mut allowance.bucket, now);
        allowance
    }
}
