//! What the system did lately, and why.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::clock::Clock;

/// Events that are kept: some hours of an ordinary day, some minutes of a bad one.
const EVENTS_MAX: usize = 256;

/// The longest text that is kept of an event.
const TEXT_LEN_MAX: usize = 200;

/// The last things that this host did by itself. Any part writes to it; memory is bounded.
pub struct EventLog {
    clock: Arc<dyn Clock>,
    entries: Mutex<VecDeque<Event>>,
}

#[derive(Clone, Debug)]
struct Event {
    last_at: Instant,
    part: &'static str,
    what: String,
    why: String,
    times: u64,
}

/// An event in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct EventReport {
    /// How long ago it last happened.
    pub ago_s: u64,
    /// Which part of the system did it, as in the logs.
    pub part: &'static str,
    /// What it did.
    pub what: String,
    /// Why.
    pub why: String,
    /// How often in a row.
    pub times: u64,
}

impl EventLog {
    /// Nothing yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            entries: Mutex::new(VecDeque::new()),
        }
    }

    /// Records that a part did something. The same event again in a row only counts, so that
    /// something that flaps does not push everything else out.
    pub fn record(&self, part: &'static str, what: &str, why: &str) {
        let event = Event {
            last_at: self.clock.now(),
            part,
            what: truncate(what),
            why: truncate(why),
            times: 1,
        };
        let mut entries = self.lock();
        if let Some(last) = entries.back_mut()
            && last.is_same(&event)
        {
            last.times += 1;
            last.last_at = event.last_at;
            return;
        }
        if entries.len() == EVENTS_MAX {
            entries.pop_front();
        }
        entries.push_back(event);
    }

    /// The latest events, the newest first.
    pub fn latest(&self, count: usize) -> Vec<EventReport> {
        let now = self.clock.now();
        let report = |event: &Event| EventReport {
            ago_s: now.saturating_duration_since(event.last_at).as_secs(),
            part: event.part,
            what: event.what.clone(),
            why: event.why.clone(),
            times: event.times,
        };
        self.lock().iter().rev().take(count).map(report).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Event {
    fn is_same(&self, other: &Self) -> bool {
        self.part == other.part && self.what == other.what && self.why == other.why
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(TEXT_LEN_MAX).collect()
}
