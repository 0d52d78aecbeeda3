//! The ledger of a pool: which grants hold memory of which engine, and how the memory is released.
//!
//! The ledger guards against leaked engine memory: memory that stays taken although nobody waits
//! for the answer, because a host died, the message of an end or a cancel was lost, or the home
//! changed. Such leaks show as engines that fill up over days. Memory therefore counts as released
//! only once the host has reported the end, the engine has confirmed a cancel, or a list of the
//! engine's attempts no longer shows the attempt. Every attempt that an engine lists is in the
//! ledger, so that it has an owner or is cancelled.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
use crate::control::home::host_table::HostTable;
use crate::decide::LiveGrant;
use crate::decide::Work;
use crate::units::AttemptId;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::RunningAttempt;

/// The deadline of inferred grants, which is so late that the engine's own limit ends the attempt
/// first.
const INFERRED_GRANT_DEADLINE: Duration = Duration::from_secs(3_600);

/// A change of the ledger that the caller has to pass on to the policy.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LedgerChange {
    /// The policy must count the memory of a grant that it does not know.
    Adopt(LiveGrant),
    /// The policy must stop counting a grant that has ended without a report of its host, or whose
    /// contents are replaced by a [`LedgerChange::Adopt`] that follows.
    Remove(GrantId),
}

/// Whether one engine has released the memory of a grant, and when the home last sent the engine a
/// cancel.
#[derive(Clone, Copy, Debug, Default)]
struct EngineHold {
    /// Whether the engine is gone, or did not list the attempt in answer to a query that was sent
    /// late enough to show it.
    is_released: bool,
    /// When the home last sent a cancel of the attempt to the engine.
    cancelled_at: Option<Instant>,
}

/// A grant, what the home knows of its owner, and the memory that the grant holds.
#[derive(Clone, Debug)]
struct LedgerEntry {
    grant: LiveGrant,
    /// When the host last announced or requested the grant, or when the home issued or inferred it.
    last_seen_at: Instant,
    /// Whether the host has announced the grant, which proves that the host received it.
    is_announced: bool,
    /// Whether the grant is known only from lists of engines.
    is_inferred: bool,
    /// Since when nobody waits for the answer.
    orphaned_at: Option<Instant>,
    holds: IndexMap<UpstreamId, EngineHold>,
}

impl LedgerEntry {
    fn new(grant: LiveGrant, now: Instant) -> Self {
        let holds = grant
            .upstreams
            .iter()
            .map(|id| (id.clone(), EngineHold::default()));
        Self {
            holds: holds.collect(),
            grant,
            last_seen_at: now,
            is_announced: false,
            is_inferred: false,
            orphaned_at: None,
        }
    }

    /// Records that an engine lists the attempt. If the grant is known only from lists, the engines
    /// of its gang become known one by one.
    fn add_engine(&mut self, upstream: &UpstreamId) -> Vec<LedgerChange> {
        self.holds.entry(upstream.clone()).or_default();
        if !self.is_inferred || self.grant.upstreams.contains(upstream) {
            return Vec::new();
        }
        self.grant.upstreams.push(upstream.clone());
        vec![
            LedgerChange::Remove(self.grant.id),
            LedgerChange::Adopt(self.grant.clone()),
        ]
    }

    /// Whether nobody waits for the answer any more.
    fn has_lost_owner(&self, hosts: &HostTable, conf: &HomeConf, now: Instant) -> bool {
        let host = &self.grant.work.host;
        let owner_lost_at = hosts.owner_lost_at(host, self.last_seen_at, conf);
        if owner_lost_at.is_some_and(|at| now >= at) {
            return true;
        }
        // Only an announcement of the host itself counts. While the views of two hosts differ, a
        // host may announce to another home; it is silent here and keeps its streams.
        let announced_at = hosts.announced_at(host);
        announced_at.is_some_and(|at| at.duration_since(self.last_seen_at) >= conf.announce_grace)
    }
}

/// When a grant ended, and how the home learned of the end.
#[derive(Clone, Copy, Debug)]
struct EndRecord {
    at: Instant,
    /// Whether the host of the grant reported the end.
    by_host: bool,
}

/// The grants of one pool that have not ended, and the grants that ended a short time ago.
#[derive(Debug, Default)]
pub(crate) struct GrantLedger {
    entries: IndexMap<GrantId, LedgerEntry>,
    ended: IndexMap<GrantId, EndRecord>,
}

impl GrantLedger {
    /// Records a grant that this home issues.
    pub(crate) fn insert(&mut self, grant: LiveGrant, now: Instant) {
        self.entries.insert(grant.id, LedgerEntry::new(grant, now));
    }

