//! Callers: requests with a known answer, sent to entry hosts or straight to an engine.

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
