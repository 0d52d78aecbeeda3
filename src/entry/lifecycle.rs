//! The life of a request as a state machine without I/O.

use statig::prelude::*;

use crate::control::outcome::AfterFailure;
use crate::control::outcome::Outcome as RunOutcome;
use crate::control::outcome::RunTracker;
use crate::decide::RefuseReason;
use crate::entry::FailureReason;
use crate::entry::RequestOutcome;

/// How often a cut answer is read on at the same upstream before the attempt counts as lost.
/// A connection that breaks three times in one answer is not worth a fourth.
const RESUMES_MAX: u8 = 3;

/// What a request may be put through; fixed when it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleRules {
    /// It may run more than once.
    pub repeatable: bool,
    /// It must be claimed before each dispatch.
    pub needs_claim: bool,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// It has been read and may go on.
    Admitted,
    /// It was turned away before anything else.
    Rejected(FailureReason),
    /// A home granted a dispatch.
    Granted,
    /// A home turned it away.
    Refused(RefuseReason),
    /// The claim is recorded and is this request's own.
    Claimed,
    /// An earlier sending of the same key has the claim, and its answer can be read.
    ClaimHeld,
    /// The claim could not be recorded, and never will be.
    ClaimFailed(FailureReason),
    /// The first byte of the answer went to the caller.
    Delivered,
    /// The whole answer came.
    Ended,
    /// The attempt ended otherwise.
    AttemptFailed(AttemptFailure),
    /// The retry budget and the time left allow another attempt.
    RetryAllowed,
    /// They don't.
    RetryDenied,
    /// The time limit has come.
    DeadlineExceeded,
    /// The caller is gone, or reads too slowly.
    CallerGone,
}

/// How an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// It is certain that it did not run.
    DidNotRun,
    /// The connection broke; the attempt may go on at the upstream.
    Interrupted,
    /// The upstream failed it, forgot it or died.
    Lost,
    /// What came is not this attempt's answer.
    InvalidResponse,
}

/// What to do next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Nothing: the event changes nothing.
    Nothing,
    /// Ask a home for a grant.
    RequestGrant,
    /// Record the claim.
    Claim,
    /// Dispatch under the grant.
    Dispatch,
    /// Read on from where the answer was cut.
    Resume,
    /// Ask whether the budget and the time left allow another attempt.
    DecideRetry,
    /// Read the answer of the sending that holds the claim.
    FollowClaim,
    /// Tell the caller how it ended.
    Finish(RequestOutcome),
    /// Give everything back: nobody waits for the answer.
    Abandon,
}

/// The life of one request.
///
/// What it must keep apart: whether any attempt may have run (then "not run" is never said), and
/// whether a byte of an answer went to the caller (then no other attempt's answer may follow).
#[derive(Debug)]
pub struct RequestLifecycle {
    rules: LifecycleRules,
    record: RunTracker,
    delivered: bool,
    resumes: u8,
    last_failure: Option<AttemptFailure>,
}

impl RequestLifecycle {
    /// The life of a request that has yet to be read.
    pub fn new(rules: LifecycleRules) -> Self {
        Self {
            rules,
            record: RunTracker::new(rules.repeatable),
            delivered: false,
            resumes: 0,
            last_failure: None,
        }
    }

    fn finish_failed(&self, reason: FailureReason) -> LifecycleAction {
        LifecycleAction::Finish(match self.record.outcome() {
            RunOutcome::NotRun => RequestOutcome::NotRun(reason),
            RunOutcome::MayHaveRun | RunOutcome::Completed => RequestOutcome::MayHaveRun(reason),
        })
    }

    fn dispatch(&mut self) -> LifecycleAction {
        self.record.on_send();
        self.resumes = 0;
        LifecycleAction::Dispatch
    }

    fn after_attempt_failure(&mut self, failure: AttemptFailure) -> AfterAttempt {
        self.last_failure = Some(failure);
        if failure == AttemptFailure::Interrupted && self.resumes < RESUMES_MAX {
            self.resumes += 1;
            return AfterAttempt::Resume;
        }
        match self
            .record
            .on_attempt_ended(failure == AttemptFailure::DidNotRun)
        {
            AfterFailure::RetryAllowed if !self.delivered => AfterAttempt::DecideRetry,
            _ => AfterAttempt::Fail,
        }
    }

