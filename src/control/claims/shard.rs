//! The state machine of one shard of claims at one host.

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
use crate::objects::Expected;
use crate::objects::Object;
use crate::objects::PlatformError;
use crate::units::AttemptId;
use crate::units::ObjectVersion;

/// What a shard wants done. Its result comes back by [`ClaimShard::read`] or
/// [`ClaimShard::written`] before the next step.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Read the shard object.
    Read,
    /// Write it under a condition.
    Write {
        /// Its new content.
        value: ShardValue,
        /// What it must be before.
        expected: Expected,
    },
    /// Nothing before this time, unless something new is asked for.
    Wait(Instant),
    /// Nothing until something new is asked for.
    Idle,
}

#[derive(Clone, Debug)]
struct Want {
    key: ClaimKey,
    claim: Claim,
    /// When it was asked for, in the order of calls.
    order: u64,
    /// Whether a write carried it whose effect has not been seen since.
    may_be_written: bool,
}

#[derive(Clone, Copy, Debug)]
enum Settling {
    GiveBack,
    Finish(ClaimState),
}

impl Settling {
    /// Whether a claim that is still there needs nothing more. What has finished is not free again.
    fn is_done(self, state: ClaimState) -> bool {
        match self {
            Self::GiveBack => state.is_finished(),
            Self::Finish(wanted) => state == wanted,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Settle {
    key: ClaimKey,
    settling: Settling,
    due: Instant,
}

/// The content of the object as of some call of this host.
#[derive(Clone, Debug)]
struct Known {
    version: Option<ObjectVersion>,
    value: ShardValue,
    order: u64,
}

#[derive(Clone, Debug)]
struct Writing {
    value: ShardValue,
    expected: Option<ObjectVersion>,
    order: u64,
}

/// One shard of claims at one host.
///
/// The failure this guards against: the answer to a write is lost, and the write took effect, or
/// takes effect minutes later. Taken for failed, a second claim would let the request run twice;
/// taken for done, nobody would run it. The guard: after such a write the object is read back, and
/// a claim counts as recorded only when its own attempt id is seen in it. A write that has not been
/// seen may still come while the object has the version that it expects; that ends when the object
/// is known in any other version, if need be by a write that changes nothing.
#[derive(Debug)]
pub struct ClaimShard {
    conf: ClaimConf,
    rng: StdRng,
    order: u64,
    known: Option<Known>,
    reading: Option<u64>,
    writing: Option<Writing>,
    /// The version that a write without an answer expected.
    doubt: Option<Option<ObjectVersion>>,
    wants: IndexMap<AttemptId, Want>,
    settles: IndexMap<AttemptId, Settle>,
    finished_seen: IndexMap<AttemptId, Instant>,
    verdicts: Vec<(AttemptId, ClaimOutcome)>,
    failures: u32,
    retry_at: Option<Instant>,
    next_write_at: Option<Instant>,
    /// Whether other hosts write the object so often that what is known is old by the next write.
    /// Then it is read first: a write that fails costs as much as one that does not, and reads are
    /// cheaper.
    is_contended: bool,
    is_just_read: bool,
}

impl ClaimShard {
    /// A shard of which nothing is known yet.
    pub fn new(conf: ClaimConf, rng: StdRng) -> Self {
        Self {
            conf,
            rng,
            order: 0,
            known: None,
            reading: None,
            writing: None,
            doubt: None,
            wants: IndexMap::new(),
            settles: IndexMap::new(),
            finished_seen: IndexMap::new(),
            verdicts: Vec::new(),
            failures: 0,
            retry_at: None,
            next_write_at: None,
            is_contended: false,
            is_just_read: false,
        }
    }

    /// Asks for a claim. Its verdict comes among [`ClaimShard::take_verdicts`].
    pub fn want(&mut self, key: ClaimKey, claim: Claim, now: Instant) {
        let attempt = claim.attempt;
        let is_down = self.failures >= self.conf.failures_max;
        if is_down && self.retry_at.is_some_and(|at| now < at) {
            return self.refuse(attempt, ClaimRefusal::PlatformDown);
        }
        let pending = self.wants.len() + self.settles.len();
        if pending >= self.conf.waiting_max {
            return self.refuse(attempt, ClaimRefusal::Full);
        }
        self.order += 1;
        let want = Want {
            key,
            claim,
            order: self.order,
            may_be_written: false,
        };
        self.wants.insert(attempt, want);
    }

    /// Gives a claim back, wanted or recorded, with the promise that its attempt is never
    /// dispatched. It is done when [`ClaimShard::is_settled`].
    pub fn give_back(&mut self, key: ClaimKey, attempt: AttemptId, now: Instant) {
        let want = self.wants.shift_remove(&attempt);
        if want.is_some_and(|want| !want.may_be_written) {
            return;
        }
        let settle = Settle {
            key,
            settling: Settling::GiveBack,
            due: now,
        };
        // An attempt that has ended was dispatched, whatever came later.
        self.settles.entry(attempt).or_insert(settle);
    }

    /// Records how a claimed attempt ended. Any host that knows may say so.
    pub fn finish(&mut self, key: ClaimKey, attempt: AttemptId, state: ClaimState, now: Instant) {
        let settle = Settle {
            key,
            settling: Settling::Finish(state),
            due: now + self.conf.finish_delay,
        };
        self.settles.insert(attempt, settle);
    }

    /// Whether nothing is left to be recorded of an attempt.
    pub fn is_settled(&self, attempt: AttemptId) -> bool {
        !self.wants.contains_key(&attempt) && !self.settles.contains_key(&attempt)
    }

    /// How many claims are to be recorded, given back or ended. A host that drains waits for none.
    pub fn pending(&self) -> usize {
        self.wants.len() + self.settles.len()
    }

    /// When a caller whose claim could not be recorded should come back, jittered.
    pub fn retry_after(&mut self) -> Duration {
        self.jittered(self.conf.retry_delay_max)
    }

    /// The verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(AttemptId, ClaimOutcome)> {
        std::mem::take(&mut self.verdicts)
    }

    /// What to do next. At most one read or write is open at a time.
    pub fn step(&mut self, now: Instant) -> ShardAction {
        if self.reading.is_some() || self.writing.is_some() || self.pending() == 0 {
            return ShardAction::Idle;
        }
        if let Some(at) = self.retry_at.filter(|at| now < *at) {
            return ShardAction::Wait(at);
        }
        let Some(known) = &self.known else {
            return self.start_read();
        };
        let (value, settled) = self.settled_value(known, now);
        if self.needs_fresh(&value, known.order) {
            return self.start_read();
        }
        self.answer_held(&value);
        if let Some(at) = self.too_early(now) {
            return ShardAction::Wait(at);
        }
        if self.is_contended && !self.is_just_read {
            return self.start_read();
        }
        self.start_write(value, settled, now)
    }

    /// Takes in what came of [`ShardAction::Read`].
    pub fn read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        let Some(order) = self.reading.take() else {
            return;
        };
        let got = match result {
            Ok(object) => {
                ShardValue::from_json(object.value).map(|value| (Some(object.version), value))
            }
            Err(PlatformError::Absent) => Ok((None, ShardValue::default())),
            Err(error) => Err(error),
        };
        match got {
            Ok((version, value)) => {
                let known = self.known.as_ref();
                self.is_contended &= known.is_none_or(|known| known.version != version);
                self.is_just_read = true;
                self.learn(version, value, order, now);
            }
            Err(error) => self.fail(&error, now),
        }
    }

    /// Takes in what came of [`ShardAction::Write`].
    pub fn written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        match result {
            Ok(version) => self.learn(Some(version), writing.value, writing.order, now),
            Err(PlatformError::Conflict | PlatformError::Absent) => {
                self.known = None;
                self.is_contended = true;
                self.next_write_at = None;
            }
            Err(error) => {
                if matches!(error, PlatformError::Unknown(_)) {
                    self.doubt = Some(writing.expected);
                }
                self.known = None;
                self.fail(&error, now);
            }
        }
    }

