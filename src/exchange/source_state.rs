//! What a collector knows of one host, or of the hosts of another collector, and has passed on.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::LimitEntry;
use crate::exchange::LoadEntry;
use crate::exchange::PoisonEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::load_state::LoadState;
use crate::exchange::received_limits::ReceivedLimits;

/// All that is known of a speaker is passed on this often, changes alone in between: a lost message
/// leaves something wrong for this long at most. Twice as often would double the bytes between hosts
/// of a fleet of 195 at its usual load.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// A request that crashed upstreams is passed on this often while it is told; that is four times as long,
/// so one message may be lost.
const POISON_REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The work at upstreams by their short names.
pub(crate) type LoadsByUpstream = IndexMap<UpstreamHash, LoadState>;

/// One that speaks, with what it said and what of it was passed on.
#[derive(Clone, Debug)]
pub(crate) struct SourceState {
    /// What it said last, without the work.
    header: HostUpdate,
    loads: LoadsByUpstream,
    heard_at: Instant,
    /// Whether it has said something since the last part.
    has_update: bool,
    sent_loads: LoadsByUpstream,
    full_sent_at: Option<Instant>,
    sent_poisons: Vec<(Instant, PoisonEntry)>,
    limits: ReceivedLimits,
}

impl SourceState {
    /// One that has not spoken yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            header: HostUpdate::default(),
            loads: LoadsByUpstream::new(),
            heard_at: now,
            has_update: false,
            sent_loads: LoadsByUpstream::new(),
            full_sent_at: None,
            sent_poisons: Vec::new(),
            limits: ReceivedLimits::default(),
        }
    }

    /// When it spoke last.
    pub(crate) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Its work.
    pub(crate) fn loads(&self) -> &LoadsByUpstream {
        &self.loads
    }

    /// What it says of upstreams' limits.
    pub(crate) fn limits(&self, now: Instant) -> impl Iterator<Item = LimitEntry> {
        self.limits.current(now)
    }

    /// Takes in what it says.
    pub(crate) fn on_update(&mut self, mut update: HostUpdate, now: Instant) {
        let loads = std::mem::take(&mut update.loads);
        self.limits.record(std::mem::take(&mut update.limits), now);
        if update.incarnation != self.header.incarnation {
            self.resend_all();
            self.loads.clear();
        }
        if !update.is_partial {
            self.loads.clear();
        }
        for load in &loads {
            self.loads
                .insert(load.hash(), LoadState::from_entry(load, now));
        }
        // What was not passed on yet is kept.
        let mut poisons = std::mem::take(&mut self.header.poisons);
        poisons.retain(|poison| !update.poisons.contains(poison));
        update.poisons.extend(poisons);
        self.header = update;
        self.heard_at = now;
        self.has_update = true;
    }

    /// Replaces its work, of which changes alone are passed on.
    pub(crate) fn replace(&mut self, header: HostUpdate, loads: LoadsByUpstream, now: Instant) {
        self.header = header;
        self.loads = loads;
        self.heard_at = now;
        self.has_update = true;
    }

    /// Makes the next part name all that is known, for hosts that have heard nothing yet.
    pub(crate) fn resend_all(&mut self) {
        self.sent_loads.clear();
        self.limits.mark_all_pending();
        self.full_sent_at = None;
        self.has_update = true;
    }

    /// What is to be passed on now; none if it has said nothing since the last part.
    pub(crate) fn next_update(&mut self, now: Instant) -> Option<HostUpdate> {
        if !std::mem::take(&mut self.has_update) {
            return None;
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= FULL_UPDATE_INTERVAL;
        let is_full = self.full_sent_at.is_none_or(is_due);
        let mut update = HostUpdate {
            poisons: self.take_poisons(now),
            limits: self.limits.take_pending(now),
            is_partial: !is_full,
            ..self.header.clone()
        };
        update.loads = if is_full {
            self.full_sent_at = Some(now);
            let all = self.loads.iter();
            all.map(|(upstream, load)| load.to_entry(*upstream, now))
                .collect()
        } else {
            self.changed_loads(now)
        };
        self.sent_loads.clone_from(&self.loads);
        Some(update)
    }

    /// The requests that crashed upstreams, as far as they have not been passed on just now.
    pub(crate) fn take_poisons(&mut self, now: Instant) -> Vec<PoisonEntry> {
        self.sent_poisons
            .retain(|(at, _)| now.saturating_duration_since(*at) < POISON_REPEAT_INTERVAL);
        let mut poisons = std::mem::take(&mut self.header.poisons);
        poisons.retain(|poison| !self.sent_poisons.iter().any(|(_, sent)| sent == poison));
        let sent = poisons.iter().map(|poison| (now, poison.clone()));
        self.sent_poisons.extend(sent);
        poisons
    }

    fn changed_loads(&self, now: Instant) -> Vec<LoadEntry> {
        let is_changed = |upstream: &UpstreamHash, load: &LoadState| {
            let sent = self.sent_loads.get(upstream);
            sent.is_none_or(|sent| load.differs_from(sent))
        };
        let changed = self.loads.iter().filter(|(id, load)| is_changed(id, load));
        let changed = changed.map(|(upstream, load)| load.to_entry(*upstream, now));
        let has_ended = |upstream: &UpstreamHash| !self.loads.contains_key(upstream);
        let ended = self
            .sent_loads
            .iter()
            .filter(|(upstream, _)| has_ended(upstream));
        let ended = ended.map(|(upstream, load)| load.ended_entry(*upstream));
        changed.chain(ended).collect()
    }
}
