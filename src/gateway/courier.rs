//! Brings one call to upstreams until one answers or nothing more may be done.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use tokio::time::timeout;

use crate::decide::RefuseReason;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::Listed;
use crate::gateway::Refusal;
use crate::gateway::SendHead;
use crate::gateway::load_guard::LoadGuard;
use crate::gateway::placement::Choice;
use crate::gateway::placement::NO_UPSTREAM_RETRY_AFTER;
use crate::gateway::placement::Placement;
use crate::gateway::placement::choose;
use crate::gateway::reservation::Part;
use crate::gateway::reservation::Reservation;
use crate::http::one_shot;
use crate::http::one_shot::OneShotBody;
use crate::http::one_shot::OneShotError;
use crate::routing::CallKind;
use crate::units::AttemptId;
use crate::units::UpstreamId;

/// A way inside a site takes at most 3 ms and an upstream a millisecond to take a connection; one
/// that takes this long is dead, cut off, or lost the first packet, which is sent again after a
/// second. Another upstream is quicker in all three cases.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Sends of one call that did not run, beside those that may have. Each costs a way there and back.
const UNRUN_SENDS_MAX: u32 = 5;
/// The shortest time after which a repeatable call without an answer is sent elsewhere. Ten times
/// what calls to plain services take.
const ANSWER_PATIENCE_MIN: Duration = Duration::from_millis(600);
/// What a stream's first event may take beyond three times its forecast before another engine gets it;
/// less than the two seconds after which callers give up.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_000);
/// How many times its objective a stream's first event may take at least.
const LATE_PATIENCE: f64 = 2.5;
/// After memory was refused; several intervals of hosts' news.
const RESERVE_PAUSE: Duration = Duration::from_millis(40);
/// When a caller may come again with a request that crashes upstreams: not while its other sends
/// are still remembered by anybody.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(10);
/// An upstream's answer, its body still to be read.
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: OneShotBody,
    pub(crate) upstream: Listed,
    /// When its first event was expected, from the send on.
    pub(crate) forecast: Duration,
    pub(crate) sent_at: Instant,
    /// Keeps the work on the books until the body has been read.
    pub(crate) _load: LoadGuard,
    /// Keeps engines' memory until then.
    pub(crate) _reservation: Option<Reservation>,
}

/// What came of bringing a call to upstreams.
pub(crate) enum Delivery {
    /// An upstream answered; maybe with a failure, which goes to the caller as it is.
    Answered(Box<Answered>),
    /// Nobody did.
    Refused(Refusal),
}

/// What came of one send.
enum SendEnd {
    Answered(Box<Answered>),
    /// It did not run there and never will.
    NotRun {
        fault: UpstreamFault,
        /// Whether the upstream got it at all.
        arrived: bool,
        why: String,
    },
    /// It may have run, and there is no answer.
    Lost {
        fault: UpstreamFault,
        why: String,
    },
}

/// A call on its way, with what was tried.
pub(crate) struct Courier {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    tried: Vec<UpstreamId>,
    /// Sends that reached an upstream.
    arrivals: u32,
    /// Sends that did not run.
    unrun: u32,
    /// Sends that may have run.
    runs: u32,
}

