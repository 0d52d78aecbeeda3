//! Application of what the updates of other hosts report about their lists and about unreachable
//! upstreams.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::HostUpdate;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::catalog_sharing::ListKind;
use crate::gateway::catalog_sharing::is_fresh;
use crate::units::HostId;

impl Gateway {
    /// Applies a peer's reports of unreachable upstreams and failure domains. Only reports of hosts
    /// of this failure domain count, since a host of another one reaches upstreams by other network
    /// paths.
    pub(crate) fn apply_unreachable(&self, host: &HostId, update: &HostUpdate, now: Instant) {
        if update.unreachable_upstreams.is_empty() && update.unreachable_domains.is_empty() {
            return;
        }
        let hosts = self.platform_view.hosts();
        let sender = hosts.iter().find(|listed| listed.host == *host);
        if sender.is_none_or(|sender| sender.domain != self.conf.domain) {
            return;
        }
        let Some(by_service) = self.platform_view.upstreams() else {
            return;
        };
        let mut health = self.health();
        let domains = update.unreachable_domains.iter();
        let domains = domains.filter_map(|name| name.parse().ok());
        let domains = domains
            .filter(|domain| health.on_unreachable_domain_report(domain, now))
            .count();
        let is_reported = |listed: &&ListedUpstream| {
            let mut reported = update.unreachable_upstreams.iter();
            reported.any(|id| id == listed.id.as_str())
        };
        let upstreams = by_service.values().flatten().filter(is_reported);
        let upstreams = upstreams
            .filter(|listed| health.on_unreachable_report(&listed.id, &listed.domain, now))
            .count();
        drop(health);
        if domains > 0 || upstreams > 0 {
            self.log.record(DecisionEvent::UnreachableReported {
                told_by: host.to_string(),
                upstreams,
                domains,
            });
        }
        self.health_changed.notify_one();
    }

    /// Records the age that a host reports of its lists. If these are fresh and this host's own
    /// lists are stale, the tasks that read the platform are woken to read from that host.
    pub(crate) fn apply_list_age(&self, host: &HostId, update: &HostUpdate, now: Instant) {
        let Some(age_ms) = update.confirmed_age_plus_one_ms.checked_sub(1) else {
            return;
        };
        let at = self.clock.since_boot();
        let age = Duration::from_millis(age_ms.into());
        let confirmed_at = at.saturating_sub(age);
        let can_be_asked = self
            .reader_selector
            .on_age_report(host, confirmed_at, age, now);
        let is_fresh = is_fresh(confirmed_at, at);
        if is_fresh {
            self.record_contact(confirmed_at, at, now);
        }
        if can_be_asked && is_fresh && !self.catalog_cache.is_fresh(ListKind::Routes, at) {
            self.routes_changed.notify_one();
            self.upstreams_changed.notify_one();
        }
    }

    /// Records that the platform was in reach of a host of this fleet at `confirmed_at`, since boot;
    /// `at` and `now` are the current time. A host that was cut off a moment ago still reports fresh
    /// lists.
    fn record_contact(&self, confirmed_at: Duration, at: Duration, now: Instant) {
        let age = at.saturating_sub(confirmed_at);
        let contact_at = now.checked_sub(age).unwrap_or(now);
        self.evacuation_lease.on_contact(contact_at);
    }

    /// Records the age that a host reports of its evacuations. If these are fresh and this host's
    /// own are stale, the task that reads them is woken to read from that host.
    pub(crate) fn apply_evacuations_age(&self, host: &HostId, update: &HostUpdate, now: Instant) {
        let at = self.clock.since_boot();
        let age_ms = update.evacuations_age_plus_one_ms.checked_sub(1);
        let confirmed_at =
            age_ms.map(|age_ms| at.saturating_sub(Duration::from_millis(age_ms.into())));
        let can_be_asked = self
            .reader_selector
            .on_evacuations_report(host, confirmed_at, now, at);
        let fresh_at = confirmed_at.filter(|confirmed_at| is_fresh(*confirmed_at, at));
        if let Some(fresh_at) = fresh_at {
            self.record_contact(fresh_at, at, now);
        }
        let is_fresh = fresh_at.is_some();
        if can_be_asked && is_fresh && !self.catalog_cache.is_fresh(ListKind::Evacuations, at) {
            self.evacuations_changed.notify_one();
        }
    }

    /// Wakes the tasks that read the platform if the host that was selected to read for this one
    /// has a newer manifest or another list of upstreams.
    pub(crate) fn apply_versions(&self, host: &HostId, update: &HostUpdate) {
        let (routes, upstreams) = self.catalog_cache.versions();
        let has_upstreams = update.upstreams_version != 0 && update.upstreams_version != upstreams;
        let is_newer = update.routes_version > routes || has_upstreams;
        if !is_newer || !self.reader_selector.is_selected(host) {
            return;
        }
        if update.routes_version > routes {
            self.routes_changed.notify_one();
        }
        if has_upstreams {
            self.upstreams_changed.notify_one();
        }
    }
}
