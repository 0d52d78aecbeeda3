//! How many of the listed hosts this host knows the load of.

/// Counts of the hosts on the platform's list and of those whose load this host knows. Both include
/// this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCoverage {
    /// All hosts on the list; 0 if the list is not known.
    pub listed: usize,
    /// Hosts whose load is known here, from their own reports or from a collector's.
    pub heard: usize,
}

impl HostCoverage {
    /// The coverage of a host that does not know the list.
    pub const UNKNOWN: Self = Self {
        listed: 0,
        heard: 0,
    };

    /// The fraction of the listed hosts whose load is known. At least this host itself counts; the
    /// result is 0 only if the list is not known.
    pub fn heard_fraction(self) -> f64 {
        if self.listed == 0 {
            return 0.0;
        }
        self.heard.clamp(1, self.listed) as f64 / self.listed as f64
    }
}
