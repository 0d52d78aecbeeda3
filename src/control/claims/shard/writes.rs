//! Writes of pending claims and updates to a shard object.

use std::time::Instant;

use crate::control::claims::ClaimRefusal;
use crate::control::claims::ClaimShard;
use crate::control::claims::ShardAction;
use crate::control::claims::ShardValue;
use crate::control::claims::shard::known_value::KnownValue;
use crate::control::claims::shard::open_write::OpenWrite;
use crate::control::claims::shard::update_kind::UpdateKind;
use crate::control::claims::shard_value::entry_bytes;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::AttemptId;
use crate::units::ObjectVersion;

impl ClaimShard {
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

    /// The known content after all pending updates (ends and releases of claims), due or not, and
    /// the attempts whose updates were applied. If no update is due and no claim is pending, none
    /// is applied. Pending claims are not added.
    pub(super) fn updated_value(
        &self,
        known: &KnownValue,
        now: Instant,
    ) -> (ShardValue, Vec<AttemptId>) {
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

    /// The time of the next write, or None if a write is due now.
    pub(super) fn write_delayed_until(&self, now: Instant) -> Option<Instant> {
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
    pub(super) fn start_write(
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

    /// Removes the claims that this host saw as finished at least `ClaimConf::finished_memory`
    /// ago. The removal is part of a write that is due anyway.
    fn collect_finished(&self, value: &mut ShardValue, now: Instant) {
        value.claims.retain(|_, claim| {
            let seen_at = self.finished_seen_at.get(&claim.attempt);
            let is_old = |at: &Instant| now.duration_since(*at) >= self.conf.finished_memory;
            !(claim.state.is_finished() && seen_at.is_some_and(is_old))
        });
    }
}
