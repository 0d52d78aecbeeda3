//! The ledger: which grants hold which engine's memory, and how each hold ends.
//!
//! The failure this guards against: an engine's memory stays taken although nobody waits for the
//! answer (a host died, a message of an end was lost, a cancel was lost, a home changed). It shows
//! as engines that fill up over days. The guard: a hold ends only by its host's word that it ended,
//! by a cancel that the engine confirmed, or by a list of the engine's that does not show it; and
//! whatever an engine lists is in the ledger, so that it is either somebody's or gets cancelled.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
use crate::control::home::hosts::Hosts;
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

/// Strays get a deadline so far off that the engine's own limit ends them before.
const STRAY_DEADLINE: Duration = Duration::from_secs(3_600);

/// What a policy has to be told after a change of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    /// A grant that the policy does not know holds memory.
    Adopt(LiveGrant),
    /// A grant has ended without its host's word.
    Drop(GrantId),
}

#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    /// Whether a list that was asked for late enough does not show it.
    unlisted: bool,
    cancelled_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Entry {
    grant: LiveGrant,
    /// When its host last announced it, or when it was granted or first listed.
    heard_at: Instant,
    /// Whether its host has announced it, so that it surely got the grant.
    is_announced: bool,
    /// Whether only an engine's list told of it.
    is_stray: bool,
    /// Since when nobody waits for its answer.
    disowned_at: Option<Instant>,
    holds: IndexMap<UpstreamId, Hold>,
}

impl Entry {
    fn new(grant: LiveGrant, now: Instant) -> Self {
        let holds = grant
            .upstreams
            .iter()
            .map(|id| (id.clone(), Hold::default()));
        Self {
            holds: holds.collect(),
            grant,
            heard_at: now,
            is_announced: false,
            is_stray: false,
            disowned_at: None,
        }
    }

    /// Takes in that an engine lists it. A member of a gang that only engines' lists tell of becomes
    /// known one by one.
    fn listed_at(&mut self, upstream: &UpstreamId) -> Vec<Change> {
        self.holds.entry(upstream.clone()).or_default();
        if !self.is_stray || self.grant.upstreams.contains(upstream) {
            return Vec::new();
        }
        self.grant.upstreams.push(upstream.clone());
        vec![
            Change::Drop(self.grant.id),
            Change::Adopt(self.grant.clone()),
        ]
    }

    fn is_unowned(&self, hosts: &Hosts, conf: &HomeConf, now: Instant) -> bool {
        let host = &self.grant.work.host;
        let given_up_at = hosts.given_up_at(host, self.heard_at, conf);
        if given_up_at.is_some_and(|at| now >= at) {
            return true;
        }
        // Only a host's own word counts: one that announces to another home, since the two homes'
        // views differ for a moment, stays silent here and keeps its streams.
        let announced_at = hosts.announced_at(host);
        announced_at.is_some_and(|at| at.duration_since(self.heard_at) >= conf.announce_grace)
    }
}

#[derive(Clone, Copy, Debug)]
struct End {
    at: Instant,
    by_host: bool,
}

/// The ledger of one pool.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: IndexMap<GrantId, Entry>,
    ended: IndexMap<GrantId, End>,
}

impl Ledger {
    /// Records a grant of this home.
    pub(crate) fn grant(&mut self, grant: LiveGrant, now: Instant) {
        self.entries.insert(grant.id, Entry::new(grant, now));
    }

