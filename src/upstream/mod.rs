//! The interface to upstreams, which are model engines and plain services.
//!
//! The wire protocol is the OpenAI completion API with server-sent events and a few additional
//! headers and paths. docs/PROTOCOLS.md describes the details.

mod dispatch;
mod error;
mod http;
mod order;
mod report;
mod response;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

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
pub use response::ResponseEvent;
pub use response::ResponseStream;

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::Tokens;

/// A client of one upstream. Model engines support all calls, plain services only `start`.
pub trait UpstreamClient: Send + Sync {
    /// Starts an attempt and returns the events of its response. The implementation sends the
    /// request once and never repeats it on another connection.
    fn start(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>>;

    /// Reads the response of a running or recently finished attempt again, without its first
    /// `offset_tokens` tokens.
    fn resume(
        &self,
        attempt: AttemptId,
        offset_tokens: u64,
    ) -> BoxFuture<'_, Result<ResponseStream, UpstreamError>>;

    /// Cancels an attempt. `Ok` means that the engine has freed the memory of the attempt, or does
    /// not know the attempt.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Returns the attempts that currently hold memory.
    fn list_running(&self) -> BoxFuture<'_, Result<Vec<RunningAttempt>, UpstreamError>>;

    /// Returns the load report of the engine, which lags behind the actual load.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>>;

    /// Returns the changes of the prefix cache after a sequence number. Changes are reported late,
    /// and some are missing.
    fn cache_events(&self, after_seq: u64)
    -> BoxFuture<'_, Result<Vec<CacheEvent>, UpstreamError>>;

    /// Sends an order to a model engine. Sending an order again has no further effect, since an
    /// order states the desired state.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Returns what the engine has loaded, and whether it is still loading.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, UpstreamError>>;

    /// Reserves memory of a gang member for an attempt that another engine leads. An engine without
    /// enough free memory refuses. The reservation expires after `hold`, so that a gang whose host
    /// crashed frees its memory.
    fn hold_gang(
        &self,
        attempt: AttemptId,
        host: HostId,
        tokens: Tokens,
        hold: Duration,
    ) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Releases the memory that is reserved for an attempt at a gang member. `Ok` also means that
    /// the engine has no such reservation.
    fn release_gang(&self, attempt: AttemptId) -> BoxFuture<'_, Result<(), UpstreamError>>;

    /// Returns the encoded key-value cache of a prompt prefix, for another engine to import. Fails
    /// with [`UpstreamError::UnknownAttempt`] if the engine has not cached the prefix.
    fn export_kv(&self, prefix: ContentHash) -> BoxFuture<'_, Result<Bytes, UpstreamError>>;

    /// Sends an engine the encoded key-value cache of a prompt prefix, as another engine exported
    /// it.
    fn import_kv(&self, prefix: ContentHash, kv: Bytes)
    -> BoxFuture<'_, Result<(), UpstreamError>>;
}
