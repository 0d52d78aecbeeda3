//! The state of the engines of a pool at its home, and the schedule of queries for their attempts.

use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::units::UpstreamId;

/// The health of one engine, and the state of the queries for its attempts.
#[derive(Clone, Debug)]
struct EngineEntry {
    health: UpstreamHealth,
    /// The sequence number and the time of the query that has no answer yet.
    open_query: Option<(u64, Instant)>,
    next_list_at: Instant,
    /// Whether the engine has answered a query.
    is_listed: bool,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    /// None until the pool's upstreams are known.
    engines: Option<IndexMap<UpstreamId, EngineEntry>>,
    last_seq: u64,
}

impl EngineTable {
    /// Replaces the set of engines and returns the removed ones. Engines that stay keep the state
    /// of their queries.
    pub(crate) fn replace(&mut self, upstreams: &[UpstreamInfo], now: Instant) -> Vec<UpstreamId> {
        let mut old = self.engines.take().unwrap_or_default();
        let mut engines = IndexMap::new();
        for info in upstreams {
            let fresh = EngineEntry {
                health: info.health,
                open_query: None,
                next_list_at: now,
                is_listed: false,
            };
            let mut engine = old.swap_remove(&info.id).unwrap_or(fresh);
            engine.health = info.health;
            engines.insert(info.id.clone(), engine);
        }
        self.engines = Some(engines);
        old.into_keys().collect()
    }

    /// Whether the engine may get new work.
    pub(crate) fn is_live(&self, upstream: &UpstreamId) -> bool {
        let engine = self.engines.as_ref().and_then(|all| all.get(upstream));
        engine.is_some_and(|engine| engine.health == UpstreamHealth::Live)
    }

    /// The number of engines that may get new work.
    pub(crate) fn live_count(&self) -> usize {
        let engines = self.engines.iter().flat_map(IndexMap::values);
        let live = engines.filter(|engine| engine.health == UpstreamHealth::Live);
        live.count()
    }

    /// Whether the engines are known and each has listed its attempts at least once.
    pub(crate) fn all_listed(&self) -> bool {
        let engines = self.engines.as_ref();
        engines.is_some_and(|all| all.values().all(|engine| engine.is_listed))
    }

    /// Returns the engines to query now, each with the sequence number of its query, and records
    /// the queries as sent. An engine whose last query timed out is queried again.
    pub(crate) fn start_queries(
        &mut self,
        conf: &HomeConf,
        now: Instant,
    ) -> Vec<(UpstreamId, u64)> {
        let mut due = Vec::new();
        for (upstream, engine) in self.engines.iter_mut().flatten() {
            let is_open = |(_, at): &(u64, Instant)| now.duration_since(*at) < conf.list_timeout;
            if engine.open_query.as_ref().is_some_and(is_open) || now < engine.next_list_at {
                continue;
            }
            self.last_seq += 1;
            engine.open_query = Some((self.last_seq, now));
            engine.next_list_at = now + conf.list_interval;
            due.push((upstream.clone(), self.last_seq));
        }
        due
    }

    /// Closes the query that an engine has answered and returns when the query was sent. Returns
    /// None for the answer to an earlier query, which may show an older state.
    pub(crate) fn close_query(&mut self, upstream: &UpstreamId, seq: u64) -> Option<Instant> {
        let engine = self.engines.as_mut()?.get_mut(upstream)?;
        let (_, asked_at) = engine.open_query.take_if(|(open, _)| *open == seq)?;
        engine.is_listed = true;
        Some(asked_at)
    }
}