    fn failure_reason(&self) -> FailureReason {
        match self.last_failure {
            Some(AttemptFailure::InvalidResponse) => FailureReason::UpstreamInvalidResponse,
            _ => FailureReason::UpstreamFailed,
        }
    }
}

enum AfterAttempt {
    Resume,
    DecideRetry,
    Fail,
}

#[state_machine(
    initial = "State::reading()",
    state(derive(Debug)),
    superstate(derive(Debug))
)]
impl RequestLifecycle {
    #[state(superstate = "open")]
    fn reading(context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Admitted => {
                *context = LifecycleAction::RequestGrant;
                Transition(State::waiting())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn waiting(&mut self, context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Granted if self.rules.needs_claim => {
                *context = LifecycleAction::Claim;
                Transition(State::claiming())
            }
            LifecycleEvent::Granted => {
                *context = self.dispatch();
                Transition(State::running())
            }
            LifecycleEvent::Refused(reason) => {
                *context = self.finish_failed(FailureReason::Refused(*reason));
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn claiming(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::Claimed => {
                *context = self.dispatch();
                Transition(State::running())
            }
            LifecycleEvent::ClaimHeld => {
                // The key's earlier sending has run or runs: "not run" would be wrong from here on.
                self.record.on_response_start();
                *context = LifecycleAction::FollowClaim;
                Transition(State::following())
            }
            LifecycleEvent::ClaimFailed(FailureReason::KeyMayHaveRun) => {
                self.record.on_response_start();
                *context = self.finish_failed(FailureReason::KeyMayHaveRun);
                Transition(State::closed())
            }
            LifecycleEvent::ClaimFailed(reason) => {
                *context = self.finish_failed(*reason);
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn running(&mut self, context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ended => {
                *context = LifecycleAction::Finish(RequestOutcome::Completed);
                Transition(State::closed())
            }
            LifecycleEvent::AttemptFailed(failure) => match self.after_attempt_failure(*failure) {
                AfterAttempt::Resume => {
                    *context = LifecycleAction::Resume;
                    Handled
                }
                AfterAttempt::DecideRetry => {
                    *context = LifecycleAction::DecideRetry;
                    Transition(State::retrying())
                }
                AfterAttempt::Fail => {
                    *context = self.finish_failed(self.failure_reason());
                    Transition(State::closed())
                }
            },
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn retrying(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::RetryAllowed => {
                *context = LifecycleAction::RequestGrant;
                Transition(State::waiting())
            }
            LifecycleEvent::RetryDenied => {
                *context = self.finish_failed(self.failure_reason());
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn following(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::Ended => {
                *context = LifecycleAction::Finish(RequestOutcome::Completed);
                Transition(State::closed())
            }
            LifecycleEvent::AttemptFailed(AttemptFailure::Interrupted)
                if self.resumes < RESUMES_MAX =>
            {
                self.resumes += 1;
                *context = LifecycleAction::FollowClaim;
                Handled
            }
            LifecycleEvent::AttemptFailed(_) => {
                *context = self.finish_failed(FailureReason::KeyMayHaveRun);
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[state]
    fn closed(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[superstate]
    fn open(&mut self, context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Delivered => {
                self.delivered = true;
                Handled
            }
            LifecycleEvent::Rejected(reason) => {
                *context = self.finish_failed(*reason);
                Transition(State::closed())
            }
            LifecycleEvent::DeadlineExceeded => {
                *context = self.finish_failed(FailureReason::DeadlineExceeded);
                Transition(State::closed())
            }
            LifecycleEvent::CallerGone => {
                *context = LifecycleAction::Abandon;
                Transition(State::closed())
            }
            _ => Handled,
        }
    }
}

/// Hands an event to a life and returns what to do next.
pub fn advance(
    lifecycle: &mut StateMachine<RequestLifecycle>,
    event: LifecycleEvent,
) -> LifecycleAction {
    let mut action = LifecycleAction::Nothing;
    lifecycle.handle_with_context(&event, &mut action);
    action
}
