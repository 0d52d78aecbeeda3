//! Selection of the host that reads the platform for this one, and sharing of retries.
//!
//! Each host reports the age of its lists to its peers. When the platform is down or rejects all
//! hosts of a failure domain for some seconds, hosts that retry independently make a thousand
//! failing calls, and each detects the recovery only with its own next retry. Here the hosts of a
//! domain share their retries, and when the first one gets a response, all others immediately
//! request the lists from it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::EXCLUDED_FOR;
use crate::decide::ListNeed;
use crate::decide::ReaderFailure;
use crate::exchange::ListedHost;
use crate::gateway::Gateway;
use crate::gateway::catalog_sharing::message::ListKind;
use crate::units::HostId;

/// How long a host that has just started may request lists from hosts that it has not heard yet.
/// After this time the others know of it and it receives their updates. Without this period, hosts
/// that all start at the same time would each read the platform themselves, with about seven calls
/// each.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Largest age of the lists that a host reports at which it can be selected. A host that reads
/// without failures has lists of up to 1.2 s, and its report may be half a second old.
const REPORTED_AGE_MAX: Duration = Duration::from_secs(2);

/// The times since boot at which the lists of a host were current, as reported by that host.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLists {
    /// The older of its manifest and its upstreams; none if it has not reported them.
    lists: Option<Duration>,
    /// Its evacuations; none if it does not report them.
    evacuations: Option<Duration>,
}

/// What is known of the hosts that can be selected.
#[derive(Debug, Default)]
struct SelectorState {
    /// Hosts that are not selected, with the reason and the time since which they are not.
    unavailable: IndexMap<HostId, (ReaderFailure, Instant)>,
    /// The host that was selected last for lists other than the evacuations; none while this host
    /// reads the platform itself.
    selected: Option<HostId>,
    /// The reports of each host on its lists.
    reported: IndexMap<HostId, ReportedLists>,
    /// When this host itself last reached the platform.
    platform_reached_at: Option<Instant>,
}

impl SelectorState {
    /// Whether a host is not excluded from the selection for a list. `lacks_list` is whether this
    /// host's own list is not fresh, and `at` is since boot.
    fn is_available(
        &self,
        host: &HostId,
        list: ListKind,
        lacks_list: bool,
        now: Instant,
        at: Duration,
    ) -> bool {
        let Some((failure, since)) = self.unavailable.get(host) else {
            return true;
        };
        let need = ListNeed {
            lacks_list,
            is_reported_fresh: self.is_fresh(host, list, at) == Some(true),
            is_reported_alone: list == ListKind::Evacuations,
        };
        now.saturating_duration_since(*since) >= failure.excluded_for(need)
    }

    /// The report of a host, which is empty if there was none.
    fn report_of(&mut self, host: &HostId) -> &mut ReportedLists {
        if !self.reported.contains_key(host) {
            self.reported.insert(host.clone(), ReportedLists::default());
        }
        &mut self.reported[host]
    }

    /// Whether a list of a host is fresh according to its report; none if it has not reported that
    /// list. The evacuations of a host that does not report them are as stale as its other lists.
    /// `at` is since boot.
    fn is_fresh(&self, host: &HostId, list: ListKind, at: Duration) -> Option<bool> {
        let reported = self.reported.get(host)?;
        let is_fresh = |confirmed_at: Duration| at.saturating_sub(confirmed_at) <= REPORTED_AGE_MAX;
        let lists = reported.lists.map(is_fresh);
        match list {
            ListKind::Routes | ListKind::Upstreams | ListKind::Hosts => lists,
            ListKind::Evacuations => reported
                .evacuations
                .map(is_fresh)
                .or(lists.filter(|is_fresh| !is_fresh)),
        }
    }
}

/// Selects the host that reads the platform for this one, by how each host responded and what it
/// reported of its lists.
#[derive(Debug, Default)]
pub(crate) struct ReaderSelector(Mutex<SelectorState>);