    fn start_read(&mut self) -> ShardAction {
        self.order += 1;
        self.reading = Some(self.order);
        ShardAction::Read
    }

    /// The known content with all that is settled applied, and the attempts that this settles.
    fn settled_value(&self, known: &Known, now: Instant) -> (ShardValue, Vec<AttemptId>) {
        let mut value = known.value.clone();
        let mut settled = Vec::new();
        let is_due =
            self.settles.values().any(|settle| settle.due <= now) || !self.wants.is_empty();
        for (attempt, settle) in self.settles.iter().filter(|_| is_due) {
            settled.push(*attempt);
            let Some(claim) = value.claims.get_mut(&settle.key) else {
                continue;
            };
            if claim.attempt != *attempt {
                continue;
            }
            match settle.settling {
                Settling::Finish(state) => claim.state = state,
                Settling::GiveBack if claim.state.is_finished() => (),
                Settling::GiveBack => {
                    value.claims.swap_remove(&settle.key);
                }
            }
        }
        (value, settled)
    }

    /// Whether some wanted key is held as far as is known, but what is known is older than the
    /// question: the claim may have been given back since.
    fn needs_fresh(&self, value: &ShardValue, known_order: u64) -> bool {
        self.wants.values().any(|want| {
            let held = value.claims.get(&want.key);
            held.is_some_and(|held| held.attempt != want.claim.attempt) && want.order > known_order
        })
    }

