//! The crashes that are held against requests and parts of prompts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::FleetState;
use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::source::Reach;
use crate::process::message::{CrashId, CrashReport};
use crate::process::quarantine::{Dismissal, TrialTurn, Verdict, short_digits};
use crate::process::shard::lock;

/// The time after which an upstream has crashed on a request, if it does. Engines prefill its prompt before, behind others.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// The time between the first trials of two hosts, apart from that in which one hears of the other's.
const TRIAL_TURN: Duration = Duration::from_millis(100);

/// The most crashes that a report tells, and the most dismissed ones; both fit into a datagram beside the rest of a report.
const MAX_REPORTED_CRASHES: usize = 256;

/// Returns the newest pieces of news, which are last, as many as a report tells. Evidence needs few of the requests that a crash breaks
/// off.
fn newest_crashes<T>(mut news: Vec<T>) -> Vec<T> {
    news.drain(..news.len().saturating_sub(MAX_REPORTED_CRASHES));
    news
}

/// Logs which crashes no longer count, against a request or a part of a prompt, and what was seen. Returns their requests.
fn log_dismissal(
    fingerprint: &Digest,
    of_request: &Dismissal,
    of_part: &Dismissal,
    seen: &str,
) -> SmallVec<[RequestId; 2]> {
    let mut requests = SmallVec::new();
    let mut upstreams: SmallVec<[&str; 2]> = SmallVec::new();
    for crash in of_request.crashes.iter().chain(&of_part.crashes) {
        if !requests.contains(&crash.request) {
            requests.push(crash.request);
            upstreams.push(&crash.upstream);
        }
    }
    if !requests.is_empty() {
        log::info!(
            target: "quarantine",
            "crashes no longer count: fingerprint={} upstreams={}: {seen}",
            short_digits(fingerprint),
            upstreams.join(","),
        );
    }
    requests
}

impl FleetState {
    /// Decides whether a request with this fingerprint may run, as far as equal ones crashed upstreams.
    pub fn judge_request(&self, fingerprint: &Digest, request: RequestId, now: Instant) -> Verdict {
        let turn = |crashes| self.trial_turn(fingerprint, crashes);
        let verdict = lock(&self.crashes).judge(fingerprint, turn, now);
        if verdict == Verdict::Trial {
            self.announce_trial(*fingerprint, request, now);
        }
        verdict
    }

    /// Decides whether a request whose prompt has `parts` may run, as far as others with them crashed upstreams. Returns the verdict
    /// with the part that it is about.
    pub fn judge_parts(
        &self,
        parts: &[Digest],
        request: RequestId,
        now: Instant,
    ) -> (Verdict, Option<Digest>) {
        let turn = |part: &Digest, crashes| self.trial_turn(part, crashes);
        let (verdict, part) = lock(&self.part_crashes).judge(parts, turn, now);
        if let (Verdict::Trial, Some(part)) = (verdict, part) {
            self.announce_trial(part, request, now);
        }
        (verdict, part)
    }

    /// Returns this host's turn for a trial of a fingerprint after so many crashes. Hosts take turns in an order of their own after each
    /// crash, so that each hears of the trial before.
    fn trial_turn(&self, fingerprint: &Digest, crashes: usize) -> TrialTurn {
        let time = TRIAL_TURN + self.report_delay() * 2;
        let (place, hosts) = self.peers().turn(&(fingerprint, crashes));
        let turns = |count: usize| time * u32::try_from(count).unwrap_or(u32::MAX);
        TrialTurn {
            wait: turns(place),
            period: turns(hosts),
        }
    }

    /// Tells the other hosts that a request is let through as a trial.
    fn announce_trial(&self, fingerprint: Digest, request: RequestId, now: Instant) {
        let trial = CrashId {
            fingerprint,
            request,
        };
        lock(&self.trials).add(trial, Reach::Host, now);
        self.request_report();
    }

    /// Holds this host's trials back until the outcome of others is known, which hosts within `found` let through.
    pub(super) fn apply_trials(&self, trials: &[CrashId], found: Reach, now: Instant) {
        for trial in trials {
            if lock(&self.trials).add(*trial, found, now) {
                let until = now + TRIAL_TIME;
                lock(&self.crashes).hold_trials(&trial.fingerprint, until);
                lock(&self.part_crashes).hold_trials(&trial.fingerprint, until);
            }
        }
    }

    /// Returns the upstreams that crashed on requests with this fingerprint, for the log.
    pub fn crashed_upstreams(&self, fingerprint: &Digest, now: Instant) -> Vec<UpstreamId> {
        lock(&self.crashes).crashed_upstreams(fingerprint, now)
    }

    /// Records that an upstream broke off while it ran a request, as found within `reach`, and reports it to others. The report
    /// names the fingerprint of the request or of a part of its prompt, which are never equal.
    pub fn record_crash(&self, report: &CrashReport, reach: Reach, now: Instant) {
        // Tables keep some crashes of each fingerprint only, so that a repeat could pass for another crash.
        let is_new = lock(&self.crash_reports).add(report.clone(), reach, now);
        if !is_new || lock(&self.dismissed_crashes).contains(&report.id()) {
            return;
        }
        let instance = self.with_directory(|d| d.instance(&report.upstream));
        let started = instance.map(|instance| instance.born);
        self.interrupted.record_interruption(&report.upstream, now);
        lock(&self.crashes).record(report, started, now);
        let is_suspected = lock(&self.part_crashes).record_crash(report, started, now);
        if is_suspected && reach == Reach::Host {
            self.record_part_change(report.fingerprint);
        }
    }

