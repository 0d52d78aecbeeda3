//! Upstreams that a store which was restored from an older copy lists again.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::units::StoreEra;
use crate::units::UpstreamId;

/// How long an upstream that has left the list is remembered. A store is restored from copies that
/// are younger.
const RETENTION: Duration = Duration::from_secs(60);

/// Which upstreams have left the platform's list, and which of them the store lists again in a later
/// era. These may be gone: the copy is older than their removal.
#[derive(Debug, Default)]
pub struct ReturnedUpstreams {
    era: Option<StoreEra>,
    listed: IndexSet<UpstreamId>,
    removed: IndexMap<UpstreamId, Instant>,
}

impl ReturnedUpstreams {
    /// Applies a list that was read in this era; none if the era is not known. Returns the upstreams
    /// that were removed in an earlier era and are listed again.
    pub fn on_list(
        &mut self,
        listed: IndexSet<UpstreamId>,
        era: Option<StoreEra>,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < RETENTION;
        self.removed.retain(|_, at| is_recent(at));
        let left = self.listed.difference(&listed);
        self.removed.extend(left.map(|id| (id.clone(), now)));
        let is_restored = self.era.is_some() && era.is_some() && self.era != era;
        let mut returned = Vec::new();
        if is_restored {
            let again = listed.iter().filter(|id| self.removed.contains_key(*id));
            returned.extend(again.cloned());
        } else {
            // An upstream that is listed again in the same era has registered again.
            self.removed.retain(|id, _| !listed.contains(id));
        }
        self.listed = listed;
        self.era = era.or(self.era);
        returned
    }
}
