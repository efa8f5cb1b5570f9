//! The interface to the encoding of forwarded requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, request, response};
use http_body_util::Full;

use crate::prelude::*;
use crate::process::forwarding::directory::Stage;
use crate::request::forward::call::{
    AttemptHead, Call, CallHead, PrefillResponse, ReservationRequest, ResponseHead,
};

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine that gets the order.
    pub upstream: UpstreamId,
    /// The stage to change to.
    pub stage: Stage,
    /// The host that holds the lease for giving orders.
    pub holder: HostId,
    /// The fencing token, which grows with each new holder.
    pub fence: Epoch,
}

/// Encodes and decodes the calls and responses that the router exchanges with callers and upstreams.
pub trait CallCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns `InvalidRequest` if a header is missing or does not parse.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, Refusal>;

    /// Writes the headers of one attempt: the caller's, without hop-by-hop headers and those that only the router may set,
    /// plus those of the attempt.
    fn write_attempt(&self, call: &Call, attempt: &AttemptHead) -> HeaderMap;

    /// Reads the head of an upstream's response.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Reads for how long the upstream of a response is still cold; `None` if the response doesn't say.
    ///
    /// # Errors
    /// Returns what is wrong with a value that is no time.
    fn read_cold_left(&self, head: &response::Parts) -> Result<Option<Duration>, String>;

    /// Reads the body of the response to a prefill.
    ///
    /// # Errors
    /// Returns the parse error.
    fn read_prefill(&self, body: &[u8]) -> Result<PrefillResponse, String>;

    /// Returns the path whose DELETE frees a prefilled prompt.
    fn prompt_release_path(&self, handle: &str) -> String;

    /// Writes the call that reserves memory at an engine.
    fn write_reservation(&self, reservation: &ReservationRequest) -> Request<Full<Bytes>>;

    /// Reads the name of a reservation from the body of the response.
    ///
    /// # Errors
    /// Returns the parse error.
    fn read_reservation(&self, body: &[u8]) -> Result<Arc<str>, String>;

    /// Returns the path whose DELETE cancels a reservation.
    fn reservation_release_path(&self, reservation: &str) -> String;

    /// Writes the `Retry-After` value of a refusal.
    fn retry_after(&self, wait: Duration) -> Option<HeaderValue>;

    /// Returns the header that repeats the request id in a response.
    fn request_id_header(&self, id: &str) -> Option<(HeaderName, HeaderValue)>;

    /// Writes the call that orders an engine to change its stage.
    fn write_order(&self, order: &StageOrder) -> Request<Full<Bytes>>;
}
