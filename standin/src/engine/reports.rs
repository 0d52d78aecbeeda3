//! Load reports and cache events of an engine, delivered late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use banyanarch::upstream::CacheEvent;
use banyanarch::upstream::LoadReport;

const LOAD_REPORTS_MAX: usize = 1_000;
const CACHE_EVENTS_MAX: usize = 4_000;

/// Load reports and cache events with the instants at which they were made.
#[derive(Debug)]
pub(crate) struct DelayedReports {
    load_lag: Duration,
    event_lag: Duration,
    gap_one_in: u64,
    loads: VecDeque<(Instant, LoadReport)>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl DelayedReports {
    pub(crate) fn new(load_lag: Duration, event_lag: Duration, gap_one_in: u64) -> Self {
        Self {
            load_lag,
            event_lag,
            gap_one_in,
            loads: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Adds the load at `now` and removes loads that are no longer needed.
    pub(crate) fn add_load(&mut self, load: LoadReport, now: Instant) {
        self.loads.push_back((now, load));
        let is_old = |(at, _): &(Instant, LoadReport)| now >= *at + self.load_lag;
        while self.loads.len() > LOAD_REPORTS_MAX || self.loads.get(1).is_some_and(is_old) {
            self.loads.pop_front();
        }
    }

    /// Adds events made at `now`, except those that the gap setting drops.
    pub(crate) fn add_events(&mut self, events: Vec<CacheEvent>, now: Instant) {
        let is_dropped =
            |event: &CacheEvent| self.gap_one_in > 0 && event.seq.is_multiple_of(self.gap_one_in);
        let kept = events.into_iter().filter(|event| !is_dropped(event));
        self.events.extend(kept.map(|event| (now, event)));
        while self.events.len() > CACHE_EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the newest load that is at least as old as the lag, or `None` if no load is old
    /// enough.
    pub(crate) fn load(&self, now: Instant) -> Option<LoadReport> {
        let visible = self.loads.iter().rev();
        let mut old = visible.filter(|(at, _)| now >= *at + self.load_lag);
        old.next().map(|(_, load)| load.clone())
    }

    /// Returns the events with a sequence number above `seq` that are at least as old as their lag.
    pub(crate) fn events_after(&self, seq: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self
            .events
            .iter()
            .filter(|(at, _)| now >= *at + self.event_lag);
        let newer = visible.filter(|(_, event)| event.seq > seq);
        newer.map(|(_, event)| event.clone()).collect()
    }
}
