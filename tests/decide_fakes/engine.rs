//! One fake engine: continuous batching in small steps of time.

use std::time::Duration;

use banyanarch::decide::Work;
use banyanarch::decide::engine_priority;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::Priority;
use banyanarch::units::Tokens;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

/// Tokens that the prefix cache holds.
const CACHE_TOKENS: u64 = 400_000;

pub struct Engine {
    pub memory: u64,
    pub slots: usize,
    pub speed: f64,
    /// The time between two tokens of an answer when little runs.
    pub gap: f64,
    /// Whether prefill of a lower rank waits for that of a higher one.
    pub honours_rank: bool,
    pub is_dead: bool,
    pub jobs: IndexMap<AttemptId, Job>,
    cache: IndexMap<ContentHash, u64>,
}

pub struct Job {
    rank: Priority,
    memory: u64,
    is_running: bool,
    prefill_left: f64,
    output_left: f64,
    pub cached: u64,
    prefixes: Vec<(ContentHash, Tokens)>,
}

/// What became of a job in one step.
pub enum Event {
    FirstToken(AttemptId),
    End(AttemptId),
}

impl Engine {
    pub fn new(memory: u64, speed: f64) -> Self {
        Self {
            memory,
            slots: 32,
            speed,
            gap: 0.025,
            honours_rank: false,
            is_dead: false,
            jobs: IndexMap::new(),
            cache: IndexMap::new(),
        }
    }

    pub fn has_room(&self, memory: u64) -> bool {
        let held: u64 = self.jobs.values().map(|job| job.memory).sum();
        held + memory <= self.memory
    }

    /// Starts an attempt of which this engine is one of `members`; `output` is what it will answer.
    pub fn start(&mut self, attempt: AttemptId, work: &Work, output: u64, members: u64) {
        let hit = work
            .prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.cache.contains_key(hash));
        let cached = hit.map_or(0, |(_, tokens)| tokens.0);
        let job = Job {
            rank: engine_priority(work),
            memory: work.memory_tokens().0.div_ceil(members),
            is_running: false,
            prefill_left: (work.prompt_tokens.0 - cached) as f64 / members as f64,
            output_left: output.max(1) as f64,
            cached,
            prefixes: work.prefixes.clone(),
        };
        self.jobs.insert(attempt, job);
    }

    pub fn step(&mut self, dt: Duration, events: &mut Vec<Event>) {
        self.take_in();
        let running = self.jobs.values().filter(|job| job.is_running).count() as f64;
        let mut budget = self.speed * dt.as_secs_f64() * (1.0 - 0.3 * running / self.slots as f64);
        let prefills = |job: &Job| job.is_running && job.prefill_left > 0.0;
        let is_prefilling = self.jobs.values().any(prefills);
        let gap =
            self.gap * (1.0 + running / self.slots as f64) * if is_prefilling { 2.0 } else { 1.0 };
        let tokens = dt.as_secs_f64() / gap;
        for (attempt, job) in &mut self.jobs {
            if job.is_running && job.prefill_left <= 0.0 {
                job.output_left -= tokens;
                if job.output_left <= 0.0 {
                    events.push(Event::End(*attempt));
                }
            }
        }
        while budget > 0.01 && self.jobs.values().any(prefills) {
            let best = self
                .jobs
                .values()
                .filter(|job| prefills(job))
                .map(|job| job.rank)
                .min();
            let chosen = |job: &Job, all: bool| prefills(job) && (all || Some(job.rank) == best);
            let all = !self.honours_rank;
            let count = self.jobs.values().filter(|job| chosen(job, all)).count() as f64;
            let share = budget / count;
            for (attempt, job) in self.jobs.iter_mut().filter(|(_, job)| chosen(job, all)) {
                let done = job.prefill_left.min(share);
                job.prefill_left -= done;
                budget -= done;
                if job.prefill_left <= 0.01 {
                    job.prefill_left = 0.0;
                    events.push(Event::FirstToken(*attempt));
                    self.cache
                        .extend(job.prefixes.iter().map(|(hash, tokens)| (*hash, tokens.0)));
                }
            }
        }
        while self.cache.values().sum::<u64>() > CACHE_TOKENS {
            self.cache.shift_remove_index(0);
        }
    }

    pub fn report(&self) -> LoadReport {
        let running = || self.jobs.values().filter(|job| job.is_running);
        let backlog: f64 = self.jobs.values().map(|job| job.prefill_left).sum();
        LoadReport {
            running: running().count() as u64,
            waiting: (self.jobs.len() - running().count()) as u64,
            used_tokens: Tokens(running().map(|job| job.memory).sum()),
            capacity_tokens: Tokens(self.memory),
            prefill_backlog_tokens: Tokens(backlog as u64),
            prefill_tokens_per_second: self.speed,
        }
    }

    /// Lets jobs in that fit, in order of rank and arrival.
    fn take_in(&mut self) {
        let running = || self.jobs.values().filter(|job| job.is_running);
        let mut slots = self.slots.saturating_sub(running().count());
        let mut free = self.memory - running().map(|job| job.memory).sum::<u64>();
        let mut queued: Vec<&mut Job> = self.jobs.values_mut().filter(|j| !j.is_running).collect();
        queued.sort_by_key(|job| job.rank);
        for job in queued {
            if slots == 0 || job.memory > free {
                break;
            }
            job.is_running = true;
            slots -= 1;
            free -= job.memory;
        }
    }
}
