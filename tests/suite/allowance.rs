//! Guards the bound on a customer's tokens over all data centres. A simulation runs random operations, and an
//! oracle that knows only the grants and the limits in force checks the bound.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::fixtures::assert_matches;
use hibiscusspread::prelude::*;
use hibiscusspread::process::allowance::{
    Allowance, BURST_LOAN_TTL, CustomerLimit, LOAN_TTL, LoanAction, LoanAmount, lender_wait,
};
use hibiscusspread::process::message::{
    Borrow, BorrowReply, Charge, ChargeReply, CustomerState, ReturnLoan, Settle,
};
use hibiscusspread::process::token_bucket::TokenBucket;

const DATA_CENTRES: usize = 3;
/// The time to live of the ownership lease in the store.
const STORE_LEASE: Duration = Duration::from_mins(2);
/// The holder's deadline for its lease, which comes before the end in the store.
const HOLDER_LEASE: Duration = Duration::from_secs(118);

#[derive(Debug, Clone)]
enum Op {
    /// Advances the clock by milliseconds.
    Advance(u64),
    Charge {
        at: usize,
        tokens: Tokens,
    },
    Repeat {
        charge: usize,
    },
    Settle {
        charge: usize,
        percent: u64,
    },
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    ProcessDueLoans(usize),
    ReturnBurstLoans(usize),
    RenewLease(usize),
    Outage(bool),
    ToggleCut(usize),
    Pause(usize),
    Crash {
        at: usize,
        proof: bool,
    },
    Claim(usize),
    /// Hands the customer over to the next owner in the data centre.
    HandOver(usize),
    ChangeLimit {
        rate: Tokens,
        burst: Tokens,
    },
    ApplyLimit(usize),
    /// A data centre detects that all together have too few tokens.
    Shortage {
        at: usize,
        leads: bool,
    },
    /// Charges the whole level of every holder, so that the bound becomes tight.
    Drain,
}

fn ops() -> impl Strategy<Value = Op> {
    let at = 0..DATA_CENTRES;
    let any = 0..1000_usize;
    // Most charges go to the first data centre.
    let skewed = prop_oneof![2 => Just(0), 1 => 0..DATA_CENTRES];
    let time = prop_oneof![
        16 => 0..20_u64,
        16 => 100..2_000_u64,
        8 => 4_000..12_000_u64,
        1 => 100_000..200_000_u64,
    ];
    let tokens = prop_oneof![6 => 1..100_u64, 2 => 100..400_u64, 2 => 400..1_200_u64];
    prop_oneof![
        30 => time.prop_map(Op::Advance),
        60 => (skewed, tokens).prop_map(|(at, tokens)| Op::Charge { at, tokens }),
        15 => any.clone().prop_map(|charge| Op::Repeat { charge }),
        20 => (any.clone(), 0..=100_u64).prop_map(|(charge, percent)| Op::Settle { charge, percent }),
        80 => any.clone().prop_map(Op::Deliver),
        15 => any.clone().prop_map(Op::Duplicate),
        6 => any.prop_map(Op::Lose),
        15 => at.clone().prop_map(Op::ProcessDueLoans),
        6 => at.clone().prop_map(Op::ReturnBurstLoans),
        20 => at.clone().prop_map(Op::RenewLease),
        1 => prop::bool::ANY.prop_map(Op::Outage),
        1 => at.clone().prop_map(Op::ToggleCut),
        1 => at.clone().prop_map(Op::Pause),
        2 => (at.clone(), prop::bool::ANY).prop_map(|(at, proof)| Op::Crash { at, proof }),
        6 => at.clone().prop_map(Op::Claim),
        6 => at.clone().prop_map(Op::HandOver),
        1 => (50..400_u64, 300..2_000_u64).prop_map(|(rate, burst)| Op::ChangeLimit { rate, burst }),
        6 => at.clone().prop_map(Op::ApplyLimit),
        20 => (at, prop::bool::ANY).prop_map(|(at, leads)| Op::Shortage { at, leads }),
        12 => Just(Op::Drain),
    ]
}

#[derive(Debug, Clone)]
enum Message {
    Borrow {
        from: usize,
        to: usize,
        borrow: Borrow,
    },
    Reply {
        to: usize,
        epoch: Epoch,
        loan: LoanId,
        round: u32,
        reply: BorrowReply,
    },
    Return {
        to: usize,
        back: ReturnLoan,
    },
    HandOver {
        at: usize,
        epoch: Epoch,
        state: CustomerState,
    },
}

