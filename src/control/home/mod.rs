//! The home of a pool: the host that grants the dispatches to the upstreams of the pool.
//!
//! [`HomeController`] is the state machine of one pool on its home. It runs a
//! [`crate::decide::Policy`] and keeps a ledger of the grants, so that engine memory cannot leak.
//! The ledger is soft state: a new home rebuilds it from the grants that hosts announce and from
//! the attempts that engines list. While two hosts briefly act as the home of one pool, they can
//! overcommit memory a little, but no memory leaks.

mod action;
mod answer;
mod conf;
mod controller;
mod engine_table;
mod event;
mod grant_ledger;
mod host_table;
mod request_table;
pub mod wire;

pub use action::HomeAction;
pub use answer::GrantStatus;
pub use answer::HomeAnswer;
pub use answer::IssuedGrant;
pub use conf::HomeConf;
pub use controller::HomeController;
pub use event::HomeEvent;
