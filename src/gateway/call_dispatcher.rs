//! Brings one call to upstreams until one answers or nothing more may be done.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::decide::RefuseReason;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::Refusal;
use crate::gateway::limit_wait::LimitWait;
use crate::gateway::placement::Choice;
use crate::gateway::placement::NO_UPSTREAM_RETRY_AFTER;
use crate::gateway::placement::Placement;
use crate::gateway::placement::Sends;
use crate::gateway::placement::choose;
use crate::gateway::placement::survey;
use crate::gateway::reservation::Part;
use crate::gateway::reservation::Reservation;
use crate::gateway::send::Answered;
use crate::gateway::send::SendEnd;
use crate::gateway::send::Sending;
use crate::units::AttemptId;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// Sends of one call that did not run, beside those that may have. Each costs a way there and back.
const UNRUN_SENDS_MAX: u32 = 5;
/// After memory was refused; several intervals of hosts' news.
const RESERVE_PAUSE: Duration = Duration::from_millis(40);
/// A prompt that waits for this long is logged with the engines that it waits for.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// When a caller may come again with a request that crashes upstreams: not while its other sends
/// are still remembered by anybody.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What came of bringing a call to upstreams.
pub(crate) enum DispatchOutcome {
    /// An upstream answered; maybe with a failure, which goes to the caller as it is.
    Answered(Box<Answered>),
    /// Nobody did.
    Refused(Refusal),
}

/// A call on its way, with what was tried.
pub(crate) struct CallDispatcher {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    tried: Vec<UpstreamId>,
    /// Sends that reached an upstream.
    arrivals: u32,
    /// Sends that did not run.
    unrun: u32,
    /// Sends that may have run.
    runs: u32,
    /// How often upstreams were chosen.
    choices: u32,
    /// Whether its waiting was logged.
    is_wait_logged: bool,
    /// Counts it among those that wait for an upstream's limit.
    limit_wait: Option<LimitWait>,
}

impl CallDispatcher {
    pub(crate) fn new(gateway: Arc<Gateway>, call: Arc<Call>) -> Self {
        Self {
            gateway,
            call,
            tried: Vec::new(),
            arrivals: 0,
            unrun: 0,
            runs: 0,
            choices: 0,
            is_wait_logged: false,
            limit_wait: None,
        }
    }