    /// Records that an upstream ran a request, which was sent at `sent_at`, to its end, and reports to others which crashes that
    /// disproves. The fingerprints are those of the request and of the parts of its prompt.
    pub fn record_sound(&self, fingerprints: &[Digest], sent_at: Instant, now: Instant) {
        for fingerprint in fingerprints {
            let of_request = lock(&self.crashes).record_sound(fingerprint, sent_at, now);
            let of_part = lock(&self.part_crashes).record_sound(fingerprint, sent_at, now);
            let seen = "a request sent since ran to its end";
            self.follow_dismissal(fingerprint, &of_request, &of_part, seen, now);
        }
    }

    /// Records that an upstream answered a call that was sent at `sent_at`, and reports to others which crashes that disproves.
    pub fn record_answer(&self, instance: &Instance, sent_at: Instant, now: Instant) {
        let Some(time) = self.interrupted.record_answer(&instance.id, sent_at) else {
            return;
        };
        let (id, born) = (&instance.id, instance.born);
        let of_requests = lock(&self.crashes).dismiss_crashes_of(id, born, &time, now);
        let of_parts = lock(&self.part_crashes).dismiss_crashes_of(id, born, &time, now);
        let mut dismissals: BTreeMap<Digest, [Dismissal; 2]> = BTreeMap::new();
        for (fingerprint, dismissal) in of_requests {
            dismissals.entry(fingerprint).or_default()[0] = dismissal;
        }
        for (fingerprint, dismissal) in of_parts {
            dismissals.entry(fingerprint).or_default()[1] = dismissal;
        }
        for (fingerprint, [of_request, of_part]) in &dismissals {
            let seen = "the upstream, started at the same time, answered a call sent since";
            self.follow_dismissal(fingerprint, of_request, of_part, seen, now);
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_unreachable(&self, instance: &Instance, now: Instant) {
        if self.interrupted.record_unreachable(&instance.id, now) {
            log::info!(
                target: "quarantine",
                "upstream {} started={} is unreachable after it broke off a request",
                instance.id,
                instance.born,
            );
        }
    }

    /// Logs and reports that this host found crashes not to count, against a request or a part of a prompt.
    fn follow_dismissal(
        &self,
        fingerprint: &Digest,
        of_request: &Dismissal,
        of_part: &Dismissal,
        seen: &str,
        now: Instant,
    ) {
        let requests = log_dismissal(fingerprint, of_request, of_part, seen);
        if of_part.ends_suspicion {
            self.record_part_change(*fingerprint);
        }
        if requests.is_empty() {
            return;
        }
        let mut dismissed = lock(&self.dismissed_crashes);
        for request in requests {
            let fingerprint = *fingerprint;
            let crash = CrashId {
                fingerprint,
                request,
            };
            dismissed.add(crash, Reach::Host, now);
        }
        drop(dismissed);
        self.request_report();
    }

    /// Dismisses crashes that other hosts within `found` found not to count.
    pub(super) fn apply_dismissed(&self, crashes: &[CrashId], found: Reach, now: Instant) {
        for crash in crashes {
            if !lock(&self.dismissed_crashes).add(*crash, found, now) {
                continue;
            }
            let of_request = lock(&self.crashes).dismiss(crash, now);
            let of_part = lock(&self.part_crashes).dismiss(crash, now);
            if of_request.ends_suspicion || of_part.ends_suspicion {
                let seen = "another host reports so";
                log_dismissal(&crash.fingerprint, &of_request, &of_part, seen);
            }
        }
    }

    /// Returns the crashes recently found not to count within `reach`, to report them.
    pub(super) fn recently_dismissed(&self, reach: Reach, now: Instant) -> Vec<CrashId> {
        newest_crashes(lock(&self.dismissed_crashes).within(reach, now))
    }

    /// Returns the crashes of a part as far as they count, to store them; empty unless the part is suspected.
    pub fn part_crashes(&self, part: &Digest, now: Instant) -> Vec<(RequestId, UpstreamId)> {
        lock(&self.part_crashes).crashes_of(part, now)
    }

    /// Adds a part that was suspected before this host started.
    pub fn restore_part(&self, part: Digest, crashes: &[(RequestId, UpstreamId)], now: Instant) {
        lock(&self.part_crashes).restore(part, crashes, now);
    }

    fn record_part_change(&self, part: Digest) {
        lock(&self.part_changes).push(part);
        self.parts_changed.notify_one();
    }

    /// Waits until this host finds that the suspicion of parts begins or ends, and returns these parts.
    pub async fn next_part_changes(&self) -> Vec<Digest> {
        loop {
            let changes = std::mem::take(&mut *lock(&self.part_changes));
            if !changes.is_empty() {
                return changes;
            }
            self.parts_changed.notified().await;
        }
    }

    /// Returns the crashes recently found within `reach` that count, to report them.
    pub fn recent_crashes(&self, reach: Reach, now: Instant) -> Vec<CrashReport> {
        let mut reports = lock(&self.crash_reports).within(reach, now);
        let dismissed = lock(&self.dismissed_crashes);
        reports.retain(|report| !dismissed.contains(&report.id()));
        newest_crashes(reports)
    }
}