    fn answer_held(&mut self, value: &ShardValue) {
        let held = self.wants.values().filter_map(|want| {
            let held = value.claims.get(&want.key)?;
            (held.attempt != want.claim.attempt).then(|| (want.claim.clone(), held.clone()))
        });
        for (wanted, held) in held.collect::<Vec<_>>() {
            let verdict = if held.content == wanted.content {
                ClaimOutcome::HeldBy(held)
            } else {
                ClaimOutcome::DifferentContent
            };
            self.answer(wanted.attempt, verdict);
        }
    }

    fn too_early(&self, now: Instant) -> Option<Instant> {
        let due = self.settles.values().map(|settle| settle.due).min();
        let due = if self.wants.is_empty() { due } else { None };
        let at = self.next_write_at.max(due)?;
        (now < at).then_some(at)
    }

    fn start_write(
        &mut self,
        mut value: ShardValue,
        settled: Vec<AttemptId>,
        now: Instant,
    ) -> ShardAction {
        self.collect_finished(&mut value, now);
        self.add_wanted(&mut value, now);
        let Some(known) = &self.known else {
            return ShardAction::Idle;
        };
        // With a write in doubt, even an unchanged object is written: that moves its version on,
        // and what has not taken effect by then never will.
        if value == known.value && self.doubt.is_none() {
            for attempt in settled {
                self.settles.swap_remove(&attempt);
            }
            return ShardAction::Idle;
        }
        let version = known.version;
        self.order += 1;
        self.writing = Some(Writing {
            value: value.clone(),
            expected: version,
            order: self.order,
        });
        self.is_just_read = false;
        self.next_write_at = Some(now + self.conf.write_interval);
        let expected = version.map_or(Expected::Absent, Expected::Version);
        ShardAction::Write { value, expected }
    }

    fn add_wanted(&mut self, value: &mut ShardValue, now: Instant) {
        let mut size = value.size_bytes();
        let mut full = Vec::new();
        for (attempt, want) in &mut self.wants {
            if value.claims.contains_key(&want.key) {
                continue;
            }
            let entry = entry_bytes(&want.claim);
            if size + entry > self.conf.shard_bytes_max {
                full.push(*attempt);
                continue;
            }
            size += entry;
            want.may_be_written = true;
            value.claims.insert(want.key, want.claim.clone());
        }
        for attempt in full {
            self.turn_away(attempt, ClaimRefusal::Full, now);
        }
    }

