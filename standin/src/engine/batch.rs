//! Continuous batching: decides which attempts run in a step, how long the step takes and what it
//! produces. The current time is always passed in.

use std::io;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::BoundedTime;
use banyanarch::units::Tokens;
use banyanarch::units::seconds;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

use crate::engine::EngineFaults;
use crate::engine::EngineOptions;
use crate::engine::RunEnd;
use crate::engine::RunLog;
use crate::engine::RunRecord;
use crate::engine::attempt::Attempt;
use crate::engine::attempt::AttemptSpec;
use crate::engine::attempt::Phase;
use crate::engine::cache::PrefixCache;
use crate::engine::record::unix_time_ms;

/// Why an attempt is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// An attempt with this id was accepted before.
    Duplicate,
    /// The attempt is larger than the memory, or the queue is full; holds the reason.
    NoCapacity(&'static str),
}

/// The work of one step.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) duration: Duration,
    /// Attempts to prefill, each with the number of prompt tokens.
    prefill: Vec<(String, u64)>,
    /// Attempts that generate one token.
    decode: Vec<String>,
    /// Whether the step prefills a prompt that crashes the engine.
    pub(crate) crashes: bool,
}

/// Memory that is reserved for the leader of a gang.
#[derive(Debug)]
pub(crate) struct GangReservation {
    pub(crate) host: String,
    pub(crate) tokens: u64,
    pub(crate) until: Instant,
}

/// All attempts of an engine, with the state of its memory.
#[derive(Debug)]
pub(crate) struct Batch {
    options: EngineOptions,
    pub(crate) faults: EngineFaults,
    pub(crate) attempts: IndexMap<String, Attempt>,
    pub(crate) reservations: IndexMap<String, GangReservation>,
    pub(crate) cache: PrefixCache,
    pub(crate) log: RunLog,
    ended_count: u64,
}

impl Batch {
    pub(crate) fn new(options: EngineOptions) -> io::Result<Self> {
        let log = RunLog::new(options.record_file.as_deref())?;
        Ok(Self {
            options,
            faults: EngineFaults::default(),
            attempts: IndexMap::new(),
            reservations: IndexMap::new(),
            cache: PrefixCache::default(),
            log,
            ended_count: 0,
        })
    }

    /// Accepts an attempt, which waits in the queue until the next step.
    pub(crate) fn submit(&mut self, spec: AttemptSpec) -> Result<(), SubmitError> {
        if self.log.contains(&spec.id) {
            return Err(SubmitError::Duplicate);
        }
        let attempt = Attempt::new(spec);
        if attempt.required_tokens() > self.options.memory_tokens {
            return Err(SubmitError::NoCapacity(
                "the attempt is larger than the memory",
            ));
        }
        let waiting = self.attempts.values().filter(|a| a.phase == Phase::Waiting);
        let fits_now = attempt.required_tokens() <= self.free_tokens_for(&attempt.spec.id);
        if waiting.count() >= self.options.queue_max && !(fits_now && self.has_slot()) {
            return Err(SubmitError::NoCapacity("the queue is full"));
        }
        self.log.start(new_run_record(&attempt.spec));
        self.attempts.insert(attempt.spec.id.clone(), attempt);
        Ok(())
    }

    /// Reserves memory for a gang, or renews its reservation; returns false when there is not
    /// enough.
    pub(crate) fn reserve(&mut self, id: &str, reservation: GangReservation) -> bool {
        let renewed_tokens = self
            .reservations
            .get(id)
            .map_or(0, |reservation| reservation.tokens);
        if reservation.tokens > self.free_tokens() + renewed_tokens {
            return false;
        }
        self.reservations.insert(id.to_owned(), reservation);
        self.shrink_cache();
        true
    }

