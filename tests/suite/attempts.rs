//! Cancels and releases of an attempt whose engines are hard to reach, on a paused clock.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::Notify;
use tokio::time::Instant;

use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::message::{
    CancelPlace, PlaceReply, PlaceRequest, Placement, Release, ReleaseOutcome,
};
use hibiscusspread::process::placer::Placer;
use hibiscusspread::request::attempt::HeldUpstreams;

use crate::fixtures::{EnginesOnly, StubEngine, compiled, refused};
use crate::pool_support::place_request;

const DOCUMENT: &str = "[t/fleet/main]\ndata_centres = a\n\
    [t/route/completions]\npath = /v1\nopen = yes\n\
    [t/upstream/p]\naddress = 127.0.0.1:1\ndata_centre = a\nrole = prefill\nmodel = forecast\n\
    [t/upstream/d]\naddress = 127.0.0.1:2\ndata_centre = a\nrole = decode\nmodel = forecast\n";

/// Records cancels at engines, which confirm them only after some failures, and releases at the placer.
#[derive(Default)]
struct Recorder {
    /// Whether the coming cancels at the decode engine are confirmed; once empty, all are.
    confirmations: Mutex<VecDeque<bool>>,
    cancels: Mutex<Vec<(Instant, String, AttemptNo)>>,
    releases: Mutex<Vec<Release>>,
    changed: Notify,
}

struct RecordedEngine(Arc<Recorder>, String);

#[async_trait]
impl StubEngine for RecordedEngine {
    async fn cancel(&self, _: RequestId, attempt: AttemptNo) -> Result<(), UpstreamError> {
        let recorder = &self.0;
        let record = (Instant::now(), self.1.clone(), attempt);
        recorder.cancels.lock().expect("not poisoned").push(record);
        recorder.changed.notify_waiters();
        let is_decoder = self.1.ends_with(":2");
        let confirmed = is_decoder
            .then(|| {
                recorder
                    .confirmations
                    .lock()
                    .expect("not poisoned")
                    .pop_front()
            })
            .flatten();
        if confirmed.unwrap_or(true) {
            Ok(())
        } else {
            Err(refused())
        }
    }
}

#[async_trait]
impl Placer for Recorder {
    async fn place(&self, _: PlaceRequest) -> PlaceReply {
        PlaceReply::NoUpstream
    }

    async fn release(&self, release: Release) {
        self.releases.lock().expect("not poisoned").push(release);
        self.changed.notify_waiters();
    }

    async fn cancel(&self, _: CancelPlace) {}
}

impl Recorder {
    /// Creates a recorder whose decode engine fails this number of cancels first.
    fn with_failed_cancels(failures: usize) -> Arc<Self> {
        Arc::new(Self {
            confirmations: Mutex::new(vec![false; failures].into()),
            ..Self::default()
        })
    }

    fn hold(self: &Arc<Self>, engine_deadline: Duration) -> HeldUpstreams {
        let compiled = compiled(1, DOCUMENT);
        let req = place_request(7, "c");
        let placement = Placement {
            prefill: Some("p".into()),
            target: "d".into(),
            expected_cached: 0,
        };
        let recorder = self.clone();
        let upstreams = Arc::new(EnginesOnly(move |address: &str| {
            RecordedEngine(recorder.clone(), address.to_owned())
        }));
        let held = HeldUpstreams::new(
            self.clone(),
            upstreams,
            &BackgroundTasks::default(),
            &compiled,
            &req,
            &placement,
            engine_deadline,
        );
        held.expect("upstreams are known")
    }

    fn decoder_cancels(&self) -> Vec<(Instant, AttemptNo)> {
        let cancels = self.cancels.lock().expect("not poisoned");
        let at_decoder = cancels
            .iter()
            .filter(|(_, address, _)| address.ends_with(":2"));
        at_decoder.map(|(at, _, attempt)| (*at, *attempt)).collect()
    }

    fn released(&self) -> Vec<Release> {
        self.releases.lock().expect("not poisoned").clone()
    }
}

/// Guards against engine memory that stays held because the first cancel was lost, and against a slot that is not
/// released while an engine can't be reached.
#[tokio::test(start_paused = true)]
async fn repeats_a_cancel_until_it_is_confirmed() {
    let recorder = Recorder::with_failed_cancels(4);
    drop(recorder.hold(Duration::from_mins(10)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        recorder.released().len(),
        1,
        "the slot is not released before the engine confirms"
    );
    tokio::time::sleep(Duration::from_mins(1)).await;
    let cancels = recorder.decoder_cancels();
    assert_eq!(cancels.len(), 5, "{cancels:?}");
    let gaps: Vec<_> = cancels
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0)
        .collect();
    assert!(
        gaps.windows(2).all(|pair| pair[1] > pair[0]),
        "gaps don't grow: {gaps:?}"
    );
}

/// Guards against a cancel that is repeated without end at an engine that is gone.
#[tokio::test(start_paused = true)]
async fn stops_repeating_a_cancel_at_the_deadline() {
    let recorder = Recorder::with_failed_cancels(100_000);
    let started = Instant::now();
    drop(recorder.hold(Duration::from_mins(2)));
    tokio::time::sleep(Duration::from_hours(1)).await;
    let cancels = recorder.decoder_cancels();
    let last = cancels.last().expect("at least one cancel").0;
    assert!(last - started <= Duration::from_mins(2));
    assert!(
        last - started >= Duration::from_mins(1),
        "repeats stopped too early"
    );
    assert!(
        cancels.len() < 30,
        "{} cancels in two minutes",
        cancels.len()
    );
}

/// Guards against a cancel with an attempt number too old to free a stream whose resume was sent, and against a release
/// with a number that the placer does not know.
#[tokio::test(start_paused = true)]
async fn cancels_the_newest_and_releases_the_placed_attempt() {
    let recorder = Recorder::with_failed_cancels(0);
    let mut held = recorder.hold(Duration::from_mins(10));
    held.set_newest_attempt(3);
    held.fail(&"d".into(), true).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let cancels = recorder.decoder_cancels();
    assert_eq!(cancels.iter().map(|c| c.1).collect::<Vec<_>>(), [3]);
    let releases = recorder.released();
    assert_eq!(releases.len(), 1);
    assert_eq!(releases[0].attempt, 1);
    assert!(matches!(
        releases[0].outcome,
        ReleaseOutcome::Failed { down: true, .. }
    ));
}
