//! The lifecycle of a request as a state machine without I/O.

use statig::prelude::*;

use crate::control::outcome::AfterFailure;
use crate::control::outcome::Outcome as RunOutcome;
use crate::control::outcome::RunTracker;
use crate::entry::AttemptFailure;
use crate::entry::FailureReason;
use crate::entry::LifecycleAction;
use crate::entry::LifecycleEvent;
use crate::entry::RequestOutcome;

/// How often an interrupted response is resumed at the same upstream before the attempt counts as
/// lost. A connection that breaks more often than this within one response is unlikely to recover.
const RESUMES_MAX: u8 = 3;

/// The rules for running a request, fixed once the request has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleRules {
    /// The request may run more than once.
    pub repeatable: bool,
    /// The request must be claimed before each dispatch.
    pub needs_claim: bool,
}

/// The lifecycle of one request.
///
/// The state machine enforces two rules. Once an attempt may have run, the outcome is never "not
/// run". Once a byte of a reply went to the caller, no other attempt's response may follow.
#[derive(Debug)]
pub struct RequestLifecycle {
    rules: LifecycleRules,
    run_tracker: RunTracker,
    reply_started: bool,
    resumes: u8,
    /// How often in a row the upstream was found to be silent since the last decision on a retry.
    silences: u8,
    /// Whether a silent attempt is kept while a replacement is sought.
    keeps_silent_attempt: bool,
    last_failure: Option<AttemptFailure>,
}

impl RequestLifecycle {
    /// Creates the lifecycle of a request that has not passed the admission check yet.
    pub fn new(rules: LifecycleRules) -> Self {
        Self {
            rules,
            run_tracker: RunTracker::new(rules.repeatable),
            reply_started: false,
            resumes: 0,
            silences: 0,
            keeps_silent_attempt: false,
            last_failure: None,
        }
    }

    fn finish_failed(&self, reason: FailureReason) -> LifecycleAction {
        LifecycleAction::Finish(match self.run_tracker.outcome() {
            RunOutcome::NotRun => RequestOutcome::NotRun(reason),
            RunOutcome::MayHaveRun | RunOutcome::Completed => RequestOutcome::MayHaveRun(reason),
        })
    }

    fn dispatch(&mut self) -> LifecycleAction {
        self.run_tracker.on_send();
        self.resumes = 0;
        LifecycleAction::Dispatch
    }

    fn after_attempt_failure(&mut self, failure: AttemptFailure) -> NextStep {
        self.last_failure = Some(failure);
        if self.keeps_silent_attempt {
            return self.return_to_silent_attempt();
        }
        if failure == AttemptFailure::Silent {
            return self.after_silence();
        }
        if failure == AttemptFailure::Interrupted && self.resumes < RESUMES_MAX {
            self.resumes += 1;
            return NextStep::Resume;
        }
        match self
            .run_tracker
            .on_attempt_ended(failure == AttemptFailure::DidNotRun)
        {
            AfterFailure::RetryAllowed if !self.reply_started => NextStep::DecideRetry,
            _ => NextStep::Fail,
        }
    }

    /// The step after an upstream was found to be silent. Silence alone never fails a request: it
    /// goes on until its deadline unless another attempt may and can take over.
    fn after_silence(&mut self) -> NextStep {
        let may_be_replaced = self.rules.repeatable && !self.reply_started;
        if !may_be_replaced || self.silences < RESUMES_MAX {
            self.silences = self.silences.saturating_add(1);
            return NextStep::Resume;
        }
        self.silences = 0;
        self.run_tracker.on_attempt_ended(false);
        self.keeps_silent_attempt = true;
        NextStep::DecideRetry
    }

    fn return_to_silent_attempt(&mut self) -> NextStep {
        self.keeps_silent_attempt = false;
        self.silences = 0;
        NextStep::Resume
    }

    fn failure_reason(&self) -> FailureReason {
        match self.last_failure {
            Some(AttemptFailure::InvalidResponse) => FailureReason::UpstreamInvalidResponse,
            _ => FailureReason::UpstreamFailed,
        }
    }
}

/// The step after a failed attempt: resume the stream of the same attempt, decide whether to retry,
/// or fail the request.
enum NextStep {
    Resume,
    DecideRetry,
    Fail,
}

