//! The scope of a message.

/// Whose state a message carries, and thus how its recipient handles it: that of the sending host
/// alone, the total of the sender's domain, or updates of other domains that are relayed within a
/// domain without being summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MessageScope {
    /// The state of the sending host alone.
    Host = 0,
    /// The aggregated state of the collector's failure domain, sent to hosts of other domains.
    Domain = 1,
    /// The updates of other failure domains, relayed by a collector to the hosts of its own domain.
    Relay = 2,
}
