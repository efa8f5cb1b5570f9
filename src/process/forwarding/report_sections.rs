//! What parts of a forwarding host add to its reports to other hosts.
//!
//! A report keeps its form; sections follow it. A host skips the sections that it doesn't know, so that hosts of different builds
//! understand each other's reports.

use crate::prelude::*;
use crate::process::forwarding::cold::ColdReport;
use crate::process::forwarding::directory::OrderedStage;
use crate::process::forwarding::evacuation::EvacuationNews;
use crate::process::forwarding::stage_load::StageSums;
use crate::process::forwarding::usage::QueuedTokens;
use crate::process::message::CrashId;

/// The state of one part, as a report carries it. The sender leaves a section out that says nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportSection {
    /// The newest generation of the store that the sender knows of.
    StoreGeneration(Generation),
    /// The evacuated data centres.
    Evacuations(EvacuationNews),
    /// The upstreams that were recently found cold.
    ColdEngines(Vec<ColdReport>),
    /// The engine time that the prompts and generations of each service take, as measured.
    StageLoad(Vec<(ModelId, StageSums)>),
    /// The tokens of requests that wait at the sender for their customer's rate.
    QueuedTokens(Vec<QueuedTokens>),
    /// The engines that were ordered to change their stage and have not done so.
    StageChanges(Vec<OrderedStage>),
    /// The crashes that were recently found not to count against requests.
    DismissedCrashes(Vec<CrashId>),
    /// The requests with suspected fingerprints that were recently let through as trials.
    CrashTrials(Vec<CrashId>),
}