    /// Cancels an attempt and frees its memory, including memory kept by a leak; returns false when
    /// there is no such attempt.
    pub(crate) fn cancel(&mut self, id: &str, now: Instant) -> bool {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return false;
        };
        if attempt.has_ended() {
            attempt.held_tokens = 0;
        } else {
            self.end(id, RunEnd::Cancelled, now);
            self.attempts[id].held_tokens = 0;
        }
        true
    }

    /// Ends an attempt as failed.
    pub(crate) fn fail(&mut self, id: &str, now: Instant) {
        self.end(id, RunEnd::Failed, now);
    }

    /// Removes what has expired, starts waiting attempts that fit, and returns the work of the next
    /// step, or `None` when there is nothing to do.
    pub(crate) fn plan_step(&mut self, now: Instant) -> Option<Step> {
        self.remove_expired(now);
        self.admit();
        let mut step = Step::default();
        let mut budget_tokens = self.options.prefill_chunk_tokens;
        for id in self.ids_in_order(|phase| matches!(phase, Phase::Prefill(_))) {
            let Phase::Prefill(remaining) = self.attempts[&id].phase else {
                continue;
            };
            let chunk = remaining.min(budget_tokens);
            budget_tokens -= chunk;
            if chunk > 0 {
                step.crashes |= self.attempts[&id].spec.crashes;
                step.prefill.push((id, chunk));
            }
        }
        step.decode = self.ids_in_order(|phase| phase == Phase::Decode);
        step.duration = self.step_duration(&step);
        let is_empty = step.prefill.is_empty() && step.decode.is_empty();
        (!is_empty).then_some(step)
    }

    /// Applies the results of a step.
    pub(crate) fn apply_step(&mut self, step: &Step, now: Instant) {
        for (id, chunk) in &step.prefill {
            self.prefill(id, *chunk, now);
        }
        for id in &step.decode {
            self.generate_token(id, now);
        }
    }

    /// Returns the memory, in tokens, that neither attempts nor reservations use. Memory of the
    /// cache counts as free.
    pub(crate) fn free_tokens(&self) -> u64 {
        let attempts: u64 = self.attempts.values().map(|a| a.held_tokens).sum();
        let reservations: u64 = self
            .reservations
            .values()
            .map(|reservation| reservation.tokens)
            .sum();
        self.options
            .memory_tokens
            .saturating_sub(attempts + reservations)
    }

    /// Returns the current load, altered by the faults. The API reports it only after the report
    /// lag.
    pub(crate) fn load(&self) -> LoadReport {
        let count = |keep: fn(&Attempt) -> bool| self.attempts.values().filter(|a| keep(a)).count();
        let waiting = count(|a| a.phase == Phase::Waiting);
        let ended = count(Attempt::has_ended);
        let backlog: u64 = self.attempts.values().map(Attempt::backlog_tokens).sum();
        let used = self.options.memory_tokens - self.free_tokens();
        let factor = match self.faults.lose_memory_count {
            true => 0.0,
            false => self.faults.report_factor,
        };
        LoadReport {
            running: scaled((self.attempts.len() - waiting - ended) as u64, factor),
            waiting: scaled(waiting as u64, factor),
            used_tokens: Tokens(scaled(used, factor)),
            capacity_tokens: Tokens(self.options.memory_tokens),
            prefill_backlog_tokens: Tokens(scaled(backlog, factor)),
            prefill_tokens_per_second: self.options.prefill_tokens_per_second,
        }
    }

    /// Removes expired reservations and attempts that ended long ago, and ends attempts whose
    /// deadline has passed.
    fn remove_expired(&mut self, now: Instant) {
        self.reservations
            .retain(|_, reservation| reservation.until > now);
        let keep = Duration::from_millis(self.options.keep_ended_ms);
        self.attempts.retain(|_, attempt| match attempt.phase {
            Phase::Ended(ended_at) => attempt.held_tokens > 0 || now < ended_at + keep,
            _ => true,
        });
        let is_past_deadline =
            |a: &&Attempt| !a.has_ended() && a.spec.deadline.is_some_and(|d| d <= now);
        let late_ids = self.attempts.values().filter(is_past_deadline);
        let late_ids: Vec<String> = late_ids.map(|a| a.spec.id.clone()).collect();
        for id in late_ids {
            self.end(&id, RunEnd::TimedOut, now);
        }
    }

    /// Starts waiting attempts in order until one of them does not fit.
    fn admit(&mut self) {
        for id in self.ids_in_order(|phase| phase == Phase::Waiting) {
            let required = self.attempts[&id].required_tokens();
            if !self.has_slot() || required > self.free_tokens_for(&id) {
                return;
            }
            self.reservations.shift_remove(&id);
            let attempt = &mut self.attempts[&id];
            let cached = self.cache.touch_cached(&attempt.spec.segments);
            attempt.held_tokens = required;
            attempt.phase = Phase::Prefill(attempt.prefill_tokens(cached));
            attempt.progress.send_modify(|p| p.cached_tokens = cached);
            self.shrink_cache();
        }
    }

    /// Prefills `chunk` tokens of an attempt. With the last chunk the prompt is cached and the
    /// first token is generated.
    fn prefill(&mut self, id: &str, chunk: u64, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let Phase::Prefill(remaining) = attempt.phase else {
            return;
        };
        attempt.prefilled_tokens += chunk;
        self.log.progress(id, attempt.prefilled_tokens, 0);
        if remaining > chunk {
            attempt.phase = Phase::Prefill(remaining - chunk);
            return;
        }
        attempt.phase = Phase::Decode;
        let segments = attempt.spec.segments.clone();
        let free_tokens = self.free_tokens();
        self.cache.store(&segments, free_tokens);
        self.generate_token(id, now);
    }

    /// Generates one token of an attempt, and ends the attempt with the last one.
    fn generate_token(&mut self, id: &str, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.phase != Phase::Decode {
            return;
        }
        let output_tokens = attempt.progress.borrow().output_tokens + 1;
        self.log
            .progress(id, attempt.prefilled_tokens, output_tokens);
        if output_tokens < attempt.answer_tokens {
            attempt
                .progress
                .send_modify(|p| p.output_tokens = output_tokens);
            return;
        }
        attempt.progress.send_if_modified(|p| {
            p.output_tokens = output_tokens;
            false
        });
        self.end(id, RunEnd::Completed, now);
    }

    /// Ends an attempt. With the leak fault it may keep its memory, which the list of attempts then
    /// still shows.
    fn end(&mut self, id: &str, end: RunEnd, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        self.ended_count += 1;
        let one_in = self.faults.leak_one_in;
        let leaks = one_in > 0 && self.ended_count.is_multiple_of(one_in);
        if !leaks {
            attempt.held_tokens = 0;
        }
        attempt.phase = Phase::Ended(now);
        attempt.progress.send_modify(|p| p.end = Some(end));
        self.log.end(id, end);
    }

    fn step_duration(&self, step: &Step) -> Duration {
        let prefill: u64 = step.prefill.iter().map(|(_, chunk)| chunk).sum();
        let prefill_s = prefill as f64 / self.options.prefill_tokens_per_second;
        let attempts_us = self.options.step_per_attempt_us * step.decode.len() as u64;
        let base = Duration::from_micros(self.options.step_base_us + attempts_us);
        let duration = base + seconds(prefill_s);
        duration.scaled(self.faults.slow_factor.max(0.01))
    }

    /// Returns the ids of attempts in the given phases, by priority, then by arrival.
    fn ids_in_order(&self, keep: impl Fn(Phase) -> bool) -> Vec<String> {
        let kept = self.attempts.values().filter(|a| keep(a.phase));
        let mut ids: Vec<(u8, String)> =
            kept.map(|a| (a.spec.priority, a.spec.id.clone())).collect();
        ids.sort_by_key(|(priority, _)| *priority);
        ids.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the free memory in tokens, counting the memory reserved for this attempt as free.
    fn free_tokens_for(&self, id: &str) -> u64 {
        self.free_tokens()
            + self
                .reservations
                .get(id)
                .map_or(0, |reservation| reservation.tokens)
    }

    fn has_slot(&self) -> bool {
        let runs = |a: &&Attempt| matches!(a.phase, Phase::Prefill(_) | Phase::Decode);
        self.attempts.values().filter(runs).count() < self.options.slots
    }

    fn shrink_cache(&mut self) {
        let free_tokens = self.free_tokens();
        self.cache.shrink_to(free_tokens);
    }
}

fn new_run_record(spec: &AttemptSpec) -> RunRecord {
    RunRecord {
        attempt: spec.id.clone(),
        host: spec.host.clone(),
        request_hash: spec.body_hash,
        key: spec.key.clone(),
        path: spec.path.clone(),
        taken_ms: unix_time_ms(),
        ended_ms: None,
        end: None,
        prefilled_tokens: 0,
        output_tokens: 0,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a report is a rough figure"
)]
#[expect(
    clippy::cast_sign_loss,
    reason = "neither the count nor the factor is negative"
)]
fn scaled(count: u64, factor: f64) -> u64 {
    (count as f64 * factor.max(0.0)) as u64
}
