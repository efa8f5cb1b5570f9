//! The configuration version in force on this host.

use std::sync::{Arc, PoisonError};

use crossbeam::sync::ShardedLock;
use tokio::sync::watch;

use crate::prelude::*;
use crate::version::compiled::CompiledConfig;

/// A configuration that carries its version.
pub trait Versioned {
    /// Returns the version; 0 means that there is no configuration yet.
    fn version(&self) -> Version;
}

impl Versioned for CompiledConfig {
    fn version(&self) -> Version {
        self.version
    }
}

/// Holds the configuration in force, whose version only increases, and notifies subscribers of changes.
#[derive(Debug)]
pub struct VersionCell<T = CompiledConfig> {
    current: ShardedLock<Arc<T>>,
    changed: watch::Sender<Version>,
}

impl<T: Default> Default for VersionCell<T> {
    fn default() -> Self {
        Self {
            current: ShardedLock::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl<T: Versioned> VersionCell<T> {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<T> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts `compiled` in force if its version is newer than the one in force; returns whether it did.
    pub fn advance(&self, compiled: T) -> bool {
        let version = compiled.version();
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            if version <= current.version() {
                return false;
            }
            *current = Arc::new(compiled);
        }
        self.changed.send_replace(version);
        true
    }

    /// Returns a receiver that is notified of each version put in force.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }
}
