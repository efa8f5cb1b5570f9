//! The section `[forwarding]` of the settings file, and the defaults of what it does not set.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::prelude::*;
use crate::process::forwarding::cold::ColdSettings;
use crate::process::forwarding::directory::DirectorySettings;
use crate::process::forwarding::list_schedule::ListSchedule;
use crate::process::forwarding::load::LoadSettings;
use crate::process::forwarding::report_exchange::ExchangeSettings;
use crate::process::forwarding::retry_budget::RetryBudgetSettings;
use crate::process::forwarding::selection::SelectionSettings;
use crate::process::forwarding::stage_plan::StagePlanSettings;
use crate::process::forwarding::usage::UsageSettings;
use crate::request::forward::settings::ForwardSettings;
use crate::version::fields::Fields;

/// The regions of data centres. One that is missing is of unknown region.
pub type Regions = BTreeMap<DataCentreId, RegionId>;

/// The settings of a forwarding host. Only some can be set in a file, see `ForwardingSettings::read`.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardingSettings {
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// When the list of upstreams is read.
    pub list: ListSchedule,
    /// The time between two reads of the list of hosts. Hosts report their start and their stop to the others, so the list is only
    /// needed to find hosts that are gone without having reported it.
    pub host_list_interval: Duration,
    /// The time between the first two reads of the list of hosts.
    pub second_host_list_delay: Duration,
    /// The time for which a watch waits for a change. A dead connection is noticed only when the watch ends, or when another host
    /// reports a change that this one missed.
    pub watch_wait: Duration,
    /// The time for which the watches of the first hosts wait. They hear of a change although the open connections of all hosts
    /// are dead, and report it to the others.
    pub sentinel_watch_wait: Duration,
    /// The number of these hosts; some of them may be cut off from the store. In a large fleet, the first relay of each data
    /// centre is one.
    pub config_sentinels: usize,
    /// The time to wait after a failed store call; doubles with each further one up to `max_store_backoff`.
    pub store_backoff: Duration,
    /// The upper bound of that time. With the time limit of a call that has waited in vain, it must stay below the time after an
    /// outage of the store from which a configuration must be in force.
    pub max_store_backoff: Duration,
    /// The upper bound for hosts that hear `store_probers` hosts ranked before them, which report what they read. Two calls still fit
    /// into the time to live of a registration.
    pub max_member_store_backoff: Duration,
    /// The number of the first hosts that go on calling a store that is down every `max_store_backoff`; some of them may be cut off
    /// from the store.
    pub store_probers: usize,
    /// The time to live of this host's registration, which is renewed after each half of it.
    pub registration_ttl: Duration,
    /// How often hosts report to each other, and through how many relays.
    pub exchange: ExchangeSettings,
    /// The share of a processor that this host has, in thousandths of a core; hosts with more become relays first.
    pub capacity: u32,
    /// The time between SIGTERM and the kill; open requests are cut off shortly before its end.
    pub grace: Duration,
    /// The time after SIGTERM for which new connections are still accepted, because the load balancer stops sending them only after
    /// two failed readiness checks.
    pub drain_delay: Duration,
    /// The retries allowed to all hosts together.
    pub retries: RetryBudgetSettings,
    /// How a single request is forwarded.
    pub requests: ForwardSettings,
    /// How upstreams are chosen.
    pub selection: SelectionSettings,
    /// How the load and health of upstreams are tracked.
    pub load: LoadSettings,
    /// How the list of upstreams is applied.
    pub directory: DirectorySettings,
    /// How customers' rates are enforced.
    pub usage: UsageSettings,
    /// How many requests cold upstreams get.
    pub cold: ColdSettings,
    /// How many engines should prefill.
    pub stage_plan: StagePlanSettings,
    /// Whether the whole fleet starts for the first time, so that no host has granted tokens or sent stage orders before.
    pub first_start: bool,
    /// The shortest time between stage orders of two hosts.
    pub order_quiet: Duration,
    /// The regions of data centres, from the section `[regions]` and the host's own region.
    pub regions: Regions,
}

