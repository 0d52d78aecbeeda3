//! The state machine of one claim shard at one host.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;

use crate::control::claims::Claim;
use crate::control::claims::ClaimConf;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimRefusal;
use crate::control::claims::ClaimState;
use crate::control::claims::ShardValue;
use crate::control::claims::shard_value::entry_bytes;
use crate::objects::Object;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::AttemptId;
use crate::units::ObjectVersion;

/// An action that a shard asks its driver to carry out. The driver passes the result of a read or a
/// write to [`ClaimShard::on_read`] or [`ClaimShard::on_written`] before the next step.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Read the shard object.
    Read,
    /// Write the shard object under a condition.
    Write {
        /// The new content of the object.
        value: ShardValue,
        /// The condition on the current state of the object.
        expected: Precondition,
    },
    /// Do nothing until this time or until the shard is changed.
    Wait(Instant),
    /// Do nothing until the shard is changed.
    Idle,
}

/// A claim that is not known to be recorded yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    key: ClaimKey,
    claim: Claim,
    /// The sequence number of the request for the claim.
    seq: u64,
    /// Whether a write included the claim and its effect is still unknown.
    may_be_written: bool,
}

/// The change of an existing claim.
#[derive(Clone, Copy, Debug)]
enum UpdateKind {
    GiveBack,
    Finish(ClaimState),
}

impl UpdateKind {
    /// Whether a claim in this state needs no update. A finished claim is not given back.
    fn is_done(self, state: ClaimState) -> bool {
        match self {
            Self::GiveBack => state.is_finished(),
            Self::Finish(target) => state == target,
        }
    }
}

/// The update of a claim that is not known to be recorded yet.
#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    key: ClaimKey,
    kind: UpdateKind,
    /// The time from which the update may cause a write of its own.
    due: Instant,
}

/// The content of the object as of a call of this host.
#[derive(Clone, Debug)]
struct KnownValue {
    /// None if the object does not exist.
    version: Option<ObjectVersion>,
    value: ShardValue,
    /// The sequence number of the call.
    seq: u64,
}

/// The write that has no result yet.
#[derive(Clone, Debug)]
struct OpenWrite {
    value: ShardValue,
    expected: Option<ObjectVersion>,
    seq: u64,
}

/// One claim shard at one host.
///
/// The shard guards against writes whose answers are lost, and which took effect or take effect
/// minutes later. If such a write counted as failed, a second claim could let the request run
/// twice; if it counted as done, the request might never run. The shard therefore reads the object
/// back after such a write, and a claim counts as recorded only if the object contains its attempt
/// id. While the object has the version that the write expects, the write may still take effect.
/// Once the object has any other version, the write cannot succeed any more; if necessary, the
/// shard advances the version by a write that changes nothing.
#[derive(Debug)]
pub struct ClaimShard {
    conf: ClaimConf,
    rng: StdRng,
    /// The sequence number of the last call to the platform or request for a claim.
    last_seq: u64,
    known: Option<KnownValue>,
    /// The sequence number of the read that has no result yet.
    open_read: Option<u64>,
    open_write: Option<OpenWrite>,
    /// The version that a write with an unknown effect expected; the inner `None` stands for an
    /// object that does not exist.
    unconfirmed_write: Option<Option<ObjectVersion>>,
    pending_claims: IndexMap<AttemptId, PendingClaim>,
    pending_updates: IndexMap<AttemptId, PendingUpdate>,
    /// When this host first saw that a claim had finished.
    finished_seen_at: IndexMap<AttemptId, Instant>,
    /// The outcomes that the driver has not taken yet.
    outcomes: Vec<(AttemptId, ClaimOutcome)>,
    /// The number of consecutive failed calls to the platform.
    failures: u32,
    retry_at: Option<Instant>,
    next_write_at: Option<Instant>,
    /// Whether other hosts write the object so often that the known content is outdated by the next
    /// write. In that case the object is read before each write, since a failed write costs as much
    /// as a successful one and a read costs less.
    is_contended: bool,
    /// Whether the object was read since the last write.
    is_just_read: bool,
}

impl ClaimShard {
    /// A shard whose content is not known yet.
    pub fn new(conf: ClaimConf, rng: StdRng) -> Self {
        Self {
            conf,
            rng,
            last_seq: 0,
            known: None,
            open_read: None,
            open_write: None,
            unconfirmed_write: None,
            pending_claims: IndexMap::new(),
            pending_updates: IndexMap::new(),
            finished_seen_at: IndexMap::new(),
            outcomes: Vec::new(),
            failures: 0,
            retry_at: None,
            next_write_at: None,
            is_contended: false,
            is_just_read: false,
        }
    }