struct Holder {
    allowance: Allowance,
    lease_until: Instant,
}

struct DataCentre {
    holder: Option<Holder>,
    /// Holders whose process is paused. When it resumes, it still acts as the owner.
    paused: Vec<Holder>,
    /// When the last holder's lease ends in the store; earlier claims need proof that its process has ended.
    store_lease_until: Instant,
    proven_gone: bool,
    /// The released epoch whose entry is still in the store.
    released: Option<Epoch>,
    cut: bool,
    version: usize,
}

struct ChargeState {
    charge: Charge,
    at: usize,
    epoch: Option<Epoch>,
    /// The time of the last grant that was not a repeat, and its index in `grants`.
    granted: Option<(Instant, usize)>,
    /// The tokens returned by the settlement.
    unused: Option<Tokens>,
}

struct Simulation {
    start: Instant,
    now: Instant,
    centres: Vec<DataCentre>,
    messages: Vec<Message>,
    charges: Vec<ChargeState>,
    /// The time of each grant and the tokens that were used of it.
    grants: Vec<(Instant, Tokens)>,
    /// The (rate, burst) of each version.
    limits: Vec<(Tokens, Tokens)>,
    /// The largest rate and burst in force in any data centre, from each time on.
    in_force: Vec<(Instant, Tokens, Tokens)>,
    outage: bool,
    /// The number of completed hand-overs.
    hand_overs: u32,
    /// The number of loans given to a data centre that gathers tokens.
    gathering_loans: u32,
    /// The number of settlements of charges from an earlier ownership period.
    settled_after_hand_over: u32,
    next_id: u128,
    epoch: Epoch,
}

fn name(centre: usize) -> DataCentreId {
    format!("dc{centre}").into()
}

fn customer() -> CustomerId {
    "c".into()
}

impl Simulation {
    fn new() -> Self {
        let start = Instant::now();
        let mut sim = Self {
            start,
            now: start,
            centres: Vec::new(),
            messages: Vec::new(),
            charges: Vec::new(),
            grants: Vec::new(),
            limits: vec![(200, 1_000)],
            in_force: vec![(start, 200, 1_000)],
            outage: false,
            hand_overs: 0,
            gathering_loans: 0,
            settled_after_hand_over: 0,
            next_id: 0,
            epoch: 0,
        };
        for _ in 0..DATA_CENTRES {
            sim.centres.push(DataCentre {
                holder: None,
                paused: Vec::new(),
                store_lease_until: start,
                proven_gone: false,
                released: None,
                cut: false,
                version: 0,
            });
        }
        for centre in 0..DATA_CENTRES {
            sim.claim(centre);
        }
        // Fills all buckets.
        sim.now += Duration::from_secs(30);
        sim
    }

    fn limit(&self, version: usize) -> CustomerLimit {
        let (rate, burst) = self.limits[version];
        CustomerLimit {
            version: version as Version + 1,
            rate,
            burst,
            home_share: WHOLE_SHARE / Share::try_from(DATA_CENTRES).unwrap(),
        }
    }

    fn claim(&mut self, at: usize) {
        let centre = &self.centres[at];
        let free = self.now >= centre.store_lease_until || centre.proven_gone;
        if self.outage || centre.holder.is_some() || !free {
            return;
        }
        self.epoch += 1;
        let limit = self.limit(centre.version);
        let allowance = Allowance::new(limit, self.epoch, self.now);
        self.hold(at, allowance);
    }

    fn hold(&mut self, at: usize, allowance: Allowance) {
        let now = self.now;
        let centre = &mut self.centres[at];
        centre.holder = Some(Holder {
            allowance,
            lease_until: now + HOLDER_LEASE,
        });
        centre.store_lease_until = now + STORE_LEASE;
        centre.proven_gone = false;
        centre.released = None;
    }

    /// Takes over the customer if it is the first to claim the released epoch at the store.
    fn take_over(&mut self, at: usize, epoch: Epoch, state: &CustomerState) {
        let centre = &self.centres[at];
        if self.outage || self.now >= centre.store_lease_until || centre.released != Some(epoch) {
            return;
        }
        self.epoch += 1;
        let limit = self.limit(centre.version);
        let allowance = Allowance::from_hand_over(limit, self.epoch, state, self.now);
        self.hand_overs += 1;
        self.hold(at, allowance);
    }