impl ReaderSelector {
    /// Excludes a host, which may be this one, from the selection for a while.
    pub(crate) fn mark_unavailable(&self, host: &HostId, why: ReaderFailure, now: Instant) {
        let mut state = self.lock();
        state
            .unavailable
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < EXCLUDED_FOR);
        state.unavailable.insert(host.clone(), (why, now));
    }

    /// Records that this host itself reached the platform, so it can read for itself again.
    pub(crate) fn on_platform_reached(&self, own: &HostId, now: Instant) {
        let mut state = self.lock();
        state.platform_reached_at = Some(now);
        state.unavailable.swap_remove(own);
    }

    /// When this host itself last reached the platform.
    pub(crate) fn platform_reached_at(&self) -> Option<Instant> {
        self.lock().platform_reached_at
    }

    /// Records the time since boot at which a host's lists were current according to its report.
    /// Returns whether that host can be selected. A host that was excluded because it had no fresh
    /// list can be selected again as soon as it has one.
    pub(crate) fn on_age_report(
        &self,
        host: &HostId,
        confirmed_at: Duration,
        age: Duration,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        if let Some((ReaderFailure::Stale, since)) = state.unavailable.get(host)
            && now.saturating_duration_since(*since) > age
        {
            state.unavailable.swap_remove(host);
        }
        state.report_of(host).lists = Some(confirmed_at);
        let at = confirmed_at + age;
        state.is_available(host, ListKind::Routes, true, now, at)
    }

    /// Records the time since boot at which a host's evacuations were current according to its
    /// report, or that it does not report them. Returns whether they can be requested from it. `at`
    /// is the time of the report since boot.
    pub(crate) fn on_evacuations_report(
        &self,
        host: &HostId,
        confirmed_at: Option<Duration>,
        now: Instant,
        at: Duration,
    ) -> bool {
        let mut state = self.lock();
        state.report_of(host).evacuations = confirmed_at;
        state.is_available(host, ListKind::Evacuations, true, now, at)
    }

    /// Records that a host has responded without fresh evacuations, until its next report.
    pub(crate) fn on_stale_evacuations(&self, host: &HostId) {
        self.lock().report_of(host).evacuations = Some(Duration::ZERO);
    }

    /// Number of hosts of this failure domain, this one included, that are alive and do not have
    /// this list fresh: those that share the retries of calls to the platform.
    pub(crate) fn retrying_hosts(&self, gateway: &Gateway, list: ListKind) -> u32 {
        let now = gateway.clock.now();
        let at = gateway.clock.since_boot();
        let hosts = gateway.platform_view.hosts();
        let state = self.lock();
        let ledger = gateway.ledger();
        let is_retrying = |listed: &&ListedHost| {
            listed.domain == gateway.conf.domain
                && ledger.is_host_live(&listed.host, now)
                && state.is_fresh(&listed.host, list, at) == Some(false)
        };
        let others = hosts.iter().filter(is_retrying).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Whether a host is the one that was selected last.
    ///
    /// This is checked for every update of every other host. Selecting among 300 hosts each time
    /// took a quarter of the processor time of a fleet of that size.
    pub(crate) fn is_selected(&self, host: &HostId) -> bool {
        self.lock().selected.as_ref() == Some(host)
    }

    /// Selects the host that reads a list of the platform for this one. Unless the list is that of
    /// the evacuations, it is recorded for [`ReaderSelector::is_selected`]. Returns none if this
    /// host is to read the platform itself.
    ///
    /// Candidates are this host, the starting reader, and the hosts from which updates arrived
    /// recently and whose list is not known to be stale, unless they are excluded for now. Hosts
    /// of this failure domain are preferred, then the starting reader, then the collector of
    /// updates, then the first by name. `includes_unheard` says whether hosts from which no update
    /// has arrived yet are also candidates right after the start.
    pub(crate) fn select(
        &self,
        gateway: &Gateway,
        list: ListKind,
        includes_unheard: bool,
    ) -> Option<ListedHost> {
        let now = gateway.clock.now();
        let hosts = gateway.platform_view.hosts();
        let collector = gateway.update_route().collector;
        let conf = &gateway.conf;
        let mut state = self.lock();
        let at = gateway.clock.since_boot();
        let ledger = gateway.ledger();
        let starting_reader = gateway.starting_reader(now);
        let is_starting_reader = |listed: &ListedHost| {
            let reader = starting_reader.as_ref();
            reader.is_some_and(|reader| reader.host == listed.host)
        };
        let is_unlisted = |reader: &&ListedHost| !gateway.platform_view.is_known_host(&reader.host);
        let unlisted_reader = starting_reader.as_ref().filter(is_unlisted);
        let has_just_started = now.saturating_duration_since(gateway.started_at) < STARTUP_PERIOD;
        let lacks_fresh_list = !gateway.catalog_cache.is_fresh(list, at);
        let is_candidate = |listed: &&ListedHost| {
            let is_own = listed.host == conf.host;
            let is_alive = (includes_unheard && has_just_started)
                || is_starting_reader(listed)
                || ledger.is_host_live(&listed.host, now);
            let is_stale = state.is_fresh(&listed.host, list, at) == Some(false);
            let is_available = state.is_available(&listed.host, list, lacks_fresh_list, now, at);
            (is_own || (is_alive && !is_stale)) && is_available
        };
        // If no host of this domain has fresh lists, a host of another domain is selected. If this
        // host has no fresh list itself, hosts that have reported a fresh one are preferred.
        let rank = |listed: &&ListedHost| {
            let is_other_domain = listed.domain != conf.domain;
            let has_not_reported = lacks_fresh_list
                && !is_starting_reader(listed)
                && state.is_fresh(&listed.host, list, at).is_none();
            let is_collector = collector.as_ref() == Some(&listed.host);
            (
                is_other_domain,
                has_not_reported,
                !is_starting_reader(listed),
                !is_collector,
                listed.host.clone(),
            )
        };
        let listed = hosts.iter().chain(unlisted_reader);
        let first = listed.filter(is_candidate).min_by_key(rank);
        let other = first.filter(|first| first.host != conf.host).cloned();
        if list != ListKind::Evacuations {
            state.selected = other.as_ref().map(|other| other.host.clone());
        }
        other
    }

    /// Whether the host from which this one would request a list reports that it has a fresh one.
    pub(crate) fn has_fresh_peer(&self, gateway: &Gateway, list: ListKind) -> bool {
        let Some(reader) = self.select(gateway, list, false) else {
            return false;
        };
        let at = gateway.clock.since_boot();
        self.lock().is_fresh(&reader.host, list, at) == Some(true)
    }

    fn lock(&self) -> MutexGuard<'_, SelectorState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