impl Default for ForwardingSettings {
    fn default() -> Self {
        Self {
            store_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
            list: ListSchedule::default(),
            host_list_interval: Duration::from_secs(10),
            second_host_list_delay: Duration::from_millis(1500),
            watch_wait: Duration::from_secs(12),
            sentinel_watch_wait: Duration::from_secs(1),
            config_sentinels: 3,
            store_backoff: Duration::from_millis(200),
            max_store_backoff: Duration::from_secs(1),
            max_member_store_backoff: Duration::from_secs(4),
            store_probers: 4,
            registration_ttl: Duration::from_secs(15),
            exchange: ExchangeSettings::default(),
            capacity: 1000,
            grace: Duration::from_secs(8),
            drain_delay: Duration::from_millis(2300),
            retries: RetryBudgetSettings::default(),
            requests: ForwardSettings::default(),
            selection: SelectionSettings::default(),
            load: LoadSettings::default(),
            directory: DirectorySettings::default(),
            usage: UsageSettings::default(),
            cold: ColdSettings::default(),
            stage_plan: StagePlanSettings::default(),
            first_start: false,
            order_quiet: Duration::from_secs(3),
            regions: Regions::new(),
        }
    }
}

impl ForwardingSettings {
    /// Reads the section `[forwarding]` of a settings file; problems are reported through `fields`.
    pub fn read(fields: &mut Fields<'_>) -> Self {
        let defaults = Self::default();
        let settings = Self {
            store_address: fields.required_value(
                "store",
                "an address such as 10.1.0.2:9000",
                defaults.store_address,
            ),
            list: ListSchedule {
                interval: fields.duration("directory_interval", defaults.list.interval),
                ..defaults.list.clone()
            },
            watch_wait: fields.duration("watch_wait", defaults.watch_wait),
            registration_ttl: fields.duration("registration_ttl", defaults.registration_ttl),
            grace: fields.duration("grace", defaults.grace),
            first_start: fields.value("first_start", "true or false", defaults.first_start),
            order_quiet: fields.duration("order_quiet", defaults.order_quiet),
            usage: UsageSettings {
                window: fields.duration("limit_window", defaults.usage.window),
                overrun: fields.value("limit_overrun", "a fraction", defaults.usage.overrun),
                slack: fields.value("limit_slack", "a number of tokens", defaults.usage.slack),
                ..defaults.usage.clone()
            },
            cold: ColdSettings {
                overrun: read_bound(fields, "cold_overrun", defaults.cold.overrun),
                slack: read_bound(fields, "cold_slack", defaults.cold.slack),
                ..defaults.cold.clone()
            },
            capacity: read_capacity(fields, defaults.capacity),
            exchange: ExchangeSettings {
                max_direct_hosts: fields.value(
                    "max_direct_hosts",
                    "a number of hosts",
                    defaults.exchange.max_direct_hosts,
                ),
                ..defaults.exchange.clone()
            },
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

/// The upper bound of the overrun and the slack of cold upstreams.
const MAX_COLD_BOUND: f64 = 1e6;

/// Reads a bound on the requests to cold upstreams.
fn read_bound<'a>(fields: &mut Fields<'a>, key: &'a str, default: f64) -> f64 {
    let bound = fields.value(key, "a number", default);
    if !(0.0..=MAX_COLD_BOUND).contains(&bound) {
        fields.problem(key, format!("not between 0 and {MAX_COLD_BOUND}"));
        return default;
    }
    bound
}

/// Reads the share of a processor that the host has, which the settings give in cores.
fn read_capacity(fields: &mut Fields<'_>, default: u32) -> u32 {
    let cores: f64 = fields.value(
        "cpu_share",
        "a number of cores",
        f64::from(default) / 1000.0,
    );
    if !(0.0..=1000.0).contains(&cores) {
        fields.problem("cpu_share", "not between 0 and 1000 cores");
        return default;
    }
    // The range was checked above.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let capacity = (cores * 1000.0).round() as u32;
    capacity
}
