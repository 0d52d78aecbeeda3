//! Dispatch of one call: sends it to upstreams until one answers or no further send is allowed.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::pending;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::decide::ShareStanding;
use crate::gateway::Call;
use crate::gateway::CallRefusal;
use crate::gateway::Gateway;
use crate::gateway::able_only::AbleOnly;
use crate::gateway::call_recorder::CallRecorder;
use crate::gateway::call_sending::NextSend;
use crate::gateway::limit_wait::LimitWait;
use crate::gateway::placement::SendHistory;
use crate::gateway::send::UpstreamResponse;
use crate::gateway::silent_sends::Raced;
use crate::gateway::silent_sends::SilentSends;
use crate::gateway::waiting_calls::WaitingPlace;
use crate::units::BoundedTime;
use crate::units::UpstreamId;

/// The part of the time left for which an answer that is a failure is held while another upstream may
/// still answer. The caller keeps the rest for a retry of its own.
const FAILURE_HOLD_FRACTION: f64 = 0.5;
/// Delay after no other upstream could take the call of a silent one; doubled each time.
pub(crate) const RESEND_DELAY: Duration = Duration::from_millis(300);

/// The number of upstreams at which a call fails or that break their connections to it before it is not
/// sent again.
const FAULTY_RUNS_MAX: u32 = 2;

/// The result of dispatching a call.
pub(crate) enum DispatchOutcome {
    /// An upstream answered, possibly with a failure, which the caller gets unchanged.
    Answered(Box<UpstreamResponse>),
    /// No upstream answered.
    Refused(CallRefusal),
}

/// Dispatches one call and keeps track of its sends: which upstreams were tried, and how many sends
/// have run.
pub(crate) struct CallDispatcher {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    /// What the customer wanted compared with its share when the call arrived.
    pub(super) standing: ShareStanding,
    /// The upstreams that the call was sent to, in order.
    pub(super) tried: Vec<UpstreamId>,
    /// Number of sends that reached an upstream. If it is not 0, the next send is a retry that the
    /// retry budget must allow; it is reset when the budget has allowed that retry already.
    pub(super) arrivals: u32,
    /// Number of sends that were certainly not run.
    pub(super) not_run: u32,
    /// Number of sends that may have run, the present one included.
    pub(super) runs: u32,
    /// Whether the call is the probe of quarantined parts.
    pub(super) is_probe: bool,
    /// Whether the call may run on one upstream only, since earlier ones with the request
    /// have ended upstreams.
    pub(super) may_run_once_only: bool,
    /// Number of times that the upstreams were compared to choose one.
    pub(super) choices: u32,
    /// Whether waiting calls are served in an order, which they are where the manifest lists
    /// customers.
    pub(super) is_ordered: bool,
    /// Whether the call was let in by a choice.
    pub(super) is_admitted: bool,
    /// The place of the call among the waiting ones, while it waits.
    pub(super) place: Option<WaitingPlace>,
    /// Whether the waiting of the call was logged.
    pub(super) is_wait_logged: bool,
    /// Counts the call among those that wait for the rate limits of the upstreams, while it does.
    pub(super) limit_wait: Option<LimitWait>,
    /// The reason for which the call was last refused, as logs name it.
    pub(super) refused_for: Option<&'static str>,
    /// Whether it was logged that the call is not sent again for now.
    pub(super) is_hold_logged: bool,
    /// Whether the call, whose upstream is silent, may be sent only to upstreams that can take over.
    pub(super) able_only: AbleOnly,
    /// Records what the sends tell about upstreams.
    pub(super) recorder: CallRecorder,
    /// The forecast time from the last send until the first event; zero for plain services.
    pub(super) forecast: Duration,
    /// When something was last forwarded to the caller; its arrival before that.
    pub(crate) forwarded_at: Instant,
}

impl CallDispatcher {
    /// Starts to dispatch a call that was admitted, and adds it to what its customer wants.
    pub(crate) fn new(gateway: Arc<Gateway>, call: Arc<Call>) -> Self {
        let routes = gateway.platform_view.routes();
        let forwarded_at = call.arrived_at;
        let recorder = CallRecorder::new(&gateway, &call);
        Self {
            is_ordered: routes.is_some_and(|routes| routes.keys.is_required()),
            standing: gateway.record_arrival(&call),
            gateway,
            call,
            tried: Vec::new(),
            arrivals: 0,
            not_run: 0,
            runs: 0,
            is_probe: false,
            may_run_once_only: false,
            choices: 0,
            is_admitted: false,
            place: None,
            is_wait_logged: false,
            limit_wait: None,
            refused_for: None,
            is_hold_logged: false,
            able_only: AbleOnly::default(),
            recorder,
            forecast: Duration::ZERO,
            forwarded_at,
        }
    }