    /// Whether one more send may run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs == 0 || (self.call.route.kind.is_repeatable() && self.runs < self.runs_max())
    }

    fn runs_max(&self) -> u32 {
        self.call.route.runs_max.max(1)
    }

    /// Sends the call until an upstream answers. `last_event` is the event after which a stream is
    /// to go on.
    pub(crate) async fn dispatch(&mut self, last_event: Option<&str>) -> DispatchOutcome {
        loop {
            let now = self.gateway.clock.now();
            if self.call.time_left(now).is_zero() {
                return DispatchOutcome::Refused(self.time_up());
            }
            if !self.gateway.may_send(&self.call) {
                return DispatchOutcome::Refused(self.refuse(Refusal::StaleKnowledge));
            }
            if self.is_poison(now) {
                return DispatchOutcome::Refused(self.refuse(Refusal::Overload {
                    reason: RefuseReason::Poison,
                    retry_after: POISON_RETRY_AFTER,
                }));
            }
            self.choices += 1;
            let placement = match choose(&self.gateway, &self.call, &self.sends(), now) {
                Choice::Send(placement) => placement,
                Choice::Wait(wait) => {
                    self.log_long_wait(now);
                    self.sleep_about(wait, now).await;
                    continue;
                }
                Choice::WaitForLimit(wait) => {
                    let new = || LimitWait::new(&self.gateway, &self.call.service);
                    self.limit_wait.get_or_insert_with(new);
                    self.sleep_about(wait, now).await;
                    continue;
                }
                Choice::Refuse(refusal) => return DispatchOutcome::Refused(self.refuse(refusal)),
            };
            self.limit_wait = None;
            if self.arrivals > 0 && !self.gateway.try_retry(&self.call.service) {
                return DispatchOutcome::Refused(self.refuse(Refusal::Overload {
                    reason: RefuseReason::RetryBudget,
                    retry_after: NO_UPSTREAM_RETRY_AFTER,
                }));
            }
            let Some(reservation) = self.reserve(&placement).await else {
                continue;
            };
            let sent = self.send_once(*placement, reservation, last_event).await;
            if let Some(delivery) = sent {
                return delivery;
            }
        }
    }

    /// Spread, so that requests that wait on several hosts for the same upstreams do not all choose them in the
    /// same moment.
    async fn sleep_about(&self, wait: Duration, now: Instant) {
        let wait = wait.mul_f64(rand::random_range(0.5..1.5));
        tokio::time::sleep(wait.min(self.call.time_left(now))).await;
    }

    /// Sends once and says what is final; nothing if it is to be sent again.
    async fn send_once(
        &mut self,
        placement: Placement,
        reservation: Option<Reservation>,
        last_event: Option<&str>,
    ) -> Option<DispatchOutcome> {
        let upstream = placement.upstream.clone();
        self.tried.push(upstream.id.clone());
        let is_last = self.runs + 1 >= self.runs_max();
        self.log_sent(&placement, self.gateway.clock.now());
        let sending = Sending {
            gateway: &self.gateway,
            call: &self.call,
            last_event,
            is_last,
        };
        match sending.send(placement, reservation).await {
            SendEnd::Answered(answered) => {
                self.arrivals += 1;
                self.runs += 1;
                let failed = answered.head.status.is_server_error();
                if failed {
                    self.on_fault(&upstream, UpstreamFault::Failed, "failed");
                } else {
                    let now = self.gateway.clock.now();
                    let mut health = self.gateway.health();
                    health.on_answer(&upstream.id, &upstream.domain, now);
                }
                let again = failed
                    && self.may_run_again()
                    && self.has_time_for_more()
                    && self.gateway.try_retry(&self.call.service);
                if again {
                    // Paid for here, so the next send is not to be paid again.
                    self.arrivals = 0;
                    return None;
                }
                Some(DispatchOutcome::Answered(answered))
            }
            SendEnd::NotRun {
                fault,
                arrived,
                at_fault,
                why,
            } => {
                if let Some(addr) = at_fault {
                    self.on_helper_fault(addr);
                }
                self.unrun += 1;
                self.arrivals += u32::from(arrived);
                self.on_fault(&upstream, fault, &why);
                if self.unrun > UNRUN_SENDS_MAX {
                    let refusal = Refusal::Overload {
                        reason: RefuseReason::NoUpstream,
                        retry_after: NO_UPSTREAM_RETRY_AFTER,
                    };
                    return Some(DispatchOutcome::Refused(self.refuse(refusal)));
                }
                None
            }
            SendEnd::Lost { fault, why } => {
                self.arrivals += 1;
                self.runs += 1;
                self.on_connection_lost(&upstream, fault, &why);
                if self.may_run_again() {
                    return None;
                }
                let now = self.gateway.clock.now();
                Some(DispatchOutcome::Refused(
                    if self.call.time_left(now).is_zero() {
                        Refusal::TimeUp
                    } else {
                        Refusal::Unknown
                    },
                ))
            }
        }
    }

    /// Sets aside the memory that a placement asks for. Without it nothing is sent, and the engines that refused
    /// are not asked for as much again at once.
    async fn reserve(&self, placement: &Placement) -> Option<Option<Reservation>> {
        if placement.reserves.is_empty() {
            return Some(None);
        }
        let request = &self.call.head.request;
        let parts = placement.reserves.clone();
        match Reservation::make(&self.gateway, request, parts).await {
            Ok(reservation) => Some(Some(reservation)),
            Err(refused) => {
                self.on_memory_refused(&refused);
                tokio::time::sleep(RESERVE_PAUSE).await;
                None
            }
        }
    }

    fn on_memory_refused(&self, refused: &[Part]) {
        let now = self.gateway.clock.now();
        let mut ledger = self.gateway.ledger();
        for part in refused {
            ledger.memory_refused(&part.id, part.tokens, now);
        }
    }

    fn is_poison(&self, now: Instant) -> bool {
        let poison = self.gateway.poison();
        // The hash of a body costs a tenth of a millisecond, so it is made only if there is a list.
        !poison.is_empty() && poison.is_poison(&[self.call.poison_mark()], now)
    }

    /// Takes in that the connection to an upstream broke while the call may have been running.
    pub(crate) fn on_connection_lost(
        &self,
        upstream: &ListedUpstream,
        fault: UpstreamFault,
        why: &str,
    ) {
        self.on_fault(upstream, fault, why);
        if fault == UpstreamFault::Broken {
            let now = self.gateway.clock.now();
            let attempt = AttemptId(rand::random());
            let mark = self.call.poison_mark();
            let news = self.gateway.poison().on_crash(&[mark], attempt, now);
            if !news.is_empty() {
                self.gateway.tell_crashes(news);
            }
        }
    }

    /// Takes in that the call was served: it does not crash upstreams.
    pub(crate) fn on_served(&self) {
        let mut poison = self.gateway.poison();
        if !poison.is_empty() {
            poison.acquit(self.call.poison_mark());
        }
    }

    fn on_fault(&self, upstream: &ListedUpstream, fault: UpstreamFault, why: &str) {
        let now = self.gateway.clock.now();
        self.gateway
            .health()
            .on_fault(&upstream.id, &upstream.domain, fault, now);
        if fault.is_unreachable() {
            self.gateway.health_changed.notify_one();
            self.gateway.load_urgent.notify_one();
        }
        self.gateway.meters.fault(fault.name());
        self.gateway.log.note(Event::UpstreamFault {
            request: self.call.head.request.clone(),
            upstream: upstream.id.to_string(),
            fault: format!("{}: {why}", fault.name()),
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived)),
        });
    }

    /// An engine turned a prompt away because of another one that was to read a part.
    fn on_helper_fault(&self, addr: std::net::SocketAddr) {
        let Some(by_service) = self.gateway.platform_view.upstreams() else {
            return;
        };
        let listed = by_service.get(&self.call.service);
        let helper = listed.and_then(|listed| listed.iter().find(|u| u.addr == addr));
        if let Some(helper) = helper {
            self.on_fault(helper, UpstreamFault::TurnedAway, "named as at fault");
        }
    }

    /// What to tell the caller: a promise that the call has not run only while that is certain.
    fn refuse(&self, refusal: Refusal) -> Refusal {
        if let Refusal::Overload {
            reason,
            retry_after,
        } = &refusal
        {
            self.log_refused(*reason, *retry_after);
        }
        if self.runs > 0 {
            return Refusal::Unknown;
        }
        refusal
    }

    fn sends(&self) -> Sends<'_> {
        Sends {
            tried: &self.tried,
            has_run: self.runs > 0,
            waits_for_limit: self.limit_wait.is_some(),
        }
    }

    /// Logs once what a prompt that has waited for [`LONG_WAIT`] waits for.
    fn log_long_wait(&mut self, now: Instant) {
        let waited = now.saturating_duration_since(self.call.arrived);
        if self.is_wait_logged || waited < LONG_WAIT {
            return;
        }
        self.is_wait_logged = true;
        let Some((near, all)) = survey(&self.gateway, &self.call, &self.sends(), now) else {
            return;
        };
        self.gateway.log.note(Event::Waiting {
            request: self.call.head.request.clone(),
            prompt_tokens: self.call.head.prompt.0,
            elapsed_ms: whole_millis(waited),
            objective_left_ms: whole_millis(self.call.objective_left(now)),
            time_left_ms: whole_millis(self.call.time_left(now)),
            choices: self.choices,
            near: Box::new(near),
            all: Box::new(all),
        });
    }

    fn log_refused(&self, reason: RefuseReason, retry_after: Duration) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let by_service = gateway.platform_view.upstreams();
        let listed = by_service.and_then(|all| all.get(&self.call.service).map(Vec::len));
        let (near, all) = survey(gateway, &self.call, &self.sends(), now).unzip();
        gateway.log.note(Event::Refused {
            request: self.call.head.request.clone(),
            reason: reason.name().into(),
            prompt_tokens: self.call.head.prompt.0,
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived)),
            objective_left_ms: whole_millis(self.call.objective_left(now)),
            time_left_ms: whole_millis(self.call.time_left(now)),
            choices: self.choices,
            near: near.map(Box::new),
            all: all.map(Box::new),
            retry_after_ms: whole_millis(retry_after),
            upstreams: listed.unwrap_or(0),
            hosts_heard: gateway.ledger().peers_heard(now),
            manifest_age_ms: gateway.manifest_age().map_or(0, whole_millis),
        });
    }

    fn time_up(&self) -> Refusal {
        if self.runs > 0 {
            Refusal::TimeUp
        } else {
            Refusal::TimeUpNotRun
        }
    }

    fn has_time_for_more(&self) -> bool {
        let left = self.call.time_left(self.gateway.clock.now());
        left > self.call.route.objective / 2
    }

    fn log_sent(&self, placement: &Placement, now: Instant) {
        self.gateway.meters.sent(self.arrivals > 0);
        self.gateway.log.note(Event::Sent {
            request: self.call.head.request.clone(),
            upstream: placement.upstream.id.to_string(),
            helpers: placement.helper_ids().map(ToString::to_string).collect(),
            reserves: placement.reserves.len(),
            earlier_sends: self.runs + self.unrun,
            forecast_ms: whole_millis(placement.forecast),
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived)),
            prompt_tokens: self.call.head.prompt.0,
            manifest_age_ms: self.gateway.manifest_age().map_or(0, whole_millis),
            limit: placement.limit,
        });
    }
}
