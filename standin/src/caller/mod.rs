//! Callers: requests whose answer is known, sent to entry hosts or directly to an engine or
//! service.

mod ask;
mod call;
mod percentile;
mod sse;
mod verdict;

pub use ask::Ask;
pub use ask::Target;
pub use call::Sent;
pub use call::send;
pub use percentile::percentile_ms;
pub use percentile::show_ms;
pub use verdict::Verdict;
