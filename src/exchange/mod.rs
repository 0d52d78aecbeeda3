//! What hosts tell each other all the time: their work at upstreams and requests that crash
//! upstreams.
//!
//! Each host sends its whole state in one datagram, to every other host in a small fleet and to the
//! collector of its failure domain in a larger one ([`Fleet`]). Collectors pass changes on, and all of
//! it every few seconds, so a lost datagram costs a little time and there is nothing to ask for again.
//! Nothing that must hold rests on it.

mod codec;
mod collectors;
mod error;
mod fleet;
mod gathered;
mod limits_heard;
mod limits_told;
mod listed_host;
mod load_at;
mod message;
mod news_route;
mod outgoing;
mod pace;
mod speaker;
mod speakers;
mod task;
mod turn;
mod upstream_hash;
mod voice;

pub use codec::UpdateCodec;
pub use error::ExchangeError;
pub use fleet::Fleet;
pub use fleet::is_large_fleet;
pub use listed_host::ListedHost;
pub use listed_host::strongest_host;
pub use message::HostUpdate;
pub use message::LimitEntry;
pub use message::LoadEntry;
pub use message::PoisonEntry;
pub use message::SlowdownEntry;
pub use news_route::UpdateRoute;
pub use outgoing::Outgoing;
pub use pace::Need;
pub use pace::Pace;
pub use pace::news_interval;
pub use task::Exchange;
pub use task::ExchangeHandler;
pub use upstream_hash::UpstreamHash;
pub use voice::MessageScope;
