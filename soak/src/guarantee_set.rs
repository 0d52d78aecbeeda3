//! The sets of guarantees that a run can check.

/// The guarantees that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuaranteeSet {
    /// The guarantees that hold however slow the machine is.
    Safety,
    /// The safety guarantees and the one on silences of upstreams, which holds however slow the machine
    /// is if nothing else disturbs the hosts.
    SafetyAndSilences,
    /// The safety guarantees and those that bound times.
    All,
}
