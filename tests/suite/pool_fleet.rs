//! Several hosts with their pool owners and placers, connected by the emulated network.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use async_trait::async_trait;
use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::prelude::*;
use hibiscusspread::process::fleet_placer::{FleetPlacer, PlacerContext};
use hibiscusspread::process::members::{Members, StaticMembers};
use hibiscusspread::process::message::{
    HostDown, Member, PlaceReply, PlaceRequest, Release, ReleaseOutcome,
};
use hibiscusspread::process::placement::JointPolicy;
use hibiscusspread::process::placer::Placer;
use hibiscusspread::process::pool::settings::PlacementSettings;
use hibiscusspread::process::pool_owner::{PoolHandler, PoolOwner, PoolOwnerContext, pool_owners};
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::engine::{CacheEvent, CacheEvents, EngineLoad};
use hibiscusspread::version::cell::VersionCell;

use crate::fixtures::assert_matches;
use crate::fixtures::{self, EnginesOnly, StubEngine, versions};
use crate::pool_support::{place_request, pool_id};

/// Engines that count cancels, and report load and cache events once these are set.
#[derive(Default, Clone)]
pub struct CountingEngine {
    cancels: Arc<AtomicUsize>,
    reports: Arc<Mutex<Reports>>,
}

#[derive(Default)]
struct Reports {
    load: Option<EngineLoad>,
    cache: Vec<CacheEvent>,
}

impl CountingEngine {
    /// Returns the number of cancels that all engines received.
    pub fn cancels(&self) -> usize {
        self.cancels.load(Ordering::Relaxed)
    }

    /// Sets the reports of all engines from now on.
    pub fn set_reports(&self, load: EngineLoad, cache: Vec<CacheEvent>) {
        *lock(&self.reports) = Reports {
            load: Some(load),
            cache,
        };
    }
}

#[async_trait]
impl StubEngine for CountingEngine {
    async fn cancel(&self, _: RequestId, _: AttemptNo) -> Result<(), UpstreamError> {
        self.cancels.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        let silent = || UpstreamError::may_have_run(UpstreamErrorKind::Timeout, "silent");
        lock(&self.reports).load.clone().ok_or_else(silent)
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, UpstreamError> {
        let seen = usize::try_from(from).unwrap_or(usize::MAX);
        let reports = lock(&self.reports);
        let events = reports.cache.iter().skip(seen).copied();
        Ok(CacheEvents {
            first: from,
            events: events.collect(),
        })
    }
}

/// The clock of the operating system with an adjustable offset.
#[derive(Default)]
pub struct OffsetClock {
    offset: Mutex<Duration>,
}

impl OffsetClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *lock(&self.offset) += by;
    }
}

