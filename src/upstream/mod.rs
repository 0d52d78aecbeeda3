//! Upstreams (model engines and plain services) as an interface.
//!
//! The wire form is the OpenAI completion API with server-sent events, with a few headers and paths
//! beside it. docs/PROTOCOLS.md gives the details.

mod answer;
mod dispatch;
mod error;
mod http;
mod order;
mod report;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

pub use answer::ResponseEvent;
pub use answer::ResponseStream;
pub use dispatch::Dispatch;
pub use dispatch::RequestBody;
pub use error::UpstreamError;
pub use http::HttpUpstreamClient;
pub use order::EngineState;
pub use order::Order;
pub use report::CacheEvent;
pub use report::CacheEventKind;
pub use report::LoadReport;
pub use report::RunningAttempt;

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::Tokens;

/// One upstream. Model engines answer all of these calls, plain services only `start`.
pub trait UpstreamClient: Send + Sync {
    /// Starts an attempt and returns its answer as a stream. The implementation sends the request
    /// once: it never repeats it by itself on another connection.
    fn start(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>>;

    /// Reads the answer of a running or lately finished attempt from a token offset on.
    fn resume(
        &self,
        attempt: AttemptId,
        offset_tokens: u64,
    ) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>>;

    /// Ends an attempt. `Ok` means that the engine has given back its memory.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// The attempts that hold memory now.
    fn list_running(&self) -> BoxFuture<'_, Result<Vec<RunningAttempt>, UpstreamError>>;

    /// The load as the engine reports it, which lags.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>>;

    /// Cache events after a sequence number; they come late and with gaps.
    fn cache_events(&self, after_seq: u64)
    -> BoxFuture<'_, Result<Vec<CacheEvent>, UpstreamError>>;

    /// Gives an order. Repeating one is harmless, since it states the wanted end state.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// What the engine has loaded now.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, UpstreamError>>;

    /// Holds memory of a gang member for an attempt that another engine leads. The hold ends by
    /// itself after `hold`, so that a gang whose host died gives everything back.
    fn hold_gang(
        &self,
        attempt: AttemptId,
        host: HostId,
        tokens: Tokens,
        hold: Duration,
    ) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Gives a gang member's memory back.
    fn release_gang(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// The key and value cache of a prompt prefix, for another engine to import.
    fn export_kv(&self, prefix: ContentHash) -> BoxFuture<'_, Result<Bytes, UpstreamError>>;

    /// Takes in what another engine exported.
    fn import_kv(&self, prefix: ContentHash, kv: Bytes)
    -> BoxFuture<'_, Result<(), UpstreamError>>;
}
