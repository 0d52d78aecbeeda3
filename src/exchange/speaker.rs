//! What a collector knows of one host, or of the hosts of another collector, and has passed on.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::LimitEntry;
use crate::exchange::LoadEntry;
use crate::exchange::PoisonEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::limits_heard::LimitsHeard;
use crate::exchange::load_at::LoadAt;

/// All that is known of a speaker is passed on this often, changes alone in between: a lost message
/// leaves something wrong for this long at most. Twice as often would double the bytes between hosts
/// of a fleet of 195 at its usual load.
const WHOLE_INTERVAL: Duration = Duration::from_secs(2);
/// A request that crashed upstreams is passed on this often while it is told; that is four times as long,
/// so one message may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The work at upstreams by their short names.
pub(crate) type Loads = IndexMap<UpstreamHash, LoadAt>;

/// One that speaks, with what it said and what of it was passed on.
#[derive(Clone, Debug)]
pub(crate) struct Speaker {
    /// What it said last, without the work.
    head: HostUpdate,
    loads: Loads,
    heard_at: Instant,
    /// Whether it has said something since the last part.
    is_new: bool,
    told: Loads,
    whole_at: Option<Instant>,
    poisons_told: Vec<(Instant, PoisonEntry)>,
    limits: LimitsHeard,
}

impl Speaker {
    /// One that has not spoken yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            head: HostUpdate::default(),
            loads: Loads::new(),
            heard_at: now,
            is_new: false,
            told: Loads::new(),
            whole_at: None,
            poisons_told: Vec::new(),
            limits: LimitsHeard::default(),
        }
    }

    /// When it spoke last.
    pub(crate) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Its work.
    pub(crate) fn loads(&self) -> &Loads {
        &self.loads
    }

    /// What it says of upstreams' limits.
    pub(crate) fn limits(&self, now: Instant) -> impl Iterator<Item = LimitEntry> {
        self.limits.current(now)
    }

    /// Takes in what it says.
    pub(crate) fn hear(&mut self, mut news: HostUpdate, now: Instant) {
        let loads = std::mem::take(&mut news.loads);
        self.limits.hear(std::mem::take(&mut news.limits), now);
        if news.incarnation != self.head.incarnation {
            self.tell_all_again();
            self.loads.clear();
        }
        if !news.is_partial {
            self.loads.clear();
        }
        for load in &loads {
            self.loads.insert(load.hash(), LoadAt::heard(load, now));
        }
        // What was not passed on yet is kept.
        let mut poisons = std::mem::take(&mut self.head.poisons);
        poisons.retain(|poison| !news.poisons.contains(poison));
        news.poisons.extend(poisons);
        self.head = news;
        self.heard_at = now;
        self.is_new = true;
    }

    /// Replaces its work, of which changes alone are passed on.
    pub(crate) fn set(&mut self, head: HostUpdate, loads: Loads, now: Instant) {
        self.head = head;
        self.loads = loads;
        self.heard_at = now;
        self.is_new = true;
    }

    /// Makes the next part name all that is known, for hosts that have heard nothing yet.
    pub(crate) fn tell_all_again(&mut self) {
        self.told.clear();
        self.limits.pass_on_again();
        self.whole_at = None;
        self.is_new = true;
    }

    /// What is to be passed on now; none if it has said nothing since the last part.
    pub(crate) fn part(&mut self, now: Instant) -> Option<HostUpdate> {
        if !std::mem::take(&mut self.is_new) {
            return None;
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= WHOLE_INTERVAL;
        let is_whole = self.whole_at.is_none_or(is_due);
        let mut news = HostUpdate {
            poisons: self.poisons_to_tell(now),
            limits: self.limits.pending(now),
            is_partial: !is_whole,
            ..self.head.clone()
        };
        news.loads = if is_whole {
            self.whole_at = Some(now);
            let all = self.loads.iter();
            all.map(|(upstream, load)| load.news(*upstream, now))
                .collect()
        } else {
            self.changes(now)
        };
        self.told.clone_from(&self.loads);
        Some(news)
    }

    /// The requests that crashed upstreams, as far as they have not been passed on just now.
    pub(crate) fn poisons_to_tell(&mut self, now: Instant) -> Vec<PoisonEntry> {
        self.poisons_told
            .retain(|(at, _)| now.saturating_duration_since(*at) < REPEAT_INTERVAL);
        let mut poisons = std::mem::take(&mut self.head.poisons);
        poisons.retain(|poison| !self.poisons_told.iter().any(|(_, told)| told == poison));
        let told = poisons.iter().map(|poison| (now, poison.clone()));
        self.poisons_told.extend(told);
        poisons
    }

    fn changes(&self, now: Instant) -> Vec<LoadEntry> {
        let is_news = |upstream: &UpstreamHash, load: &LoadAt| {
            let told = self.told.get(upstream);
            told.is_none_or(|told| load.is_news_to(told))
        };
        let changed = self.loads.iter().filter(|(id, load)| is_news(id, load));
        let changed = changed.map(|(upstream, load)| load.news(*upstream, now));
        let is_over = |upstream: &UpstreamHash| !self.loads.contains_key(upstream);
        let ended = self.told.iter().filter(|(upstream, _)| is_over(upstream));
        let ended = ended.map(|(upstream, load)| load.ended(*upstream));
        changed.chain(ended).collect()
    }
}
