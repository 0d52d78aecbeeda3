//! A simulation of a workload against one policy, or against several that share the engines.

use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::AttemptSummary;
use banyanarch::decide::Decision;
use banyanarch::decide::FailedAttempt;
use banyanarch::decide::Grant;
use banyanarch::decide::Policy;
use banyanarch::decide::RetryBudget;
use banyanarch::decide::RetryDecision;
use banyanarch::decide::UpstreamHealth;
use banyanarch::decide::UpstreamInfo;
use banyanarch::decide::Work;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::GrantId;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

use super::Engine;
use super::Outcome;
use super::Outcomes;
use super::Workload;
use super::engine::Event;

/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// The interval of load reports, and the age of a report at its delivery.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Engines and policies under a manual clock.
pub struct Simulation {
    clock: ManualClock,
    policies: Vec<Box<dyn Policy>>,
    pub engines: Vec<Engine>,
    running_attempts: IndexMap<AttemptId, RunningAttempt>,
    outcomes: Vec<Outcome>,
    /// Requests to retry, each with its time, its index and the engines on which it failed.
    retries: Vec<(Instant, usize, Vec<UpstreamId>)>,
    budget: Option<RetryBudget>,
    /// The engines that fail, with the start and the end of the outage in seconds.
    pub outage: Option<(std::ops::Range<usize>, f64, f64)>,
    /// Alters each load report before it is delivered.
    pub alter_report: fn(&LoadReport) -> LoadReport,
    /// The real time that the policies have taken for their decisions.
    pub decision_time: Duration,
    start: Instant,
}

/// An attempt that has not ended.
struct RunningAttempt {
    /// The index of the request in the outcomes.
    request_index: usize,
    /// The index of the policy that granted the attempt.
    policy: usize,
    /// The indexes of the engines that run the attempt, the leader first.
    engines: Vec<usize>,
    work: Work,
    since: Instant,
    prefills_left: usize,
    first_token: Option<Duration>,
    cached: u64,
}

impl Simulation {
    pub fn new(engines: Vec<Engine>, policies: Vec<Box<dyn Policy>>) -> Self {
        let clock = ManualClock::new();
        let start = clock.now();
        Self {
            clock,
            policies,
            engines,
            running_attempts: IndexMap::new(),
            outcomes: Vec::new(),
            retries: Vec::new(),
            budget: None,
            outage: None,
            alter_report: Clone::clone,
            decision_time: Duration::ZERO,
            start,
        }
    }

    /// Runs the workload to its end and returns the outcomes in the order of the requests.
    pub fn run(mut self, load: Workload) -> (Outcomes, Self) {
        let mut requests = load.requests;
        requests.sort_by_key(|request| request.at);
        let last = requests
            .iter()
            .map(|request| request.at + request.timeout)
            .max()
            .unwrap_or_default();
        self.outcomes = requests.iter().map(Outcome::of).collect();
        self.register_engines();
        let mut reports: Vec<LoadReport> = self.engines.iter().map(Engine::report).collect();
        let (mut next, mut elapsed) = (0, Duration::ZERO);
        while elapsed <= last && (next < requests.len() || !self.is_idle()) {
            while requests
                .get(next)
                .is_some_and(|request| request.at <= elapsed)
            {
                self.offer(next, Vec::new());
                next += 1;
            }
            self.offer_retries();
            self.poll();
            self.apply_outage(elapsed.as_secs_f64());
            self.step();
            if elapsed.as_millis() % REPORT_INTERVAL.as_millis() == 0 {
                self.deliver_reports(&reports);
                reports = self.engines.iter().map(Engine::report).collect();
            }
            self.clock.advance(STEP);
            elapsed += STEP;
        }
        (Outcomes(std::mem::take(&mut self.outcomes)), self)
    }

    /// Lets hosts retry failed attempts within a budget.
    pub fn enable_retries(&mut self, budget: impl FnOnce(Instant) -> RetryBudget) {
        self.budget = Some(budget(self.start));
    }

    fn is_idle(&self) -> bool {
        let now = self.clock.now();
        let is_waiting = |policy: &dyn Policy| policy.load(now).waiting > 0;
        self.running_attempts.is_empty()
            && self.retries.is_empty()
            && !self.policies.iter().any(|policy| is_waiting(&**policy))
    }

