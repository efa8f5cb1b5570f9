//! The settings of a process, read from an INI file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::connection::caller_listener::CallerSettings;
use crate::prelude::*;
use crate::process::distribution::freshness::DEFAULT_KEY_TRUST;
use crate::process::forwarding::settings::{ForwardingSettings, Regions};
use crate::process::node::external::StaticWeightStore;
use crate::process::placement::{JointPolicy, LeastLoadedPolicy, Policy, RoundRobinPolicy};
use crate::process::pool::settings::PlacementSettings;
use crate::request::flow::FlowSettings;
use crate::version::fields::{Fields, Problem, parse_ini};
use crate::version::repository::record::PAST_FLEET_LIFETIME;

/// The INI sections of a settings file.
const SECTIONS: &[&str] = &[
    "host",
    "callers",
    "operators",
    "requests",
    "placement",
    "config",
    "peer",
    "store",
    "host_list",
    "weights",
    "log",
    "forwarding",
    "regions",
];

/// The placement policies by their names in settings.
const POLICIES: &[(&str, PolicyKind)] = &[
    ("joint", PolicyKind::Joint),
    ("least_loaded", PolicyKind::LeastLoaded),
    ("round_robin", PolicyKind::RoundRobin),
];

/// The policy that chooses upstreams. All but `Joint` are baselines to compare it with.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Chooses the pair of engines with the lowest predicted time to the first token.
    #[default]
    Joint,
    /// Chooses the upstreams with the fewest running requests.
    LeastLoaded,
    /// Chooses upstreams in turn.
    RoundRobin,
}

impl PolicyKind {
    /// Returns the policy with this name in settings.
    pub fn from_name(name: &str) -> Option<Self> {
        let found = POLICIES.iter().find(|(known, _)| *known == name);
        found.map(|(_, policy)| *policy)
    }

    /// Returns the name used in settings.
    pub fn name(self) -> &'static str {
        let found = POLICIES.iter().find(|(_, policy)| *policy == self);
        found.map_or("", |(name, _)| name)
    }

    /// Creates an instance of the policy, with its own state.
    pub fn create(self) -> Arc<dyn Policy> {
        match self {
            Self::Joint => Arc::new(JointPolicy),
            Self::LeastLoaded => Arc::new(LeastLoadedPolicy),
            Self::RoundRobin => Arc::new(RoundRobinPolicy::default()),
        }
    }
}

/// The `[peer]` section: the link to other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// The address that the peer listener binds.
    pub address: SocketAddr,
    /// The secret that all hosts share and authenticate each other with.
    pub secret: String,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8082)),
            secret: String::new(),
        }
    }
}

