//! The headers that concern only one connection.

use http::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use smallvec::SmallVec;

/// The headers of RFC 9110, section 7.6.1, and those of proxies, which no hop passes on.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-authorization"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that concern only one connection, those named in `Connection` included.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
