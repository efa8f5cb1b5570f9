//! What the operators' port shows of a host.

use std::sync::Arc;

use serde_json::Value;

use crate::connection::operator::OperatorView;
use crate::process::dump::Dump;
use crate::process::metrics;

/// Tells why the host takes no new work.
pub type ReadinessCheck = Box<dyn Fn() -> Option<String> + Send + Sync>;

/// The operators' view of one host.
pub struct NodeView {
    dump: Dump,
    not_ready: ReadinessCheck,
}

impl NodeView {
    /// Creates a view.
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
