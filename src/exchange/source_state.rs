//! What a collector has received from one source, a host or another collector, and what it has
//! forwarded of it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::CustomerUseEntry;
use crate::exchange::HostUpdate;
use crate::exchange::LoadEntry;
use crate::exchange::PartEvidenceEntry;
use crate::exchange::RateLimitEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::UpstreamOutcomeEntry;
use crate::exchange::load_state::LoadState;
use crate::exchange::received_limits::ReceivedLimits;
use crate::exchange::received_outcomes::ReceivedOutcomes;
use crate::exchange::received_part_evidence::ReceivedPartEvidence;
use crate::exchange::received_uses::ReceivedUses;

/// The interval of full updates, with deltas in between. A lost message leaves wrong state for at
/// most this long. Half the interval would double the bytes between hosts of a fleet of 195 at its
/// usual load.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// The load at upstreams, by the hash of the upstream's id.
pub(crate) type LoadsByUpstream = IndexMap<UpstreamHash, LoadState>;

/// The state of one source: what was received from it and what was forwarded.
#[derive(Clone, Debug)]
pub(crate) struct SourceState {
    /// The last update of the source, without its load.
    header: HostUpdate,
    loads: LoadsByUpstream,
    heard_at: Instant,
    /// Whether the source has sent an update since the last one was forwarded.
    has_update: bool,
    sent_loads: LoadsByUpstream,
    full_sent_at: Option<Instant>,
    limits: ReceivedLimits,
    customer_uses: ReceivedUses,
    outcomes: ReceivedOutcomes,
    part_evidence: ReceivedPartEvidence,
}

impl SourceState {
    /// Creates the state of a source that has sent nothing yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            header: HostUpdate::default(),
            loads: LoadsByUpstream::new(),
            heard_at: now,
            has_update: false,
            sent_loads: LoadsByUpstream::new(),
            full_sent_at: None,
            limits: ReceivedLimits::default(),
            customer_uses: ReceivedUses::default(),
            outcomes: ReceivedOutcomes::default(),
            part_evidence: ReceivedPartEvidence::default(),
        }
    }

    /// When the last update of the source was received.
    pub(crate) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// The last known load at each upstream, as reported by the source.
    pub(crate) fn loads(&self) -> &LoadsByUpstream {
        &self.loads
    }

    /// The rate limits that the source has reported, with their age at `now`.
    pub(crate) fn limits(&self, now: Instant) -> impl Iterator<Item = RateLimitEntry> {
        self.limits.current(now)
    }

    /// What the source has reported of customers that want or use something.
    pub(crate) fn customer_uses(&self, now: Instant) -> impl Iterator<Item = CustomerUseEntry> {
        self.customer_uses.current(now)
    }

    /// Forgets what the source has reported of customers, for a source whose next update is complete
    /// in this regard.
    pub(crate) fn forget_customer_uses(&mut self) {
        self.customer_uses.clear();
    }

    /// The outcomes of calls that the source has reported.
    pub(crate) fn outcomes(&self, now: Instant) -> impl Iterator<Item = &UpstreamOutcomeEntry> {
        self.outcomes.current(now)
    }

    /// What the source has reported about parts of prompts.
    pub(crate) fn part_evidence(&self, now: Instant) -> impl Iterator<Item = PartEvidenceEntry> {
        self.part_evidence.current(now)
    }

    /// Records an update of the source. A full update replaces the load of the source, and a
    /// partial one changes it. After a restart of the source, the next forwarded update is a full
    /// one.
    pub(crate) fn on_update(&mut self, mut update: HostUpdate, now: Instant) {
        let loads = std::mem::take(&mut update.loads);
        self.limits.record(std::mem::take(&mut update.limits), now);
        let outcomes = std::mem::take(&mut update.outcomes);
        self.outcomes.record(outcomes, now);
        let part_evidence = std::mem::take(&mut update.part_evidence);
        self.part_evidence.record(part_evidence, now);
        if update.incarnation != self.header.incarnation {
            self.resend_all();
            self.loads.clear();
            self.customer_uses.clear();
        }
        let uses = std::mem::take(&mut update.customer_uses);
        self.customer_uses.record(uses, now);
        if !update.is_partial {
            self.loads.clear();
        }
        for load in &loads {
            self.loads
                .insert(load.hash(), LoadState::from_entry(load, now));
        }
        self.header = update;
        self.heard_at = now;
        self.has_update = true;
    }

    /// Replaces the header and the load. Between full updates, only changes of the load are
    /// forwarded.
    pub(crate) fn replace(&mut self, header: HostUpdate, loads: LoadsByUpstream, now: Instant) {
        self.header = header;
        self.loads = loads;
        self.heard_at = now;
        self.has_update = true;
    }

    /// Treats the load, the rate limits and the customers' use as not forwarded yet, for recipients that have received
    /// nothing. The next update is due even if the source sends nothing until then, and it is a
    /// full one.
    pub(crate) fn resend_all(&mut self) {
        self.sent_loads.clear();
        self.limits.mark_all_pending();
        self.customer_uses.mark_all_pending();
        self.part_evidence.mark_all_pending();
        self.full_sent_at = None;
        self.has_update = true;
    }

    /// Returns the update to forward now and records it as forwarded; none if the source has sent
    /// nothing since the last one.
    pub(crate) fn next_update(&mut self, now: Instant) -> Option<HostUpdate> {
        if !std::mem::take(&mut self.has_update) {
            return None;
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= FULL_UPDATE_INTERVAL;
        let is_full = self.full_sent_at.is_none_or(is_due);
        let mut update = HostUpdate {
            limits: self.limits.take_pending(now),
            customer_uses: self.customer_uses.take_pending(),
            outcomes: self.outcomes.take_pending(now),
            part_evidence: self.part_evidence.take_pending(now),
            is_partial: !is_full,
            ..self.header.clone()
        };
        update.loads = if is_full {
            self.full_sent_at = Some(now);
            let all = self.loads.iter();
            all.map(|(upstream, load)| load.entry_at(*upstream, now))
                .collect()
        } else {
            self.changed_loads(now)
        };
        self.sent_loads.clone_from(&self.loads);
        Some(update)
    }

    fn changed_loads(&self, now: Instant) -> Vec<LoadEntry> {
        let is_changed = |upstream: &UpstreamHash, load: &LoadState| {
            let sent = self.sent_loads.get(upstream);
            sent.is_none_or(|sent| load.differs_from(sent))
        };
        let changed = self.loads.iter().filter(|(id, load)| is_changed(id, load));
        let changed = changed.map(|(upstream, load)| load.entry_at(*upstream, now));
        let has_ended = |upstream: &UpstreamHash| !self.loads.contains_key(upstream);
        let ended = self
            .sent_loads
            .iter()
            .filter(|(upstream, _)| has_ended(upstream));
        let ended = ended.map(|(upstream, load)| load.ended_entry(*upstream));
        changed.chain(ended).collect()
    }
}