impl Courier {
    pub(crate) fn new(gateway: Arc<Gateway>, call: Arc<Call>) -> Self {
        Self {
            gateway,
            call,
            tried: Vec::new(),
            arrivals: 0,
            unrun: 0,
            runs: 0,
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
    pub(crate) async fn deliver(&mut self, last_event: Option<&str>) -> Delivery {
        loop {
            let now = self.gateway.clock.now();
            if self.call.time_left(now).is_zero() {
                return Delivery::Refused(self.time_up());
            }
            if !self.gateway.may_send(&self.call) {
                return Delivery::Refused(self.refuse(Refusal::StaleKnowledge));
            }
            if self.is_poison(now) {
                return Delivery::Refused(self.refuse(Refusal::Overload {
                    reason: RefuseReason::Poison,
                    retry_after: POISON_RETRY_AFTER,
                }));
            }
            let placement = match choose(&self.gateway, &self.call, &self.tried, now) {
                Choice::Send(placement) => placement,
                Choice::Wait(wait) => {
                    // Spread, so that requests that wait on several hosts for the same engines do
                    // not all choose them in the same moment.
                    let wait = wait.mul_f64(rand::random_range(0.5..1.5));
                    tokio::time::sleep(wait.min(self.call.time_left(now))).await;
                    continue;
                }
                Choice::Refuse(refusal) => return Delivery::Refused(self.refuse(refusal)),
            };
            if self.arrivals > 0 && !self.gateway.try_retry(&self.call.service) {
                return Delivery::Refused(self.refuse(Refusal::Overload {
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

    /// Sends once and says what is final; nothing if it is to be sent again.
    async fn send_once(
        &mut self,
        placement: Placement,
        reservation: Option<Reservation>,
        last_event: Option<&str>,
    ) -> Option<Delivery> {
        let upstream = placement.upstream.clone();
        self.tried.push(upstream.id.clone());
        match self.send(placement, reservation, last_event).await {
            SendEnd::Answered(answered) => {
                self.arrivals += 1;
                self.runs += 1;
                let failed = answered.head.status.is_server_error();
                if failed {
                    self.on_fault(&upstream, UpstreamFault::Failed, "failed");
                } else {
                    let mut health = self.gateway.health();
                    health.on_answer(&upstream.id, &upstream.domain);
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
                Some(Delivery::Answered(answered))
            }
            SendEnd::NotRun {
                fault,
                arrived,
                why,
            } => {
                self.unrun += 1;
                self.arrivals += u32::from(arrived);
                self.on_fault(&upstream, fault, &why);
                if self.unrun > UNRUN_SENDS_MAX {
                    let refusal = Refusal::Overload {
                        reason: RefuseReason::NoUpstream,
                        retry_after: NO_UPSTREAM_RETRY_AFTER,
                    };
                    return Some(Delivery::Refused(self.refuse(refusal)));
                }
                None
            }
            SendEnd::Lost { fault, why } => {
                self.arrivals += 1;
                self.runs += 1;
                self.on_lost(&upstream, fault, &why);
                if self.may_run_again() {
                    return None;
                }
                let now = self.gateway.clock.now();
                Some(Delivery::Refused(if self.call.time_left(now).is_zero() {
                    Refusal::TimeUp
                } else {
                    Refusal::Unknown
                }))
            }
        }
    }

    async fn send(
        &self,
        placement: Placement,
        reservation: Option<Reservation>,
        last_event: Option<&str>,
    ) -> SendEnd {
        let now = self.gateway.clock.now();
        let limit = self.patience(&placement, now);
        self.log_sent(&placement, now);
        let load = LoadGuard::new(&self.gateway, placement.shares);
        let upstream = placement.upstream;
        let reserved = reservation.iter().flat_map(Reservation::parts);
        let mut helpers: Vec<HelperAddr> = reserved.map(Part::helper).collect();
        helpers.extend(placement.helpers);
        let head = SendHead {
            upstream: &upstream.id,
            time_left: self.call.time_left(now),
            customer: self.call.customer.as_ref(),
            helpers: &helpers,
            last_event,
        };
        let req = self.request(&head);
        let sending = one_shot::send(upstream.addr, req, CONNECT_TIMEOUT.min(limit));
        let res = match timeout(limit, sending).await {
            Ok(Ok(res)) => res,
            Ok(Err(err)) => return lost_or_not_run(&err),
            Err(_) => {
                return SendEnd::Lost {
                    fault: UpstreamFault::Silent,
                    why: "no answer in time".to_owned(),
                };
            }
        };
        let (head, body) = res.into_parts();
        let dialect = &self.gateway.dialect;
        let said = dialect.read_answer(&self.call.head.request, head.status, &head.headers);
        if said.did_not_run {
            if let Some(addr) = said.at_fault.filter(|addr| *addr != upstream.addr) {
                self.on_helper_fault(addr);
            }
            return SendEnd::NotRun {
                fault: UpstreamFault::TurnedAway,
                arrived: true,
                why: format!("turned away with {}", head.status),
            };
        }
        let is_whole = said.is_signed
            && said.is_for_request
            && !head.headers.contains_key(CONTENT_ENCODING)
            && !promises_not_run(head.status);
        if !is_whole {
            return SendEnd::Lost {
                fault: UpstreamFault::Failed,
                why: format!("{} is no answer to this request", head.status),
            };
        }
        SendEnd::Answered(Box::new(Answered {
            head,
            body,
            upstream,
            forecast: placement.forecast,
            sent_at: now,
            _load: load,
            _reservation: reservation,
        }))
    }

    /// Sets aside the memory that a placement asks for. Without it nothing is sent: another host was
    /// quicker, and what it sent is known here in a moment.
    async fn reserve(&self, placement: &Placement) -> Option<Option<Reservation>> {
        if placement.reserves.is_empty() {
            return Some(None);
        }
        let request = &self.call.head.request;
        let parts = placement.reserves.clone();
        match Reservation::make(&self.gateway, request, parts).await {
            Ok(reservation) => Some(Some(reservation)),
            Err(_) => {
                tokio::time::sleep(RESERVE_PAUSE).await;
                None
            }
        }
    }

    fn request(&self, head: &SendHead<'_>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.uri.clone();
        *req.headers_mut() = self.gateway.dialect.send_headers(&self.call.headers, head);
        req
    }

    /// How long this send may go without the head of an answer before another upstream gets it.
    fn patience(&self, placement: &Placement, now: Instant) -> Duration {
        let time_left = self.call.time_left(now);
        let is_last = self.runs + 1 >= self.runs_max();
        let patience = match self.call.route.kind {
            CallKind::Idempotent if !is_last => {
                (self.call.route.objective * 2).max(ANSWER_PATIENCE_MIN)
            }
            CallKind::Stream { is_resumable: true } if !is_last => {
                first_event_patience(&self.call, placement.forecast)
            }
            _ => time_left,
        };
        patience.min(time_left)
    }

    fn is_poison(&self, now: Instant) -> bool {
        let poison = self.gateway.poison();
        // The hash of a body costs a tenth of a millisecond, so it is made only if there is a list.
        !poison.is_empty() && poison.is_poison(&[self.call.poison_mark()], now)
    }

    /// Takes in that the connection to an upstream broke while the call may have been running.
    pub(crate) fn on_lost(&self, upstream: &Listed, fault: UpstreamFault, why: &str) {
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

    fn on_fault(&self, upstream: &Listed, fault: UpstreamFault, why: &str) {
        let now = self.gateway.clock.now();
        self.gateway
            .health()
            .on_fault(&upstream.id, &upstream.domain, fault, now);
        self.gateway.meters.fault(fault.name());
        self.gateway.log.note(Event::UpstreamFault {
            request: self.call.head.request.clone(),
            upstream: upstream.id.to_string(),
            fault: format!("{}: {why}", fault.name()),
            elapsed_ms: millis(now.saturating_duration_since(self.call.arrived)),
        });
    }

    /// An engine turned a prompt away because of another one that was to read a part.
    fn on_helper_fault(&self, addr: std::net::SocketAddr) {
        let Some(by_service) = self.gateway.beliefs.upstreams() else {
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
        if self.runs > 0 {
            return Refusal::Unknown;
        }
        refusal
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
            helpers: placement.helpers.len(),
            reserves: placement.reserves.len(),
            earlier_sends: self.runs + self.unrun,
            forecast_ms: millis(placement.forecast),
            elapsed_ms: millis(now.saturating_duration_since(self.call.arrived)),
            prompt_tokens: self.call.head.prompt.0,
            manifest_age_ms: self.gateway.manifest_age().map_or(0, millis),
        });
    }
}

/// How long a stream's first event may take before another engine gets the call. A long prompt that
/// is sent again is read again, so it waits until it would be late anyway: forecasts can't see what
/// other hosts send in the same moment.
pub(crate) fn first_event_patience(call: &Call, forecast: Duration) -> Duration {
    let late = call.route.objective.mul_f64(LATE_PATIENCE);
    late.max(forecast * 3 + FIRST_EVENT_PATIENCE)
}

fn lost_or_not_run(err: &OneShotError) -> SendEnd {
    let why = err.to_string();
    match err {
        OneShotError::ConnectTimeout => SendEnd::NotRun {
            fault: UpstreamFault::ConnectTimeout,
            arrived: false,
            why,
        },
        OneShotError::Connect(_) | OneShotError::NotSent(_) => SendEnd::NotRun {
            fault: UpstreamFault::ConnectRefused,
            arrived: false,
            why,
        },
        OneShotError::Broken(_) | OneShotError::Timeout => SendEnd::Lost {
            fault: UpstreamFault::Broken,
            why,
        },
    }
}

/// Whether a status tells callers that a request has not run. An upstream that uses one without
/// saying so itself may have run it, and passing it on would be a false promise.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
