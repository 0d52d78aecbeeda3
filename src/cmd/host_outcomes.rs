//! Hosts that served their callers worse than the others did at the same time.

use std::fmt;

use indexmap::IndexMap;

/// The number of requests on each side below which hosts are not compared.
const REQUESTS_MIN: usize = 10;
/// The outcome of requests that were served.
const SERVED: &str = "served";

/// The requests that ended at one host in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct HostCounts {
    served: usize,
    all: usize,
    /// Requests that were sent through another host.
    tunneled: usize,
}

impl HostCounts {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.all += other.all;
    }

    fn without(self, other: Self) -> Self {
        Self {
            served: self.served - other.served,
            all: self.all - other.all,
            ..self
        }
    }

    /// Whether this host served less than two thirds as often as the others.
    fn is_worse_than(self, others: Self) -> bool {
        let is_comparable = self.all >= REQUESTS_MIN && others.all >= REQUESTS_MIN;
        is_comparable && self.served * others.all * 3 < others.served * self.all * 2
    }
}

/// The counts of each host, for each interval by its start in ms.
#[derive(Debug, Default)]
pub(crate) struct HostOutcomes {
    intervals: IndexMap<u64, IndexMap<String, HostCounts>>,
}

impl HostOutcomes {
    /// Counts a request that ended.
    pub(crate) fn count_ended(&mut self, interval_ms: u64, host: &str, outcome: &str) {
        let counts = self.counts_mut(interval_ms, host);
        counts.all += 1;
        counts.served += usize::from(outcome == SERVED);
    }

    /// Counts a request that was sent through another host.
    pub(crate) fn count_tunneled(&mut self, interval_ms: u64, host: &str) {
        self.counts_mut(interval_ms, host).tunneled += 1;
    }

    fn counts_mut(&mut self, interval_ms: u64, host: &str) -> &mut HostCounts {
        let hosts = self.intervals.entry(interval_ms).or_default();
        hosts.entry(host.to_owned()).or_default()
    }
}

impl fmt::Display for HostOutcomes {
    /// Writes a line for each interval in which a host served its callers worse than the others.
    /// Nothing if there is none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut is_first = true;
        for (interval_ms, hosts) in &self.intervals {
            let mut total = HostCounts::default();
            for counts in hosts.values() {
                total.add(*counts);
            }
            for (host, counts) in hosts {
                let others = total.without(*counts);
                if !counts.is_worse_than(others) {
                    continue;
                }
                if is_first {
                    write_heading(f)?;
                    is_first = false;
                }
                writeln!(
                    f,
                    "{:>8} {host:>24} {:>13} {:>13} {:>9}",
                    interval_ms / 1_000,
                    format!("{}/{}", counts.served, counts.all),
                    format!("{}/{}", others.served, others.all),
                    counts.tunneled,
                )?;
            }
        }
        Ok(())
    }
}

fn write_heading(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "\nHosts that served less than two thirds as often as the others, by interval of two seconds:"
    )?;
    writeln!(
        f,
        "{:>8} {:>24} {:>13} {:>13} {:>9}",
        "second", "host", "served here", "elsewhere", "tunneled"
    )
}