/// The settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this host, unique in the fleet.
    pub host: HostId,
    /// The data centre that this host runs in.
    pub data_centre: DataCentreId,
    /// The region of its data centre; `None` if it is not known. The section `[regions]` takes precedence.
    pub region: Option<RegionId>,
    /// The address that the callers' listener binds.
    pub callers_address: SocketAddr,
    /// The limits on callers' connections and bodies.
    pub callers: CallerSettings,
    /// The address that the operators' listener binds; `None` for no listener.
    pub operators_address: Option<SocketAddr>,
    /// The timeouts and limits of the request path.
    pub requests: FlowSettings,
    /// The parameters of placement in the pools that this host owns.
    pub placement: PlacementSettings,
    /// The policy that chooses upstreams in these pools.
    pub policy: PolicyKind,
    /// The link to other hosts.
    pub peer: PeerSettings,
    /// The address of the platform's store; `None` for a host without a fleet.
    pub store_address: Option<SocketAddr>,
    /// The address of the platform's list of hosts; required with `store_address`.
    pub host_list_address: Option<SocketAddr>,
    /// The limits of the weight store.
    pub weights: StaticWeightStore,
    /// The time between leaving the fleet and refusing connections: the load balancer's check interval.
    pub drain_delay: Duration,
    /// The log level, as `flexi_logger` reads it.
    pub log_level: String,
    /// The path of a configuration document for a host without a store.
    pub config_file: Option<String>,
    /// How long API keys are trusted without a confirmation of the configuration by the store.
    pub key_trust: Duration,
    /// The settings of a host that forwards whole requests; `None` for a host with the project's own protocols.
    pub forwarding: Option<ForwardingSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            host: "host-1".into(),
            data_centre: "a".into(),
            region: None,
            callers_address: loopback(8080),
            callers: CallerSettings::default(),
            operators_address: None,
            requests: FlowSettings::default(),
            placement: PlacementSettings::default(),
            policy: PolicyKind::default(),
            peer: PeerSettings::default(),
            store_address: None,
            host_list_address: None,
            weights: StaticWeightStore::default(),
            drain_delay: Duration::from_secs(2),
            log_level: "info".to_owned(),
            config_file: None,
            key_trust: DEFAULT_KEY_TRUST,
            forwarding: None,
        }
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns every problem found in the file.
    pub fn load(path: &Path) -> Result<Self, Vec<Problem>> {
        let source = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&source, &text),
            Err(e) => Err(vec![Problem {
                source,
                section: String::new(),
                key: String::new(),
                message: format!("can't be read ({e}); check the path"),
            }]),
        }
    }

    /// Reads settings from INI text; `source` names it in problems.
    ///
    /// # Errors
    /// Returns every problem found.
    pub fn parse(source: &str, text: &str) -> Result<Self, Vec<Problem>> {
        let ini = parse_ini(source, text).map_err(|problem| vec![problem])?;
        let mut problems = Vec::new();
        let mut regions = Regions::new();
        let operators = SocketAddr::from((Ipv4Addr::LOCALHOST, 8081));
        let mut settings = Self {
            operators_address: Some(operators),
            ..Self::default()
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            let mut fields = Fields::new(source, section, Some(properties), &mut problems);
            match section {
                "host" => settings.read_host(&mut fields),
                "callers" => settings.read_callers(&mut fields),
                "operators" => {
                    settings.operators_address = Some(address(&mut fields, operators));
                }
                "requests" => settings.read_requests(&mut fields),
                "config" => settings.read_config(&mut fields),
                "placement" => {
                    settings.placement = read_placement(&mut fields);
                    settings.policy = fields.choice("policy", POLICIES, settings.policy);
                }
                "peer" => settings.peer = read_peer(&mut fields),
                "store" => settings.store_address = Some(required_address(&mut fields)),
                "host_list" => settings.host_list_address = Some(required_address(&mut fields)),
                "weights" => settings.weights = read_weights(&mut fields),
                "log" => fields
                    .text("level")
                    .unwrap_or("info")
                    .clone_into(&mut settings.log_level),
                "forwarding" => {
                    settings.forwarding = Some(ForwardingSettings::read(&mut fields));
                }
                "regions" => regions = read_regions(&mut fields),
                "" if properties.is_empty() => {}
                _ => {
                    let known = SECTIONS.join(", ");
                    fields.problem("", format!("unknown section; known sections are {known}"));
                    continue;
                }
            }
            fields.finish();
        }
        if ini.section(Some("host")).is_none() {
            let mut fields = Fields::new(source, "host", None, &mut problems);
            fields.problem("", "section missing; add it with name and data_centre");
        }
        if let Some(region) = &settings.region {
            let own = settings.data_centre.clone();
            regions.entry(own).or_insert_with(|| region.clone());
        }
        if let Some(forwarding) = &mut settings.forwarding {
            forwarding.regions = regions;
        }
        settings.check_fleet(source, &mut problems);
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(problems)
        }
    }

    /// Checks the settings that depend on more than one section.
    fn check_fleet(&self, source: &str, problems: &mut Vec<Problem>) {
        if self.forwarding.is_some() {
            return;
        }
        let mut problem = |section: &str, message: &str| {
            Fields::new(source, section, None, problems).problem("", message);
        };
        match (self.store_address, &self.config_file) {
            (Some(_), None) if self.peer.secret.is_empty() => {
                problem(
                    "peer",
                    "no secret; add secret or secret_file, the same on all hosts",
                );
            }
            (Some(_), Some(_)) => {
                problem(
                    "config",
                    "file and [store] address are mutually exclusive; remove one",
                );
            }
            (None, None) => problem(
                "store",
                "no address; add it, or a document as [config] file for a host without a fleet",
            ),
            _ => {}
        }
        if self.store_address.is_some() && self.host_list_address.is_none() {
            problem(
                "host_list",
                "address missing; add the platform's list of hosts",
            );
        }
    }

    fn read_host(&mut self, fields: &mut Fields<'_>) {
        self.host = fields.required("name").into();
        self.data_centre = fields.required("data_centre").into();
        let region = fields.text("region").filter(|region| !region.is_empty());
        self.region = region.map(RegionId::from);
        self.drain_delay = fields.duration("drain_delay", self.drain_delay);
    }

    fn read_config(&mut self, fields: &mut Fields<'_>) {
        self.config_file = fields.text("file").map(str::to_owned);
        self.key_trust = fields.duration("key_trust", self.key_trust);
        // A replaced list of data centres counts only for `FLEET_SETTLE`; no host may serve with it after that.
        if self.key_trust > PAST_FLEET_LIFETIME {
            fields.problem("key_trust", "above 2h; lower it");
        }
    }

    fn read_callers(&mut self, fields: &mut Fields<'_>) {
        self.callers_address = address(fields, self.callers_address);
        let bytes = "a number of bytes";
        let defaults = CallerSettings::default();
        self.callers = CallerSettings {
            body_limit: fields.value("body_limit", bytes, defaults.body_limit),
            header_limit: fields.value("header_limit", bytes, defaults.header_limit),
            read_timeout: fields.duration("read_timeout", defaults.read_timeout),
            max_connections: fields.value("max_connections", "a number", defaults.max_connections),
            body_memory: fields.value("body_memory", bytes, defaults.body_memory),
        };
        if self.callers.body_memory < self.callers.body_limit {
            fields.problem(
                "body_memory",
                "below body_limit; raise it or lower body_limit",
            );
        }
    }

    fn read_requests(&mut self, fields: &mut Fields<'_>) {
        let tokens = "a number of tokens";
        let defaults = FlowSettings::default();
        self.requests = FlowSettings {
            admission_wait: fields.duration("admission_wait", defaults.admission_wait),
            batch_admission_wait: fields
                .duration("batch_admission_wait", defaults.batch_admission_wait),
            queue_wait: fields.duration("queue_wait", defaults.queue_wait),
            engine_deadline: fields.duration("engine_deadline", defaults.engine_deadline),
            max_attempts: fields.value("max_attempts", "a number", defaults.max_attempts),
            default_max_tokens: fields.value(
                "default_max_tokens",
                tokens,
                defaults.default_max_tokens,
            ),
            max_tokens: fields.value("max_tokens", tokens, defaults.max_tokens),
            background_wait: fields.duration("background_wait", defaults.background_wait),
        };
    }
}

