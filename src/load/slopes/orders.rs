//! The processor time of the order controller's rounds.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::emulator::clock::ManualClock;
use crate::emulator::store::MemoryStore;
use crate::load::slopes::hosts::members;
use crate::load::slopes::pools::upstreams;
use crate::load::slopes::probe::{cpu_of, thread_cpu};
use crate::load::slopes::table::{Method, Series};
use crate::load::slopes::{MeasureError, RoleMeasurement, Sizes};
use crate::prelude::*;
use crate::process::members::{Members, StaticMembers};
use crate::process::message::Member;
use crate::process::orders::leadership::ORDER_TIMEOUT;
use crate::process::orders::{OrderController, OrderControllerParts};
use crate::process::weight_store::WeightStore;
use crate::request::engine::{
    CacheEvents, DecodeJob, EngineLoad, Order, PrefillJob, PrefillResult,
};
use crate::request::service::{ServiceCall, ServiceResponse};
use crate::version::cell::VersionCell;
use crate::version::compiled::CompiledConfig;

const ROLE: &str = "orders";

/// Measures a round of the order controller by the number of engines.
pub struct OrderControllerRole;

impl RoleMeasurement for OrderControllerRole {
    fn role(&self) -> &'static str {
        ROLE
    }

    fn work(&self, sizes: &Sizes, _seed: u64) -> Result<Vec<Series>, MeasureError> {
        let new = |quantity| Series::new(ROLE, quantity, "engines", Method::Cpu);
        let mut quiet = new("round, all engines confirmed [us]");
        let mut first = new("first round, all engines ordered [us]");
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        for size in &sizes.engines {
            let clock = Arc::new(ManualClock::default());
            let store = MemoryStore::new(clock.clone());
            let me = members(1).remove(0);
            let alone = Arc::new(StaticMembers::new(me.clone(), []));
            let controller = order_controller(me, *size, alone, clock.clone(), store);
            runtime.block_on(controller.round());
            clock.advance(ORDER_TIMEOUT * 2);
            runtime.block_on(controller.round());
            let start = thread_cpu()?;
            clock.advance(Duration::from_secs(1));
            runtime.block_on(controller.round());
            first.push(*size, thread_cpu()? - start);
            if controller.view().confirmed != *size as u64 {
                let cause = format!("{} of {size} confirmed", controller.view().confirmed);
                return Err(MeasureError(cause));
            }
            quiet.push(
                *size,
                cpu_of(sizes, || {
                    runtime.block_on(controller.round());
                    1
                })?,
            );
        }
        Ok(vec![quiet, first])
    }
}

/// Creates the order controller of a host with this number of configured engines, all in the first data centre.
pub fn order_controller(
    member: Member,
    engines: usize,
    members: Arc<dyn Members>,
    clock: Arc<dyn Clock>,
    store: Arc<dyn Store>,
) -> OrderController {
    let mut compiled = CompiledConfig {
        version: 1,
        ..CompiledConfig::default()
    };
    for engine in upstreams(engines) {
        compiled.upstreams.insert(engine.id.clone(), engine);
    }
    let versions = Arc::new(VersionCell::default());
    versions.advance(compiled);
    OrderController::new(OrderControllerParts {
        host: member.host,
        incarnation: member.incarnation,
        data_centre: member.data_centre,
        members,
        store,
        upstreams: Arc::new(AcceptingEngines),
        weights: Arc::new(SmallWeights),
        clock,
        versions,
    })
}

struct SmallWeights;

#[async_trait]
impl WeightStore for SmallWeights {
    async fn size(&self, _model: &ModelId, _version: &str) -> Option<u64> {
        Some(1)
    }

    fn rate(&self) -> u64 {
        1_000_000
    }
}

/// Engines that complete orders immediately and refuse other calls.
struct AcceptingEngines;

impl UpstreamClients for AcceptingEngines {
    fn engine(&self, _address: &str) -> Arc<dyn Engine> {
        Arc::new(Self)
    }

    fn service(&self, _address: &str) -> Arc<dyn Service> {
        Arc::new(Self)
    }
}

#[async_trait]
impl Service for AcceptingEngines {
    async fn call(&self, _call: ServiceCall) -> Result<ServiceResponse, UpstreamError> {
        orders_only()
    }
}

fn orders_only<T>() -> Result<T, UpstreamError> {
    let kind = UpstreamErrorKind::Refused;
    Err(UpstreamError::not_run(kind, "takes orders only"))
}

#[async_trait]
impl Engine for AcceptingEngines {
    async fn prefill(&self, _job: PrefillJob) -> Result<PrefillResult, UpstreamError> {
        orders_only()
    }

    async fn decode(&self, _job: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError> {
        orders_only()
    }

    async fn resume(
        &self,
        _request: RequestId,
        _attempt: AttemptNo,
        _offset: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        orders_only()
    }

    async fn cancel(&self, _request: RequestId, _attempt: AttemptNo) -> Result<(), UpstreamError> {
        orders_only()
    }

    async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        orders_only()
    }

    async fn cache_events(&self, _from: u64) -> Result<CacheEvents, UpstreamError> {
        orders_only()
    }

    async fn order(&self, _order: Order) -> Result<(), UpstreamError> {
        Ok(())
    }
}