    /// Restarts the grace period of a grant that is sent to its host again: the host may begin to
    /// announce the grant only now.
    pub(crate) fn refresh(&mut self, grant: GrantId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&grant) {
            entry.last_seen_at = now;
        }
    }

    /// Whether the host of the grant has announced it. False if the grant is unknown.
    pub(crate) fn is_announced(&self, grant: GrantId) -> bool {
        self.entries
            .get(&grant)
            .is_some_and(|entry| entry.is_announced)
    }

    /// Whether nobody waits for the answer. False if the grant is unknown.
    pub(crate) fn is_orphaned(&self, grant: GrantId) -> bool {
        let entry = self.entries.get(&grant);
        entry.is_some_and(|entry| entry.orphaned_at.is_some())
    }

    /// The host that the grant was issued to; None if the grant is unknown.
    pub(crate) fn holder(&self, grant: GrantId) -> Option<&HostId> {
        self.entries.get(&grant).map(|entry| &entry.grant.work.host)
    }

    /// Whether the ledger has an entry of the host.
    pub(crate) fn has_grants_of(&self, host: &HostId) -> bool {
        self.entries
            .values()
            .any(|entry| entry.grant.work.host == *host)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes the entry of a grant that has ended, and remembers the end, also of an unknown
    /// grant. The answer to an earlier query of an engine then does not restore the entry, nor does
    /// an announcement if the host itself reported the end (`by_host`). Returns whether there was
    /// an entry. The caller has to tell the policy of the end.
    pub(crate) fn record_end(&mut self, grant: GrantId, by_host: bool, now: Instant) -> bool {
        self.ended.insert(grant, EndRecord { at: now, by_host });
        self.entries.swap_remove(&grant).is_some()
    }

    /// Records that nobody waits for the answer any more although engines may still hold memory for
    /// it. Returns the grant, whose memory stays counted.
    pub(crate) fn mark_orphaned(&mut self, grant: GrantId, now: Instant) -> Option<LiveGrant> {
        let entry = self.entries.get_mut(&grant)?;
        entry.orphaned_at.get_or_insert(now);
        Some(entry.grant.clone())
    }

    /// Merges the grants that a host has announced, which have an owner again if they were
    /// orphaned. Grants whose end the host has reported are ignored.
    pub(crate) fn apply_announcement(
        &mut self,
        grants: Vec<LiveGrant>,
        now: Instant,
    ) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        for grant in grants {
            self.apply_announced_grant(grant, now, &mut changes);
        }
        changes
    }

    /// Replaces an inferred entry by the announced grant, or adds an entry for an unknown grant.
    fn apply_announced_grant(
        &mut self,
        grant: LiveGrant,
        now: Instant,
        changes: &mut Vec<LedgerChange>,
    ) {
        // The host's report of the end overtook this announcement.
        if self.ended.get(&grant.id).is_some_and(|end| end.by_host) {
            return;
        }
        let id = grant.id;
        let known = self.entries.get(&id);
        if known.is_none_or(|entry| entry.is_inferred) {
            if known.is_some() {
                changes.push(LedgerChange::Remove(id));
            }
            changes.push(LedgerChange::Adopt(grant.clone()));
            self.entries.insert(id, LedgerEntry::new(grant, now));
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_seen_at = now;
            entry.is_announced = true;
            entry.orphaned_at = None;
        }
    }

    /// Merges the attempts that an engine has listed in answer to a query sent at `asked_at`.
    ///
    /// Every listed attempt gets an entry unless it ended after the query. An attempt that is not
    /// listed holds no memory at this engine if the query was sent after the grant was orphaned or,
    /// for a grant with an owner, at least `grace` after the grant was last seen. An entry ends
    /// once it holds no memory at any engine.
    pub(crate) fn apply_engine_list(
        &mut self,
        upstream: &UpstreamId,
        running: &[RunningAttempt],
        asked_at: Instant,
        grace: Duration,
        now: Instant,
    ) -> Vec<LedgerChange> {
        for entry in self.entries.values_mut() {
            let Some(hold) = entry.holds.get_mut(upstream) else {
                continue;
            };
            let is_listed = running.iter().any(|run| run.attempt.0 == entry.grant.id.0);
            // The attempt may have reached the engine after the query.
            let is_conclusive = match entry.orphaned_at {
                Some(orphaned_at) => asked_at > orphaned_at,
                None => asked_at >= entry.last_seen_at + grace,
            };
            hold.is_released = !is_listed && is_conclusive;
        }
        let mut changes = self.end_released(now);
        for run in running {
            changes.extend(self.apply_listed_attempt(upstream, run, asked_at, now));
        }
        changes
    }

    /// Adds the engine to the entry of a listed attempt, or adds an inferred entry. Does nothing if
    /// the grant has ended since the query was sent.
    fn apply_listed_attempt(
        &mut self,
        upstream: &UpstreamId,
        run: &RunningAttempt,
        asked_at: Instant,
        now: Instant,
    ) -> Vec<LedgerChange> {
        let id = GrantId(run.attempt.0);
        // The list may have been made before the grant ended.
        if self.ended.get(&id).is_some_and(|end| end.at >= asked_at) {
            return Vec::new();
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            return entry.add_engine(upstream);
        }
        let Some(grant) = inferred_grant(upstream, run, now) else {
            return Vec::new();
        };
        let mut entry = LedgerEntry::new(grant.clone(), now);
        entry.is_inferred = true;
        self.entries.insert(id, entry);
        vec![LedgerChange::Adopt(grant)]
    }

    /// Records that an engine holds no memory for an orphaned attempt any more. Ignored if the host
    /// of the attempt has announced it again meanwhile.
    pub(crate) fn confirm_cancel(
        &mut self,
        upstream: &UpstreamId,
        attempt: AttemptId,
        now: Instant,
    ) -> Vec<LedgerChange> {
        let id = GrantId(attempt.0);
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.orphaned_at.is_some()
        {
            entry.holds.swap_remove(upstream);
        }
        self.end_released(now)
    }

    /// Records that an upstream was removed and holds no memory any more.
    pub(crate) fn remove_upstream(
        &mut self,
        upstream: &UpstreamId,
        now: Instant,
    ) -> Vec<LedgerChange> {
        for entry in self.entries.values_mut() {
            if let Some(hold) = entry.holds.get_mut(upstream) {
                hold.is_released = true;
            }
        }
        self.end_released(now)
    }

    /// Marks as orphaned the grants that no host waits for: those of dead or unknown hosts after a
    /// grace period, and those that their hosts have stopped announcing. [`Self::start_cancels`]
    /// then returns cancels for them.
    pub(crate) fn detect_orphans(&mut self, hosts: &HostTable, conf: &HomeConf, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.orphaned_at.is_none() && entry.has_lost_owner(hosts, conf, now) {
                entry.orphaned_at = Some(now);
            }
        }
    }

    /// Returns the cancels of orphaned grants that are due, and records them as sent. A cancel is
    /// due again `retry` after the last one.
    pub(crate) fn start_cancels(
        &mut self,
        retry: Duration,
        now: Instant,
    ) -> Vec<(UpstreamId, AttemptId)> {
        let mut due = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.orphaned_at.is_none() {
                continue;
            }
            for (upstream, hold) in &mut entry.holds {
                let is_due = |at: Instant| now.duration_since(at) >= retry;
                if hold.cancelled_at.is_none_or(is_due) {
                    hold.cancelled_at = Some(now);
                    due.push((upstream.clone(), AttemptId(entry.grant.id.0)));
                }
            }
        }
        due
    }

    /// The hosts of grants that have an owner but were not announced for at least `grace`.
    pub(crate) fn silent_hosts(&self, grace: Duration, now: Instant) -> Vec<HostId> {
        let is_silent = |entry: &&LedgerEntry| {
            entry.orphaned_at.is_none() && now.duration_since(entry.last_seen_at) >= grace
        };
        let silent = self.entries.values().filter(is_silent);
        let hosts: indexmap::IndexSet<_> =
            silent.map(|entry| entry.grant.work.host.clone()).collect();
        hosts.into_iter().collect()
    }

    /// Forgets ended grants that are older than `memory`, and the oldest ones above `max`.
    pub(crate) fn forget_ended(&mut self, memory: Duration, max: usize, now: Instant) {
        let is_old = |end: &&EndRecord| now.duration_since(end.at) > memory;
        let old = self.ended.values().take_while(is_old).count();
        let count = old.max(self.ended.len().saturating_sub(max));
        self.ended.drain(..count);
    }

    /// Ends the grants that hold no memory at any engine.
    fn end_released(&mut self, now: Instant) -> Vec<LedgerChange> {
        let holds_nothing = |entry: &LedgerEntry| entry.holds.values().all(|hold| hold.is_released);
        let released = self.entries.values().filter(|entry| holds_nothing(entry));
        let ids: Vec<GrantId> = released.map(|entry| entry.grant.id).collect();
        for id in &ids {
            self.record_end(*id, false, now);
        }
        ids.into_iter().map(LedgerChange::Remove).collect()
    }
}

/// A grant that is inferred from an attempt that an engine lists, so that the memory is counted
/// until the host announces the grant or the attempt is cancelled. The host stands in for the
/// unknown customer; None if its name is not a valid customer id.
fn inferred_grant(upstream: &UpstreamId, run: &RunningAttempt, now: Instant) -> Option<LiveGrant> {
    let work = Work {
        request: RequestId(run.attempt.0),
        host: run.host.clone(),
        customer: run.host.as_str().parse().ok()?,
        priority: Priority(0),
        prompt_tokens: run.held_tokens,
        output_tokens: Tokens::ZERO,
        prefixes: Vec::new(),
        deadline: now + INFERRED_GRANT_DEADLINE,
        avoid: Vec::new(),
    };
    Some(LiveGrant {
        id: GrantId(run.attempt.0),
        work,
        upstreams: vec![upstream.clone()],
    })
}