/// Reads the regions of data centres. One without a value is of unknown region.
fn read_regions(fields: &mut Fields<'_>) -> Regions {
    let entries = fields.entries().into_iter();
    let known = entries.filter(|(_, region)| !region.is_empty());
    known
        .map(|(name, region)| (name.into(), region.into()))
        .collect()
}

fn read_peer(fields: &mut Fields<'_>) -> PeerSettings {
    let defaults = PeerSettings::default();
    let file = fields.text("secret_file");
    let secret = fields.text("secret");
    let secret = match (secret, file) {
        (Some(_), Some(_)) => {
            fields.problem("secret", "set together with secret_file; remove one");
            String::new()
        }
        (Some(secret), None) => secret.to_owned(),
        (None, Some(file)) => std::fs::read_to_string(file).unwrap_or_else(|e| {
            fields.problem(
                "secret_file",
                format!("{file} can't be read ({e}); check the path"),
            );
            String::new()
        }),
        (None, None) => String::new(),
    };
    PeerSettings {
        address: address(fields, defaults.address),
        secret: secret.trim().to_owned(),
    }
}

fn read_weights(fields: &mut Fields<'_>) -> StaticWeightStore {
    let defaults = StaticWeightStore::default();
    StaticWeightStore {
        rate: fields.value("rate", "a number of bytes a second", defaults.rate),
        size: fields.value("size", "a number of bytes", defaults.size),
    }
}

fn required_address(fields: &mut Fields<'_>) -> SocketAddr {
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let what = "an address such as 10.1.0.2:9000";
    fields.required_value("address", what, unspecified)
}

fn read_placement(fields: &mut Fields<'_>) -> PlacementSettings {
    let defaults = PlacementSettings::default();
    let settings = PlacementSettings {
        queue_weight: weight(fields, "queue_weight", defaults.queue_weight),
        prefill_weight: weight(fields, "prefill_weight", defaults.prefill_weight),
        transfer_weight: weight(fields, "transfer_weight", defaults.transfer_weight),
        decode_weight: weight(fields, "decode_weight", defaults.decode_weight),
        decode_step: fields.duration("decode_step", defaults.decode_step),
        prefill_wait: fields.duration("prefill_wait", defaults.prefill_wait),
        link_wait: fields.duration("link_wait", defaults.link_wait),
        late_behind: fields.flag("late_behind", defaults.late_behind),
        refuse_factor: weight(fields, "refuse_factor", defaults.refuse_factor),
        interactive_per_batch: fields.value(
            "interactive_per_batch",
            "a number of tokens",
            defaults.interactive_per_batch,
        ),
        ..defaults
    };
    if settings.refuse_factor <= 0.0 {
        fields.problem("refuse_factor", "must be above 0");
    }
    settings
}

/// Reads a finite number of at least 0.
fn weight<'a>(fields: &mut Fields<'a>, key: &'a str, default: f64) -> f64 {
    let value = fields.value(key, "a number", default);
    if value.is_finite() && value >= 0.0 {
        return value;
    }
    fields.problem(key, "must be a finite number of at least 0");
    default
}

fn address(fields: &mut Fields<'_>, default: SocketAddr) -> SocketAddr {
    fields.value("address", "an address such as 10.1.0.5:8080", default)
}
