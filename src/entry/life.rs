//! The life of a request as a state machine without I/O.

use statig::prelude::*;

use crate::control::outcome::AfterFailure;
use crate::control::outcome::Outcome as RunOutcome;
use crate::control::outcome::RunTracker;
use crate::decide::RefuseReason;
use crate::entry::FailReason;
use crate::entry::Verdict;

/// How often a cut answer is read on at the same upstream before the attempt counts as lost.
/// A connection that breaks three times in one answer is not worth a fourth.
const RESUMES_MAX: u8 = 3;

/// What a request may be put through; fixed when it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeRules {
    /// It may run more than once.
    pub repeatable: bool,
    /// It must be claimed before each dispatch.
    pub needs_claim: bool,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEvent {
    /// It has been read and may go on.
    Admitted,
    /// It was turned away before anything else.
    Rejected(FailReason),
    /// A home granted a dispatch.
    Granted,
    /// A home turned it away.
    Refused(RefuseReason),
    /// The claim is recorded and is this request's own.
    Claimed,
    /// An earlier sending of the same key has the claim, and its answer can be read.
    ClaimHeld,
    /// The claim could not be recorded, and never will be.
    ClaimFailed(FailReason),
    /// The first byte of the answer went to the caller.
    Delivered,
    /// The whole answer came.
    Ended,
    /// The attempt ended otherwise.
    Broken(Break),
    /// The retry budget and the time left allow another attempt.
    RetryAllowed,
    /// They don't.
    RetryDenied,
    /// The time limit has come.
    TimeUp,
    /// The caller is gone, or reads too slowly.
    CallerGone,
}

/// How an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// It is certain that it did not run.
    DidNotRun,
    /// The connection broke; the attempt may go on at the upstream.
    Cut,
    /// The upstream failed it, forgot it or died.
    Lost,
    /// What came is not this attempt's answer.
    Garbled,
}

/// What to do next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeStep {
    /// Nothing: the event changes nothing.
    Nothing,
    /// Ask a home for a grant.
    AskGrant,
    /// Record the claim.
    Claim,
    /// Dispatch under the grant.
    Dispatch,
    /// Read on from where the answer was cut.
    Resume,
    /// Ask whether the budget and the time left allow another attempt.
    ConsiderRetry,
    /// Read the answer of the sending that holds the claim.
    Follow,
    /// Tell the caller how it ended.
    Finish(Verdict),
    /// Give everything back: nobody waits for the answer.
    Abandon,
}

/// The life of one request.
///
/// What it must keep apart: whether any attempt may have run (then "not run" is never said), and
/// whether a byte of an answer went to the caller (then no other attempt's answer may follow).
#[derive(Debug)]
pub struct Life {
    rules: LifeRules,
    record: RunTracker,
    delivered: bool,
    resumes: u8,
    last_break: Option<Break>,
}

impl Life {
    /// The life of a request that has yet to be read.
    pub fn new(rules: LifeRules) -> Self {
        Self {
            rules,
            record: RunTracker::new(rules.repeatable),
            delivered: false,
            resumes: 0,
            last_break: None,
        }
    }

    fn failed(&self, reason: FailReason) -> LifeStep {
        LifeStep::Finish(match self.record.outcome() {
            RunOutcome::NotRun => Verdict::NotRun(reason),
            RunOutcome::MayHaveRun | RunOutcome::Completed => Verdict::MayHaveRun(reason),
        })
    }

    fn dispatch(&mut self) -> LifeStep {
        self.record.on_send();
        self.resumes = 0;
        LifeStep::Dispatch
    }

    fn after_break(&mut self, broke: Break) -> NextAfterBreak {
        self.last_break = Some(broke);
        if broke == Break::Cut && self.resumes < RESUMES_MAX {
            self.resumes += 1;
            return NextAfterBreak::Resume;
        }
        match self.record.on_attempt_ended(broke == Break::DidNotRun) {
            AfterFailure::RetryAllowed if !self.delivered => NextAfterBreak::ConsiderRetry,
            _ => NextAfterBreak::Fail,
        }
    }

    fn break_reason(&self) -> FailReason {
        match self.last_break {
            Some(Break::Garbled) => FailReason::UpstreamGarbled,
            _ => FailReason::UpstreamFailed,
        }
    }
}

enum NextAfterBreak {
    Resume,
    ConsiderRetry,
    Fail,
}

#[state_machine(
    initial = "State::reading()",
    state(derive(Debug)),
    superstate(derive(Debug))
)]
impl Life {
    #[state(superstate = "open")]
    fn reading(context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Admitted => {
                *context = LifeStep::AskGrant;
                Transition(State::waiting())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn waiting(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Granted if self.rules.needs_claim => {
                *context = LifeStep::Claim;
                Transition(State::claiming())
            }
            LifeEvent::Granted => {
                *context = self.dispatch();
                Transition(State::running())
            }
            LifeEvent::Refused(reason) => {
                *context = self.failed(FailReason::Refused(*reason));
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn claiming(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Claimed => {
                *context = self.dispatch();
                Transition(State::running())
            }
            LifeEvent::ClaimHeld => {
                // The key's earlier sending has run or runs: "not run" would be wrong from here on.
                self.record.on_response_start();
                *context = LifeStep::Follow;
                Transition(State::following())
            }
            LifeEvent::ClaimFailed(FailReason::KeyMayHaveRun) => {
                self.record.on_response_start();
                *context = self.failed(FailReason::KeyMayHaveRun);
                Transition(State::closed())
            }
            LifeEvent::ClaimFailed(reason) => {
                *context = self.failed(*reason);
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn running(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Ended => {
                *context = LifeStep::Finish(Verdict::Completed);
                Transition(State::closed())
            }
            LifeEvent::Broken(broke) => match self.after_break(*broke) {
                NextAfterBreak::Resume => {
                    *context = LifeStep::Resume;
                    Handled
                }
                NextAfterBreak::ConsiderRetry => {
                    *context = LifeStep::ConsiderRetry;
                    Transition(State::retrying())
                }
                NextAfterBreak::Fail => {
                    *context = self.failed(self.break_reason());
                    Transition(State::closed())
                }
            },
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn retrying(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::RetryAllowed => {
                *context = LifeStep::AskGrant;
                Transition(State::waiting())
            }
            LifeEvent::RetryDenied => {
                *context = self.failed(self.break_reason());
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn following(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Ended => {
                *context = LifeStep::Finish(Verdict::Completed);
                Transition(State::closed())
            }
            LifeEvent::Broken(Break::Cut) if self.resumes < RESUMES_MAX => {
                self.resumes += 1;
                *context = LifeStep::Follow;
                Handled
            }
            LifeEvent::Broken(_) => {
                *context = self.failed(FailReason::KeyMayHaveRun);
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state]
    fn closed(event: &LifeEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[superstate]
    fn open(&mut self, context: &mut LifeStep, event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Delivered => {
                self.delivered = true;
                Handled
            }
            LifeEvent::Rejected(reason) => {
                *context = self.failed(*reason);
                Transition(State::closed())
            }
            LifeEvent::TimeUp => {
                *context = self.failed(FailReason::TimeUp);
                Transition(State::closed())
            }
            LifeEvent::CallerGone => {
                *context = LifeStep::Abandon;
                Transition(State::closed())
            }
            _ => Handled,
        }
    }
}

/// Hands an event to a life and returns what to do next.
pub fn advance(life: &mut StateMachine<Life>, event: LifeEvent) -> LifeStep {
    let mut step = LifeStep::Nothing;
    life.handle_with_context(&event, &mut step);
    step
}
