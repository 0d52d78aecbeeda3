//! How many of the listed hosts this host knows the load of.

/// Counts of the hosts on the platform's list and of those whose load this host knows. Both include
/// this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCoverage {
    /// All hosts on the list.
    pub listed: usize,
    /// Hosts whose load is known here, from their own reports or from a collector's.
    pub heard: usize,
}

impl HostCoverage {
    /// The fraction of the listed hosts whose load is known. At least this host itself counts, so
    /// the result is never 0.
    pub fn heard_fraction(self) -> f64 {
        let listed = self.listed.max(1);
        self.heard.clamp(1, listed) as f64 / listed as f64
    }
}
