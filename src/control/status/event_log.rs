//! Recent events of this host, with their reasons.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::clock::Clock;

/// Maximum number of events that are kept. They cover some hours of normal operation, or some
/// minutes during an incident.
const EVENTS_MAX: usize = 256;

/// Maximum length of each text of an event, in characters.
const TEXT_LEN_MAX: usize = 200;

/// The recent actions that this host took by itself. Any part of the process can add to the log;
/// its memory is bounded.
pub struct EventLog {
    clock: Arc<dyn Clock>,
    entries: Mutex<VecDeque<Event>>,
}

/// An action of this host, and how many times in a row it happened.
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
    /// Time since the event last happened, in seconds.
    pub ago_s: u64,
    /// The part of the system that acted, as named in the logs.
    pub part: &'static str,
    /// The action.
    pub what: String,
    /// The reason for the action.
    pub why: String,
    /// How many times in a row the event happened.
    pub times: u64,
}

impl EventLog {
    /// An empty log.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            entries: Mutex::new(VecDeque::new()),
        }
    }

    /// Records an event. Repeating the last event only increases its count, so that a flapping
    /// condition does not push out all other events.
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

    /// The latest `count` events, the newest first.
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
    /// Whether both events differ at most in their time and count.
    fn is_same(&self, other: &Self) -> bool {
        self.part == other.part && self.what == other.what && self.why == other.why
    }
}

/// The first [`TEXT_LEN_MAX`] characters of a text.
fn truncate(text: &str) -> String {
    text.chars().take(TEXT_LEN_MAX).collect()
}