    /// Requests a claim. The outcome is returned by [`ClaimShard::take_outcomes`]. The claim is
    /// refused at once while the platform is down or too much is pending.
    pub fn claim(&mut self, key: ClaimKey, claim: Claim, now: Instant) {
        let attempt = claim.attempt;
        let is_down = self.failures >= self.conf.failures_max;
        if is_down && self.retry_at.is_some_and(|at| now < at) {
            return self.refuse(attempt, ClaimRefusal::PlatformDown);
        }
        let pending = self.pending_claims.len() + self.pending_updates.len();
        if pending >= self.conf.waiting_max {
            return self.refuse(attempt, ClaimRefusal::Full);
        }
        self.last_seq += 1;
        let pending_claim = PendingClaim {
            key,
            claim,
            seq: self.last_seq,
            may_be_written: false,
        };
        self.pending_claims.insert(attempt, pending_claim);
    }

    /// Gives a pending or recorded claim back, with the promise that its attempt is never
    /// dispatched. The claim is free once [`ClaimShard::is_settled`] returns true.
    pub fn give_back(&mut self, key: ClaimKey, attempt: AttemptId, now: Instant) {
        let claim = self.pending_claims.shift_remove(&attempt);
        if claim.is_some_and(|claim| !claim.may_be_written) {
            return;
        }
        let update = PendingUpdate {
            key,
            kind: UpdateKind::GiveBack,
            due: now,
        };
        // A pending end takes precedence, since an attempt that has ended was dispatched.
        self.pending_updates.entry(attempt).or_insert(update);
    }

    /// Records how a claimed attempt ended. Any host that knows the end may record it.
    pub fn finish(&mut self, key: ClaimKey, attempt: AttemptId, state: ClaimState, now: Instant) {
        let update = PendingUpdate {
            key,
            kind: UpdateKind::Finish(state),
            due: now + self.conf.finish_delay,
        };
        self.pending_updates.insert(attempt, update);
    }

    /// Whether nothing is pending for an attempt.
    pub fn is_settled(&self, attempt: AttemptId) -> bool {
        !self.pending_claims.contains_key(&attempt) && !self.pending_updates.contains_key(&attempt)
    }

    /// The number of claims that are still to be recorded, given back or finished. A draining host
    /// waits until the number is zero.
    pub fn pending(&self) -> usize {
        self.pending_claims.len() + self.pending_updates.len()
    }

    /// The time, with jitter, after which a caller whose claim could not be recorded should retry.
    pub fn retry_after(&mut self) -> Duration {
        self.with_jitter(self.conf.retry_delay_max)
    }

    /// Returns the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(AttemptId, ClaimOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Returns the next action, and records a read or write as started. At most one read or write
    /// is open at a time; the shard is idle until its result is passed in.
    pub fn step(&mut self, now: Instant) -> ShardAction {
        if self.open_read.is_some() || self.open_write.is_some() || self.pending() == 0 {
            return ShardAction::Idle;
        }
        if let Some(at) = self.retry_at.filter(|at| now < *at) {
            return ShardAction::Wait(at);
        }
        let Some(known) = &self.known else {
            return self.start_read();
        };
        let (value, applied) = self.updated_value(known, now);
        if self.needs_read(&value, known.seq) {
            return self.start_read();
        }
        self.resolve_held(&value);
        if let Some(at) = self.write_delayed_until(now) {
            return ShardAction::Wait(at);
        }
        if self.is_contended && !self.is_just_read {
            return self.start_read();
        }
        self.start_write(value, applied, now)
    }

