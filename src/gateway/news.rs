//! What a gateway tells the other hosts and hears from them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use log::warn;
use tokio::sync::Notify;

use crate::decide::HostLoad;
use crate::decide::LimitReport;
use crate::decide::LoadSource;
use crate::decide::LoadUpdateKind;
use crate::decide::Poison;
use crate::decide::PoisonMark;
use crate::decide::PrefillSent;
use crate::decide::SentLately;
use crate::exchange::HostNews;
use crate::exchange::LimitNews;
use crate::exchange::ListedHost;
use crate::exchange::LoadNews;
use crate::exchange::NewsDesk;
use crate::exchange::NewsRoute;
use crate::exchange::PoisonNews;
use crate::exchange::SlowNews;
use crate::exchange::UpstreamHash;
use crate::exchange::Voice;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::share::is_fresh;
use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::RequestsPerSecond;
use crate::units::Slowdown;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::units::whole_millis;
use crate::units::whole_millis_u32;

/// Marks in one message, the latest. 64 are 4 KB.
const POISONS_MAX: usize = 64;

impl NewsDesk for Gateway {
    fn host(&self) -> HostId {
        self.conf.host.clone()
    }

    fn domain(&self) -> FailureDomainId {
        self.conf.domain.clone()
    }

    fn news(&self) -> HostNews {
        let now = self.clock.now();
        let ledger = self.ledger();
        let loads = ledger.own(now).map(|(id, load)| load_news(id, &load));
        let loads = loads.collect();
        drop(ledger);
        let mut poisons = self.crashes_to_tell();
        let surplus = poisons.len().saturating_sub(POISONS_MAX);
        let poisons = poisons.split_off(surplus);
        let (routes_version, upstreams_version) = self.held.versions();
        let health = self.health();
        let unreachable = health.unreachable(now).map(ToString::to_string).collect();
        let cut_off = health.cut_off(now).map(ToString::to_string).collect();
        drop(health);
        HostNews {
            proof_age_plus_one_ms: self.proof_age_plus_one_ms(),
            slow: self.slowdowns.own(now).iter().map(slow_news).collect(),
            limits: self
                .rate_limits
                .book()
                .reports(now)
                .map(limit_news)
                .collect(),
            unreachable,
            cut_off,
            routes_version,
            upstreams_version,
            host: self.conf.host.to_string(),
            incarnation: self.incarnation,
            sequence: self.news_sent.fetch_add(1, Ordering::Relaxed),
            loads,
            poisons: poisons.iter().map(poison_news).collect(),
            ..HostNews::default()
        }
    }

    fn hear(&self, news: HostNews) {
        let now = self.clock.now();
        let Ok(host) = news.host.parse::<HostId>() else {
            warn!("exchange: news without a host name");
            return;
        };
        if host == self.conf.host {
            return;
        }
        if !self.beliefs.is_host(&host) {
            self.hosts_news.notify_one();
        }
        for poison in news.poisons.iter().filter_map(read_poison) {
            self.poison().merge(&poison, now);
        }
        self.hear_versions(&host, &news);
        self.hear_proof(&host, &news, now);
        self.hear_unreachable(&host, &news, now);
        let source = match news.voice() {
            Voice::Domain => LoadSource::Collector(host),
            Voice::Own | Voice::Relay => LoadSource::Host(host),
        };
        let extent = if news.is_partial {
            LoadUpdateKind::Delta
        } else {
            LoadUpdateKind::Snapshot
        };
        let names = self.beliefs.upstream_names();
        let loads = news.loads.iter();
        let loads = loads.filter_map(|load| Some((upstream_of(load, &names)?, read_load(load))));
        for slow in &news.slow {
            if let Some(engine) = names.get(&UpstreamHash(slow.upstream_hash)) {
                self.slowdowns.hear(engine, read_slowdown(slow), now);
            }
        }
        for limit in &news.limits {
            if let Some(upstream) = names.get(&limit.upstream()) {
                self.hear_limit(&source, upstream, &read_limit(limit), now);
            }
        }
        let mut ledger = self.ledger();
        ledger.hear_part(source, news.incarnation, extent, loads, now);
    }

    fn hosts(&self) -> Arc<Vec<ListedHost>> {
        self.beliefs.hosts()
    }

    fn on_route(&self, route: NewsRoute) {
        if route.is_another_way_than(&self.logged_route()) {
            self.log.note(Event::NewsRoute {
                collector: route.collector.as_ref().map(ToString::to_string),
                near_age_ms: whole_millis(route.near_age),
                far_age_ms: whole_millis(route.far_age),
            });
            self.set_logged_route(route.clone());
        }
        self.set_news_route(route);
    }

    fn changed(&self) -> &Notify {
        &self.load_changed
    }

    fn urgent(&self) -> &Notify {
        &self.load_urgent
    }
}

impl Gateway {
    /// Takes in what a neighbour could not reach. A host of another failure domain has other ways.
    fn hear_unreachable(&self, host: &HostId, news: &HostNews, now: Instant) {
        if news.unreachable.is_empty() && news.cut_off.is_empty() {
            return;
        }
        let hosts = self.beliefs.hosts();
        let sender = hosts.iter().find(|listed| listed.host == *host);
        if sender.is_none_or(|sender| sender.domain != self.conf.domain) {
            return;
        }
        let Some(by_service) = self.beliefs.upstreams() else {
            return;
        };
        let mut health = self.health();
        for domain in news.cut_off.iter().filter_map(|name| name.parse().ok()) {
            health.hear_cut_off(&domain, now);
        }
        for upstream in by_service.values().flatten() {
            if news.unreachable.iter().any(|id| id == upstream.id.as_str()) {
                health.hear_unreachable(&upstream.id, &upstream.domain, now);
            }
        }
        drop(health);
        self.health_changed.notify_one();
    }

