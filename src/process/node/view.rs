//! The view of a host for operators: its dump, metrics and readiness.

use std::sync::Arc;

use serde_json::Value;

use crate::connection::operator::OperatorView;
use crate::process::dump::Dump;
use crate::process::metrics;

/// Returns why the host takes no new work; `None` if it is ready.
pub type ReadinessCheck = Box<dyn Fn() -> Option<String> + Send + Sync>;

/// What the operators' listener serves for one host.
pub struct NodeView {
    dump: Dump,
    not_ready: ReadinessCheck,
}

impl NodeView {
    /// Creates a view of the host whose state `dump` collects.
    pub fn new(dump: Dump, not_ready: ReadinessCheck) -> Arc<Self> {
        Arc::new(Self { dump, not_ready })
    }
}

impl OperatorView for NodeView {
    fn dump(&self) -> Value {
        self.dump.collect()
    }

    fn metrics(&self) -> String {
        metrics::render()
    }

    fn not_ready(&self) -> Option<String> {
        (self.not_ready)()
    }
}
