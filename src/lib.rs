//! banyanarch is a serving layer for language-model prompts of very different lengths.
//!
//! Decisions and controllers ([`decide`], [`control`]) are plain state machines without I/O. The
//! platform, upstreams, other hosts and the clock are behind traits ([`objects`], [`upstream`],
//! [`peer`], [`clock`]). docs/DESIGN.md gives the reasons.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod clock;
pub mod cluster_view;
pub mod cmd;
pub mod control;
pub mod daemon;
pub mod decide;
pub mod entry;
pub mod exchange;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod manifest;
pub mod objects;
pub mod observe;
pub mod peer;
pub mod routing;
pub mod settings;
pub mod units;
pub mod upstream;
pub mod yaml;
