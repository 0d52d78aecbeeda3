//! The home of a pool: grants, the ledger, take-over and reconciling with engines.
//!
//! [`HomeController`] is the state machine of one pool on its home host. It runs a
//! [`crate::decide::Policy`] and keeps the ledger of what was granted, so that no engine loses
//! memory for good. All of it is soft state: a new home rebuilds it from what hosts announce and
//! what engines list, and two homes at once for a moment overcommit a little and lose nothing.

mod action;
mod answer;
mod conf;
mod controller;
mod engines;
mod event;
mod hosts;
mod ledger;
mod requests;
pub mod wire;

pub use action::HomeAction;
pub use answer::GrantStatus;
pub use answer::HomeAnswer;
pub use answer::IssuedGrant;
pub use conf::HomeConf;
pub use controller::HomeController;
pub use event::HomeEvent;
