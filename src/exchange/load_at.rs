//! Work at one upstream, with times that do not depend on when it is told.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::LoadNews;
use crate::exchange::UpstreamHash;
use crate::units::whole_millis_u32;

/// Due times that differ by less than this count as the same: messages carry whole milliseconds, and
/// each way takes a little longer or shorter.
const SAME_DUE_WITHIN: Duration = Duration::from_millis(20);

/// Work of one host or several at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadAt {
    in_flight: u32,
    short_in_flight: u32,
    strictest_pause_ms: Option<u32>,
    held_tokens: u64,
    helping: u32,
    read_total_us: u64,
    read_until: Instant,
    prefill_due: Option<Instant>,
}

impl LoadAt {
    /// What a message says that was heard at `now`.
    pub(crate) fn heard(news: &LoadNews, now: Instant) -> Self {
        let after = |ms: u32| now + Duration::from_millis(ms.into());
        Self {
            in_flight: news.in_flight,
            short_in_flight: news.short_in_flight,
            strictest_pause_ms: (news.strictest_pause_ms > 0).then_some(news.strictest_pause_ms),
            held_tokens: news.held_tokens,
            helping: news.helping,
            read_total_us: news.read_total_us,
            read_until: after(news.read_remaining_ms),
            prefill_due: (news.read_due_ms > 0).then(|| after(news.read_due_ms)),
        }
    }

    /// What a message says that is sent at `now`.
    pub(crate) fn news(&self, upstream: UpstreamHash, now: Instant) -> LoadNews {
        let until = |at: Instant| whole_millis_u32(at.saturating_duration_since(now));
        LoadNews {
            upstream: String::new(),
            upstream_hash: upstream.0,
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            read_remaining_ms: until(self.read_until),
            read_total_us: self.read_total_us,
            strictest_pause_ms: self.strictest_pause_ms.unwrap_or(0),
            held_tokens: self.held_tokens,
            helping: self.helping,
            // What is overdue stays so until its host says otherwise; 0 would say that nothing is due.
            read_due_ms: self.prefill_due.map_or(0, |at| until(at).max(1)),
        }
    }

    /// That the work has ended. The total is told once more, so that none of it is counted again.
    pub(crate) fn ended(&self, upstream: UpstreamHash) -> LoadNews {
        LoadNews {
            upstream_hash: upstream.0,
            read_total_us: self.read_total_us,
            ..LoadNews::default()
        }
    }

    /// Adds the work of another host.
    pub(crate) fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.short_in_flight += other.short_in_flight;
        self.held_tokens += other.held_tokens;
        self.helping += other.helping;
        self.read_total_us += other.read_total_us;
        self.read_until = self.read_until.max(other.read_until);
        let pauses = [self.strictest_pause_ms, other.strictest_pause_ms];
        self.strictest_pause_ms = pauses.into_iter().flatten().min();
        let dues = [self.prefill_due, other.prefill_due];
        self.prefill_due = dues.into_iter().flatten().min();
    }

    /// Whether it has to be told again, where `self` was told last. What only passes with time is known.
    pub(crate) fn is_news_to(&self, told: &Self) -> bool {
        let counts = |load: &Self| {
            (
                load.in_flight,
                load.short_in_flight,
                load.strictest_pause_ms,
                load.held_tokens,
                load.helping,
                load.read_total_us,
            )
        };
        counts(self) != counts(told) || !is_same_due(self.prefill_due, told.prefill_due)
    }
}

fn is_same_due(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            let apart = one.max(other).saturating_duration_since(one.min(other));
            apart < SAME_DUE_WITHIN
        }
        (one, other) => one.is_none() && other.is_none(),
    }
}