impl Clock for OffsetClock {
    fn now(&self) -> Instant {
        Instant::now() + *lock(&self.offset)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A host with its pools and its placer.
pub struct Host {
    /// The hosts that it takes for live.
    pub members: Arc<StaticMembers>,
    /// The pools that it owns.
    pub owner: Arc<PoolOwner>,
    /// Places the requests that enter at this host.
    pub placer: Arc<FleetPlacer>,
}

/// Several hosts in data centre `a`, and others named `b-...` in data centre `b`.
pub struct Fleet {
    /// The network between the hosts.
    pub hub: Arc<PeerHub>,
    /// The clock of all hosts.
    pub clock: Arc<OffsetClock>,
    /// Stands for all engines.
    pub upstreams: CountingEngine,
    /// The configuration of all hosts.
    pub versions: Arc<VersionCell>,
    hosts: HashMap<HostId, Host>,
    all: Vec<Member>,
}

impl Fleet {
    /// Starts hosts with one prefill engine and one decode engine of `slots` slots in each data centre.
    pub fn start(names: &[&str], slots: u32) -> Self {
        let mut document = "[t/fleet/main]\ndata_centres = a, b\n".to_owned();
        for (port, name) in ["p", "d"].iter().enumerate() {
            for (data_centre, offset) in [("a", 1), ("b", 11)] {
                if data_centre == "b" && !names.iter().any(|n| n.starts_with("b-")) {
                    continue;
                }
                let role = if *name == "p" { "prefill" } else { "decode" };
                let upstream = format!(
                    "[t/upstream/{name}-{data_centre}]\naddress = 127.0.0.1:{}\ndata_centre = {data_centre}\n\
                     role = {role}\nmodel = forecast\nslots = {slots}\n",
                    port + offset
                );
                document.push_str(&upstream);
            }
        }
        let versions = versions(&document);
        let all: Vec<_> = names.iter().map(|name| member(name)).collect();
        let hub = PeerHub::new();
        let clock = Arc::new(OffsetClock::default());
        let upstreams = CountingEngine::default();
        let hosts = all.iter().map(|me| {
            let others = all.iter().filter(|m| m.host != me.host).cloned();
            let members = Arc::new(StaticMembers::new(me.clone(), others));
            let owner = PoolOwner::start(PoolOwnerContext {
                members: members.clone(),
                versions: versions.clone(),
                clock: clock.clone(),
                link: hub.link(&me.host),
                upstreams: Arc::new(EnginesOnly({
                    let engine = upstreams.clone();
                    move |_: &str| engine.clone()
                })),
                settings: PlacementSettings::default(),
                policy: Arc::new(JointPolicy),
            });
            hub.connect(&me.host, Arc::new(PoolHandler(owner.clone())));
            let placer = FleetPlacer::start(PlacerContext {
                data_centre: me.data_centre.clone(),
                members: members.clone(),
                versions: versions.clone(),
                clock: clock.clone(),
                link: hub.link(&me.host),
                owner: owner.clone(),
            });
            (
                me.host.clone(),
                Host {
                    members,
                    owner,
                    placer,
                },
            )
        });
        let hosts = hosts.collect();
        Self {
            hub,
            clock,
            upstreams,
            versions: versions.clone(),
            hosts,
            all,
        }
    }

    /// Returns the host with this name.
    pub fn host(&self, id: &HostId) -> &Host {
        &self.hosts[id]
    }

    /// Returns the host of data centre `a` with the lowest rank as owner of its pool.
    pub fn non_owner_entry(&self) -> HostId {
        let members = &self.hosts.values().next().expect("there are hosts").members;
        let ranked = pool_owners(&**members, &pool_id());
        ranked.last().expect("there are hosts in a").clone()
    }

    /// Returns this host, and all hosts of data centre `a` by rank as owners of its pool.
    pub fn entry_and_owners(&self) -> (HostId, Vec<HostId>) {
        let entry = self.non_owner_entry();
        let ranked = pool_owners(&*self.host(&entry).members, &pool_id());
        (entry, ranked.into_iter().collect())
    }

    /// Places a request that enters at a host; panics if it is not placed.
    pub async fn assert_placed(&self, entry: &HostId, request: RequestId) {
        let req = self.place_request(entry, request);
        assert_matches!(self.host(entry).placer.place(req).await => PlaceReply::Placed(_));
    }

    /// Returns the message which states that a host's process is proven to be gone.
    pub fn host_down_proof(&self, host: &HostId) -> HostDown {
        HostDown {
            host: host.clone(),
            incarnation: self.host(host).members.me().incarnation,
            proven: true,
        }
    }

    /// Sets which members all hosts take for live.
    pub fn set_live(&self, is_live: impl Fn(&Member) -> bool) {
        for host in self.hosts.values() {
            host.members
                .set_live(self.all.iter().filter(|m| is_live(m)).cloned().collect());
        }
    }

    /// Returns the place request of an entry host for the first attempt of a request.
    pub fn place_request(&self, entry: &HostId, request: RequestId) -> PlaceRequest {
        let member = self.hosts[entry].members.me();
        PlaceRequest {
            host: entry.clone(),
            incarnation: member.incarnation,
            hold_limit: Duration::from_mins(10),
            ..place_request(request, "c")
        }
    }

    /// Returns the release of a finished request.
    pub fn release(request: RequestId) -> Release {
        Release {
            request,
            attempt: 1,
            pool: pool_id(),
            outcome: ReleaseOutcome::Finished { output_tokens: 1 },
        }
    }
}

fn member(name: &str) -> Member {
    fixtures::member(name, if name.starts_with("b-") { "b" } else { "a" })
}
