//! Measurements of a run: the age of updates and their cost.

use std::time::Duration;

/// The measurements since the last reset.
pub struct Measurements {
    /// The time from each change until each other host knew of it.
    pub ages: Vec<Duration>,
    /// The number of messages that each host received.
    pub received: Vec<usize>,
    /// The bytes that each host sent, without datagram headers.
    pub sent_bytes: Vec<usize>,
    /// The bytes sent between failure domains, without datagram headers.
    pub cross_domain_bytes: usize,
}

impl Measurements {
    pub fn new(hosts: usize) -> Self {
        Self {
            ages: Vec::new(),
            received: vec![0; hosts],
            sent_bytes: vec![0; hosts],
            cross_domain_bytes: 0,
        }
    }

    pub fn on_received(&mut self, host: usize) {
        self.received[host] += 1;
    }

    /// The age of updates at a quantile from 0 to 1.
    pub fn age(&mut self, quantile: f64) -> Duration {
        self.ages.sort_unstable();
        let last = self.ages.len() - 1;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (last as f64 * quantile) as usize;
        self.ages[index]
    }

    /// The median of the numbers of messages that hosts received.
    pub fn received_median(&self) -> usize {
        let mut received = self.received.clone();
        received.sort_unstable();
        received[received.len() / 2]
    }

    pub fn received_max(&self) -> usize {
        self.received.iter().copied().max().unwrap_or(0)
    }

    pub fn sent_bytes_max(&self) -> usize {
        self.sent_bytes.iter().copied().max().unwrap_or(0)
    }
}
