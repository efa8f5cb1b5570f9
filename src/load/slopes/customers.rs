//! The owner of customers' allowances: the cost of charges, settlements and loans.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::connection::peer::{REPLY_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES, encode};
use crate::load::slopes::documents::customer_name;
use crate::load::slopes::probe::{RetainedObjects, cpu_of, cpu_of_each};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::allowance::{Allowance, CustomerLimit, LOAN_TTL, lender_wait};
use crate::process::message::{
    Borrow, BorrowReply, Charge, ChargeReply, PeerReply, PeerRequest, Settle,
};

const ROLE: &str = "customers";
/// The number of charges made before as many are settled.
const BATCH: usize = 256;
/// The simulated time between two charges: 50 per second, the rate at an owner of the target size.
const STEP: Duration = Duration::from_millis(20);
/// The number of unsettled charges per customer whose memory is measured.
const REMEMBERED_CHARGES: usize = 8;

/// Measures the owner of customers.
pub struct CustomerOwnerRole;

impl RoleMeasurement for CustomerOwnerRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn memory(
        &self,
        sizes: &Sizes,
        retained: &mut RetainedObjects,
    ) -> Result<Vec<Series>, MeasureError> {
        let mut series = Vec::new();
        for (quantity, charges) in [
            ("allowances without charges [bytes]", 0),
            ("allowances with 8 charges each [bytes]", REMEMBERED_CHARGES),
        ] {
            let mut memory = Series::new(ROLE, quantity, "customers", Method::Resident);
            for customers in &sizes.customers {
                let copies = (sizes.min_objects / customers).max(1);
                let grown = retained.growth(|| {
                    let owners = (0..copies).map(|_| {
                        let mut owner = Owner::new(*customers);
                        for _ in 0..charges * customers {
                            owner.charge();
                        }
                        owner
                    });
                    owners.collect::<Vec<_>>()
                })?;
                memory.push(*customers, grown / copies as f64);
            }
            series.push(memory);
        }
        Ok(series)
    }

    fn work(&self, sizes: &Sizes, seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity| Series::new(ROLE, quantity, "customers", Method::Cpu);
        let mut charge = new("charge [us]");
        let mut settle = new("settle [us]");
        let mut renew = new("loan renewal at the lender [us]");
        let mut random = StdRng::seed_from_u64(seed);
        for customers in &sizes.customers {
            let mut owner = Owner::new(*customers);
            // Charges come from random customers.
            owner.order = (0..BATCH * 16)
                .map(|_| random.random_range(0..*customers))
                .collect();
            let owner = std::cell::RefCell::new(owner);
            let [charged, settled] = cpu_of_each(
                sizes,
                [
                    &mut || {
                        let mut owner = owner.borrow_mut();
                        (0..BATCH).for_each(|_| owner.charge());
                        BATCH
                    },
                    &mut || owner.borrow_mut().settle_all(),
                ],
            )?;
            charge.push(*customers, charged);
            settle.push(*customers, settled);
            let mut owner = Owner::new(*customers);
            let renewed = cpu_of(sizes, || owner.renew_all())?;
            if owner.lent == 0 {
                return Err(MeasureError("nothing was lent".to_owned()));
            }
            renew.push(*customers, renewed);
        }
        let mut series = vec![charge, settle, renew];
        series.push(messages()?);
        Ok(series)
    }
}

/// Returns the encoded sizes of the messages for a charge with its settlement and for the renewal of a loan.
fn messages() -> Result<Series, MeasureError> {
    let customer = customer_name(4_000);
    let request = RequestId::MAX / 3;
    let charge = Charge {
        request,
        customer: customer.clone(),
        tokens: 10_000,
    };
    let settle = Settle {
        request,
        customer: customer.clone(),
        epoch: 100_000,
        unused: 1_000,
    };
    let lent = BorrowReply::Lent {
        rate: 100_000,
        burst: 100_000,
        tokens: 10_000,
        ttl: LOAN_TTL,
    };
    let exchanges = [
        encode(&PeerRequest::Charge(charge)),
        encode(&PeerReply::Charge(ChargeReply::Granted { epoch: 100_000 })),
        encode(&PeerRequest::Settle(settle)),
        encode(&PeerReply::Ack),
        encode(&PeerRequest::Borrow(borrow(&customer, 100))),
        encode(&PeerReply::Borrow(lent)),
    ];
    let quantity = "bytes: 1 Charge, 2 reply, 3 Settle, 4 Ack, 5 Borrow, 6 reply";
    let mut bytes = Series::new(ROLE, quantity, "message", Method::Counted);
    for (index, exchange) in exchanges.into_iter().enumerate() {
        let overhead = [REQUEST_OVERHEAD_BYTES, REPLY_OVERHEAD_BYTES][index % 2];
        let exchange = exchange.map_err(MeasureError)?;
        bytes.push(index + 1, (exchange.len() + overhead) as f64);
    }
    Ok(bytes)
}

fn borrow(customer: &CustomerId, round: u32) -> Borrow {
    Borrow {
        loan: RequestId::MAX / 5,
        round,
        customer: customer.clone(),
        data_centre: "b".into(),
        rate: WHOLE_SHARE / 10,
        burst: WHOLE_SHARE / 10,
        tokens: 0,
        gather: false,
    }
}

struct Owner {
    allowances: Vec<(CustomerId, Allowance)>,
    order: Vec<usize>,
    next: usize,
    now: Instant,
    lease_until: Instant,
    charged: Vec<(usize, Charge, Epoch)>,
    round: u32,
    lent: usize,
}

impl Owner {
    fn new(customers: usize) -> Self {
        let claimed = Instant::now();
        let limit = CustomerLimit {
            version: 1,
            rate: 1_000_000_000,
            burst: 5_000_000_000,
            home_share: WHOLE_SHARE / 4,
        };
        let allowance = |index| (customer_name(index), Allowance::new(limit, 1, claimed));
        Self {
            allowances: (0..customers).map(allowance).collect(),
            order: (0..customers).collect(),
            next: 0,
            // A new owner lends only after its predecessor's loans have ended.
            now: claimed + lender_wait(LOAN_TTL) * 2,
            lease_until: claimed + Duration::from_hours(24 * 365),
            charged: Vec::new(),
            round: 0,
            lent: 0,
        }
    }

    fn charge(&mut self) {
        self.now += STEP;
        let at = self.order[self.next % self.order.len()];
        self.next += 1;
        let (customer, allowance) = &mut self.allowances[at];
        let charge = Charge {
            request: self.next as RequestId,
            customer: customer.clone(),
            tokens: 1_000,
        };
        if let ChargeReply::Granted { epoch } =
            allowance.charge(&charge, self.lease_until, self.now)
        {
            self.charged.push((at, charge, epoch));
        }
    }

    fn settle_all(&mut self) -> usize {
        let charged = std::mem::take(&mut self.charged);
        for (at, charge, epoch) in &charged {
            let (customer, allowance) = &mut self.allowances[*at];
            let settle = Settle {
                request: charge.request,
                customer: customer.clone(),
                epoch: *epoch,
                unused: 500,
            };
            allowance.settle(&settle, self.lease_until, self.now);
        }
        charged.len()
    }

    fn renew_all(&mut self) -> usize {
        self.now += LOAN_TTL / 2;
        for (customer, allowance) in &mut self.allowances {
            let reply = allowance.lend(&borrow(customer, self.round), self.lease_until, self.now);
            self.lent += usize::from(matches!(reply, BorrowReply::Lent { .. }));
        }
        self.round += 1;
        self.allowances.len()
    }
}