// In each state's handler, `context` is where the handler stores the next action; the macro
// prescribes this name.
#[state_machine(
    initial = "State::admitting()",
    state(derive(Debug)),
    superstate(derive(Debug))
)]
impl RequestLifecycle {
    /// The admission check decides whether the request may ask for a grant.
    #[state(superstate = "active")]
    fn admitting(context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Admitted => {
                *context = LifecycleAction::RequestGrant;
                Transition(State::awaiting_grant())
            }
            _ => Super,
        }
    }

    /// A home has been asked for a grant.
    #[state(superstate = "active")]
    fn awaiting_grant(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::Granted if self.rules.needs_claim => {
                *context = LifecycleAction::Claim;
                Transition(State::claiming())
            }
            LifecycleEvent::Granted => {
                *context = self.dispatch();
                Transition(State::running())
            }
            LifecycleEvent::Refused(_) | LifecycleEvent::SilenceEnded
                if self.keeps_silent_attempt =>
            {
                self.return_to_silent_attempt();
                *context = LifecycleAction::Resume;
                Transition(State::running())
            }
            LifecycleEvent::Refused(reason) => {
                *context = self.finish_failed(FailureReason::Refused(*reason));
                Transition(State::ended())
            }
            _ => Super,
        }
    }

    /// The claim on the request's idempotency key is being recorded.
    #[state(superstate = "active")]
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
                // The earlier request with this key has run or is running, so "not run" would be
                // wrong from here on.
                self.run_tracker.on_response_start();
                *context = LifecycleAction::FollowClaim;
                Transition(State::following_claim())
            }
            LifecycleEvent::ClaimFailed(FailureReason::KeyMayHaveRun) => {
                self.run_tracker.on_response_start();
                *context = self.finish_failed(FailureReason::KeyMayHaveRun);
                Transition(State::ended())
            }
            LifecycleEvent::ClaimFailed(reason) => {
                *context = self.finish_failed(*reason);
                Transition(State::ended())
            }
            _ => Super,
        }
    }

    /// An attempt runs, or its interrupted response is being resumed.
    #[state(superstate = "active")]
    fn running(&mut self, context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ResponseCompleted => {
                *context = LifecycleAction::Finish(RequestOutcome::Completed);
                Transition(State::ended())
            }
            LifecycleEvent::AttemptFailed(failure) => match self.after_attempt_failure(*failure) {
                NextStep::Resume => {
                    *context = LifecycleAction::Resume;
                    Handled
                }
                NextStep::DecideRetry => {
                    *context = LifecycleAction::DecideRetry;
                    Transition(State::deciding_retry())
                }
                NextStep::Fail => {
                    *context = self.finish_failed(self.failure_reason());
                    Transition(State::ended())
                }
            },
            _ => Super,
        }
    }

    /// An attempt failed, and the retry budget decides whether there is another.
    #[state(superstate = "active")]
    fn deciding_retry(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::RetryAllowed => {
                *context = LifecycleAction::RequestGrant;
                Transition(State::awaiting_grant())
            }
            LifecycleEvent::RetryDenied | LifecycleEvent::SilenceEnded
                if self.keeps_silent_attempt =>
            {
                self.return_to_silent_attempt();
                *context = LifecycleAction::Resume;
                Transition(State::running())
            }
            LifecycleEvent::RetryDenied => {
                *context = self.finish_failed(self.failure_reason());
                Transition(State::ended())
            }
            _ => Super,
        }
    }

    /// The response of the attempt that holds the claim is being read.
    #[state(superstate = "active")]
    fn following_claim(
        &mut self,
        context: &mut LifecycleAction,
        event: &LifecycleEvent,
    ) -> Outcome<State> {
        match event {
            LifecycleEvent::ResponseCompleted => {
                *context = LifecycleAction::Finish(RequestOutcome::Completed);
                Transition(State::ended())
            }
            LifecycleEvent::AttemptFailed(AttemptFailure::Interrupted)
                if self.resumes < RESUMES_MAX =>
            {
                self.resumes += 1;
                *context = LifecycleAction::FollowClaim;
                Handled
            }
            LifecycleEvent::AttemptFailed(AttemptFailure::Silent) => {
                *context = LifecycleAction::FollowClaim;
                Handled
            }
            LifecycleEvent::AttemptFailed(_) => {
                *context = self.finish_failed(FailureReason::KeyMayHaveRun);
                Transition(State::ended())
            }
            _ => Super,
        }
    }

    /// The request has ended. Later events change nothing.
    #[state]
    fn ended(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// The events that are handled the same way in every state before the end.
    #[superstate]
    fn active(&mut self, context: &mut LifecycleAction, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ReplyStarted => {
                self.reply_started = true;
                Handled
            }
            LifecycleEvent::AttemptAccepted => {
                self.keeps_silent_attempt = false;
                Handled
            }
            LifecycleEvent::SilenceEnded => {
                self.silences = 0;
                Handled
            }
            LifecycleEvent::Rejected(reason) => {
                *context = self.finish_failed(*reason);
                Transition(State::ended())
            }
            LifecycleEvent::DeadlineExceeded => {
                *context = self.finish_failed(FailureReason::DeadlineExceeded);
                Transition(State::ended())
            }
            LifecycleEvent::CallerGone => {
                *context = LifecycleAction::Abandon;
                Transition(State::ended())
            }
            _ => Handled,
        }
    }
}

/// Feeds an event to the state machine and returns the next action.
pub fn advance(
    lifecycle: &mut StateMachine<RequestLifecycle>,
    event: LifecycleEvent,
) -> LifecycleAction {
    let mut action = LifecycleAction::Nothing;
    lifecycle.handle_with_context(&event, &mut action);
    action
}
