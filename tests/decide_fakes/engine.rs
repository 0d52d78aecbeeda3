//! A fake engine with continuous batching in small steps of time.

use std::time::Duration;

use banyanarch::decide::Work;
use banyanarch::decide::engine_priority;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::Priority;
use banyanarch::units::Tokens;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

/// The capacity of the prefix cache in tokens.
const CACHE_TOKENS: u64 = 400_000;
/// The most prompt tokens that one step processes.
const CHUNK_TOKENS: f64 = 512.0;
/// The time of a step without prompt tokens and answers.
const STEP_BASE_SECONDS: f64 = 0.015;
/// The time that each answer adds to a step.
const STEP_PER_ANSWER_SECONDS: f64 = 0.000_2;

pub struct Engine {
    /// The memory in tokens.
    pub memory: u64,
    /// The most attempts that run at the same time.
    pub slots: usize,
    /// The nominal prefill speed in tokens a second.
    pub speed: f64,
    /// The ratio of the engine's actual to its nominal speed.
    pub pace: f64,
    /// Whether prefill of a lower priority waits for prefill of a higher one.
    pub honours_priority: bool,
    pub is_dead: bool,
    pub jobs: IndexMap<AttemptId, Job>,
    /// The lengths of the prefixes in the cache, the oldest first.
    cache: IndexMap<ContentHash, u64>,
    /// The time in seconds that has passed and that no step has used yet.
    time_left: f64,
    /// The step under way, as [`Engine::plan`] gives it.
    plan: Option<(f64, Vec<(AttemptId, f64)>)>,
}

/// The part of an attempt that one engine processes.
pub struct Job {
    priority: Priority,
    memory: u64,
    is_running: bool,
    pub prefill_left: f64,
    pub output_left: f64,
    pub cached: u64,
    prefixes: Vec<(ContentHash, Tokens)>,
}

/// An event of a job in one step.
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
            pace: 1.0,
            honours_priority: true,
            is_dead: false,
            jobs: IndexMap::new(),
            cache: IndexMap::new(),
            time_left: 0.0,
            plan: None,
        }
    }

    pub fn has_room(&self, memory: u64) -> bool {
        let held: u64 = self.jobs.values().map(|job| job.memory).sum();
        held + memory <= self.memory
    }

    /// Queues an attempt that runs on `members` engines and generates `output` tokens.
    pub fn start(&mut self, attempt: AttemptId, work: &Work, output: u64, members: u64) {
        let cached_prefix = work
            .prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.cache.contains_key(hash));
        let cached = cached_prefix.map_or(0, |(_, tokens)| tokens.0);
        let job = Job {
            priority: engine_priority(work),
            memory: work.memory_tokens().0.div_ceil(members),
            is_running: false,
            prefill_left: (work.prompt_tokens.0 - cached) as f64 / members as f64,
            output_left: output.max(1) as f64,
            cached,
            prefixes: work.prefixes.clone(),
        };
        self.jobs.insert(attempt, job);
    }

    /// Advances the engine by `dt`, in as many steps as fit. Each step processes one chunk of
    /// prompt tokens and generates one token for each attempt that is past its prefill.
    pub fn step(&mut self, dt: Duration, events: &mut Vec<Event>) {
        self.time_left += dt.as_secs_f64() * self.pace;
        loop {
            if self.plan.is_none() {
                self.start_queued();
                self.plan = self.plan();
            }
            let Some((step_seconds, _)) = &self.plan else {
                self.time_left = 0.0;
                return;
            };
            if *step_seconds > self.time_left {
                return;
            }
            self.time_left -= step_seconds;
            let (_, chunks) = self.plan.take().unwrap();
            self.apply(&chunks, events);
        }
    }

    /// The time of the next step in seconds, and the prompt tokens that the step processes of each
    /// attempt.
    fn plan(&self) -> Option<(f64, Vec<(AttemptId, f64)>)> {
        let running = || self.jobs.iter().filter(|(_, job)| job.is_running);
        let mut prefills: Vec<_> = running()
            .filter(|(_, job)| job.prefill_left > 0.0)
            .collect();
        if self.honours_priority {
            prefills.sort_by_key(|(_, job)| job.priority);
        }
        let mut budget = CHUNK_TOKENS;
        let count = prefills.len() as f64;
        let mut chunks = Vec::new();
        for (attempt, job) in &prefills {
            let chunk_max = if self.honours_priority {
                budget
            } else {
                CHUNK_TOKENS / count
            };
            let chunk = job.prefill_left.min(chunk_max);
            budget -= chunk;
            chunks.push((**attempt, chunk));
        }
        let answers = running().count() - prefills.len();
        let step_seconds = STEP_BASE_SECONDS
            + STEP_PER_ANSWER_SECONDS * answers as f64
            + (CHUNK_TOKENS - budget) / self.speed;
        (running().count() > 0).then_some((step_seconds, chunks))
    }

    fn apply(&mut self, chunks: &[(AttemptId, f64)], events: &mut Vec<Event>) {
        for (attempt, job) in &mut self.jobs {
            if job.is_running && job.prefill_left <= 0.0 {
                job.output_left -= 1.0;
                if job.output_left <= 0.0 {
                    events.push(Event::End(*attempt));
                }
            }
        }
        for (attempt, chunk) in chunks {
            let Some(job) = self.jobs.get_mut(attempt) else {
                continue;
            };
            job.prefill_left -= chunk;
            if job.prefill_left < 0.01 && *chunk > 0.0 {
                job.prefill_left = 0.0;
                events.push(Event::FirstToken(*attempt));
                self.cache
                    .extend(job.prefixes.iter().map(|(hash, tokens)| (*hash, tokens.0)));
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

    /// Starts queued jobs while there are slots and memory, in the order of priority and arrival.
    fn start_queued(&mut self) {
        let running = || self.jobs.values().filter(|job| job.is_running);
        let mut slots = self.slots.saturating_sub(running().count());
        let mut free = self.memory - running().map(|job| job.memory).sum::<u64>();
        let mut queued: Vec<&mut Job> = self.jobs.values_mut().filter(|j| !j.is_running).collect();
        queued.sort_by_key(|job| job.priority);
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
