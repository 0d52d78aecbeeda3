//! Baselines to measure the shipped policy against. They dispatch at once: what waits, waits inside
//! the engines.

mod alone;
mod direct;
mod least_in_flight;
mod member;
mod picker;
mod round_robin;

pub use alone::Alone;
pub use direct::Direct;
pub use least_in_flight::LeastInFlight;
pub use member::Member;
pub use picker::Picker;
pub use round_robin::RoundRobin;
