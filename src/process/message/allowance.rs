//! Messages about customers' allowances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::stated_time;

/// Charges a customer's bucket before a request is placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The request; a repeat is not charged again.
    pub request: RequestId,
    /// The customer whose bucket is charged.
    pub customer: CustomerId,
    /// The prompt tokens plus the maximum of tokens that may be generated.
    pub tokens: Tokens,
}

/// The reply to a charge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeReply {
    /// The tokens are charged.
    Granted {
        /// The owner's ownership period, to be repeated in `Settle`.
        epoch: Epoch,
    },
    /// The bucket will hold the tokens after this time; repeat the charge then.
    Later(#[serde(deserialize_with = "stated_time::deserialize")] Duration),
    /// The customer's rate and burst are used up.
    Refused {
        /// The time after which a repeat may succeed.
        #[serde(deserialize_with = "stated_time::deserialize")]
        retry_after: Duration,
        /// The tokens in the bucket, for the dump.
        level: Tokens,
    },
    /// The charge exceeds the customer's burst, so that it can never be granted.
    TooLarge {
        /// The customer's whole burst.
        burst: Tokens,
    },
    /// The receiver does not own the customer's bucket.
    NotOwner,
}

/// Returns the unused part of a charge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The request that was charged.
    pub request: RequestId,
    /// The customer that was charged.
    pub customer: CustomerId,
    /// The ownership period in which it was charged.
    pub epoch: Epoch,
    /// The tokens that were charged but not used.
    pub unused: Tokens,
}

/// Requests a loan from the customer's owner in another data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// The loan; the same id with a later round renews it.
    pub loan: LoanId,
    /// The number of the renewal; a request with the same round is a repeat.
    pub round: u32,
    /// The customer whose allowance is borrowed.
    pub customer: CustomerId,
    /// The borrowing data centre.
    pub data_centre: DataCentreId,
    /// The requested part of the rate.
    pub rate: Share,
    /// The requested part of the burst.
    pub burst: Share,
    /// The tokens requested at once; at most `burst` of the customer's burst.
    pub tokens: Tokens,
    /// Whether the borrower collects the tokens of data centres whose demand exceeds their home share.
    pub gather: bool,
}

/// The reply to `Borrow`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowReply {
    /// A loan, possibly smaller than requested. The borrower counts its time to live from before its request.
    Lent {
        /// The part of the rate lent.
        rate: Share,
        /// The part of the burst lent.
        burst: Share,
        /// The tokens moved to the borrower's bucket.
        tokens: Tokens,
        /// The time to live without a renewal.
        #[serde(deserialize_with = "stated_time::deserialize")]
        ttl: Duration,
    },
    /// The lender has nothing to spare.
    Nothing,
    /// The receiver does not own the customer's bucket.
    NotOwner,
}

/// Returns a loan before it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnLoan {
    /// The loan to end.
    pub loan: LoanId,
    /// The customer whose allowance was lent.
    pub customer: CustomerId,
    /// The tokens returned with it; at most the burst that was lent.
    pub tokens: Tokens,
}

/// Hands a partition over to another host of the data centre. The sender has already stopped serving it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The partition that the receiver takes over.
    pub partition: Partition,
    /// The sender's ownership period, which is the revision of the store entry to replace.
    pub epoch: Epoch,
    /// The state of the customers of the partition.
    pub customers: Vec<CustomerState>,
}

/// The state of one customer's bucket, as handed over to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerState {
    /// The customer that the bucket belongs to.
    pub customer: CustomerId,
    /// The tokens in the bucket.
    pub level: Tokens,
    /// The time until the floor, the part of the home share that ordinary loans never include, is free of an earlier
    /// owner's loans.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub floor_wait: Duration,
    /// The time until the whole home share is free of an earlier owner's loans.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub whole_wait: Duration,
    /// The loans given to other data centres.
    pub given: Vec<LoanState>,
    /// The unsettled charges, oldest first.
    pub charges: Vec<ChargeState>,
    /// The averaged demand in tokens, so that the next owner borrows as much as the sender did.
    pub demand: Tokens,
    /// How much longer a shortage is assumed to last, and whether this data centre leads during it; `None` without a
    /// shortage.
    pub shortage: Option<(Duration, bool)>,
}

/// An unsettled charge, as handed over to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeState {
    /// The request that was charged.
    pub request: RequestId,
    /// The ownership period in which it was charged.
    pub epoch: Epoch,
    /// The tokens charged, of which `Settle` returns the unused part.
    pub tokens: Tokens,
    /// The part of these tokens that the bucket would hold without the charge; the rest would have overflowed.
    pub room: Tokens,
    /// The time since the charge.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub age: Duration,
}

/// A loan given, as handed over to the lender's next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanState {
    /// The loan as named by the borrower.
    pub loan: LoanId,
    /// The borrowing data centre.
    pub to: DataCentreId,
    /// The number of the last renewal.
    pub round: u32,
    /// The part of the rate that is lent.
    pub rate: Share,
    /// The part of the burst that is lent.
    pub burst: Share,
    /// The time until the loan ends and the lender may use its rate and burst again.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub left: Duration,
}
