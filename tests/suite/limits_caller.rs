//! Guards the charge of a request whose caller disconnects.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;

use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::limits::Limits;
use hibiscusspread::process::message::{Charge, ChargeReply, Settle};
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::charge::charge;

use crate::limits_fleet::SimulatedClock;

fn unused(tokens: Tokens) -> Settle {
    Settle {
        request: 1,
        customer: "c".into(),
        epoch: 7,
        unused: tokens,
    }
}

/// Grants every charge after a second, and records the settlements.
#[derive(Default)]
struct SlowLimits {
    settled: Mutex<Vec<Settle>>,
}

#[async_trait]
impl Limits for SlowLimits {
    async fn charge(&self, _: Charge) -> ChargeReply {
        tokio::time::sleep(Duration::from_secs(1)).await;
        ChargeReply::Granted { epoch: 7 }
    }

    async fn settle(&self, settle: Settle) {
        lock(&self.settled).push(settle);
    }
}

/// Guards against tokens that are lost because the caller disconnected before they were granted. All of them must be
/// returned, once.
#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_uses_no_tokens() {
    let slow = Arc::new(SlowLimits::default());
    let limits: Arc<dyn Limits> = slow.clone();
    let tasks = BackgroundTasks::default();
    let asked = Charge {
        request: 1,
        customer: "c".into(),
        tokens: 300,
    };
    let wait = Duration::from_secs(2);
    let ask = charge(&limits, &tasks, &SimulatedClock, asked.clone(), wait);
    let left = tokio::time::timeout(Duration::from_millis(500), ask).await;
    assert!(left.is_err(), "the caller disconnects before the reply");
    assert_eq!(tasks.wait_until_idle(wait).await, 0);
    assert_eq!(*lock(&slow.settled), [unused(300)]);
    let ask = charge(&limits, &tasks, &SimulatedClock, asked, wait);
    ask.await.expect("granted").use_tokens(100);
    assert_eq!(tasks.wait_until_idle(wait).await, 0);
    assert_eq!(lock(&slow.settled)[1..], [unused(200)]);
}
