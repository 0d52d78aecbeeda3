//! Simulation of hosts that claim keys in one shard object, with engines that record what ran.

use std::time::Duration;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::control::claims::ClaimConf;
use banyanarch::control::claims::ClaimKey;
use banyanarch::control::claims::ClaimOutcome;
use banyanarch::control::claims::ClaimShard;
use banyanarch::control::claims::ClaimState;
use banyanarch::control::claims::ShardAction;
use banyanarch::control::outcome::Outcome;
use banyanarch::control::outcome::RunTracker;
use banyanarch::objects::Object;
use banyanarch::objects::PlatformError;
use banyanarch::units::AttemptId;
use banyanarch::units::ObjectVersion;
use banyanarch::upstream::UpstreamError;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::claim_history::KeyHistory;
use super::claim_history::KeyOp;
use crate::fakes::make::claim;
use crate::fakes::make::claim_key;
use crate::fakes::make::host;
use crate::fakes::object::FakeObject;
use crate::fakes::object::Fault;

pub(crate) const HOSTS: usize = 3;
const KEYS: usize = 2;

/// How an engine handles an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EngineResult {
    Completes,
    Refuses,
    CrashesBeforeRun,
    CrashesAfterRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A caller sends a request with a key to a host.
    Send { host: usize, key: usize },
    /// A host's call to the platform advances: it is started, takes effect, or is answered.
    Call { host: usize, fault: Fault },
    /// The oldest waiting request of a host is abandoned.
    Abandon { host: usize },
    /// The oldest recorded claim of a host is dispatched, after any delay.
    Dispatch { host: usize, result: EngineResult },
    /// A host dies, and a new process replaces it.
    Kill { host: usize },
    /// Delayed writes arrive.
    ApplyDelayed,
    /// The clock advances.
    Advance { ms: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        6 => proptest::strategy::Just(Fault::None),
        1 => proptest::strategy::Just(Fault::Unavailable),
        1 => proptest::strategy::Just(Fault::AnswerLost),
        2 => proptest::strategy::Just(Fault::Delayed),
    ];
    let result = any::<u8>().prop_map(|n| match n % 5 {
        0 => EngineResult::Refuses,
        1 => EngineResult::CrashesBeforeRun,
        2 => EngineResult::CrashesAfterRun,
        _ => EngineResult::Completes,
    });
    prop_oneof![
        4 => (0..HOSTS, 0..KEYS).prop_map(|(host, key)| Step::Send { host, key }),
        12 => (0..HOSTS, fault).prop_map(|(host, fault)| Step::Call { host, fault }),
        3 => (0..HOSTS).prop_map(|host| Step::Abandon { host }),
        2 => (0..HOSTS, result).prop_map(|(host, result)| Step::Dispatch { host, result }),
        1 => (0..HOSTS).prop_map(|host| Step::Kill { host }),
        1 => proptest::strategy::Just(Step::ApplyDelayed),
        2 => (0..3_000_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

enum Call {
    Started(ShardAction),
    Read(Result<Object, PlatformError>),
    Written(Result<ObjectVersion, PlatformError>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentRequest {
    key: usize,
    attempt: AttemptId,
}

struct Host {
    shard: ClaimShard,
    call: Option<Call>,
    waiting: Vec<SentRequest>,
    claimed: Vec<SentRequest>,
}

pub(crate) struct ClaimWorld {
    clock: ManualClock,
    object: FakeObject,
    hosts: Vec<Host>,
    sent: u64,
    /// The attempts that engines ran, by key.
    ran: Vec<Vec<AttemptId>>,
    /// The outcomes that callers were told.
    reported: IndexMap<AttemptId, Outcome>,
    /// The attempts whose hosts died before they reported an outcome.
    lost: IndexSet<AttemptId>,
    histories: Vec<KeyHistory>,
    /// Whether a key may stay held forever, since a holder died or an attempt may have run.
    may_stay_held: [bool; KEYS],
}

impl ClaimWorld {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            object: FakeObject::default(),
            hosts: Vec::new(),
            sent: 0,
            ran: vec![Vec::new(); KEYS],
            reported: IndexMap::new(),
            lost: IndexSet::new(),
            histories: vec![KeyHistory::default(); KEYS],
            may_stay_held: [false; KEYS],
        };
        world.hosts = (0..HOSTS).map(|_| world.new_host()).collect();
        world
    }

    fn new_host(&self) -> Host {
        let rng = StdRng::seed_from_u64(self.sent);
        Host {
            shard: ClaimShard::new(ClaimConf::default(), rng),
            call: None,
            waiting: Vec::new(),
            claimed: Vec::new(),
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Send { host, key } => self.send(host, key),
            Step::Call { host, fault } => self.call(host, fault),
            Step::Abandon { host } => self.abandon(host),
            Step::Dispatch { host, result } => self.dispatch(host, result),
            Step::Kill { host } => self.kill(host),
            Step::ApplyDelayed => self.object.apply_delayed(),
            Step::Advance { ms } => self.clock.advance(Duration::from_millis(ms)),
        }
    }

    fn send(&mut self, at: usize, key: usize) {
        self.sent += 1;
        let attempt = AttemptId(self.sent.into());
        let now = self.clock.now();
        let claim = claim(attempt.0, &host(&format!("entry-{at}")), 1);
        self.histories[key].begin(KeyOp::UnansweredClaim { by: attempt });
        self.hosts[at].waiting.push(SentRequest { key, attempt });
        self.hosts[at].shard.claim(key_of(key), claim, now);
        self.handle_outcomes(at);
    }

    fn call(&mut self, at: usize, fault: Fault) {
        let now = self.clock.now();
        let host = &mut self.hosts[at];
        host.call = match host.call.take() {
            None => match host.shard.step(now) {
                ShardAction::Idle | ShardAction::Wait(_) => None,
                action => Some(Call::Started(action)),
            },
            Some(Call::Started(ShardAction::Write { value, expected })) => {
                Some(Call::Written(self.object.put(value, expected, fault)))
            }
            Some(Call::Started(_)) => Some(Call::Read(self.object.get(fault))),
            Some(Call::Read(result)) => {
                host.shard.on_read(result, now);
                None
            }
            Some(Call::Written(result)) => {
                host.shard.on_written(result, now);
                None
            }
        };
        self.handle_outcomes(at);
    }

    fn handle_outcomes(&mut self, at: usize) {
        for (attempt, outcome) in self.hosts[at].shard.take_outcomes() {
            let waiting = &mut self.hosts[at].waiting;
            let Some(index) = waiting
                .iter()
                .position(|request| request.attempt == attempt)
            else {
                continue;
            };
            let request = waiting.remove(index);
            let history = &mut self.histories[request.key];
            match outcome {
                ClaimOutcome::Claimed => {
                    history.end_claim(attempt, attempt);
                    self.hosts[at].claimed.push(request);
                }
                ClaimOutcome::HeldBy(held) => {
                    history.end_claim(attempt, held.attempt);
                    self.report(request, Outcome::MayHaveRun);
                }
                ClaimOutcome::Unavailable { .. } => {
                    history.begin(KeyOp::GiveBack { by: attempt });
                    self.report(request, Outcome::NotRun);
                }
                ClaimOutcome::DifferentContent => panic!("all requests have the same content"),
            }
        }
    }

    fn report(&mut self, request: SentRequest, outcome: Outcome) {
        let earlier = self.reported.insert(request.attempt, outcome);
        assert_eq!(earlier, None, "an attempt has two outcomes");
    }

    fn abandon(&mut self, at: usize) {
        if self.hosts[at].waiting.is_empty() {
            return;
        }
        let request = self.hosts[at].waiting.remove(0);
        self.give_back(at, request);
        self.report(request, Outcome::NotRun);
    }

    fn give_back(&mut self, at: usize, request: SentRequest) {
        let by = request.attempt;
        self.histories[request.key].begin(KeyOp::GiveBack { by });
        self.hosts[at]
            .shard
            .give_back(key_of(request.key), by, self.clock.now());
    }

    fn dispatch(&mut self, at: usize, result: EngineResult) {
        if self.hosts[at].claimed.is_empty() {
            return;
        }
        let request = self.hosts[at].claimed.remove(0);
        let mut tracker = RunTracker::new(false);
        tracker.on_send();
        if !matches!(
            result,
            EngineResult::Refuses | EngineResult::CrashesBeforeRun
        ) {
            self.ran[request.key].push(request.attempt);
        }
        match result {
            EngineResult::Completes => tracker.on_completed(),
            EngineResult::Refuses => {
                tracker.on_failure(&UpstreamError::NotSent("refused".to_owned()));
            }
            EngineResult::CrashesBeforeRun | EngineResult::CrashesAfterRun => {
                tracker.on_failure(&UpstreamError::Interrupted("crash".to_owned()));
            }
        }
        let outcome = tracker.outcome();
        self.report(request, outcome);
        let state = match outcome {
            Outcome::NotRun => return self.give_back(at, request),
            Outcome::Completed => ClaimState::Completed,
            Outcome::MayHaveRun => ClaimState::MayHaveRun,
        };
        self.may_stay_held[request.key] = true;
        let now = self.clock.now();
        self.hosts[at]
            .shard
            .finish(key_of(request.key), request.attempt, state, now);
    }

    fn kill(&mut self, at: usize) {
        let next = self.new_host();
        let dead = std::mem::replace(&mut self.hosts[at], next);
        for request in dead.waiting.into_iter().chain(dead.claimed) {
            self.lost.insert(request.attempt);
            self.may_stay_held[request.key] = true;
        }
        if dead.shard.pending() > 0 {
            self.may_stay_held = [true; KEYS];
        }
        // The last write of the dead host may still be on its way.
        if let Some(Call::Started(ShardAction::Write { value, expected })) = dead.call {
            let _ = self.object.put(value, expected, Fault::Delayed);
        }
    }

    /// Ends all faults and runs until all hosts are idle. Delayed writes arrive only after a first
    /// run.
    pub(crate) fn recover(&mut self) {
        self.run_until_idle();
        self.object.apply_delayed();
        self.run_until_idle();
    }

    fn run_until_idle(&mut self) {
        let is_busy = |host: &Host| {
            host.shard.pending() > 0 || host.call.is_some() || !host.claimed.is_empty()
        };
        for _ in 0..1_000 {
            self.clock.advance(Duration::from_millis(500));
            for at in 0..HOSTS {
                self.call(at, Fault::None);
                self.dispatch(at, EngineResult::Completes);
            }
            if !self.hosts.iter().any(is_busy) {
                return;
            }
        }
    }

    pub(crate) fn check(mut self) {
        self.recover();
        for (key, ran) in self.ran.iter().enumerate() {
            assert!(ran.len() <= 1, "key {key} ran more than once: {ran:?}");
        }
        let ran: IndexSet<_> = self.ran.iter().flatten().copied().collect();
        for (attempt, outcome) in &self.reported {
            let is_wrong = *outcome == Outcome::NotRun && ran.contains(attempt);
            assert!(!is_wrong, "{attempt} ran but was reported as \"not run\"");
        }
        for attempt in (1..=self.sent).map(|n| AttemptId(n.into())) {
            let has_outcome = self.reported.contains_key(&attempt) || self.lost.contains(&attempt);
            assert!(has_outcome, "{attempt} has no outcome");
        }
        let pending: usize = self.hosts.iter().map(|host| host.shard.pending()).sum();
        assert_eq!(pending, 0, "claims are still pending");
        for key in 0..KEYS {
            let history = self.histories[key].clone();
            assert!(
                history.check_linearizable(),
                "history is not linearizable: {:?}",
                self.histories[key]
            );
        }
        self.check_free_keys();
    }

    /// Checks that a key can be claimed again if no attempt may have run and no holder died.
    fn check_free_keys(&mut self) {
        for key in (0..KEYS)
            .filter(|key| !self.may_stay_held[*key])
            .collect::<Vec<_>>()
        {
            self.send(key % HOSTS, key);
            self.recover();
            assert_eq!(
                self.ran[key].len(),
                1,
                "key {key} stays held although nobody holds it"
            );
        }
    }
}

fn key_of(key: usize) -> ClaimKey {
    claim_key(&format!("key-{key}"))
}
