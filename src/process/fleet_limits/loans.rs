//! Requests loans for charges from other data centres, and renews or returns them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::timeout;

use crate::prelude::*;
use crate::process::allowance::LoanAction;
use crate::process::message::{Borrow, BorrowReply, Charge, PeerReply, PeerRequest, ReturnLoan};
use crate::process::shard::stable_hash;

use super::{FleetLimits, REMOTE_OWNER_TIMEOUT};

impl FleetLimits {
    /// Requests loans from one data centre after the other until a charge lacks nothing.
    pub(super) async fn borrow_for(&self, charge: &Charge) {
        for data_centre in self.lenders(&charge.customer) {
            let loan = self.next_loan_id();
            let borrow_request = self.with_allowance(&charge.customer, |held, _, now| {
                let amount = held.allowance.amount_to_borrow(charge.tokens, now);
                (!amount.is_zero()).then(|| {
                    let me = &self.data_centre;
                    let allowance = &mut held.allowance;
                    allowance.request_loan(loan, &charge.customer, me, &data_centre, amount, now)
                })
            });
            let Some(Some(borrow)) = borrow_request else {
                return;
            };
            self.request_loan(&data_centre, borrow).await;
        }
    }

    /// Returns a new loan id: the random number of the process and a counter. The counter makes ids ascend, so that
    /// loans are renewed in the order in which they were taken and simulated runs are reproducible.
    fn next_loan_id(&self) -> LoanId {
        let count = self.loan_count.fetch_add(1, Ordering::Relaxed);
        LoanId::from(self.loan_prefix) << 64 | LoanId::from(count)
    }

    /// Returns the other data centres, in an order that differs between customers.
    fn lenders(&self, customer: &str) -> Vec<DataCentreId> {
        let compiled = self.parts.versions.current();
        let others = compiled.data_centres.iter();
        let mut others: Vec<_> = others
            .filter(|dc| **dc != self.data_centre)
            .cloned()
            .collect();
        if !others.is_empty() {
            let first = stable_hash(customer) % others.len() as u64;
            others.rotate_left(usize::try_from(first).unwrap_or_default());
        }
        others
    }

    /// Sends a request for a loan or its renewal, and applies the reply.
    async fn request_loan(&self, data_centre: &DataCentreId, borrow: Borrow) {
        let (customer, loan, round) = (borrow.customer.clone(), borrow.loan, borrow.round);
        let reply = match self.remote_owner(data_centre, &customer).await {
            Some(host) => {
                let ask = self.parts.peers.ask(&host, PeerRequest::Borrow(borrow));
                timeout(REMOTE_OWNER_TIMEOUT, ask).await.ok()
            }
            None => None,
        };
        // A timeout does not show that the host has lost the ownership.
        if let Some(Err(_) | Ok(PeerReply::Borrow(BorrowReply::NotOwner))) = &reply {
            self.mark_remote_owners_stale(data_centre);
        }
        self.with_allowance(&customer, |held, _, now| match reply {
            Some(Ok(PeerReply::Borrow(r))) => held.allowance.apply_loan_reply(loan, round, &r, now),
            _ => held.allowance.drop_pending_loan(loan),
        });
    }

    /// Starts a task that returns a loan to its lender.
    pub(super) fn return_loan(&self, data_centre: DataCentreId, back: ReturnLoan) {
        let Some(limits) = self.this.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            if let Some(host) = limits.remote_owner(&data_centre, &back.customer).await {
                let req = PeerRequest::ReturnLoan(back);
                // If the message is lost, the lender uses the shares again after `lender_wait`.
                let _ = timeout(REMOTE_OWNER_TIMEOUT, limits.parts.peers.ask(&host, req)).await;
            }
        });
    }

    /// Starts the task that renews or returns a customer's loans, if there are any.
    pub(super) fn start_renewing_loans(&self, customer: &CustomerId) {
        let start = self.with_allowance(customer, |held, _, _| {
            let start = !held.renewing && held.allowance.next_loan_due().is_some();
            held.renewing |= start;
            start
        });
        if start == Some(true)
            && let Some(limits) = self.this.upgrade()
        {
            let customer = customer.clone();
            tokio::spawn(async move { limits.renew_loans(&customer).await });
        }
    }

    async fn renew_loans(&self, customer: &CustomerId) {
        let mut stopped = self.stopped.subscribe();
        loop {
            let wait = self.with_allowance(customer, |held, _, now| {
                let wait = held.allowance.next_loan_due();
                held.renewing = wait.is_some();
                wait.map(|at| at.saturating_duration_since(now))
            });
            let Some(Some(wait)) = wait else {
                return;
            };
            tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => return,
                () = tokio::time::sleep(wait.max(Duration::from_millis(1))) => {}
            }
            let actions = self.with_allowance(customer, |held, _, now| {
                held.allowance
                    .process_due_loans(customer, &self.data_centre, now)
            });
            for action in actions.unwrap_or_default() {
                match action {
                    LoanAction::Renew(from, borrow) => self.request_loan(&from, borrow).await,
                    LoanAction::Return(to, back) => self.return_loan(to, back),
                }
            }
        }
    }
}