    fn apply(&mut self, op: &Op) {
        let now = self.now;
        if !matches!(op, Op::Advance(_) | Op::ApplyLimit(_)) {
            for at in 0..DATA_CENTRES {
                let limit = self.limit(self.centres[at].version);
                if let Some(holder) = &mut self.centres[at].holder {
                    holder.allowance.set_limit(limit, now);
                }
            }
        }
        match *op {
            Op::Advance(millis) => self.now += Duration::from_millis(millis),
            Op::Charge { at, tokens } => self.new_charge(at, tokens),
            Op::Repeat { charge } if !self.charges.is_empty() => {
                self.charge(charge % self.charges.len());
            }
            Op::Settle { charge, percent } if !self.charges.is_empty() => {
                let index = charge % self.charges.len();
                self.settle(index, percent);
            }
            Op::Deliver(i) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(i % self.messages.len());
                self.deliver(message);
            }
            Op::Duplicate(i) if !self.messages.is_empty() => {
                let message = self.messages[i % self.messages.len()].clone();
                self.deliver(message);
            }
            Op::Lose(i) if !self.messages.is_empty() => {
                self.messages.swap_remove(i % self.messages.len());
            }
            Op::ProcessDueLoans(at) => self.process_due_loans(at),
            Op::ReturnBurstLoans(at) => self.return_burst_loans(at),
            Op::RenewLease(at) if !self.outage => {
                let centre = &mut self.centres[at];
                if let Some(holder) = centre
                    .holder
                    .as_mut()
                    .filter(|_| now < centre.store_lease_until)
                {
                    holder.lease_until = now + HOLDER_LEASE;
                    centre.store_lease_until = now + STORE_LEASE;
                }
            }
            Op::Outage(outage) => self.outage = outage,
            Op::ToggleCut(at) => self.centres[at].cut = !self.centres[at].cut,
            Op::Pause(at) => {
                let centre = &mut self.centres[at];
                centre.paused.extend(centre.holder.take());
            }
            Op::Crash { at, proof } => {
                let centre = &mut self.centres[at];
                if centre.holder.take().is_some() {
                    centre.proven_gone = proof;
                    if proof {
                        self.claim(at);
                    }
                }
            }
            Op::Claim(at) => self.claim(at),
            Op::HandOver(at) => {
                let centre = &mut self.centres[at];
                if let Some(holder) = centre.holder.take() {
                    let epoch = holder.allowance.epoch();
                    centre.released = Some(epoch);
                    let (state, loans) = holder.allowance.hand_over(&customer(), now);
                    self.messages.push(Message::HandOver { at, epoch, state });
                    for (to, back) in loans {
                        let to = to[2..].parse().unwrap();
                        self.messages.push(Message::Return { to, back });
                    }
                }
            }
            Op::ChangeLimit { rate, burst } => self.limits.push((rate, burst)),
            Op::ApplyLimit(at) => {
                // The holder applies the version with its next operation, perhaps much later.
                self.centres[at].version = self.limits.len() - 1;
                self.record_limits_in_force();
            }
            Op::Shortage { at, leads } => {
                if let Some(holder) = &mut self.centres[at].holder {
                    holder.allowance.note_shortage(leads, now);
                }
            }
            Op::Drain => (0..DATA_CENTRES).for_each(|at| self.drain(at)),
            _ => {}
        }
    }

    fn drain(&mut self, at: usize) {
        let now = self.now;
        let centre = &mut self.centres[at];
        let holders = centre.holder.iter_mut().chain(&mut centre.paused);
        let levels: Vec<_> = holders.map(|h| level(&mut h.allowance, now)).collect();
        for tokens in levels.into_iter().filter(|tokens| *tokens > 0) {
            self.new_charge(at, tokens);
        }
    }

    fn new_charge(&mut self, at: usize, tokens: Tokens) {
        self.next_id += 1;
        let charge = Charge {
            request: self.next_id,
            customer: customer(),
            tokens,
        };
        self.charges.push(ChargeState {
            charge,
            at,
            epoch: None,
            granted: None,
            unused: None,
        });
        self.charge(self.charges.len() - 1);
    }

    fn record_limits_in_force(&mut self) {
        // A paused holder keeps its old version until it resumes.
        let versions = self.centres.iter().map(|c| self.limits[c.version]);
        let rate = versions.clone().map(|v| v.0).max().unwrap();
        let burst = versions.map(|v| v.1).max().unwrap();
        self.in_force.push((self.now, rate, burst));
    }

    fn charge(&mut self, index: usize) {
        let (at, now) = (self.charges[index].at, self.now);
        let charge = self.charges[index].charge.clone();
        // Paused holders resume and are charged first. They may grant only until their deadline.
        let limit = self.limit(self.centres[at].version);
        let mut paused = std::mem::take(&mut self.centres[at].paused);
        for holder in &mut paused {
            holder.allowance.set_limit(limit, now);
            let (epoch, until) = (holder.allowance.epoch(), holder.lease_until);
            let reply = holder.allowance.charge(&charge, until, now);
            if self.record(index, epoch, &reply) {
                break;
            }
        }
        self.centres[at].paused = paused;
        if self.charges[index]
            .granted
            .is_some_and(|(time, _)| time == now)
        {
            return;
        }
        let Some(holder) = &mut self.centres[at].holder else {
            return;
        };
        let epoch = holder.allowance.epoch();
        let reply = holder.allowance.charge(&charge, holder.lease_until, now);
        if self.record(index, epoch, &reply) || !matches!(reply, ChargeReply::Later(_)) {
            return;
        }
        let holder = self.centres[at].holder.as_mut().unwrap();
        if !holder.allowance.begin_borrowing(charge.tokens, now) {
            return;
        }
        let amount = holder.allowance.amount_to_borrow(charge.tokens, now);
        // Requests the whole amount from every data centre; `FleetLimits` requests only what is still missing.
        for other in (0..DATA_CENTRES).filter(|other| *other != at) {
            self.next_id += 1;
            let loan = self.next_id;
            let allowance = &mut holder.allowance;
            let borrow =
                allowance.request_loan(loan, &customer(), &name(at), &name(other), amount, now);
            self.messages.push(Message::Borrow {
                from: at,
                to: other,
                borrow,
            });
        }
    }

    /// Records a grant unless it repeats an earlier one. Returns whether the reply is a grant.
    fn record(&mut self, index: usize, epoch: Epoch, reply: &ChargeReply) -> bool {
        let ChargeReply::Granted { epoch: granted } = reply else {
            return false;
        };
        assert_eq!(*granted, epoch);
        let asked = &mut self.charges[index];
        if asked.unused.is_some() {
            // A successor may charge a late copy of the message. The caller has finished and does not use the grant.
            let same = asked.epoch == Some(epoch);
            let recent = asked
                .granted
                .is_some_and(|(at, _)| self.now - at < Duration::from_mins(10));
            assert!(!(same && recent), "a settled charge was granted again");
            return true;
        }
        let repeated = asked.epoch == Some(epoch)
            && asked
                .granted
                .is_some_and(|(at, _)| self.now - at < Duration::from_millis(500));
        if !repeated {
            asked.epoch = Some(epoch);
            asked.granted = Some((self.now, self.grants.len()));
            self.grants.push((self.now, asked.charge.tokens));
        }
        true
    }

    fn settle(&mut self, index: usize, percent: u64) {
        let now = self.now;
        let asked = &mut self.charges[index];
        let (Some(epoch), Some((_, grant))) = (asked.epoch, asked.granted) else {
            return;
        };
        let tokens = asked.charge.tokens;
        let unused = *asked.unused.get_or_insert(tokens * percent / 100);
        self.grants[grant].1 = tokens - unused;
        let settle = Settle {
            request: asked.charge.request,
            customer: customer(),
            epoch,
            unused,
        };
        let centre = &mut self.centres[asked.at];
        for holder in centre.holder.iter_mut().chain(&mut centre.paused) {
            let known = holder.allowance.settle(&settle, holder.lease_until, now);
            self.settled_after_hand_over += u32::from(known && holder.allowance.epoch() != epoch);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Borrow { from, to, borrow } => {
                if self.centres[from].cut || self.centres[to].cut {
                    return;
                }
                let epoch = self.centres[from]
                    .holder
                    .as_ref()
                    .map(|h| h.allowance.epoch());
                let (Some(holder), Some(epoch)) = (&mut self.centres[to].holder, epoch) else {
                    return;
                };
                let reply = holder.allowance.lend(&borrow, holder.lease_until, now);
                let (loan, round) = (borrow.loan, borrow.round);
                let lent = matches!(reply, BorrowReply::Lent { .. });
                self.gathering_loans += u32::from(borrow.gather && lent);
                self.messages.push(Message::Reply {
                    to: from,
                    epoch,
                    loan,
                    round,
                    reply,
                });
            }
            Message::Reply {
                to,
                epoch,
                loan,
                round,
                reply,
            } => {
                let centre = &mut self.centres[to];
                let holders = centre.holder.iter_mut().chain(&mut centre.paused);
                for holder in holders.filter(|h| h.allowance.epoch() == epoch) {
                    holder.allowance.apply_loan_reply(loan, round, &reply, now);
                    holder.allowance.end_borrowing(true);
                }
                // Repeats the charge that the loan was requested for, as `FleetLimits` does.
                let waiting = self.charges.iter().rposition(|c| c.at == to);
                if let Some(index) = waiting.filter(|i| self.charges[*i].granted.is_none()) {
                    self.charge(index);
                }
            }
            Message::HandOver { at, epoch, state } => self.take_over(at, epoch, &state),
            Message::Return { to, back } => {
                if let Some(holder) = &mut self.centres[to].holder {
                    holder.allowance.reclaim(&back, now);
                }
            }
        }
    }

    fn process_due_loans(&mut self, at: usize) {
        let now = self.now;
        let Some(holder) = &mut self.centres[at].holder else {
            return;
        };
        for action in holder
            .allowance
            .process_due_loans(&customer(), &name(at), now)
        {
            let index = |dc: &DataCentreId| dc[2..].parse().unwrap();
            self.messages.push(match action {
                LoanAction::Renew(to, borrow) => Message::Borrow {
                    from: at,
                    to: index(&to),
                    borrow,
                },
                LoanAction::Return(to, back) => Message::Return {
                    to: index(&to),
                    back,
                },
            });
        }
    }

    fn return_burst_loans(&mut self, at: usize) {
        let now = self.now;
        let Some(holder) = &mut self.centres[at].holder else {
            return;
        };
        for (to, back) in holder.allowance.return_burst_loans(&customer(), now) {
            let to = to[2..].parse().unwrap();
            self.messages.push(Message::Return { to, back });
        }
    }

    /// Checks every window from one grant to another, in nanotokens, so that all numbers are integers.
    fn check(&self) -> Result<(), TestCaseError> {
        let nano = 1_000_000_000_u128;
        let mut grants = self.grants.clone();
        grants.sort_by_key(|grant| grant.0);
        let earned = |until: Instant| -> u128 {
            let ends = self.in_force[1..].iter().map(|l| l.0).chain([until]);
            let parts = self.in_force.iter().zip(ends);
            parts
                .filter(|((from, ..), _)| *from < until)
                .map(|((from, rate, _), end)| {
                    let time = end.min(until).saturating_duration_since(*from);
                    time.as_nanos() * u128::from(*rate)
                })
                .sum()
        };
        let earned: Vec<_> = grants.iter().map(|grant| earned(grant.0)).collect();
        for (i, first) in grants.iter().enumerate() {
            // At the time of a change the larger of the two bursts applies.
            let before = self.in_force.iter().rev().find(|l| l.0 < first.0);
            let burst = self
                .in_force
                .iter()
                .filter(|l| l.0 == first.0)
                .chain(before);
            let burst = burst.map(|l| l.2).max().unwrap_or(self.in_force[0].2);
            let mut granted = 0;
            for (j, grant) in grants.iter().enumerate().skip(i) {
                granted += u128::from(grant.1) * nano;
                let bound = u128::from(burst) * nano + earned[j] - earned[i];
                prop_assert!(
                    granted <= bound,
                    "{} nanotokens granted in {:?} from {:?}; the bound is {}",
                    granted,
                    grant.0 - first.0,
                    first.0 - self.start,
                    bound
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    /// Guards against tokens that exist twice after crashes, paused processes, network partitions, store outages, lost,
    /// late or duplicate messages, and limit changes.
    #[test]
    fn never_grants_above_rate_and_burst(ops in prop::collection::vec(ops(), 1..250)) {
        let mut sim = Simulation::new();
        for op in ops {
            sim.apply(&op);
        }
        sim.check()?;
    }
}

/// Guards against a successor that uses the shares its predecessor has lent, and against a lender that uses lent
/// shares too early. All levels are charged at the start and at the end of the window that is checked.
#[test]
fn a_successor_waits_for_its_predecessors_loans() {
    for wait in (0..=120).map(|tenths| 100 * tenths) {
        let mut sim = Simulation::new();
        for _ in 0..20 {
            sim.new_charge(0, 40);
            while !sim.messages.is_empty() {
                sim.apply(&Op::Deliver(0));
            }
            sim.apply(&Op::Advance(100));
        }
        let holder = sim.centres[0].holder.as_mut().unwrap();
        let view = holder
            .allowance
            .view(customer(), "h".into(), sim.now, sim.now);
        assert!(view.taken.iter().any(|loan| loan.1 > 0), "{view:?}");
        sim.apply(&Op::Drain);
        sim.apply(&Op::Crash { at: 1, proof: true });
        sim.apply(&Op::Crash { at: 2, proof: true });
        sim.apply(&Op::Advance(wait));
        sim.apply(&Op::Drain);
        sim.check().unwrap();
    }
}

fn limit(rate: Tokens, burst: Tokens, home_share: Share) -> CustomerLimit {
    CustomerLimit {
        version: 1,
        rate,
        burst,
        home_share,
    }
}

fn charge(request: RequestId, tokens: Tokens) -> Charge {
    Charge {
        request,
        customer: customer(),
        tokens,
    }
}

/// Guards against twice the burst within an instant when an early charge is settled late.
#[test]
fn gives_back_only_what_the_bucket_would_have_kept() {
    let start = Instant::now();
    let full = start + Duration::from_secs(10);
    let mut bucket = TokenBucket::full(10, 100, start);
    bucket.take(100, start).unwrap();
    let take = bucket.take_count();
    bucket.take(100, full).unwrap();
    bucket.refund_take(take, 100, full);
    assert_eq!(bucket.level(full), 0);
    bucket.refund_take(bucket.take_count(), 60, full);
    assert_eq!(bucket.level(full), 60);
}

/// Guards against a second charge for a repeated message, and against a second settlement.
#[test]
fn charges_and_settles_a_request_once() {
    let start = Instant::now();
    let far = start + Duration::from_hours(1);
    let mut allowance = Allowance::new(limit(100, 1_000, WHOLE_SHARE), 7, start);
    let now = start + Duration::from_mins(1);
    assert_eq!(
        allowance.charge(&charge(1, 400), far, now),
        ChargeReply::Granted { epoch: 7 }
    );
    assert_eq!(
        allowance.charge(&charge(1, 400), far, now),
        ChargeReply::Granted { epoch: 7 }
    );
    assert_eq!(level(&mut allowance, now), 600);
    let mut settle = Settle {
        request: 1,
        customer: customer(),
        epoch: 6,
        unused: 300,
    };
    allowance.settle(&settle, far, now);
    assert_eq!(level(&mut allowance, now), 600);
    settle.epoch = 7;
    for _ in 0..2 {
        allowance.settle(&settle, far, now);
        assert_eq!(level(&mut allowance, now), 900);
    }
}

/// Guards against a holder that grants charges after its lease has ended, for example after its process was paused.
#[test]
fn grants_nothing_after_its_lease() {
    let start = Instant::now();
    let until = start + Duration::from_mins(1);
    let mut allowance = Allowance::new(limit(100, 1_000, WHOLE_SHARE), 1, start);
    assert_eq!(
        allowance.charge(&charge(1, 1), until, until),
        ChargeReply::NotOwner
    );
}

/// Guards against a request within the burst that no data centre can serve, and against a floor that a new owner
/// uses while its predecessor's loan of it still runs.
#[test]
fn collects_the_whole_burst_for_one_charge() {
    let start = Instant::now();
    let far = start + Duration::from_hours(1);
    let now = start + Duration::from_mins(1);
    let mut borrower = Allowance::new(limit(100, 1_000, 250_000), 1, start);
    assert!(matches!(
        borrower.charge(&charge(1, 1_000), far, now),
        ChargeReply::Later(_)
    ));
    for other in 1..4 {
        let mut lender = Allowance::new(limit(100, 1_000, 250_000), 1, start);
        let amount = borrower.amount_to_borrow(1_000, now);
        let borrow = borrower.request_loan(other, &customer(), &name(0), &name(1), amount, now);
        let reply = lender.lend(&borrow, far, now);
        borrower.apply_loan_reply(other, 0, &reply, now);
    }
    assert_eq!(
        borrower.charge(&charge(1, 1_000), far, now),
        ChargeReply::Granted { epoch: 1 }
    );
    let mut successor = Allowance::new(limit(100, 1_000, 250_000), 2, now);
    let collected_end = now + lender_wait(BURST_LOAN_TTL);
    assert_eq!(level(&mut successor, collected_end), 0);
    assert_eq!(level(&mut successor, now + lender_wait(LOAN_TTL)), 45);
}

/// A request for three tenths of rate and burst, without tokens.
const LOAN_AMOUNT: LoanAmount = LoanAmount {
    rate: 300_000,
    burst: 300_000,
    tokens: 0,
};

/// Returns the full allowances of two data centres with half of a limit each, and the time.
fn two_halves() -> (Allowance, Allowance, Instant) {
    let start = Instant::now();
    let half = || Allowance::new(limit(100, 1_000, 500_000), 1, start);
    (half(), half(), start + Duration::from_mins(1))
}

/// Returns a borrower and a lender with half of a limit each and a loan between them, and the time of the loan
/// request.
fn borrower_and_lender() -> (Allowance, Allowance, Instant) {
    let (mut borrower, mut lender, now) = two_halves();
    // Enough demand for the loan to be renewed.
    borrower.charge(&charge(1, 500), now + STORE_LEASE, now);
    let borrow = borrower.request_loan(1, &customer(), &name(0), &name(1), LOAN_AMOUNT, now);
    let reply = lender.lend(&borrow, now + STORE_LEASE, now);
    assert!(matches!(reply, BorrowReply::Lent { rate: 300_000, .. }));
    borrower.apply_loan_reply(1, 0, &reply, now);
    (borrower, lender, now)
}

/// Guards against a renewal that moves tokens. While in transit they would be in neither bucket, both buckets could
/// fill up, and the customer would get more than its burst.
#[test]
fn a_renewal_moves_no_tokens() {
    let (mut borrower, mut lender, asked) = borrower_and_lender();
    let far = asked + STORE_LEASE;
    let due = asked + LOAN_TTL / 2;
    borrower.charge(&charge(2, 600), far, due);
    let actions = borrower.process_due_loans(&customer(), &name(0), due);
    let [LoanAction::Renew(_, borrow)] = &actions[..] else {
        panic!("{actions:?}");
    };
    let before = level(&mut lender, due);
    assert!(before > 0);
    // Not even if the request contains tokens, which a renewal never does.
    let greedy = Borrow {
        tokens: 1_000,
        ..borrow.clone()
    };
    assert_matches!(lender.lend(&greedy, far, due) => BorrowReply::Lent { tokens: 0, .. });
    assert_eq!(level(&mut lender, due), before);
}

/// Guards against a borrower that counts a loan's time to live from the reply. A late or duplicate reply with the
/// full time to live must not extend the loan beyond the lender's wait.
#[test]
fn a_late_or_duplicate_reply_extends_no_loan() {
    for late in 0..10 {
        let (mut borrower, mut lender, asked) = two_halves();
        let borrow = borrower.request_loan(1, &customer(), &name(0), &name(1), LOAN_AMOUNT, asked);
        let full = lender.lend(&borrow, asked + STORE_LEASE, asked);
        let now = asked + Duration::from_secs(late);
        borrower.apply_loan_reply(1, 0, &full, now);
        // A duplicate reply is ignored.
        borrower.apply_loan_reply(1, 0, &full, now + Duration::from_millis(1));
        let taken = borrower.view(customer(), "h".into(), now, now).taken;
        let given = lender.view(customer(), "h".into(), now, now).given;
        assert_eq!(taken[0].3 + Duration::from_secs(late), LOAN_TTL);
        assert!(taken[0].3 < given[0].3, "{taken:?}, {given:?}");
    }
}

/// Guards against a customer above its rate whose tokens are spread so thinly that no data centre can serve a
/// charge, and against a lender within its rate that lends its whole level.
#[test]
fn a_lender_above_its_rate_lends_its_whole_level() {
    // The tokens charged before, and the tokens then lent of the remaining level, out of 250.
    for (charged, lent) in [(200, 50), (110, 70)] {
        let start = Instant::now();
        let now = start + Duration::from_mins(1);
        let mut lender = Allowance::new(limit(100, 1_000, 250_000), 1, start);
        lender.charge(&charge(1, charged), now + STORE_LEASE, now);
        let borrow = Borrow {
            loan: 1,
            round: 0,
            customer: customer(),
            data_centre: name(0),
            rate: 300_000,
            burst: 300_000,
            tokens: 300,
            gather: false,
        };
        let reply = lender.lend(&borrow, now + STORE_LEASE, now);
        let BorrowReply::Lent { rate, tokens, .. } = reply else {
            panic!("{reply:?}");
        };
        assert_eq!((rate, tokens), (0, lent), "{charged} charged");
    }
}

/// Guards against two data centres with demand that lend to each other in turn.
#[test]
fn a_borrower_lends_nothing() {
    let (mut a, mut b, now) = two_halves();
    let far = now + STORE_LEASE;
    let amount = LoanAmount {
        tokens: 300,
        ..LOAN_AMOUNT
    };
    let borrow = a.request_loan(1, &customer(), &name(0), &name(1), amount, now);
    let reply = b.lend(&borrow, far, now);
    assert!(matches!(
        reply,
        BorrowReply::Lent {
            rate: 300_000,
            tokens: 300,
            ..
        }
    ));
    a.apply_loan_reply(1, 0, &reply, now);
    let back = b.request_loan(2, &customer(), &name(1), &name(0), amount, now);
    assert_eq!(a.lend(&back, far, now), BorrowReply::Nothing);
    let idle = now + LOAN_TTL / 2;
    let due = a.process_due_loans(&customer(), &name(0), idle);
    assert!(
        matches!(&due[..], [LoanAction::Return(..)]),
        "an unused loan is returned early"
    );
    assert_eq!(a.next_loan_due(), None, "an idle customer keeps no timer");
}

/// Guards against a holder that refills at the old rate for the time before it applied a lower one.
#[test]
fn a_lower_rate_counts_since_the_last_refill() {
    let start = Instant::now();
    let mut allowance = Allowance::new(limit(100, 10_000, WHOLE_SHARE), 1, start);
    let known = start + lender_wait(LOAN_TTL);
    let before = level(&mut allowance, known);
    let lower = CustomerLimit {
        version: 2,
        ..limit(10, 10_000, WHOLE_SHARE)
    };
    let later = known + Duration::from_secs(20);
    allowance.set_limit(lower, later);
    assert_eq!(level(&mut allowance, later), before + 200);
}

fn level(allowance: &mut Allowance, now: Instant) -> Tokens {
    let far = now + Duration::from_hours(1);
    allowance.view(customer(), "h".into(), far, now).level
}

/// Guards against a simulation that tests nothing because its operations cause no loans, hand-overs or large grants.
#[test]
fn reaches_loans_and_large_charges() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let mut kinds: HashMap<&str, u32> = HashMap::new();
    for _ in 0..200 {
        let ops = prop::collection::vec(ops(), 250)
            .new_tree(&mut runner)
            .unwrap()
            .current();
        let mut sim = Simulation::new();
        for op in ops {
            sim.apply(&op);
            for centre in &mut sim.centres {
                let Some(holder) = &mut centre.holder else {
                    continue;
                };
                let view = holder
                    .allowance
                    .view(customer(), "h".into(), sim.now, sim.now);
                *kinds.entry("given").or_default() += u32::from(!view.given.is_empty());
                *kinds.entry("taken").or_default() += u32::from(!view.taken.is_empty());
            }
        }
        *kinds.entry("moved").or_default() += sim.hand_overs;
        *kinds.entry("gathered").or_default() += sim.gathering_loans;
        *kinds.entry("settled later").or_default() += sim.settled_after_hand_over;
        *kinds.entry("granted").or_default() += u32::try_from(sim.grants.len()).unwrap();
        let large = sim.grants.iter().filter(|g| g.1 > 400);
        *kinds.entry("large").or_default() += u32::try_from(large.count()).unwrap();
    }
    for (kind, least) in [
        ("given", 400),
        ("taken", 400),
        ("granted", 2_000),
        ("large", 20),
        ("moved", 200),
        ("gathered", 200),
        ("settled later", 100),
    ] {
        let count = kinds.get(kind).copied().unwrap_or_default();
        assert!(count >= least, "{kind}: {kinds:?}");
    }
}
