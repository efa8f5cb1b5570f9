//! The encoding of reports between hosts and of the sections that follow them.

use std::fmt::Write;
use std::time::Duration;

use proptest::prelude::*;

use hibiscusspread::connection::forward::reports::{decode_report, encode_report};
use hibiscusspread::process::forwarding::load::Work;
use hibiscusspread::process::forwarding::peers::HostReport;
use hibiscusspread::process::forwarding::report_sections::ReportSection;
use hibiscusspread::process::forwarding::usage::UsageTotals;
use hibiscusspread::process::message::CrashId;

use crate::forward_fleet::report;

/// A report with some of everything, as hosts sent it before reports had sections.
fn full_report() -> HostReport {
    let work = Work {
        calls: 2,
        tokens: 9000,
        prompts: 300,
    };
    let totals = UsageTotals {
        granted: 70_000,
        refunded: 10,
        requested: 80_000,
    };
    HostReport {
        uptime: Duration::from_millis(1500),
        usage: vec![("coast".into(), totals)],
        work: vec![("e-1".into(), work)],
        left: vec![("e-2".into(), 1_700_000_000_000)],
        has_on_time: true,
        ..report("host-a", 7, 3)
    }
}

/// The bytes of `full_report` before reports had sections.
const BYTES_WITHOUT_SECTIONS: &str = "06686f73742d61007f0000010907017878000301fc0065cd1d020001000105636f617374fc701101000afc803801000103652d3102fb2823fb2c01000103652d32fd0068e5cf8b010000010000";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Guards against a report that hosts of an earlier build can't decode although no part has anything to add.
#[test]
fn report_without_sections_keeps_its_bytes() {
    let bytes = encode_report(&full_report()).expect("report encodes");
    assert_eq!(hex(&bytes), BYTES_WITHOUT_SECTIONS);
    assert_eq!(decode_report(&bytes), Ok(full_report()));
}

/// Guards against a report that is lost because it carries a section of a newer build, or one that is malformed.
#[test]
fn unknown_and_malformed_sections_are_skipped() {
    let generation = ReportSection::StoreGeneration(3);
    let sent = HostReport {
        sections: vec![generation.clone()],
        ..full_report()
    };
    let known = encode_report(&sent).expect("report encodes");
    let plain = encode_report(&full_report()).expect("report encodes");
    let section = &known[plain.len()..];
    let unknown: &[u8] = &[250, 4, 0, 1, 2, 3, 4];
    let malformed: &[u8] = &[1, 2, 0, 255, 255];
    let truncated: &[u8] = &[1, 200, 0, 1];
    let received = [&plain, unknown, malformed, section, truncated].concat();
    let received = decode_report(&received).expect("the report itself is sound");
    assert_eq!(received, sent);
}

/// Guards against queued tokens that don't reach other hosts, so that these promise the same ones.
#[test]
fn queued_tokens_follow_a_report() {
    let queued = ReportSection::QueuedTokens(vec![("coast".into(), 5300), ("ridge".into(), 0)]);
    let sent = HostReport {
        sections: vec![queued],
        ..full_report()
    };
    let bytes = encode_report(&sent).expect("report encodes");
    assert_eq!(decode_report(&bytes), Ok(sent));
}

/// Guards against dismissed crashes that don't reach other hosts, so that these go on refusing sound requests, and against trials that
/// don't, so that these make one as well.
#[test]
fn dismissed_crashes_and_trials_follow_a_report() {
    let crash = CrashId {
        fingerprint: [7; 32],
        request: 5,
    };
    let sent = HostReport {
        sections: vec![
            ReportSection::DismissedCrashes(vec![crash; 256]),
            ReportSection::CrashTrials(vec![crash]),
        ],
        ..full_report()
    };
    let bytes = encode_report(&sent).expect("report encodes");
    assert_eq!(decode_report(&bytes), Ok(sent));
}

proptest! {
    /// Guards against a panic, or a report that is lost, on any bytes after a sound report.
    #[test]
    fn any_bytes_may_follow_a_report(tail in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = encode_report(&full_report()).expect("report encodes");
        bytes.extend_from_slice(&tail);
        let received = decode_report(&bytes).expect("the report itself is sound");
        prop_assert_eq!(received.sender, full_report().sender);
    }

    /// Guards against a panic on any bytes.
    #[test]
    fn any_bytes_may_arrive(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_report(&bytes);
    }
}
