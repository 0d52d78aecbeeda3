//! A gateway's [`ExchangeHandler`]: the updates that it broadcasts to the other hosts, and how it
//! applies their updates.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use log::warn;
use tokio::sync::Notify;

use crate::decide::LoadSource;
use crate::decide::LoadUpdateKind;
use crate::exchange::CustomerUseEntry;
use crate::exchange::ExchangeHandler;
use crate::exchange::HostUpdate;
use crate::exchange::ListedHost;
use crate::exchange::LoadEntry;
use crate::exchange::MessageScope;
use crate::exchange::UpdateRoute;
use crate::exchange::UpstreamHash;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::exchange_entries::decode_limit;
use crate::gateway::exchange_entries::decode_load;
use crate::gateway::exchange_entries::decode_slowdown;
use crate::gateway::exchange_entries::limit_entry;
use crate::gateway::exchange_entries::load_entry;
use crate::gateway::exchange_entries::resolve_upstream;
use crate::gateway::exchange_entries::slowdown_entry;
use crate::gateway::outcomes::outcome_entry;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::UpstreamId;
use crate::units::whole_millis;
use crate::units::whole_millis_u32;

impl ExchangeHandler for Gateway {
    fn host(&self) -> HostId {
        self.conf.host.clone()
    }

    fn domain(&self) -> FailureDomainId {
        self.conf.domain.clone()
    }

    /// Builds the complete update of this host. Each call takes the next sequence number and drains
    /// nothing, so the next update reports the same state again while it is valid.
    fn local_update(&self) -> HostUpdate {
        let now = self.clock.now();
        let loads = self.own_load_entries(now);
        let (routes_version, upstreams_version) = self.catalog_cache.versions();
        let (unreachable_upstreams, unreachable_domains) = self.unreachable_reports(now);
        HostUpdate {
            confirmed_age_plus_one_ms: self.age_plus_one_ms(self.catalog_cache.confirmed_at()),
            evacuations_age_plus_one_ms: self
                .age_plus_one_ms(self.catalog_cache.evacuations_confirmed_at()),
            slowdowns: self.slowdowns.own(now).iter().map(slowdown_entry).collect(),
            limits: self
                .rate_limits
                .tracker()
                .reports(now)
                .map(limit_entry)
                .collect(),
            customer_uses: self
                .shares()
                .own_use(now)
                .iter()
                .map(CustomerUseEntry::from)
                .collect(),
            leaving_upstreams: self
                .availability()
                .recently_leaving(now)
                .map(|upstream| UpstreamHash::from(upstream).0)
                .collect(),
            outcomes: self
                .health()
                .outcome_reports(now)
                .iter()
                .map(outcome_entry)
                .collect(),
            part_evidence: self.part_evidence(now),
            generation_plus_one: self.generation_plus_one(),
            unreachable_upstreams,
            unreachable_domains,
            routes_version,
            upstreams_version,
            host: self.conf.host.to_string(),
            incarnation: self.incarnation,
            sequence: self.updates_sent.fetch_add(1, Ordering::Relaxed),
            loads,
            ..HostUpdate::default()
        }
    }

    /// Applies an update of another host: its load, and its reports on requests that crash
    /// upstreams, slow engines, rate limits, and unreachable and leaving upstreams. Wakes the tasks
    /// that read the platform if the sender is not a known host or has newer lists.
    fn on_update(&self, update: HostUpdate) {
        let now = self.clock.now();
        let Ok(host) = update.host.parse::<HostId>() else {
            warn!("exchange: an update without a valid host name");
            return;
        };
        if host == self.conf.host {
            return;
        }
        if !self.platform_view.is_known_host(&host) {
            self.hosts_changed.notify_one();
        }
        self.apply_part_evidence(&update.host, &update.part_evidence, now);
        self.apply_versions(&host, &update);
        if let Some(generation) = update.generation_plus_one.checked_sub(1) {
            self.heard_generation.on_report(Generation(generation), now);
        }
        self.apply_list_age(&host, &update, now);
        self.apply_evacuations_age(&host, &update, now);
        self.apply_unreachable(&host, &update, now);
        let source = match update.scope() {
            MessageScope::Domain => LoadSource::Collector(host),
            MessageScope::Host | MessageScope::Relay => LoadSource::Host(host),
        };
        let by_hash = self.platform_view.upstreams_by_hash();
        self.apply_upstream_entries(&source, &update, &by_hash, now);
        self.apply_customer_uses(&source, &update, now);
        self.apply_outcomes(&source, &update.outcomes, now);
        self.record_loads(source, &update, &by_hash, now);
    }