    fn register_engines(&mut self) {
        let listed: Vec<UpstreamInfo> = (0..self.engines.len())
            .map(|index| UpstreamInfo {
                id: engine_id(index),
                memory_tokens: Tokens(self.engines[index].memory),
                slots: self.engines[index].slots as u32,
                health: UpstreamHealth::Live,
            })
            .collect();
        for policy in &mut self.policies {
            policy.set_upstreams(&listed, self.clock.now());
        }
    }

    fn offer(&mut self, request_index: usize, avoid: Vec<UpstreamId>) {
        let outcome = &mut self.outcomes[request_index];
        let request = &outcome.request;
        outcome.attempts += 1;
        let prefixes = request
            .prefix
            .map(|(hash, tokens)| (ContentHash(hash), Tokens(tokens)));
        let policy = request_index % self.policies.len();
        let work = Work {
            // The low half of the id is the index of the request, the high half the attempt.
            request: RequestId(request_index as u128 | (u128::from(outcome.attempts) << 64)),
            host: format!("host-{policy}").parse().unwrap(),
            customer: request.customer.parse().unwrap(),
            priority: banyanarch::units::Priority(request.priority),
            prompt_tokens: Tokens(request.prompt),
            output_tokens: Tokens(request.output_max),
            prefixes: prefixes.into_iter().collect(),
            deadline: self.start + request.at + request.timeout,
            avoid,
        };
        self.timed(|policies, now| policies[policy].offer(work, now));
    }