    /// Drops claims that ended long ago, when there is a write to go along with.
    fn collect_finished(&self, value: &mut ShardValue, now: Instant) {
        value.claims.retain(|_, claim| {
            let seen_at = self.finished_seen.get(&claim.attempt);
            let is_old = |at: &Instant| now.duration_since(*at) >= self.conf.finished_memory;
            !(claim.state.is_finished() && seen_at.is_some_and(is_old))
        });
    }

    fn learn(
        &mut self,
        version: Option<ObjectVersion>,
        value: ShardValue,
        order: u64,
        now: Instant,
    ) {
        self.failures = 0;
        self.retry_at = None;
        // A read may lag and show an older version, which proves nothing.
        if self.doubt.is_some_and(|expected| version > expected) {
            self.doubt = None;
        }
        self.note_finished(&value, now);
        let is_recorded = |want: &Want| {
            let held = value.claims.get(&want.key);
            held.is_some_and(|held| held.attempt == want.claim.attempt)
        };
        let recorded = self.wants.iter().filter(|(_, want)| is_recorded(want));
        for attempt in recorded.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.answer(attempt, ClaimOutcome::Claimed);
        }
        if self.doubt.is_none() {
            for want in self.wants.values_mut() {
                want.may_be_written = false;
            }
            self.settles.retain(|attempt, settle| {
                let held = value.claims.get(&settle.key);
                held.is_some_and(|held| {
                    held.attempt == *attempt && !settle.settling.is_done(held.state)
                })
            });
        }
        self.known = Some(Known {
            version,
            value,
            order,
        });
    }

    fn note_finished(&mut self, value: &ShardValue, now: Instant) {
        let mut seen = IndexMap::new();
        for claim in value
            .claims
            .values()
            .filter(|claim| claim.state.is_finished())
        {
            let at = self.finished_seen.get(&claim.attempt).copied();
            seen.insert(claim.attempt, at.unwrap_or(now));
        }
        self.finished_seen = seen;
    }

    /// A call failed. After a few in a row all that wait are told "not run"; what a lost write may
    /// have recorded for them is given back when the platform answers again.
    fn fail(&mut self, error: &PlatformError, now: Instant) {
        self.failures += 1;
        let doublings = self.failures.min(16) - 1;
        let delay = self.conf.retry_delay.saturating_mul(1 << doublings);
        let delay = self.jittered(delay.min(self.conf.retry_delay_max));
        self.retry_at = Some(now + delay);
        log::warn!("claims: {error}, next try in {} ms", delay.as_millis());
        if self.failures < self.conf.failures_max {
            return;
        }
        for attempt in self.wants.keys().copied().collect::<Vec<_>>() {
            self.turn_away(attempt, ClaimRefusal::PlatformDown, now);
        }
    }

    fn turn_away(&mut self, attempt: AttemptId, why: ClaimRefusal, now: Instant) {
        self.refuse(attempt, why);
        if let Some(key) = self.wants.get(&attempt).map(|want| want.key) {
            self.give_back(key, attempt, now);
        }
    }

    fn refuse(&mut self, attempt: AttemptId, why: ClaimRefusal) {
        let retry_after = self.retry_after();
        let verdict = ClaimOutcome::Unavailable { why, retry_after };
        self.verdicts.push((attempt, verdict));
    }

    fn answer(&mut self, attempt: AttemptId, verdict: ClaimOutcome) {
        self.wants.shift_remove(&attempt);
        self.verdicts.push((attempt, verdict));
    }

    /// Between half and all of `delay`, so that hosts do not come back together.
    fn jittered(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
