//! For whom a message speaks.

/// For whom a message speaks, and what its receiver is to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Voice {
    /// Of a host, of itself, to every host.
    Own = 0,
    /// Of a host, of itself, to the collector of its failure domain, which passes it on.
    Member = 1,
    /// Of a collector, of all hosts that it collects from together, to the other collectors.
    Collected = 2,
    /// Of a collector, of itself, to the hosts that it collects from, with what it passes on.
    Relay = 3,
}
