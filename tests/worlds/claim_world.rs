//! Hosts that claim keys over one shard object, with engines that record what ran.

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

/// How an engine takes an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Completes,
    Refuses,
    CrashesBefore,
    CrashesAfter,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A caller sends a key to a host.
    Send { host: usize, key: usize },
    /// A host's call to the platform moves on: it is begun, takes effect, or is answered.
    Call { host: usize, fault: Fault },
    /// The oldest claimant of a host gives up.
    GiveUp { host: usize },
    /// The oldest recorded claim of a host is dispatched, however long after.
    Dispatch { host: usize, fate: Fate },
    /// A host dies, and another process starts in its place.
    Kill { host: usize },
    /// Writes that were stuck arrive.
    Arrive,
    /// Time passes.
    Pass { ms: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        6 => proptest::strategy::Just(Fault::None),
        1 => proptest::strategy::Just(Fault::Unavailable),
        1 => proptest::strategy::Just(Fault::AnswerLost),
        2 => proptest::strategy::Just(Fault::Delayed),
    ];
    let fate = any::<u8>().prop_map(|n| match n % 5 {
        0 => Fate::Refuses,
        1 => Fate::CrashesBefore,
        2 => Fate::CrashesAfter,
        _ => Fate::Completes,
    });
    prop_oneof![
        4 => (0..HOSTS, 0..KEYS).prop_map(|(host, key)| Step::Send { host, key }),
        12 => (0..HOSTS, fault).prop_map(|(host, fault)| Step::Call { host, fault }),
        3 => (0..HOSTS).prop_map(|host| Step::GiveUp { host }),
        2 => (0..HOSTS, fate).prop_map(|(host, fate)| Step::Dispatch { host, fate }),
        1 => (0..HOSTS).prop_map(|host| Step::Kill { host }),
        1 => proptest::strategy::Just(Step::Arrive),
        2 => (0..3_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

enum Call {
    Begun(ShardAction),
    Read(Result<Object, PlatformError>),
    Written(Result<ObjectVersion, PlatformError>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sending {
    key: usize,
    attempt: AttemptId,
}

struct Host {
    shard: ClaimShard,
    call: Option<Call>,
    waiting: Vec<Sending>,
    claimed: Vec<Sending>,
}

pub(crate) struct ClaimWorld {
    clock: ManualClock,
    object: FakeObject,
    hosts: Vec<Host>,
    sent: u64,
    /// What engines ran, by key.
    ran: Vec<Vec<AttemptId>>,
    told: IndexMap<AttemptId, Outcome>,
    lost: IndexSet<AttemptId>,
    keys: Vec<KeyHistory>,
    /// Keys of which a holder died, or that may have run: they stay held for good.
    is_spent: [bool; KEYS],
}

impl ClaimWorld {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            object: FakeObject::default(),
            hosts: Vec::new(),
            sent: 0,
            ran: vec![Vec::new(); KEYS],
            told: IndexMap::new(),
            lost: IndexSet::new(),
            keys: vec![KeyHistory::default(); KEYS],
            is_spent: [false; KEYS],
        };
        world.hosts = (0..HOSTS).map(|_| world.process()).collect();
        world
    }

    fn process(&self) -> Host {
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
            Step::GiveUp { host } => self.give_up(host),
            Step::Dispatch { host, fate } => self.dispatch(host, fate),
            Step::Kill { host } => self.kill(host),
            Step::Arrive => self.object.arrive(),
            Step::Pass { ms } => self.clock.advance(Duration::from_millis(ms)),
        }
    }

    fn send(&mut self, at: usize, key: usize) {
        self.sent += 1;
        let attempt = AttemptId(self.sent.into());
        let now = self.clock.now();
        let claim = claim(attempt.0, &host(&format!("entry-{at}")), 1);
        self.keys[key].begin(KeyOp::ClaimUnheard { by: attempt });
        self.hosts[at].waiting.push(Sending { key, attempt });
        self.hosts[at].shard.claim(named(key), claim, now);
        self.verdicts(at);
    }

    fn call(&mut self, at: usize, fault: Fault) {
        let now = self.clock.now();
        let host = &mut self.hosts[at];
        host.call = match host.call.take() {
            None => match host.shard.step(now) {
                ShardAction::Idle | ShardAction::Wait(_) => None,
                action => Some(Call::Begun(action)),
            },
            Some(Call::Begun(ShardAction::Write { value, expected })) => {
                Some(Call::Written(self.object.put(value, expected, fault)))
            }
            Some(Call::Begun(_)) => Some(Call::Read(self.object.get(fault))),
            Some(Call::Read(result)) => {
                host.shard.on_read(result, now);
                None
            }
            Some(Call::Written(result)) => {
                host.shard.on_written(result, now);
                None
            }
        };
        self.verdicts(at);
    }

    fn verdicts(&mut self, at: usize) {
        for (attempt, verdict) in self.hosts[at].shard.take_outcomes() {
            let waiting = &mut self.hosts[at].waiting;
            let Some(index) = waiting
                .iter()
                .position(|sending| sending.attempt == attempt)
            else {
                continue;
            };
            let sending = waiting.remove(index);
            let history = &mut self.keys[sending.key];
            match verdict {
                ClaimOutcome::Claimed => {
                    history.end_claim(attempt, attempt);
                    self.hosts[at].claimed.push(sending);
                }
                ClaimOutcome::HeldBy(held) => {
                    history.end_claim(attempt, held.attempt);
                    self.tell(sending, Outcome::MayHaveRun);
                }
                ClaimOutcome::Unavailable { .. } => {
                    history.begin(KeyOp::GiveBack { by: attempt });
                    self.tell(sending, Outcome::NotRun);
                }
                ClaimOutcome::DifferentContent => panic!("all contents are the same"),
            }
        }
    }

    fn tell(&mut self, sending: Sending, outcome: Outcome) {
        let earlier = self.told.insert(sending.attempt, outcome);
        assert_eq!(earlier, None, "a caller is told once");
    }

    fn give_up(&mut self, at: usize) {
        if self.hosts[at].waiting.is_empty() {
            return;
        }
        let sending = self.hosts[at].waiting.remove(0);
        self.give_back(at, sending);
        self.tell(sending, Outcome::NotRun);
    }

    fn give_back(&mut self, at: usize, sending: Sending) {
        let by = sending.attempt;
        self.keys[sending.key].begin(KeyOp::GiveBack { by });
        self.hosts[at]
            .shard
            .give_back(named(sending.key), by, self.clock.now());
    }

    fn dispatch(&mut self, at: usize, fate: Fate) {
        if self.hosts[at].claimed.is_empty() {
            return;
        }
        let sending = self.hosts[at].claimed.remove(0);
        let mut record = RunTracker::new(false);
        record.on_send();
        if !matches!(fate, Fate::Refuses | Fate::CrashesBefore) {
            self.ran[sending.key].push(sending.attempt);
        }
        match fate {
            Fate::Completes => record.on_completed(),
            Fate::Refuses => {
                record.on_failure(&UpstreamError::NotSent("refused".to_owned()));
            }
            Fate::CrashesBefore | Fate::CrashesAfter => {
                record.on_failure(&UpstreamError::Interrupted("crash".to_owned()));
            }
        }
        let outcome = record.outcome();
        self.tell(sending, outcome);
        let state = match outcome {
            Outcome::NotRun => return self.give_back(at, sending),
            Outcome::Completed => ClaimState::Completed,
            Outcome::MayHaveRun => ClaimState::MayHaveRun,
        };
        self.is_spent[sending.key] = true;
        let now = self.clock.now();
        self.hosts[at]
            .shard
            .finish(named(sending.key), sending.attempt, state, now);
    }

    fn kill(&mut self, at: usize) {
        let next = self.process();
        let dead = std::mem::replace(&mut self.hosts[at], next);
        for sending in dead.waiting.into_iter().chain(dead.claimed) {
            self.lost.insert(sending.attempt);
            self.is_spent[sending.key] = true;
        }
        if dead.shard.pending() > 0 {
            self.is_spent = [true; KEYS];
        }
        // Its last write may be on its way.
        if let Some(Call::Begun(ShardAction::Write { value, expected })) = dead.call {
            let _ = self.object.put(value, expected, Fault::Delayed);
        }
    }

    /// All faults end, and everybody comes to rest; what was stuck may arrive only then.
    pub(crate) fn heal(&mut self) {
        self.rest();
        self.object.arrive();
        self.rest();
    }

    fn rest(&mut self) {
        let is_busy = |host: &Host| {
            host.shard.pending() > 0 || host.call.is_some() || !host.claimed.is_empty()
        };
        for _ in 0..1_000 {
            self.clock.advance(Duration::from_millis(500));
            for at in 0..HOSTS {
                self.call(at, Fault::None);
                self.dispatch(at, Fate::Completes);
            }
            if !self.hosts.iter().any(is_busy) {
                return;
            }
        }
    }

    pub(crate) fn check(mut self) {
        self.heal();
        for (key, ran) in self.ran.iter().enumerate() {
            assert!(ran.len() <= 1, "key {key} ran more than once: {ran:?}");
        }
        let ran: IndexSet<_> = self.ran.iter().flatten().copied().collect();
        for (attempt, outcome) in &self.told {
            let is_false = *outcome == Outcome::NotRun && ran.contains(attempt);
            assert!(!is_false, "{attempt} was told \"not run\", and ran");
        }
        for attempt in (1..=self.sent).map(|n| AttemptId(n.into())) {
            let is_told = self.told.contains_key(&attempt) || self.lost.contains(&attempt);
            assert!(is_told, "{attempt} never heard what came of it");
        }
        let pending: usize = self.hosts.iter().map(|host| host.shard.pending()).sum();
        assert_eq!(pending, 0, "something is never settled");
        for key in 0..KEYS {
            let history = self.keys[key].clone();
            assert!(
                history.has_an_order(),
                "no order explains {:?}",
                self.keys[key]
            );
        }
        self.check_not_stuck();
    }

    /// A key that nobody ran, and none of whose holders died, is free for a resend.
    fn check_not_stuck(&mut self) {
        for key in (0..KEYS)
            .filter(|key| !self.is_spent[*key])
            .collect::<Vec<_>>()
        {
            self.send(key % HOSTS, key);
            self.heal();
            assert_eq!(
                self.ran[key].len(),
                1,
                "key {key} is held by nobody and for ever"
            );
        }
    }
}

fn named(key: usize) -> ClaimKey {
    claim_key(&format!("key-{key}"))
}
