//! The border to the encodings of what the platform's store holds.

use std::fmt;

use crate::process::forwarding::directory::Instance;
use crate::version::forwarding::ForwardingTable;

/// Why a stored value can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateError {
    /// It does not parse.
    Unreadable {
        /// What is wrong.
        cause: String,
    },
    /// A field is missing or has another type or value than it may have.
    Invalid {
        /// The field.
        field: String,
        /// What is wrong.
        cause: String,
    },
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { cause } => {
                write!(f, "value does not parse ({cause}); correct what wrote it")
            }
            Self::Invalid { field, cause } => {
                write!(f, "field {field}: {cause}; correct what wrote it")
            }
        }
    }
}

impl std::error::Error for StateError {}

/// Where the configuration and the upstreams stand in the store, and how they are written there.
pub trait StateCodec: Send + Sync {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Returns a `StateError` if it can't be used as a whole.
    fn read_configuration(&self, value: &[u8]) -> Result<ForwardingTable, StateError>;

    /// Returns the prefix of the keys under which upstreams register.
    fn upstream_prefix(&self) -> &'static str;

    /// Reads the registration of one upstream.
    ///
    /// # Errors
    /// Returns a `StateError` if it names no upstream that can be used.
    fn read_upstream(&self, key: &str, value: &[u8]) -> Result<Instance, StateError>;
}
