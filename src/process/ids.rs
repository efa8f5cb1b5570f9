//! Type aliases for identifiers and quantities that all modules share.

use std::sync::Arc;

/// A name from the settings or the configuration; cheap to clone.
pub type Name = Arc<str>;
/// A host: a machine that runs one hibiscusspread process.
pub type HostId = Name;
/// The name of a data centre, as listed in the configuration.
pub type DataCentreId = Name;
/// A region: the part of the world that a data centre is in, by which operators confine requests.
pub type RegionId = Name;
/// A customer whose requests are limited and accounted together.
pub type CustomerId = Name;
/// An upstream: an engine or a runner of a plain service.
pub type UpstreamId = Name;
/// A model served by engines, or the name of a plain service.
pub type ModelId = Name;
/// A route of the configuration.
pub type RouteId = Name;
/// A team that owns one section of the configuration document.
pub type TeamId = Name;
/// A request, unique across all hosts.
pub type RequestId = u128;
/// A run of a host's process; drawn at random at its start, so that a restart is distinguishable.
pub type Incarnation = u64;
/// A configuration version; grows with each edit.
pub type Version = u64;
/// The number of an attempt within one request, from 1.
pub type AttemptNo = u32;
/// A count of tokens.
pub type Tokens = u64;
/// An ownership period of a customer bucket, or the fencing token of a lease holder: the revision of the store entry
/// that grants it, so that a later owner has a higher one.
pub type Epoch = u64;
/// The revision of the last write to a store entry.
pub type Revision = u64;
/// How often the store has come back from a copy of earlier state, as it tells; 0 for a store that doesn't tell.
pub type Generation = u64;
/// The id of a lease, assigned by the store.
pub type LeaseId = u64;
/// A part of a customer's rate or burst, in parts per million.
pub type Share = u32;
/// The number of a group of customers, which share an owner; customers are assigned by hash.
pub type Partition = u16;
/// A loan of allowance between two data centres.
pub type LoanId = u128;
/// The number of a list that a process sends in parts; each new list has a higher one.
pub type ListNo = u64;
/// A BLAKE3 hash.
pub type Digest = [u8; 32];

/// The whole of a customer's rate or burst, in parts per million.
pub const WHOLE_SHARE: Share = 1_000_000;
