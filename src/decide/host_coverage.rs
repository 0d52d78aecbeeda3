//! How many of all hosts are heard.

/// Hosts of the platform's list, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCoverage {
    /// All of them.
    pub listed: usize,
    /// Those whose work is known here, by their own word or by a collector's.
    pub heard: usize,
}

impl HostCoverage {
    /// The part of all hosts that is heard.
    pub fn heard_fraction(self) -> f64 {
        let listed = self.listed.max(1);
        self.heard.clamp(1, listed) as f64 / listed as f64
    }
}
