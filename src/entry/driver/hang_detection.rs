//! Detects engines that neither respond nor close their connections.

use std::time::Duration;

use tokio::time::sleep;

use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// How long an engine may send nothing before it is probed. The prefill of a long prompt takes
/// longer than this, so an engine that sends nothing may still be working; a probe costs it little.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Sends a load query to the engine at each interval, and returns when a query is not sent or is
/// interrupted; any other error counts as an answer. The queries go on whether or not the engine
/// sends data, so the caller drops the call when data arrives. For a plain service, which has no
/// such query, this waits forever.
///
/// The connections of an engine that hangs, or whose machine hangs, stay open without any data.
/// Without the probe, every request there would wait until its time limit although other engines
/// are idle.
pub(super) async fn wait_for_hang(engine: Option<&dyn UpstreamClient>) {
    let Some(engine) = engine else {
        return std::future::pending().await;
    };
    loop {
        sleep(PROBE_INTERVAL).await;
        if let Err(
            UpstreamError::NotSent(_)
            | UpstreamError::Unreachable(_)
            | UpstreamError::Interrupted(_),
        ) = engine.load().await
        {
            return;
        }
    }
}

/// The error for an unresponsive engine, whose attempt may go on.
pub(super) fn hang_error() -> UpstreamError {
    UpstreamError::NoAnswer("the engine stopped responding".to_owned())
}
