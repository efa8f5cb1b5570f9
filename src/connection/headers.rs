//! Hop-by-hop headers, which a proxy must not forward.

use http::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use smallvec::SmallVec;

/// The hop-by-hop headers of RFC 9110, section 7.6.1, and those addressed to proxies.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-authorization"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
