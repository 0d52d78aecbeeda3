//! A simulated host that shuts down while callers send requests.

use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::control::drain::DrainAction;
use banyanarch::control::drain::DrainConf;
use banyanarch::control::drain::DrainController;
use banyanarch::control::drain::DrainEvent;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

const NOTICE: Duration = Duration::from_secs(5);
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A caller sends a request.
    Begin,
    /// A request ends and leaves claims to be recorded in the platform.
    End { claims: usize },
    /// The platform has recorded all claims.
    RecordClaims,
    /// The process receives a signal.
    Signal,
    /// Time passes.
    Pass { ms: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => proptest::strategy::Just(Step::Begin),
        6 => (0..2_usize).prop_map(|claims| Step::End { claims }),
        2 => proptest::strategy::Just(Step::RecordClaims),
        1 => proptest::strategy::Just(Step::Signal),
        6 => (0..8_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

pub(crate) struct DrainWorld {
    clock: ManualClock,
    drain: DrainController,
    in_flight: usize,
    claims: usize,
    signals: Vec<Instant>,
    exit: Option<i32>,
}

impl DrainWorld {
    pub(crate) fn new() -> Self {
        let clock = ManualClock::new();
        let conf = DrainConf {
            notice: NOTICE,
            claims_timeout: CLAIMS_TIMEOUT,
        };
        Self {
            drain: DrainController::new(conf, clock.now()),
            clock,
            in_flight: 0,
            claims: 0,
            signals: Vec::new(),
            exit: None,
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        if self.exit.is_some() {
            return;
        }
        match step {
            Step::Begin => self.begin(),
            Step::End { claims } if self.in_flight > 0 => {
                self.in_flight -= 1;
                self.claims += claims;
            }
            Step::End { .. } => (),
            Step::RecordClaims => self.claims = 0,
            Step::Signal => {
                self.signals.push(self.clock.now());
                self.handle(DrainEvent::Signal);
            }
            Step::Pass { ms } => self.clock.advance(Duration::from_millis(ms)),
        }
        let (in_flight, claims) = (self.in_flight, self.claims);
        self.handle(DrainEvent::Remaining { in_flight, claims });
    }

    /// Sends a request. By the end of the notice the load balancer has seen that readiness fails,
    /// and sends nothing more.
    fn begin(&mut self) {
        let now = self.clock.now();
        let is_late = self.signals.first().is_some_and(|at| now >= *at + NOTICE);
        assert!(
            is_late || self.drain.accepts_work(),
            "a request is refused during the notice"
        );
        if self.drain.accepts_work() {
            self.in_flight += 1;
        }
    }

    fn handle(&mut self, event: DrainEvent) {
        for action in self.drain.handle(event, self.clock.now()) {
            let DrainAction::Exit(code) = action else {
                continue;
            };
            assert_eq!(self.exit, None, "the process exits twice");
            let is_orderly = self.in_flight == 0 && code == 0;
            let is_forced = self.signals.len() > 1 && code != 0;
            assert!(
                is_orderly || is_forced,
                "{} requests are interrupted",
                self.in_flight
            );
            self.exit = Some(code);
        }
    }

    /// Checks that the process exits if it received a signal, when all requests end and the
    /// platform is unavailable.
    pub(crate) fn check(mut self) {
        for _ in 0..self.in_flight {
            self.step(Step::End { claims: 1 });
        }
        for _ in 0..3 {
            self.step(Step::Pass { ms: 10_000 });
        }
        assert_eq!(self.exit.is_some(), !self.signals.is_empty());
    }
}