    /// Handles the result of [`ShardAction::Read`]. An object that does not exist counts as an
    /// empty shard.
    ///
    /// After a successful read the pending claims that the object contains are resolved as
    /// [`ClaimOutcome::Claimed`]. After a failure the read is retried with a growing delay, and all
    /// pending claims are refused from [`ClaimConf::failures_max`] consecutive failures on.
    pub fn on_read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        let Some(seq) = self.open_read.take() else {
            return;
        };
        let content = match result {
            Ok(object) => {
                ShardValue::from_json(object.value).map(|value| (Some(object.version), value))
            }
            Err(PlatformError::NotFound) => Ok((None, ShardValue::default())),
            Err(error) => Err(error),
        };
        match content {
            Ok((version, value)) => {
                let known = self.known.as_ref();
                self.is_contended &= known.is_none_or(|known| known.version != version);
                self.is_just_read = true;
                self.set_known(version, value, seq, now);
            }
            Err(error) => self.on_failure(&error, now),
        }
    }

    /// Handles the result of [`ShardAction::Write`]. A conflict lets the shard read the object
    /// again at once. Other failures are handled as in [`ClaimShard::on_read`]; if the effect of
    /// the write is unknown, its claims stay unconfirmed until the object shows whether it took
    /// effect.
    pub fn on_written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        let Some(write) = self.open_write.take() else {
            return;
        };
        match result {
            Ok(version) => self.set_known(Some(version), write.value, write.seq, now),
            Err(PlatformError::Conflict | PlatformError::NotFound) => {
                self.known = None;
                self.is_contended = true;
                self.next_write_at = None;
            }
            Err(error) => {
                if matches!(error, PlatformError::OutcomeUnknown(_)) {
                    self.unconfirmed_write = Some(write.expected);
                }
                self.known = None;
                self.on_failure(&error, now);
            }
        }
    }

    fn start_read(&mut self) -> ShardAction {
        self.last_seq += 1;
        self.open_read = Some(self.last_seq);
        ShardAction::Read
    }

    /// The known content after all pending updates (ends and releases of claims), due or not, and
    /// the attempts whose updates were applied. If no update is due and no claim is pending, none
    /// is applied. Pending claims are not added.
    fn updated_value(&self, known: &KnownValue, now: Instant) -> (ShardValue, Vec<AttemptId>) {
        let mut value = known.value.clone();
        let mut applied = Vec::new();
        let is_due = self
            .pending_updates
            .values()
            .any(|update| update.due <= now)
            || !self.pending_claims.is_empty();
        for (attempt, update) in self.pending_updates.iter().filter(|_| is_due) {
            applied.push(*attempt);
            let Some(claim) = value.claims.get_mut(&update.key) else {
                continue;
            };
            if claim.attempt != *attempt {
                continue;
            }
            match update.kind {
                UpdateKind::Finish(state) => claim.state = state,
                UpdateKind::GiveBack if claim.state.is_finished() => (),
                UpdateKind::GiveBack => {
                    value.claims.swap_remove(&update.key);
                }
            }
        }
        (value, applied)
    }

    /// Whether the known content shows a requested key as held but is older than the request, so
    /// that the claim may have been given back meanwhile.
    fn needs_read(&self, value: &ShardValue, known_seq: u64) -> bool {
        self.pending_claims.values().any(|pending| {
            let held = value.claims.get(&pending.key);
            held.is_some_and(|held| held.attempt != pending.claim.attempt)
                && pending.seq > known_seq
        })
    }

    /// Resolves the pending claims whose keys are held by other attempts.
    fn resolve_held(&mut self, value: &ShardValue) {
        let held = self.pending_claims.values().filter_map(|pending| {
            let held = value.claims.get(&pending.key)?;
            (held.attempt != pending.claim.attempt).then(|| (pending.claim.clone(), held.clone()))
        });
        for (claim, held) in held.collect::<Vec<_>>() {
            let outcome = if held.content == claim.content {
                ClaimOutcome::HeldBy(held)
            } else {
                ClaimOutcome::DifferentContent
            };
            self.resolve(claim.attempt, outcome);
        }
    }

    /// The time of the next write, or None if a write is due now.
    fn write_delayed_until(&self, now: Instant) -> Option<Instant> {
        let due = self.pending_updates.values().map(|update| update.due).min();
        let due = if self.pending_claims.is_empty() {
            due
        } else {
            None
        };
        let at = self.next_write_at.max(due)?;
        (now < at).then_some(at)
    }

    /// Returns the write of the pending claims and of `value`, or [`ShardAction::Idle`] if there is
    /// nothing to write; in that case the `applied` updates are done.
    fn start_write(
        &mut self,
        mut value: ShardValue,
        applied: Vec<AttemptId>,
        now: Instant,
    ) -> ShardAction {
        self.collect_finished(&mut value, now);
        self.add_pending_claims(&mut value, now);
        let Some(known) = &self.known else {
            return ShardAction::Idle;
        };
        // After an unconfirmed write even an unchanged object is written. This advances the
        // version, so that the unconfirmed write cannot take effect any more.
        if value == known.value && self.unconfirmed_write.is_none() {
            for attempt in applied {
                self.pending_updates.swap_remove(&attempt);
            }
            return ShardAction::Idle;
        }
        let version = known.version;
        self.last_seq += 1;
        self.open_write = Some(OpenWrite {
            value: value.clone(),
            expected: version,
            seq: self.last_seq,
        });
        self.is_just_read = false;
        self.next_write_at = Some(now + self.conf.write_interval);
        let expected = version.map_or(Precondition::Absent, Precondition::Version);
        ShardAction::Write { value, expected }
    }

    /// Adds the pending claims whose keys are free, and rejects those that exceed the size limit.
    fn add_pending_claims(&mut self, value: &mut ShardValue, now: Instant) {
        let mut size = value.size_bytes();
        let mut rejected = Vec::new();
        for (attempt, pending) in &mut self.pending_claims {
            if value.claims.contains_key(&pending.key) {
                continue;
            }
            let entry = entry_bytes(&pending.claim);
            if size + entry > self.conf.shard_bytes_max {
                rejected.push(*attempt);
                continue;
            }
            size += entry;
            pending.may_be_written = true;
            value.claims.insert(pending.key, pending.claim.clone());
        }
        for attempt in rejected {
            self.reject(attempt, ClaimRefusal::Full, now);
        }
    }

    /// Removes the claims that this host saw as finished at least [`ClaimConf::finished_memory`]
    /// ago. The removal is part of a write that is due anyway.
    fn collect_finished(&self, value: &mut ShardValue, now: Instant) {
        value.claims.retain(|_, claim| {
            let seen_at = self.finished_seen_at.get(&claim.attempt);
            let is_old = |at: &Instant| now.duration_since(*at) >= self.conf.finished_memory;
            !(claim.state.is_finished() && seen_at.is_some_and(is_old))
        });
    }

    /// Records the content of the object as of the call `seq`, which succeeded, and resolves the
    /// pending claims that the content contains. If no write is unconfirmed, also forgets the
    /// updates that are done and those whose claim the content does not contain.
    fn set_known(
        &mut self,
        version: Option<ObjectVersion>,
        value: ShardValue,
        seq: u64,
        now: Instant,
    ) {
        self.failures = 0;
        self.retry_at = None;
        // A stale read may show an older version, which does not rule the write out.
        if self
            .unconfirmed_write
            .is_some_and(|expected| version > expected)
        {
            self.unconfirmed_write = None;
        }
        self.record_finished(&value, now);
        let is_recorded = |pending: &PendingClaim| {
            let held = value.claims.get(&pending.key);
            held.is_some_and(|held| held.attempt == pending.claim.attempt)
        };
        let recorded = self
            .pending_claims
            .iter()
            .filter(|(_, pending)| is_recorded(pending));
        for attempt in recorded.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.resolve(attempt, ClaimOutcome::Claimed);
        }
        if self.unconfirmed_write.is_none() {
            for pending in self.pending_claims.values_mut() {
                pending.may_be_written = false;
            }
            self.pending_updates.retain(|attempt, update| {
                let held = value.claims.get(&update.key);
                held.is_some_and(|held| {
                    held.attempt == *attempt && !update.kind.is_done(held.state)
                })
            });
        }
        self.known = Some(KnownValue {
            version,
            value,
            seq,
        });
    }

    /// Updates the times at which this host first saw the claims in `value` as finished, and
    /// forgets the times of claims that `value` no longer contains.
    fn record_finished(&mut self, value: &ShardValue, now: Instant) {
        let mut seen = IndexMap::new();
        for claim in value
            .claims
            .values()
            .filter(|claim| claim.state.is_finished())
        {
            let at = self.finished_seen_at.get(&claim.attempt).copied();
            seen.insert(claim.attempt, at.unwrap_or(now));
        }
        self.finished_seen_at = seen;
    }

    /// Handles a failed call. After [`ClaimConf::failures_max`] consecutive failures all pending
    /// claims are rejected; those that a lost write may have recorded are given back once the
    /// platform answers again.
    fn on_failure(&mut self, error: &PlatformError, now: Instant) {
        self.failures += 1;
        let doublings = self.failures.min(16) - 1;
        let delay = self.conf.retry_delay.saturating_mul(1 << doublings);
        let delay = self.with_jitter(delay.min(self.conf.retry_delay_max));
        self.retry_at = Some(now + delay);
        log::warn!("claims: {error}, retry in {} ms", delay.as_millis());
        if self.failures < self.conf.failures_max {
            return;
        }
        for attempt in self.pending_claims.keys().copied().collect::<Vec<_>>() {
            self.reject(attempt, ClaimRefusal::PlatformDown, now);
        }
    }

    /// Refuses a pending claim, and gives the claim back in case a write has recorded it.
    fn reject(&mut self, attempt: AttemptId, why: ClaimRefusal, now: Instant) {
        self.refuse(attempt, why);
        if let Some(key) = self.pending_claims.get(&attempt).map(|pending| pending.key) {
            self.give_back(key, attempt, now);
        }
    }

    /// Queues a refusal for the driver. The claim itself is not changed.
    fn refuse(&mut self, attempt: AttemptId, why: ClaimRefusal) {
        let retry_after = self.retry_after();
        let outcome = ClaimOutcome::Unavailable { why, retry_after };
        self.outcomes.push((attempt, outcome));
    }

    /// Removes a pending claim and queues its outcome for the driver.
    fn resolve(&mut self, attempt: AttemptId, outcome: ClaimOutcome) {
        self.pending_claims.shift_remove(&attempt);
        self.outcomes.push((attempt, outcome));
    }

    /// A random duration between half of `delay` and `delay`, so that hosts do not retry together.
    fn with_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
