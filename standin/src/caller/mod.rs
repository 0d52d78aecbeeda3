//! Callers: requests whose answer is known, sent to entry hosts or directly to an engine or
//! service.

mod call;
mod call_outcome;
mod caller_request;
mod percentile;
mod sse;

pub use call::SendResult;
pub use call::send;
pub use call_outcome::CallOutcome;
pub use caller_request::CallerRequest;
pub use caller_request::RequestKind;
pub use percentile::format_ms;
pub use percentile::percentile_ms;
