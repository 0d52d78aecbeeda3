//! For whom a message speaks.

/// For whom a message speaks, and what its receiver is to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MessageScope {
    /// Of a host, of itself.
    Host = 0,
    /// Of a collector, of all hosts of its failure domain together, to those of other domains.
    Domain = 1,
    /// Of a collector, to the hosts of its domain: what it has heard of the other domains.
    Relay = 2,
}
