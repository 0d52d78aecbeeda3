//! Reads of a shard object, and what its content shows of pending claims.

use std::time::Instant;

use indexmap::IndexMap;

use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimShard;
use crate::control::claims::ShardAction;
use crate::control::claims::ShardValue;
use crate::control::claims::shard::known_value::KnownValue;
use crate::control::claims::shard::pending_claim::PendingClaim;
use crate::objects::Object;
use crate::objects::PlatformError;
use crate::units::ObjectVersion;

impl ClaimShard {
    /// Handles the result of [`ShardAction::Read`]. An object that does not exist counts as an
    /// empty shard.
    ///
    /// After a successful read the pending claims that the object contains are resolved as
    /// [`ClaimOutcome::Claimed`]. After a failure the read is retried with a growing delay, and all
    /// pending claims are refused from `ClaimConf::failures_max` consecutive failures on.
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

    pub(super) fn start_read(&mut self) -> ShardAction {
        self.last_seq += 1;
        self.open_read = Some(self.last_seq);
        ShardAction::Read
    }

    /// Whether the known content shows a requested key as held but is older than the request, so
    /// that the claim may have been given back meanwhile.
    pub(super) fn needs_read(&self, value: &ShardValue, known_seq: u64) -> bool {
        self.pending_claims.values().any(|pending| {
            let held = value.claims.get(&pending.key);
            held.is_some_and(|held| held.attempt != pending.claim.attempt)
                && pending.seq > known_seq
        })
    }

    /// Records the content of the object as of the call `seq`, which succeeded, and resolves the
    /// pending claims that the content contains. If no write is unconfirmed, also forgets the
    /// updates that are done and those whose claim the content does not contain.
    pub(super) fn set_known(
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
}
