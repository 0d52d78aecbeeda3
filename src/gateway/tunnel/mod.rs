//! Connections to upstreams through another host.
//!
//! A host that does not reach an upstream itself asks another host to connect to it, and then uses
//! the connection to that host as if it were one to the upstream. Only bytes are passed on, and how
//! the upstream's connection ends: the first host alone chooses the upstream, limits retries, and
//! knows whether the request may have run. A tunnel never leads through a second host, since it ends
//! with a direct connection.
//!
//! A response may end with its connection. The end of the upstream's connection is therefore
//! announced in a frame of its own, as the tunnel ends in the same way when the process in the middle
//! does.

mod client;
mod failure;
mod frame;
mod outcome;
mod search;
mod server;
mod status;
mod stream;
mod tunnel_counter;

pub(crate) use client::TunnelError;
pub(crate) use client::open_tunnel;
pub(crate) use outcome::TunnelOutcome;
pub(crate) use server::serve_tunnel;
pub(crate) use status::TunnelStatus;
pub(crate) use tunnel_counter::TunnelCounter;
pub(crate) use tunnel_counter::TunnelGuard;
