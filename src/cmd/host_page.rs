//! Pages of the status port of a host.

use std::net::SocketAddr;

use hyper::Request;
use hyper::StatusCode;

use crate::cmd::CmdError;
use crate::cmd::remote::CALL_TIMEOUT;
use crate::http::ChunksBody;
use crate::http::HttpClient;

/// The maximum length of a page in bytes.
const PAGE_BYTES_MAX: usize = 16 << 20;

/// Fetches a page as JSON; none if the host answers 404. Any other status than 200 is an error.
pub(crate) async fn fetch(
    addr: SocketAddr,
    path: &str,
) -> Result<Option<serde_json::Value>, CmdError> {
    let req = Request::get(path).body(ChunksBody::default());
    let req = req.map_err(|error| CmdError::Usage(error.to_string()))?;
    let res = HttpClient::new(addr)
        .call(req, PAGE_BYTES_MAX, CALL_TIMEOUT)
        .await?;
    match res.status() {
        StatusCode::OK => Ok(Some(serde_json::from_slice(res.body())?)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(CmdError::InvalidResponse(format!(
            "{addr} answered {status}"
        ))),
    }
}
