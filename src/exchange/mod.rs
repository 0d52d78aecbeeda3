//! What hosts tell each other all the time: their work at upstreams and requests that crash
//! upstreams.
//!
//! Each host sends its whole state in one datagram to every other host, so a lost datagram costs
//! one interval and there is nothing to repair. Nothing that must hold rests on it.

mod codec;
mod error;
mod message;
mod pace;
mod task;

pub use codec::NewsCodec;
pub use error::ExchangeError;
pub use message::HostNews;
pub use message::LoadNews;
pub use message::PoisonNews;
pub use pace::Need;
pub use pace::Pace;
pub use pace::news_interval;
pub use task::Exchange;
pub use task::NewsDesk;
