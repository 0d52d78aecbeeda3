//! Hop-by-hop headers, which concern only the connection that a message arrived on.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

/// Removes the hop-by-hop headers of a message, including those that its `Connection` header names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    for name in [
        CONNECTION,
        keep_alive,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}
