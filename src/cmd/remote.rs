//! Calls to the platform and to hosts.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use crate::cmd::CmdError;
use crate::http::HttpClient;
use crate::manifest::MANIFEST_OBJECT_NAME;
use crate::manifest::PublishedManifest;
use crate::objects::HttpPlatformClient;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformClient;
use crate::objects::PlatformError;
use crate::units::ObjectVersion;

/// The timeout of a call. It is long enough for a slow platform and short enough for an operator
/// who waits for the result.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a future to completion on this thread, in a new async runtime; an error if the runtime
/// cannot be started.
pub(crate) fn block_on<T>(work: impl Future<Output = T>) -> Result<T, CmdError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(runtime.map_err(CmdError::Runtime)?.block_on(work))
}

/// A client for the object service of the platform at `addr`, whose calls time out after
/// [`CALL_TIMEOUT`].
pub(crate) fn platform_client(addr: SocketAddr) -> HttpPlatformClient {
    HttpPlatformClient::new(HttpClient::new(addr), CALL_TIMEOUT)
}

/// Reads the published manifest and the version of its object; none if nothing is published.
pub(crate) async fn fetch_published(
    platform: &dyn PlatformClient,
) -> Result<Option<(PublishedManifest, ObjectVersion)>, CmdError> {
    match platform
        .get(ObjectKey::new(ObjectKind::Manifests, MANIFEST_OBJECT_NAME))
        .await
    {
        Ok(object) => Ok(Some((
            serde_json::from_value(object.value)?,
            object.version,
        ))),
        Err(PlatformError::NotFound) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