    /// The host asked again and is told the same grant again: it may only now begin to announce it.
    pub(crate) fn touch(&mut self, grant: GrantId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&grant) {
            entry.heard_at = now;
        }
    }

    pub(crate) fn is_announced(&self, grant: GrantId) -> bool {
        self.entries
            .get(&grant)
            .is_some_and(|entry| entry.is_announced)
    }

    pub(crate) fn is_disowned(&self, grant: GrantId) -> bool {
        let entry = self.entries.get(&grant);
        entry.is_some_and(|entry| entry.disowned_at.is_some())
    }

    pub(crate) fn holder(&self, grant: GrantId) -> Option<&HostId> {
        self.entries.get(&grant).map(|entry| &entry.grant.work.host)
    }

    pub(crate) fn holds_any_of(&self, host: &HostId) -> bool {
        self.entries
            .values()
            .any(|entry| entry.grant.work.host == *host)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Ends an entry. Returns whether there was one.
    pub(crate) fn end(&mut self, grant: GrantId, by_host: bool, now: Instant) -> bool {
        self.ended.insert(grant, End { at: now, by_host });
        self.entries.swap_remove(&grant).is_some()
    }

    /// Takes in that nobody waits for the answer any more although engines may still hold memory.
    /// Returns what is still held.
    pub(crate) fn disown(&mut self, grant: GrantId, now: Instant) -> Option<LiveGrant> {
        let entry = self.entries.get_mut(&grant)?;
        entry.disowned_at.get_or_insert(now);
        Some(entry.grant.clone())
    }

    /// Takes in all grants that a host holds.
    pub(crate) fn announced(&mut self, grants: Vec<LiveGrant>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for grant in grants {
            self.announced_one(grant, now, &mut changes);
        }
        changes
    }

    fn announced_one(&mut self, grant: LiveGrant, now: Instant, changes: &mut Vec<Change>) {
        // An announcement that was overtaken by the host's own word of the end.
        if self.ended.get(&grant.id).is_some_and(|end| end.by_host) {
            return;
        }
        let id = grant.id;
        let known = self.entries.get(&id);
        if known.is_none_or(|entry| entry.is_stray) {
            if known.is_some() {
                changes.push(Change::Drop(id));
            }
            changes.push(Change::Adopt(grant.clone()));
            self.entries.insert(id, Entry::new(grant, now));
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.heard_at = now;
            entry.is_announced = true;
            entry.disowned_at = None;
        }
    }

    /// Takes in what an engine runs, as it answered a question that was asked at `asked_at`.
    pub(crate) fn listed(
        &mut self,
        upstream: &UpstreamId,
        running: &[RunningAttempt],
        asked_at: Instant,
        grace: Duration,
        now: Instant,
    ) -> Vec<Change> {
        for entry in self.entries.values_mut() {
            let Some(hold) = entry.holds.get_mut(upstream) else {
                continue;
            };
            let is_listed = running.iter().any(|run| run.attempt.0 == entry.grant.id.0);
            // A grant may reach the engine later than the question did.
            let is_late = match entry.disowned_at {
                Some(disowned_at) => asked_at > disowned_at,
                None => asked_at >= entry.heard_at + grace,
            };
            hold.unlisted = !is_listed && is_late;
        }
        let mut changes = self.drop_unlisted(now);
        for run in running {
            changes.extend(self.listed_one(upstream, run, asked_at, now));
        }
        changes
    }

    fn listed_one(
        &mut self,
        upstream: &UpstreamId,
        run: &RunningAttempt,
        asked_at: Instant,
        now: Instant,
    ) -> Vec<Change> {
        let id = GrantId(run.attempt.0);
        // The list was made before the end was known here.
        if self.ended.get(&id).is_some_and(|end| end.at >= asked_at) {
            return Vec::new();
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            return entry.listed_at(upstream);
        }
        let Some(grant) = stray(upstream, run, now) else {
            return Vec::new();
        };
        let mut entry = Entry::new(grant.clone(), now);
        entry.is_stray = true;
        self.entries.insert(id, entry);
        vec![Change::Adopt(grant)]
    }

    /// Takes in that an engine holds nothing for an attempt any more.
    pub(crate) fn cancelled(
        &mut self,
        upstream: &UpstreamId,
        attempt: AttemptId,
        now: Instant,
    ) -> Vec<Change> {
        let id = GrantId(attempt.0);
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.disowned_at.is_some()
        {
            entry.holds.swap_remove(upstream);
        }
        self.drop_unlisted(now)
    }

    /// Takes in that an upstream is gone, and its memory with it.
    pub(crate) fn upstream_gone(&mut self, upstream: &UpstreamId, now: Instant) -> Vec<Change> {
        for entry in self.entries.values_mut() {
            if let Some(hold) = entry.holds.get_mut(upstream) {
                hold.unlisted = true;
            }
        }
        self.drop_unlisted(now)
    }

    /// Finds entries that nobody waits for any more.
    pub(crate) fn disown_unowned(&mut self, hosts: &Hosts, conf: &HomeConf, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.disowned_at.is_none() && entry.is_unowned(hosts, conf, now) {
                entry.disowned_at = Some(now);
            }
        }
    }

    /// The cancels that are due.
    pub(crate) fn due_cancels(
        &mut self,
        retry: Duration,
        now: Instant,
    ) -> Vec<(UpstreamId, AttemptId)> {
        let mut due = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.disowned_at.is_none() {
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

    /// Living hosts that have not announced a grant for longer than the grace.
    pub(crate) fn silent_hosts(&self, grace: Duration, now: Instant) -> Vec<HostId> {
        let is_silent = |entry: &&Entry| {
            entry.disowned_at.is_none() && now.duration_since(entry.heard_at) >= grace
        };
        let silent = self.entries.values().filter(is_silent);
        let hosts: indexmap::IndexSet<_> =
            silent.map(|entry| entry.grant.work.host.clone()).collect();
        hosts.into_iter().collect()
    }

    pub(crate) fn forget_ended(&mut self, memory: Duration, max: usize, now: Instant) {
        let is_old = |end: &&End| now.duration_since(end.at) > memory;
        let old = self.ended.values().take_while(is_old).count();
        let count = old.max(self.ended.len().saturating_sub(max));
        self.ended.drain(..count);
    }

    fn drop_unlisted(&mut self, now: Instant) -> Vec<Change> {
        let is_over = |entry: &Entry| entry.holds.values().all(|hold| hold.unlisted);
        let over = self.entries.values().filter(|entry| is_over(entry));
        let ids: Vec<GrantId> = over.map(|entry| entry.grant.id).collect();
        for id in &ids {
            self.end(*id, false, now);
        }
        ids.into_iter().map(Change::Drop).collect()
    }
}

/// A grant made up from what an engine lists, so that its memory is counted until its host
/// announces it or it is cancelled.
fn stray(upstream: &UpstreamId, run: &RunningAttempt, now: Instant) -> Option<LiveGrant> {
    let work = Work {
        request: RequestId(run.attempt.0),
        host: run.host.clone(),
        customer: run.host.as_str().parse().ok()?,
        priority: Priority(0),
        prompt_tokens: run.held_tokens,
        output_tokens: Tokens::ZERO,
        prefixes: Vec::new(),
        deadline: now + STRAY_DEADLINE,
        avoid: Vec::new(),
    };
    Some(LiveGrant {
        id: GrantId(run.attempt.0),
        work,
        upstreams: vec![upstream.clone()],
    })
}
