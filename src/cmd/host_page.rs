//! Pages of a host's status port.

use std::net::SocketAddr;

use hyper::Request;
use hyper::StatusCode;

use crate::cmd::CmdError;
use crate::cmd::remote::CALL_TIMEOUT;
use crate::http::ChunksBody;
use crate::http::HttpClient;

const PAGE_LEN_MAX: usize = 16 << 20;

/// Reads a page as JSON; none if the host has no such page.
pub(crate) async fn read(
    addr: SocketAddr,
    path: &str,
) -> Result<Option<serde_json::Value>, CmdError> {
    let req = Request::get(path).body(ChunksBody::default());
    let req = req.map_err(|error| CmdError::Usage(error.to_string()))?;
    let res = HttpClient::new(addr)
        .call(req, PAGE_LEN_MAX, CALL_TIMEOUT)
        .await?;
    match res.status() {
        StatusCode::OK => Ok(Some(serde_json::from_slice(res.body())?)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(CmdError::BadAnswer(format!("{addr} answered {status}"))),
    }
}
