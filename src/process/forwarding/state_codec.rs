//! Decodes what others write to the platform's store, behind a trait that the platform implements.

use std::fmt;

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

/// Knows the store keys of the configuration and the upstreams, and how their values are encoded.
pub trait StateCodec: Send + Sync {
    /// Returns the key under which the configuration is stored.
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
    fn read_upstream(&self, key: &str, value: &[u8]) -> Result<Instance, StateError>;
}
