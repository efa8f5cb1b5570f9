//! The interface to plain services.

use async_trait::async_trait;
use bytes::Bytes;

use crate::prelude::*;

/// A call to a plain service. It never carries the caller's key.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The request id, sent to the service for its logs.
    pub request: RequestId,
    /// The HTTP method of the caller's request.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The idempotency key, passed on for services that support it.
    pub idempotency_key: Option<String>,
    /// Other headers passed on from the caller, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The whole body of the caller's request.
    pub body: Bytes,
}

/// The whole response of a plain service.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status, which may be an error.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// Other headers to pass on to the caller, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
}

/// The client of an upstream of a plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one call and waits for the whole response.
    ///
    /// # Errors
    /// Returns an error whose `run` tells whether the service may have run the call.
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, UpstreamError>;
}

/// Creates clients of upstreams.
pub trait UpstreamClients: Send + Sync {
    /// Returns the client of the engine at `address`.
    fn engine(&self, address: &str) -> std::sync::Arc<dyn Engine>;
    /// Returns the client of the service at `address`.
    fn service(&self, address: &str) -> std::sync::Arc<dyn Service>;
}