    fn offer_retries(&mut self) {
        let now = self.clock.now();
        let (due, later) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|a| a.0 <= now);
        self.retries = later;
        let due: Vec<(Instant, usize, Vec<UpstreamId>)> = due;
        for (_, request_index, avoid) in due {
            self.offer(request_index, avoid);
        }
    }

    fn poll(&mut self) {
        for index in 0..self.policies.len() {
            for decision in self.timed(|policies, now| policies[index].poll(now)) {
                match decision {
                    Decision::Dispatch(grant) => self.dispatch(index, &grant),
                    Decision::Refuse {
                        request, reason, ..
                    } => {
                        self.outcomes[request.0 as u32 as usize].refused = Some(reason);
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, policy: usize, grant: &Grant) {
        let request_index = grant.request.0 as u32 as usize;
        let index = |id: &UpstreamId| id.as_str()[7..].parse().unwrap();
        let engines: Vec<usize> = grant.upstreams.iter().map(index).collect();
        let live = self.policies[policy].live_grants();
        let work = live
            .into_iter()
            .find(|live| live.id == grant.id)
            .unwrap()
            .work;
        let attempt = AttemptId(grant.id.0);
        let members = engines.len() as u64;
        let share = work.memory_tokens().0.div_ceil(members);
        let running = RunningAttempt {
            request_index,
            policy,
            engines: engines.clone(),
            work: work.clone(),
            since: self.clock.now(),
            prefills_left: engines.len(),
            first_token: None,
            cached: 0,
        };
        self.outcomes[request_index].engines = engines.clone();
        self.running_attempts.insert(attempt, running);
        let has_room = |index: &usize| members == 1 || self.engines[*index].has_room(share);
        if engines.iter().any(|index| self.engines[*index].is_dead) {
            self.end(attempt, AttemptOutcome::NotSent);
        } else if !engines.iter().all(has_room) {
            self.end(attempt, AttemptOutcome::Refused);
        } else {
            let output = self.outcomes[request_index].request.output;
            for index in engines {
                self.engines[index].start(attempt, &work, output, members);
                self.running_attempts[&attempt].cached = self.engines[index].jobs[&attempt].cached;
            }
        }
    }

    fn step(&mut self) {
        let now = self.clock.now() + STEP;
        let mut events = Vec::new();
        for engine in self.engines.iter_mut().filter(|engine| !engine.is_dead) {
            engine.step(STEP, &mut events);
        }
        for event in events {
            match event {
                Event::FirstToken(attempt) => {
                    let running = &mut self.running_attempts[&attempt];
                    running.prefills_left -= 1;
                    if running.prefills_left == 0 {
                        running.first_token = Some(now - running.since);
                        let outcome = &mut self.outcomes[running.request_index];
                        outcome.first_token = Some(now - self.start - outcome.request.at);
                    }
                }
                Event::End(attempt) => {
                    if self
                        .running_attempts
                        .get(&attempt)
                        .is_some_and(|running| running.prefills_left == 0)
                    {
                        self.end(attempt, AttemptOutcome::Completed);
                    }
                }
            }
        }
        let is_overdue = |running: &RunningAttempt| running.work.deadline <= now;
        let overdue: Vec<AttemptId> = self
            .running_attempts
            .iter()
            .filter(|(_, running)| is_overdue(running))
            .map(|(id, _)| *id)
            .collect();
        for attempt in overdue {
            self.end(attempt, AttemptOutcome::Cancelled);
        }
    }

    fn end(&mut self, attempt: AttemptId, ended: AttemptOutcome) {
        let running = self.running_attempts.swap_remove(&attempt).unwrap();
        let output_left = self.engines[running.engines[0]]
            .jobs
            .get(&attempt)
            .map_or(0.0, |job| job.output_left);
        for index in &running.engines {
            self.engines[*index].jobs.shift_remove(&attempt);
        }
        let now = self.clock.now() + STEP;
        let outcome = &mut self.outcomes[running.request_index];
        let is_completed = ended == AttemptOutcome::Completed;
        if is_completed {
            outcome.completed = Some(now - self.start - outcome.request.at);
        }
        let done = AttemptSummary {
            ended,
            first_token: running.first_token,
            total: now - running.since,
            prompt_tokens: if is_completed {
                running.work.prompt_tokens
            } else {
                Tokens::ZERO
            },
            cached_tokens: Tokens(running.cached),
            output_tokens: Tokens(
                outcome.request.output - (output_left as u64).min(outcome.request.output),
            ),
        };
        if matches!(
            ended,
            AttemptOutcome::Failed | AttemptOutcome::NotSent | AttemptOutcome::Refused
        ) {
            self.retry(&running, ended, now);
        }
        self.timed(|policies, now| policies[running.policy].finish(GrantId(attempt.0), done, now));
    }

    fn retry(&mut self, running: &RunningAttempt, ended: AttemptOutcome, now: Instant) {
        let Some(budget) = &mut self.budget else {
            return;
        };
        let failed = FailedAttempt {
            attempts: self.outcomes[running.request_index].attempts,
            did_not_run: ended != AttemptOutcome::Failed,
            is_repeatable: true,
            response_started: false,
            retry_after: None,
            deadline: running.work.deadline,
        };
        if failed.attempts == 1 {
            budget.on_first_attempt();
        }
        if let RetryDecision::Retry { after } = budget.decide(&failed, now) {
            let mut avoid = running.work.avoid.clone();
            avoid.extend(running.engines.iter().map(|index| engine_id(*index)));
            self.retries
                .push((now + after, running.request_index, avoid));
        }
    }

    fn apply_outage(&mut self, seconds: f64) {
        let Some((engines, from, to)) = self.outage.clone() else {
            return;
        };
        for index in engines {
            let is_dead = (from..to).contains(&seconds);
            let lost: Vec<AttemptId> = self.engines[index].jobs.keys().copied().collect();
            self.engines[index].is_dead = is_dead;
            for attempt in lost.into_iter().filter(|_| is_dead) {
                self.end(attempt, AttemptOutcome::Failed);
            }
        }
    }

    fn deliver_reports(&mut self, reports: &[LoadReport]) {
        for (index, report) in reports.iter().enumerate() {
            let report = (self.alter_report)(report);
            for policy in &mut self.policies {
                policy.on_load_report(&engine_id(index), &report, self.clock.now());
            }
        }
    }

    fn timed<R>(&mut self, call: impl FnOnce(&mut [Box<dyn Policy>], Instant) -> R) -> R {
        let started_at = Instant::now();
        let result = call(&mut self.policies, self.clock.now());
        self.decision_time += started_at.elapsed();
        result
    }
}

pub fn engine_id(index: usize) -> UpstreamId {
    format!("engine-{index:02}").parse().unwrap()
}

impl Outcome {
    fn of(request: &super::RequestSpec) -> Self {
        Self {
            request: request.clone(),
            first_token: None,
            completed: None,
            refused: None,
            engines: Vec::new(),
            attempts: 0,
        }
    }
}
