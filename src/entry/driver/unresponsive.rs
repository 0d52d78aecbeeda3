//! Finds out engines that neither answer nor break.

use std::time::Duration;

use tokio::time::sleep;

use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;

/// A silence after which an engine is asked whether it is there. Reading a long prompt in takes
/// longer, so silence alone says nothing; asking costs the engine little.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Comes back when an engine has been silent and does not answer a plain question either; never for
/// a plain service, which has no such question.
///
/// Load it answers: an engine, or its machine, stands still. Its connections stay open and nothing
/// comes, so that every request there waits until its time limit although other engines are idle.
pub(super) async fn wait_until_unresponsive(engine: Option<&dyn UpstreamClient>) {
    let Some(engine) = engine else {
        return std::future::pending().await;
    };
    loop {
        sleep(PROBE_INTERVAL).await;
        if let Err(UpstreamError::NotSent(_) | UpstreamError::Interrupted(_)) = engine.load().await
        {
            return;
        }
    }
}

/// What a frozen engine amounts to: the attempt may go on when it thaws.
pub(super) fn unresponsive_error() -> UpstreamError {
    UpstreamError::Interrupted("the engine does not answer any more".to_owned())
}
