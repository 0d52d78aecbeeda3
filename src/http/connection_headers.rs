//! Headers that concern only the connection that a message came on.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

/// Removes them, those that the message itself names as such included.
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
