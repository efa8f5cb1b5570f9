//! The settings of a host that forwards whole requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::process::forwarding::directory::DirectorySettings;
use crate::process::forwarding::load::LoadSettings;
use crate::process::forwarding::retry_budget::RetryBudgetSettings;
use crate::process::forwarding::selection::SelectionSettings;
use crate::process::forwarding::stage_plan::StagePlanSettings;
use crate::process::forwarding::usage::UsageSettings;
use crate::request::forward::settings::ForwardSettings;
use crate::version::fields::Fields;

/// The settings of a host that forwards whole requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardingSettings {
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The time between two reads of the list of upstreams. A leaving upstream must get no new work after two
    /// seconds, so that one read may be lost.
    pub directory_interval: Duration,
    /// The same for each other host that is heard: all of them read the list and report what has left.
    pub directory_interval_per_host: Duration,
    /// The longest time between two reads.
    pub max_directory_interval: Duration,
    /// The time between two reads of the list of hosts. Hosts that start report to those that they find in it, and hosts that stop
    /// say so; the list only tells of hosts that are gone without a word.
    pub host_list_interval: Duration,
    /// The time for which a watch waits for a change. Until it ends, a connection that went silent goes unnoticed, unless
    /// another host hears of a change.
    pub watch_wait: Duration,
    /// The time to wait after a failed call of the store; doubles up to `max_store_backoff`.
    pub store_backoff: Duration,
    /// The longest such time.
    pub max_store_backoff: Duration,
    /// The time to live of this host's registration.
    pub registration_ttl: Duration,
    /// The time for which reports are gathered before they are sent, for each other host; bounds the traffic between many hosts.
    pub report_delay_per_host: Duration,
    /// The longest time between two reports.
    pub report_interval: Duration,
    /// The time between SIGTERM and the kill.
    pub grace: Duration,
    /// The time after SIGTERM for which new connections are taken; the balancer needs two missed checks.
    pub drain_delay: Duration,
    /// The bounds on retries.
    pub retries: RetryBudgetSettings,
    /// The request path.
    pub requests: ForwardSettings,
    /// The choice of upstreams.
    pub selection: SelectionSettings,
    /// The load of upstreams.
    pub load: LoadSettings,
    /// The list of upstreams.
    pub directory: DirectorySettings,
    /// The customers' accounts.
    pub usage: UsageSettings,
    /// The division of engines.
    pub stage_plan: StagePlanSettings,
    /// Whether the whole fleet starts for the first time, so that no host can have given orders before.
    pub first_start: bool,
    /// The least time between the orders of two hosts.
    pub order_quiet: Duration,
}

impl Default for ForwardingSettings {
    fn default() -> Self {
        Self {
            store_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
            directory_interval: Duration::from_millis(800),
            directory_interval_per_host: Duration::from_millis(60),
            max_directory_interval: Duration::from_millis(2400),
            host_list_interval: Duration::from_secs(10),
            watch_wait: Duration::from_secs(12),
            store_backoff: Duration::from_millis(200),
            max_store_backoff: Duration::from_millis(1500),
            registration_ttl: Duration::from_secs(10),
            report_delay_per_host: Duration::from_millis(1),
            report_interval: Duration::from_millis(500),
            grace: Duration::from_secs(8),
            drain_delay: Duration::from_millis(2300),
            retries: RetryBudgetSettings::default(),
            requests: ForwardSettings::default(),
            selection: SelectionSettings::default(),
            load: LoadSettings::default(),
            directory: DirectorySettings::default(),
            usage: UsageSettings::default(),
            stage_plan: StagePlanSettings::default(),
            first_start: false,
            order_quiet: Duration::from_secs(3),
        }
    }
}

impl ForwardingSettings {
    /// Reads the section `[forwarding]` of a settings file.
    pub fn read(fields: &mut Fields<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            store_address: fields.required_value(
                "store",
                "an address such as 10.1.0.2:9000",
                defaults.store_address,
            ),
            directory_interval: fields.duration("directory_interval", defaults.directory_interval),
            watch_wait: fields.duration("watch_wait", defaults.watch_wait),
            registration_ttl: fields.duration("registration_ttl", defaults.registration_ttl),
            grace: fields.duration("grace", defaults.grace),
            first_start: fields.value("first_start", "true or false", defaults.first_start),
            order_quiet: fields.duration("order_quiet", defaults.order_quiet),
            stage_plan: StagePlanSettings {
                prefill_part: fields.value(
                    "prefill_part",
                    "a number between 0 and 1",
                    defaults.stage_plan.prefill_part,
                ),
                ..defaults.stage_plan.clone()
            },
            drain_delay: fields.duration("drain_delay", defaults.drain_delay),
            retries: RetryBudgetSettings {
                ratio: fields.value("retry_ratio", "a number", defaults.retries.ratio),
                slack: fields.value("retry_slack", "a number", defaults.retries.slack),
                window: fields.duration("retry_window", defaults.retries.window),
                ..defaults.retries.clone()
            },
            ..defaults
        };
        if settings.grace <= settings.drain_delay {
            fields.problem(
                "grace",
                "not above drain_delay; raise it or lower drain_delay",
            );
        }
        settings
    }
}
