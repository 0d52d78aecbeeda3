//! Why there is no connection to an upstream.

use std::fmt;

use crate::decide::AskedHost;
use crate::decide::UpstreamFault;
use crate::http::one_shot::OneShotError;

/// The direct connection to an upstream failed, and no other host has provided a tunnel.
#[derive(Debug)]
pub(crate) struct ConnectError {
    /// Why the direct connection failed.
    pub(crate) direct: OneShotError,
    /// The hosts that were asked for a tunnel.
    pub(crate) asked: Vec<AskedHost>,
    /// Whether the failure says nothing about the upstream: this host reaches no other one either,
    /// and no other host has found it unreachable.
    pub(crate) is_inconclusive: bool,
}

impl ConnectError {
    /// What the error means for the upstream.
    pub(crate) fn fault(&self) -> UpstreamFault {
        match self.direct {
            _ if self.is_inconclusive => UpstreamFault::NoPath,
            OneShotError::ConnectTimeout => UpstreamFault::ConnectTimeout,
            _ => UpstreamFault::ConnectRefused,
        }
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.direct.fmt(f)?;
        for (index, asked) in self.asked.iter().enumerate() {
            let separator = if index == 0 { "; tunnels: " } else { ", " };
            write!(f, "{separator}{asked}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConnectError {}
