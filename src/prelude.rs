//! Types and traits that nearly every module uses.

pub use crate::process::clock::{Clock, SystemClock};
pub use crate::process::ids::*;
pub use crate::process::store::{Expected, Store, StoreChange, StoreEntry, StoreError};
pub use crate::request::engine::{
    Engine, Frame, FrameContent, Priority, TokenStream, UpstreamError, UpstreamErrorKind,
};
pub use crate::request::refusal::{Refusal, RefusalKind, Run};
pub use crate::request::service::{Service, UpstreamClients};
