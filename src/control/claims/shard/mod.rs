//! The state machine of one claim shard at one host.

mod action;
mod known_value;
mod open_write;
mod pending_claim;
mod pending_update;
mod reads;
mod update_kind;
mod writes;

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
use crate::control::claims::shard::known_value::KnownValue;
use crate::control::claims::shard::open_write::OpenWrite;
use crate::control::claims::shard::pending_claim::PendingClaim;
use crate::control::claims::shard::pending_update::PendingUpdate;
use crate::control::claims::shard::update_kind::UpdateKind;
use crate::objects::PlatformError;
use crate::units::AttemptId;
use crate::units::BoundedTime;
use crate::units::ObjectVersion;

pub use action::ShardAction;

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
        delay.scaled(self.rng.random_range(0.5..=1.0))
    }
}
