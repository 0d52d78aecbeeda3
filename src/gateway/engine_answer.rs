//! The response of an engine to an order or to a request for a report.

use crate::gateway::EngineClientError;
use crate::gateway::UpstreamNotices;

/// The response of an engine to an order or to a request for a report, or its absence.
#[derive(Clone, Debug)]
pub struct EngineAnswer<T> {
    /// What the engine states about itself; nothing if no response arrived.
    pub notices: UpstreamNotices,
    /// The content of the response, or why there is none.
    pub result: Result<T, EngineClientError>,
}

impl<T> From<Result<T, EngineClientError>> for EngineAnswer<T> {
    /// An answer without any notice.
    fn from(result: Result<T, EngineClientError>) -> Self {
        Self {
            notices: UpstreamNotices::default(),
            result,
        }
    }
}
