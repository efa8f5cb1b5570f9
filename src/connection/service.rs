//! The HTTP client of plain services, and the factory of upstream clients.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::header::{self, HeaderMap, HeaderName};
use http_body_util::Full;
use hyper::Request;

use crate::connection::engine::{EngineTimeouts, HttpEngine};
use crate::connection::headers::remove_hop_by_hop_headers;
use crate::connection::http_client::{HttpClient, read_body};
use crate::prelude::*;
use crate::request::service::{ServiceCall, ServiceResponse};

/// The header that carries the request id to a service, for its logs.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with which a caller makes a request safe to repeat.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The caller's headers that are forwarded to a service. Any other header may carry a credential or be hop-by-hop.
const FORWARDED_REQUEST_HEADERS: [HeaderName; 5] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::USER_AGENT,
];

/// The response headers that are not forwarded to the caller, besides hop-by-hop ones: they concern the path to the
/// service, or the host sets them itself.
const UNFORWARDED_RESPONSE_HEADERS: [&str; 6] = [
    "content-length",
    "content-type",
    "date",
    "proxy-authenticate",
    "via",
    REQUEST_ID_HEADER,
];

/// Returns the headers of a caller's request that are forwarded to a service.
pub fn forwarded_request_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    FORWARDED_REQUEST_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(name)?.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

/// Returns the headers of a service's response that are forwarded to the caller.
fn forwarded_response_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut headers = headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value))
        .filter(|(name, _)| !UNFORWARDED_RESPONSE_HEADERS.contains(name))
        .filter_map(|(name, value)| Some((name.to_owned(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Creates HTTP clients for upstreams. Every call opens its own connection: a call that must not be repeated could be
/// lost on a reused connection that went silent.
#[derive(Clone)]
pub struct HttpUpstreamClients {
    client: HttpClient,
    /// The time limits of calls to engines.
    pub engine_timeouts: EngineTimeouts,
    /// The time limit of a call to a service: once to the response head, and again to read the body.
    pub service_timeout: Duration,
}

impl Default for HttpUpstreamClients {
    fn default() -> Self {
        Self {
            client: HttpClient::default(),
            engine_timeouts: EngineTimeouts::default(),
            service_timeout: Duration::from_secs(10),
        }
    }
}

impl UpstreamClients for HttpUpstreamClients {
    fn engine(&self, address: &str) -> Arc<dyn Engine> {
        let timeouts = self.engine_timeouts.clone();
        Arc::new(HttpEngine::new(address, self.client.clone(), timeouts))
    }

    fn service(&self, address: &str) -> Arc<dyn Service> {
        Arc::new(HttpService {
            address: address.to_owned(),
            client: self.client.clone(),
            timeout: self.service_timeout,
        })
    }
}

struct HttpService {
    address: String,
    client: HttpClient,
    timeout: Duration,
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, UpstreamError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(uri)
            .header(REQUEST_ID_HEADER, format!("{:032x}", call.request));
        if let Some(content_type) = &call.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        for (name, value) in &call.headers {
            builder = builder.header(name, value);
        }
        let req = builder
            .body(Full::new(call.body))
            .map_err(|e| UpstreamError::not_run(UpstreamErrorKind::Invalid, e))?;
        let response = self.client.send(req, self.timeout).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let headers = forwarded_response_headers(response.headers());
        let body = read_body(response.into_body(), self.timeout).await?;
        Ok(ServiceResponse {
            status,
            content_type,
            headers,
            body,
        })
    }
}
