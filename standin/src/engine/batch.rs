//! Continuous batching: decides which attempts run in a step, how long the step takes and what it
//! produces. The current time is always passed in.

use std::io;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::Tokens;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

use crate::engine::EngineFaults;
use crate::engine::EngineOptions;
use crate::engine::RunEnd;
use crate::engine::RunLog;
use crate::engine::RunRecord;
use crate::engine::attempt::Attempt;
use crate::engine::attempt::Offer;
use crate::engine::attempt::Phase;
use crate::engine::cache::PrefixCache;
use crate::engine::record::wall_ms;

/// Why an attempt is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// An attempt with this id was accepted before.
    Duplicate,
    /// The attempt is larger than the memory, or the queue is full; holds the reason.
    NoRoom(&'static str),
}

/// The work of one step.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) takes: Duration,
    /// Attempts to prefill, each with the number of prompt tokens.
    prefill: Vec<(String, u64)>,
    /// Attempts that generate one token.
    decode: Vec<String>,
    /// Whether the step prefills a prompt that crashes the engine.
    pub(crate) crashes: bool,
}

/// Memory that is reserved for the leader of a gang.
#[derive(Debug)]
pub(crate) struct Hold {
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
    pub(crate) holds: IndexMap<String, Hold>,
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
            holds: IndexMap::new(),
            cache: PrefixCache::default(),
            log,
            ended_count: 0,
        })
    }

    /// Accepts an attempt, which waits in the queue until the next step.
    pub(crate) fn offer(&mut self, offer: Offer) -> Result<(), Refusal> {
        if self.log.knows(&offer.id) {
            return Err(Refusal::Duplicate);
        }
        let attempt = Attempt::new(offer);
        if attempt.need_tokens() > self.options.memory_tokens {
            return Err(Refusal::NoRoom("larger than the memory"));
        }
        let waiting = self.attempts.values().filter(|a| a.phase == Phase::Waiting);
        let has_room = attempt.need_tokens() <= self.free_tokens_for(&attempt.offer.id);
        if waiting.count() >= self.options.queue_max && !(has_room && self.has_slot()) {
            return Err(Refusal::NoRoom("the queue is full"));
        }
        self.log.start(run_of(&attempt.offer));
        self.attempts.insert(attempt.offer.id.clone(), attempt);
        Ok(())
    }

    /// Reserves memory for a gang, or renews its reservation; returns false when there is not
    /// enough.
    pub(crate) fn hold(&mut self, id: &str, hold: Hold) -> bool {
        let known = self.holds.get(id).map_or(0, |held| held.tokens);
        if hold.tokens > self.free_tokens() + known {
            return false;
        }
        self.holds.insert(id.to_owned(), hold);
        self.fit_cache();
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

    /// Returns the work of the next step, or `None` when there is nothing to do.
    pub(crate) fn plan(&mut self, now: Instant) -> Option<Step> {
        self.expire(now);
        self.admit();
        let mut step = Step::default();
        let mut budget_tokens = self.options.prefill_chunk_tokens;
        for id in self.in_order(|phase| matches!(phase, Phase::Prefill(_))) {
            let Phase::Prefill(left) = self.attempts[&id].phase else {
                continue;
            };
            let chunk = left.min(budget_tokens);
            budget_tokens -= chunk;
            if chunk > 0 {
                step.crashes |= self.attempts[&id].offer.crashes;
                step.prefill.push((id, chunk));
            }
        }
        step.decode = self.in_order(|phase| phase == Phase::Decode);
        step.takes = self.takes(&step);
        let is_empty = step.prefill.is_empty() && step.decode.is_empty();
        (!is_empty).then_some(step)
    }

    /// Applies the results of a step.
    pub(crate) fn apply(&mut self, step: &Step, now: Instant) {
        for (id, chunk) in &step.prefill {
            self.read_in(id, *chunk, now);
        }
        for id in &step.decode {
            self.make_token(id, now);
        }
    }

    /// Returns the memory, in tokens, that neither attempts nor reservations use. Memory of the
    /// cache counts as free.
    pub(crate) fn free_tokens(&self) -> u64 {
        let attempts: u64 = self.attempts.values().map(|a| a.held_tokens).sum();
        let holds: u64 = self.holds.values().map(|hold| hold.tokens).sum();
        self.options.memory_tokens.saturating_sub(attempts + holds)
    }

    /// Returns the current load, altered by the faults. Callers of the API see an older one.
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

    fn expire(&mut self, now: Instant) {
        self.holds.retain(|_, hold| hold.until > now);
        let keep = Duration::from_millis(self.options.keep_ended_ms);
        self.attempts.retain(|_, attempt| match attempt.phase {
            Phase::Ended(at) => attempt.held_tokens > 0 || now < at + keep,
            _ => true,
        });
        let is_late = |a: &&Attempt| !a.has_ended() && a.offer.deadline.is_some_and(|d| d <= now);
        let late = self.attempts.values().filter(is_late);
        let late: Vec<String> = late.map(|a| a.offer.id.clone()).collect();
        for id in late {
            self.end(&id, RunEnd::TimedOut, now);
        }
    }

    /// Starts waiting attempts in order until one of them does not fit.
    fn admit(&mut self) {
        for id in self.in_order(|phase| phase == Phase::Waiting) {
            let need = self.attempts[&id].need_tokens();
            if !self.has_slot() || need > self.free_tokens_for(&id) {
                return;
            }
            self.holds.shift_remove(&id);
            let attempt = &mut self.attempts[&id];
            let cached = self.cache.hit(&attempt.offer.segments);
            attempt.held_tokens = need;
            attempt.phase = Phase::Prefill(attempt.prefill_tokens(cached));
            attempt.progress.send_modify(|p| p.cached_tokens = cached);
            self.fit_cache();
        }
    }

    fn read_in(&mut self, id: &str, chunk: u64, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let Phase::Prefill(left) = attempt.phase else {
            return;
        };
        attempt.prefilled_tokens += chunk;
        self.log.progress(id, attempt.prefilled_tokens, 0);
        if left > chunk {
            attempt.phase = Phase::Prefill(left - chunk);
            return;
        }
        attempt.phase = Phase::Decode;
        let segments = attempt.offer.segments.clone();
        let room = self.free_tokens();
        self.cache.store(&segments, room);
        self.make_token(id, now);
    }

    fn make_token(&mut self, id: &str, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.phase != Phase::Decode {
            return;
        }
        let made = attempt.progress.borrow().output_tokens + 1;
        self.log.progress(id, attempt.prefilled_tokens, made);
        if made < attempt.answer_tokens {
            attempt.progress.send_modify(|p| p.output_tokens = made);
            return;
        }
        attempt.progress.send_if_modified(|p| {
            p.output_tokens = made;
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

    fn takes(&self, step: &Step) -> Duration {
        let prefill: u64 = step.prefill.iter().map(|(_, chunk)| chunk).sum();
        let prefill_s = prefill as f64 / self.options.prefill_tokens_per_second;
        let attempts_us = self.options.step_per_attempt_us * step.decode.len() as u64;
        let base = Duration::from_micros(self.options.step_base_us + attempts_us);
        let takes = base + Duration::from_secs_f64(prefill_s);
        takes.mul_f64(self.faults.slow_factor.max(0.01))
    }

    /// Returns the ids of attempts in the given phases, by priority, then by arrival.
    fn in_order(&self, keep: impl Fn(Phase) -> bool) -> Vec<String> {
        let kept = self.attempts.values().filter(|a| keep(a.phase));
        let mut ids: Vec<(u8, String)> = kept
            .map(|a| (a.offer.priority, a.offer.id.clone()))
            .collect();
        ids.sort_by_key(|(priority, _)| *priority);
        ids.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the free memory in tokens, counting the memory reserved for this attempt as free.
    fn free_tokens_for(&self, id: &str) -> u64 {
        self.free_tokens() + self.holds.get(id).map_or(0, |hold| hold.tokens)
    }

    fn has_slot(&self) -> bool {
        let runs = |a: &&Attempt| matches!(a.phase, Phase::Prefill(_) | Phase::Decode);
        self.attempts.values().filter(runs).count() < self.options.slots
    }

    fn fit_cache(&mut self) {
        let room = self.free_tokens();
        self.cache.shrink_to(room);
    }
}

fn run_of(offer: &Offer) -> RunRecord {
    RunRecord {
        attempt: offer.id.clone(),
        host: offer.host.clone(),
        request_hash: offer.body_hash,
        key: offer.key.clone(),
        path: offer.path.clone(),
        taken_ms: wall_ms(),
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
