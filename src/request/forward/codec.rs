//! The border to the encodings of forwarded requests.

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
    /// The engine.
    pub upstream: UpstreamId,
    /// The stage wanted.
    pub stage: Stage,
    /// The host that orders.
    pub holder: HostId,
    /// The fencing number, which grows with each holder.
    pub fence: Epoch,
}

/// How callers and upstreams write what a `CallHead`, an `AttemptHead` and a `ResponseHead` say.
pub trait CallCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns `InvalidRequest` if a header is missing or does not parse.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, Refusal>;

    /// Writes the headers of one attempt: the caller's, without those that concern only its connection or that only the
    /// router may set, and what the attempt adds.
    fn write_attempt(&self, call: &Call, attempt: &AttemptHead) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Reads the answer to a prefill.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn read_prefill(&self, body: &[u8]) -> Result<PrefillResponse, String>;

    /// Returns the path at which a DELETE frees a prefilled prompt.
    fn prompt_release_path(&self, handle: &str) -> String;

    /// Writes a call that reserves memory at an engine.
    fn write_reservation(&self, reservation: &ReservationRequest) -> Request<Full<Bytes>>;

    /// Reads the name of the reserved memory.
    ///
    /// # Errors
    /// Returns what is wrong with the answer.
    fn read_reservation(&self, body: &[u8]) -> Result<Arc<str>, String>;

    /// Returns the path at which a DELETE gives reserved memory back.
    fn reservation_release_path(&self, reservation: &str) -> String;

    /// Writes the time after which a caller may repeat a refused request.
    fn retry_after(&self, wait: Duration) -> Option<HeaderValue>;

    /// Returns the header that names the request in an answer.
    fn request_id_header(&self, id: &str) -> Option<(HeaderName, HeaderValue)>;

    /// Writes an order.
    fn write_order(&self, order: &StageOrder) -> Request<Full<Bytes>>;
}