    fn hosts(&self) -> Arc<Vec<ListedHost>> {
        self.platform_view.hosts()
    }

    fn on_update_route(&self, route: UpdateRoute) {
        if route.differs_noticeably_from(&self.logged_route()) {
            self.log.record(DecisionEvent::UpdateRouteChanged {
                collector: route.collector.as_ref().map(ToString::to_string),
                near_age_ms: whole_millis(route.local_age_max),
                far_age_ms: whole_millis(route.remote_age_max),
            });
            self.set_logged_route(route.clone());
        }
        self.set_update_route(route);
    }

    fn change_notify(&self) -> &Notify {
        &self.load_changed
    }

    fn urgent_change_notify(&self) -> &Notify {
        &self.broadcast_now
    }
}

impl Gateway {
    /// The entries of an update for the load that this host puts on upstreams.
    fn own_load_entries(&self, now: Instant) -> Vec<LoadEntry> {
        let ledger = self.ledger();
        let loads = ledger.own_loads(now);
        loads.map(|(id, load)| load_entry(id, &load)).collect()
    }

    /// Applies a peer's reports on single upstreams: slowdowns, rate limits, and which are leaving.
    fn apply_upstream_entries(
        &self,
        source: &LoadSource,
        update: &HostUpdate,
        by_hash: &IndexMap<UpstreamHash, UpstreamId>,
        now: Instant,
    ) {
        for slow in &update.slowdowns {
            if let Some(engine) = by_hash.get(&UpstreamHash(slow.upstream_hash)) {
                self.slowdowns
                    .on_peer_report(engine, decode_slowdown(slow), now);
            }
        }
        for leaving in &update.leaving_upstreams {
            if let Some(upstream) = by_hash.get(&UpstreamHash(*leaving)) {
                self.on_leaving(upstream, Some(source.host()));
            }
        }
        for limit in &update.limits {
            if let Some(upstream) = by_hash.get(&limit.upstream()) {
                self.on_limit_report(source, upstream, &decode_limit(limit), now);
            }
        }
    }

    /// Records the load that a peer, or the hosts behind a collector, put on upstreams.
    fn record_loads(
        &self,
        source: LoadSource,
        update: &HostUpdate,
        by_hash: &IndexMap<UpstreamHash, UpstreamId>,
        now: Instant,
    ) {
        let kind = if update.is_partial {
            LoadUpdateKind::Delta
        } else {
            LoadUpdateKind::Snapshot
        };
        let loads = update.loads.iter();
        let loads =
            loads.filter_map(|load| Some((resolve_upstream(load, by_hash)?, decode_load(load))));
        let mut ledger = self.ledger();
        ledger.record_loads(source, update.incarnation, kind, loads, now);
    }

    /// The upstreams and failure domains that this host reports as unreachable; none while it has lost
    /// direct paths or reaches no upstream, since its failures then say nothing about the upstreams.
    fn unreachable_reports(&self, now: Instant) -> (Vec<String>, Vec<String>) {
        if !self.paths().may_report(now) {
            return Default::default();
        }
        let health = self.health();
        let upstreams = health.unreachable_upstreams(now).map(ToString::to_string);
        let domains = health.unreachable_domains(now).map(ToString::to_string);
        (upstreams.collect(), domains.collect())
    }

    /// One more than the generation of the manifest in force; 0 if there is none.
    fn generation_plus_one(&self) -> u64 {
        let routes = self.platform_view.routes();
        routes.map_or(0, |routes| routes.generation.0.saturating_add(1))
    }

    /// The age in ms, plus one, of lists that were confirmed at this time since boot; 0 if there
    /// are none.
    fn age_plus_one_ms(&self, confirmed_at: Option<Duration>) -> u32 {
        let now = self.clock.since_boot();
        let age = confirmed_at.map(|at| now.saturating_sub(at));
        age.map_or(0, |age| whole_millis_u32(age).saturating_add(1))
    }
}
