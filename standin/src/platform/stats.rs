//! Counts of calls.

use indexmap::IndexMap;
use serde::Serialize;

/// Calls so far; a watch counts once, however long it waits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Stats {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Creates, replacements and deletions, also those that met a conflict.
    pub writes: u64,
    /// Writes that met a conflict.
    pub conflicts: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Calls that an outage or a rate turned away.
    pub turned_away: u64,
    /// Calls by method and kind, such as `PUT claims` or `WATCH manifests`.
    pub by_call: IndexMap<String, u64>,
}

impl Stats {
    pub(crate) fn count_read(&mut self, call: &str, kind: &str) {
        self.reads += 1;
        self.count(call, kind);
    }

    pub(crate) fn count_write(&mut self, call: &str, kind: &str) {
        self.writes += 1;
        self.count(call, kind);
    }

    fn count(&mut self, call: &str, kind: &str) {
        *self.by_call.entry(format!("{call} {kind}")).or_insert(0) += 1;
    }
}
