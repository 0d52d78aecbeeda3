//! What a home knows of its engines, and when they are asked what they run.

use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::units::UpstreamId;

#[derive(Clone, Debug)]
struct Engine {
    health: UpstreamHealth,
    /// The question that has no answer yet, and when it was asked.
    asked: Option<(u64, Instant)>,
    next_list_at: Instant,
    is_listed: bool,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    /// None until the pool's upstreams are known.
    engines: Option<IndexMap<UpstreamId, Engine>>,
    seq: u64,
}

impl Engines {
    /// Replaces the set and returns those that are gone.
    pub(crate) fn set(&mut self, upstreams: &[UpstreamInfo], now: Instant) -> Vec<UpstreamId> {
        let mut old = self.engines.take().unwrap_or_default();
        let mut engines = IndexMap::new();
        for seen in upstreams {
            let fresh = Engine {
                health: seen.health,
                asked: None,
                next_list_at: now,
                is_listed: false,
            };
            let mut engine = old.swap_remove(&seen.id).unwrap_or(fresh);
            engine.health = seen.health;
            engines.insert(seen.id.clone(), engine);
        }
        self.engines = Some(engines);
        old.into_keys().collect()
    }

    pub(crate) fn may_work(&self, upstream: &UpstreamId) -> bool {
        let engine = self.engines.as_ref().and_then(|all| all.get(upstream));
        engine.is_some_and(|engine| engine.health == UpstreamHealth::Live)
    }

    pub(crate) fn live_count(&self) -> usize {
        let engines = self.engines.iter().flat_map(IndexMap::values);
        let live = engines.filter(|engine| engine.health == UpstreamHealth::Live);
        live.count()
    }

    pub(crate) fn all_listed(&self) -> bool {
        let engines = self.engines.as_ref();
        engines.is_some_and(|all| all.values().all(|engine| engine.is_listed))
    }

    /// The engines that are to be asked now what they run, each with the number of the question.
    pub(crate) fn due(&mut self, conf: &HomeConf, now: Instant) -> Vec<(UpstreamId, u64)> {
        let mut due = Vec::new();
        for (upstream, engine) in self.engines.iter_mut().flatten() {
            let is_open = |(_, at): &(u64, Instant)| now.duration_since(*at) < conf.list_timeout;
            if engine.asked.as_ref().is_some_and(is_open) || now < engine.next_list_at {
                continue;
            }
            self.seq += 1;
            engine.asked = Some((self.seq, now));
            engine.next_list_at = now + conf.list_interval;
            due.push((upstream.clone(), self.seq));
        }
        due
    }

    /// Takes in an answer and returns when its question was asked. A late answer to an earlier
    /// question could show an older state as if it were new: it counts for nothing.
    pub(crate) fn answered(&mut self, upstream: &UpstreamId, seq: u64) -> Option<Instant> {
        let engine = self.engines.as_mut()?.get_mut(upstream)?;
        let (_, asked_at) = engine.asked.take_if(|(asked, _)| *asked == seq)?;
        engine.is_listed = true;
        Some(asked_at)
    }
}
