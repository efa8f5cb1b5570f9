//! Decodes what others write to the platform's store, behind a trait that the platform implements.

use std::fmt;
use std::time::Duration;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::version::forwarding::ForwardingTable;

/// Why a stored value can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateError {
    /// The value does not parse.
    Unreadable {
        /// The reason, for the log.
        cause: String,
    },
    /// A field is missing or its type or value is not allowed.
    Invalid {
        /// The path of the field within the value.
        field: String,
        /// The reason, for the log.
        cause: String,
    },
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { cause } => {
                write!(
                    f,
                    "value does not parse ({cause}); correct the program that wrote it"
                )
            }
            Self::Invalid { field, cause } => {
                write!(
                    f,
                    "field {field}: {cause}; correct the program that wrote it"
                )
            }
        }
    }
}

impl std::error::Error for StateError {}

/// What the registration of an upstream says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredUpstream {
    /// The upstream.
    pub instance: Instance,
    /// The time for which it is still cold; zero if it isn't. Not a part of the instance, because it changes with each registration
    /// and hosts compare the instances that they know.
    pub cold_left: Duration,
    /// Why a part of the registration was ignored, for the log.
    pub ignored: Option<StateError>,
}

/// Knows the store keys of the configuration, the requests to evacuate a data centre and the upstreams, and how they are encoded.
pub trait StateCodec: Send + Sync {
    /// Returns the prefix of all keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the data centre that operators evacuate for as long as there is an entry under `key`; `None` if entries under `key`
    /// mean something else.
    ///
    /// # Errors
    /// Returns a `StateError` if the key should name a data centre and does not.
    fn evacuated_data_centre(&self, key: &str) -> Option<Result<DataCentreId, StateError>>;

    /// Returns the key under which the configuration is stored; it begins with `operator_prefix`.
    fn configuration_key(&self) -> &'static str;

    /// Decodes the value under `configuration_key`.
    ///
    /// # Errors
    /// Returns a `StateError` if any part of it can't be used.
    fn read_configuration(&self, value: &[u8]) -> Result<ForwardingTable, StateError>;

    /// Returns the prefix of the keys under which upstreams register.
    fn upstream_prefix(&self) -> &'static str;

    /// Decodes the registration of one upstream.
    ///
    /// # Errors
    /// Returns a `StateError` if it does not describe a usable upstream.
    fn read_upstream(&self, key: &str, value: &[u8]) -> Result<RegisteredUpstream, StateError>;
}
