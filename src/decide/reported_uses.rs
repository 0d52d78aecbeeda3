//! What one source has reported of the customers of all services.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CustomerUse;
use crate::units::CustomerHash;
use crate::units::ServiceHash;

/// Time after which a report that was not repeated expires. Reports are repeated four times as
/// often, so three of them may be lost.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);

/// A service and a customer, or none for the customers that are reported together.
type UseKey = (ServiceHash, Option<CustomerHash>);

/// The reports of one source that have not expired, and the source's incarnation.
#[derive(Debug)]
pub(crate) struct ReportedUses {
    incarnation: u64,
    by_key: IndexMap<UseKey, (CustomerUse, Instant)>,
}

impl ReportedUses {
    /// Creates the state of a source that has reported nothing.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            by_key: IndexMap::new(),
        }
    }

    /// The source's incarnation.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records a report. Returns the previous one of the same customer.
    pub(crate) fn record(&mut self, report: CustomerUse, now: Instant) -> Option<CustomerUse> {
        let key = (report.service, report.customer);
        let before = self.by_key.insert(key, (report, now));
        before.map(|(before, _)| before)
    }

    /// Removes and returns the reports that have expired.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<CustomerUse> {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= REPORT_EXPIRY;
        let mut expired = Vec::new();
        self.by_key.retain(|_, (report, at)| {
            if is_expired(*at) {
                expired.push(*report);
            }
            !is_expired(*at)
        });
        expired
    }

    /// Forgets the reports for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&CustomerUse) -> bool) {
        self.by_key.retain(|_, (report, _)| is_kept(report));
    }

    /// The reports.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &CustomerUse> {
        self.by_key.values().map(|(report, _)| report)
    }

    /// Whether there are no reports.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