    fn proof_age_plus_one_ms(&self) -> u32 {
        let now = self.clock.since_boot();
        let age = self.held.proved_at().map(|at| now.saturating_sub(at));
        age.map_or(0, |age| whole_millis_u32(age).saturating_add(1))
    }

    /// Takes in how old a host's lists are. Where this host's own are stale the tasks that read ask
    /// that one at once.
    fn hear_proof(&self, host: &HostId, news: &HostNews, now: Instant) {
        let Some(age_ms) = news.proof_age_plus_one_ms.checked_sub(1) else {
            return;
        };
        let at = self.clock.since_boot();
        let age = Duration::from_millis(age_ms.into());
        let proved_at = at.saturating_sub(age);
        let can_be_asked = self.readers.on_told(host, proved_at, age, now);
        if can_be_asked && is_fresh(proved_at, at) && !self.held.is_fresh(at) {
            self.routes_news.notify_one();
            self.upstreams_news.notify_one();
        }
    }

    /// Wakes the tasks that read if the host that reads for this one has something new.
    fn hear_versions(&self, host: &HostId, news: &HostNews) {
        let (routes, upstreams) = self.held.versions();
        let has_upstreams = news.upstreams_version != 0 && news.upstreams_version != upstreams;
        let has_news = news.routes_version > routes || has_upstreams;
        if !has_news || !self.readers.is_asked(host) {
            return;
        }
        if news.routes_version > routes {
            self.routes_news.notify_one();
        }
        if has_upstreams {
            self.upstreams_news.notify_one();
        }
    }
}

fn load_news(id: &UpstreamId, load: &HostLoad) -> LoadNews {
    LoadNews {
        upstream: id.to_string(),
        in_flight: load.in_flight,
        short_in_flight: load.short_in_flight,
        read_remaining_ms: whole_millis_u32(load.read.remaining),
        read_total_us: whole_micros(load.read.total),
        strictest_pause_ms: load.strictest_pause.map_or(0, whole_millis_u32),
        held_tokens: load.held_tokens.0,
        helping: load.helping,
        read_due_ms: load.prefill_due.map_or(0, whole_millis_u32),
        ..LoadNews::default()
    }
}

/// The upstream that is spoken of; none if this host has not heard of it yet, and then does not choose
/// it either.
fn upstream_of(news: &LoadNews, names: &IndexMap<UpstreamHash, UpstreamId>) -> Option<UpstreamId> {
    // A name that is known need not be made anew.
    let known = names.get(&news.hash());
    known.cloned().or_else(|| news.upstream.parse().ok())
}

fn read_load(news: &LoadNews) -> HostLoad {
    HostLoad {
        in_flight: news.in_flight,
        short_in_flight: news.short_in_flight,
        strictest_pause: (news.strictest_pause_ms > 0)
            .then(|| Duration::from_millis(news.strictest_pause_ms.into())),
        read: PrefillSent {
            total: Duration::from_micros(news.read_total_us),
            remaining: Duration::from_millis(news.read_remaining_ms.into()),
        },
        held_tokens: Tokens(news.held_tokens),
        helping: news.helping,
        prefill_due: (news.read_due_ms > 0).then(|| Duration::from_millis(news.read_due_ms.into())),
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn slow_news((engine, slowdown): &(UpstreamId, Slowdown)) -> SlowNews {
    SlowNews {
        upstream_hash: UpstreamHash::from(engine).0,
        slowdown_percent: (slowdown.factor() * 100.0) as u32,
    }
}

fn read_slowdown(news: &SlowNews) -> Slowdown {
    Slowdown::new(f64::from(news.slowdown_percent) / 100.0)
}

fn limit_news((upstream, report): (&UpstreamId, LimitReport)) -> LimitNews {
    LimitNews {
        upstream_hash: UpstreamHash::from(upstream).0,
        limit_per_s: report.limit.map(|limit| limit.0),
        age_ms: whole_millis_u32(report.age),
        sent_in_window: report.sent.in_window,
        sent_in_burst_window: report.sent.in_burst_window,
    }
}

fn read_limit(news: &LimitNews) -> LimitReport {
    LimitReport {
        limit: news.limit_per_s.map(RequestsPerSecond),
        age: Duration::from_millis(news.age_ms.into()),
        sent: SentLately {
            in_window: news.sent_in_window,
            in_burst_window: news.sent_in_burst_window,
        },
    }
}

fn whole_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn poison_news(poison: &Poison) -> PoisonNews {
    let (PoisonMark::Content(hash) | PoisonMark::Key(hash)) = poison.mark;
    PoisonNews {
        content: hash.0.to_be_bytes().to_vec(),
        attempts: poison
            .attempts
            .iter()
            .map(|attempt| attempt.0.to_be_bytes().to_vec())
            .collect(),
    }
}

fn read_poison(news: &PoisonNews) -> Option<Poison> {
    let number = |bytes: &Vec<u8>| Some(u128::from_be_bytes(bytes.as_slice().try_into().ok()?));
    let attempts = news.attempts.iter().filter_map(number).map(AttemptId);
    Some(Poison {
        mark: PoisonMark::of_content(ContentHash(number(&news.content)?)),
        attempts: attempts.collect(),
    })
}
