//! How long requests take, by route.
//!
//! A host that is about to stop takes a request only if requests like it would end in time.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

/// The number of durations of a route that are kept.
const DURATIONS_MAX: usize = 16;
/// The number of routes that are kept. The one that was first seen longest ago is dropped for another.
const ROUTES_MAX: usize = 1_024;

/// How long the last requests of each route took.
#[derive(Debug, Default)]
pub struct RouteDurations(IndexMap<String, VecDeque<Duration>>);

impl RouteDurations {
    /// Records that a request was served, and how long that took.
    pub fn record(&mut self, route: &str, took: Duration) {
        if !self.0.contains_key(route) {
            if self.0.len() >= ROUTES_MAX {
                self.0.shift_remove_index(0);
            }
            self.0.insert(route.to_owned(), VecDeque::new());
        }
        let Some(durations) = self.0.get_mut(route) else {
            return;
        };
        if durations.len() >= DURATIONS_MAX {
            durations.pop_front();
        }
        durations.push_back(took);
    }

    /// The longest time that one of the last requests took; zero if none is known.
    pub fn longest(&self, route: &str) -> Duration {
        let durations = self.0.get(route).into_iter().flatten();
        durations.max().copied().unwrap_or_default()
    }
}
