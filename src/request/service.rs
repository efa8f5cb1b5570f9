//! The border to plain services.

use async_trait::async_trait;
use bytes::Bytes;

use crate::prelude::*;

/// A call to a plain service. It never carries the caller's key.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The idempotency key, handed on so that services that know it can use it.
    pub idempotency_key: Option<String>,
    /// Further headers that services may use, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// The whole answer of a plain service.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// Further headers for the caller, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// A runner of a plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one call and waits for its whole answer.
    ///
    /// # Errors
    /// Returns an error with `run` telling whether the service may have run it.
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, UpstreamError>;
}

/// Opens clients for upstreams.
pub trait UpstreamClients: Send + Sync {
    /// Returns the engine at `address`.
    fn engine(&self, address: &str) -> std::sync::Arc<dyn Engine>;
    /// Returns the service runner at `address`.
    fn service(&self, address: &str) -> std::sync::Arc<dyn Service>;
}
