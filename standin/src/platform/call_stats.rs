//! Call counts of the fake platform.

use indexmap::IndexMap;
use serde::Serialize;

/// Counts of calls so far; a watch counts once, however long it stays open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallStats {
    /// Number of gets, lists and watches.
    pub reads: u64,
    /// Number of creates, replacements and deletions, including those that met a conflict.
    pub writes: u64,
    /// Number of writes that met a conflict.
    pub conflicts: u64,
    /// Number of writes that took effect but whose response was dropped.
    pub lost_answers: u64,
    /// Number of calls refused because of an outage or a rate limit.
    pub turned_away: u64,
    /// Number of calls by method and kind, such as `PUT claims` or `WATCH manifests`.
    pub by_call: IndexMap<String, u64>,
}

impl CallStats {
    /// Counts a get, list or watch of objects of a kind.
    pub(crate) fn count_read(&mut self, call: &str, kind: &str) {
        self.reads += 1;
        self.count(call, kind);
    }

    /// Counts a create, replacement or deletion of an object of a kind.
    pub(crate) fn count_write(&mut self, call: &str, kind: &str) {
        self.writes += 1;
        self.count(call, kind);
    }

    fn count(&mut self, call: &str, kind: &str) {
        *self.by_call.entry(format!("{call} {kind}")).or_insert(0) += 1;
    }
}