    /// The reason for which the call was last refused, as logs name it; none if it never was.
    pub(crate) fn refused_for(&self) -> Option<&'static str> {
        self.refused_for
    }

    /// Whether the call may be run once more: it has not run yet, or it is repeatable and has not
    /// run as often as its route allows.
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs == 0 || (self.call.route.kind.is_repeatable() && self.runs < self.runs_max())
    }

    /// The number of upstreams that the call may run on. What several of them have failed at is more
    /// likely to be the fault of the call.
    fn runs_max(&self) -> u32 {
        let has_failed = self.recorder.faulty_runs() >= FAULTY_RUNS_MAX;
        if self.is_probe || self.may_run_once_only || has_failed {
            return 1;
        }
        self.call.route.runs_max.max(1)
    }

    /// Sends the call until an upstream answers, or refuses it when no further send is allowed. An
    /// upstream that does not answer in time keeps the call while it is sent to another one; the
    /// first answer counts. A resumed stream continues after `last_event`.
    ///
    /// After a call to this that was cancelled, [`CallDispatcher::stop_waiting`] is to be called.
    pub(crate) async fn dispatch(&mut self, last_event: Option<&str>) -> DispatchOutcome {
        let mut silent = SilentSends::new(self.recorder.clone(), self.able_only.clone());
        let mut delay = Duration::ZERO;
        let mut answer_by = self.call.deadline;
        loop {
            if !silent.is_empty() {
                let answer = self.wait_for_silent(&mut silent, delay, answer_by).await;
                if let Some(response) = answer {
                    self.stop_waiting();
                    return DispatchOutcome::Answered(response);
                }
            }
            let now = self.gateway.clock.now();
            if !self.may_run_again() || answer_by <= now {
                return self.no_answer(&mut silent);
            }
            let is_restricted = self.able_only.get();
            let raced = silent.race(self.send_next(last_event)).await;
            self.count_not_run(&mut silent);
            match raced {
                Raced::Answered(response) => {
                    self.stop_waiting();
                    return DispatchOutcome::Answered(response);
                }
                Raced::Other(NextSend::Silent(send)) => {
                    silent.push(send);
                    delay = Duration::ZERO;
                }
                Raced::Other(NextSend::Ended(DispatchOutcome::Answered(response))) => {
                    if silent.is_empty() || !response.head.status.is_server_error() {
                        return DispatchOutcome::Answered(response);
                    }
                    silent.keep_failure(response);
                }
                Raced::Other(NextSend::Ended(DispatchOutcome::Refused(refusal))) => {
                    self.place = None;
                    self.limit_wait = None;
                    // What was silent may have been lost meanwhile, and with it the restriction.
                    let is_outdated = is_restricted && !self.able_only.get();
                    if silent.is_empty() && !is_outdated {
                        return match silent.take_failure() {
                            Some(response) => DispatchOutcome::Answered(response),
                            None => DispatchOutcome::Refused(refusal),
                        };
                    }
                    delay = (delay * 2).max(RESEND_DELAY);
                }
            }
            if silent.has_failure() && answer_by == self.call.deadline {
                let now = self.gateway.clock.now();
                answer_by = now + self.call.time_left(now).scaled(FAILURE_HOLD_FRACTION);
            }
        }
    }

    /// Waits until a silent upstream answers, all of them are lost, the call is to be sent to
    /// another one, or it is `answer_by`.
    async fn wait_for_silent(
        &mut self,
        silent: &mut SilentSends,
        delay: Duration,
        answer_by: Instant,
    ) -> Option<Box<UpstreamResponse>> {
        let now = self.gateway.clock.now();
        let may_run_again = self.may_run_again();
        let until = async {
            if may_run_again {
                sleep(delay).await;
                self.wait_for_resend().await;
            } else {
                pending::<()>().await;
            }
        };
        let until = timeout(answer_by.saturating_duration_since(now), until);
        let answer = silent.answer_until(until).await;
        self.count_not_run(silent);
        answer
    }

    /// Counts the sends to silent upstreams that have turned out not to have run.
    fn count_not_run(&mut self, silent: &mut SilentSends) {
        let not_run = silent.take_not_run();
        self.runs -= not_run;
        self.not_run += not_run;
    }

    /// The outcome when no upstream is waited for any more: the answer that is a failure, if there is
    /// one.
    fn no_answer(&self, silent: &mut SilentSends) -> DispatchOutcome {
        match silent.take_failure() {
            Some(response) => DispatchOutcome::Answered(response),
            None => DispatchOutcome::Refused(self.lost_refusal()),
        }
    }

    /// Leaves all places where the call waits for upstreams.
    pub(crate) fn stop_waiting(&mut self) {
        self.place = None;
        self.limit_wait = None;
        self.able_only.clear();
    }

    /// The refusal of a call whose upstreams were all lost.
    pub(super) fn lost_refusal(&self) -> CallRefusal {
        let now = self.gateway.clock.now();
        if self.call.time_left(now).is_zero() {
            CallRefusal::DeadlineExceeded
        } else {
            CallRefusal::OutcomeUnknown
        }
    }

    /// Returns the refusal for the caller, which says that the call has not run only if that is
    /// certain. Logs a refusal because of overload, and the reason for which a call that may have run
    /// is not sent again.
    pub(crate) fn refuse(&mut self, refusal: CallRefusal) -> CallRefusal {
        let refused_before = self.refused_for.replace(refusal.name());
        if let Some(place) = &self.place {
            self.record_queue_wait(place);
        }
        if self.runs > 0 {
            // A call whose upstream is silent asks several times.
            if refused_before != self.refused_for {
                self.log_not_resent(refusal.name());
            }
            return CallRefusal::OutcomeUnknown;
        }
        if let CallRefusal::Overload {
            reason,
            retry_after,
        } = &refusal
        {
            self.log_refusal(*reason, *retry_after);
        }
        refusal
    }

    /// The sends so far, as the choice of an upstream needs them.
    pub(super) fn sends(&self) -> SendHistory<'_> {
        SendHistory {
            tried: &self.tried,
            may_have_run: self.runs > 0,
            waits_for_limit: self.limit_wait.is_some(),
            is_admitted: self.is_admitted,
            has_waited_for_slot: self.place.is_some(),
            standing: self.standing,
            is_only_for_able: self.able_only.get(),
        }
    }
}
