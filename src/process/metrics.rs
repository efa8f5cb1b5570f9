//! Metrics of the process, in Prometheus text format. Dashboards rely on the names.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests by `outcome`: `answered`, `refused`, `cut` or `left`.
pub const REQUESTS: &str = "hibiscusspread_requests_total";
/// Refusals by `kind`.
pub const REFUSALS: &str = "hibiscusspread_refusals_total";
/// Attempts after the first one, by `cause`.
pub const RETRIES: &str = "hibiscusspread_retries_total";
/// Tokens sent to callers.
pub const TOKENS: &str = "hibiscusspread_tokens_total";
/// Seconds from the request to its first token.
pub const FIRST_TOKEN: &str = "hibiscusspread_first_token_seconds";
/// Seconds from a forwarded request to its end, by `outcome`.
pub const REQUEST_TIME: &str = "hibiscusspread_request_seconds";
/// Calls of the platform's store by `call` and `result`.
pub const STORE_CALLS: &str = "hibiscusspread_store_calls_total";
/// Reads of the configuration by `cause`: `start`, `news`, `failure`, `compacted`, `unrelayed` or
/// `evacuations`.
pub const CONFIG_READS: &str = "hibiscusspread_config_reads_total";
/// Reports of other hosts dropped because they can't be decoded.
pub const REPORTS_DROPPED: &str = "hibiscusspread_reports_dropped_total";
/// Sections of other hosts' reports dropped because they can't be decoded or used, by `reason`.
pub const REPORT_SECTIONS_DROPPED: &str = "hibiscusspread_report_sections_dropped_total";
/// The number of data centres that are evacuated as this host knows.
pub const EVACUATED_DATA_CENTRES: &str = "hibiscusspread_evacuated_data_centres";
/// Requests to evacuate a data centre, and other hosts' news of them, that are ignored, by `reason`: `malformed`, `unknown` or
/// `refuted`.
pub const EVACUATIONS_IGNORED: &str = "hibiscusspread_evacuations_ignored_total";
/// Refusals because all upstreams that could take a request are excluded, by `reason`: `evacuated` or `homes`.
pub const REACH_REFUSALS: &str = "hibiscusspread_reach_refusals_total";
/// Fields and headers of others that are ignored because their value is not allowed, by `field`.
pub const IGNORED_FIELDS: &str = "hibiscusspread_ignored_fields_total";
/// Periods for which an upstream counts as cold, by `cause`: `started`, `stated` or `reported`.
pub const COLD_PERIODS: &str = "hibiscusspread_cold_periods_total";
/// Calls to cold upstreams by `result`: `sent`, or `withheld` if the pass for it was gone by the time of sending.
pub const COLD_CALLS: &str = "hibiscusspread_cold_calls_total";
/// Other hosts' reports of cold upstreams that were ignored, because there were too many for one upstream.
pub const COLD_REPORTS_IGNORED: &str = "hibiscusspread_cold_reports_ignored_total";
/// Panics, each of which ended a task without its result.
pub const PANICS: &str = "hibiscusspread_panics_total";
/// Log lines dropped because standard output was read too slowly.
pub const LOG_LINES_DROPPED: &str = "hibiscusspread_log_lines_dropped_total";
/// Violations of invariants that the program checks at run time, by `invariant`; must stay 0.
pub const INVARIANT_VIOLATIONS: &str = "hibiscusspread_invariant_violations_total";

/// The time between two calls of `upkeep`.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the recorder, installing it on the first call. All hosts in a process share it. Returns `None` if another
/// recorder was installed before.
pub fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}

/// Returns all metrics as text.
pub fn render() -> String {
    recorder().map(PrometheusHandle::render).unwrap_or_default()
}

/// Drops expired histogram samples; must be called every `UPKEEP_INTERVAL`.
pub fn upkeep() {
    if let Some(handle) = recorder() {
        handle.run_upkeep();
    }
}

/// Counts and logs a violated invariant; panics in debug builds.
pub fn violated(invariant: &'static str) {
    metrics::counter!(INVARIANT_VIOLATIONS, "invariant" => invariant).increment(1);
    log::error!("invariant violated: {invariant}");
    debug_assert!(false, "invariant violated: {invariant}");
}
