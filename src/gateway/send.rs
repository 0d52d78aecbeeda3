//! One send of a call to one upstream.

use std::net::SocketAddr;
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

use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::ListedUpstream;
use crate::gateway::SendHead;
use crate::gateway::load_guard::LoadGuard;
use crate::gateway::placement::Placement;
use crate::gateway::reservation::Part;
use crate::gateway::reservation::Reservation;
use crate::http::one_shot;
use crate::http::one_shot::OneShotBody;
use crate::http::one_shot::OneShotError;
use crate::routing::CallKind;

/// A way inside a site takes at most 3 ms and an upstream a millisecond to take a connection; one
/// that takes this long is dead, cut off, or lost the first packet, which is sent again after a
/// second. Another upstream is quicker in all three cases, and a clause, which has 300 ms, is still on
/// time there.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The shortest time after which a repeatable call without an answer is sent elsewhere. Ten times
/// what calls to plain services take.
const ANSWER_PATIENCE_MIN: Duration = Duration::from_millis(600);
/// What a stream's first event may take beyond three times its forecast before another engine gets it;
/// less than the two seconds after which callers give up.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_000);
/// How many times its objective a stream's first event may take at least.
const LATE_PATIENCE: f64 = 2.5;

/// Why a call is lost whose upstream has another life by now.
pub(crate) const STARTED_AGAIN: &str = "the upstream has started again";

/// An upstream's answer, its body still to be read.
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: OneShotBody,
    pub(crate) upstream: ListedUpstream,
    /// When its first event was expected, from the send on.
    pub(crate) forecast: Duration,
    pub(crate) sent_at: Instant,
    /// Keeps the work on the books until the body has been read.
    pub(crate) load: LoadGuard,
    /// Keeps engines' memory until then.
    pub(crate) _reservation: Option<Reservation>,
}

/// What came of one send.
pub(crate) enum SendEnd {
    Answered(Box<Answered>),
    /// It did not run there and never will.
    NotRun {
        fault: UpstreamFault,
        /// Whether the upstream got it at all.
        arrived: bool,
        /// The other upstream that the refusal is about.
        at_fault: Option<SocketAddr>,
        why: String,
    },
    /// It may have run, and there is no answer.
    Lost {
        fault: UpstreamFault,
        why: String,
    },
}

/// A call that is about to be sent.
pub(crate) struct Sending<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) call: &'a Call,
    /// The event after which a stream is to go on.
    pub(crate) last_event: Option<&'a str>,
    /// Whether no other upstream may get the call after this one.
    pub(crate) is_last: bool,
}

impl Sending<'_> {
    /// Sends it and waits for the head of an answer.
    pub(crate) async fn send(
        &self,
        placement: Placement,
        reservation: Option<Reservation>,
    ) -> SendEnd {
        let now = self.gateway.clock.now();
        let limit = self.patience(&placement, now);
        let load = LoadGuard::new(self.gateway, placement.shares);
        let upstream = placement.upstream;
        let reserved = reservation.iter().flat_map(Reservation::parts);
        let mut helpers: Vec<HelperAddr> = reserved.map(Part::helper).collect();
        helpers.extend(placement.helpers);
        let head = SendHead {
            upstream: &upstream.name,
            time_left: self.call.time_left(now),
            customer: self.call.customer.as_ref(),
            helpers: &helpers,
            last_event: self.last_event,
        };
        let req = self.request(&head);
        let sending = one_shot::send(upstream.addr, req, CONNECT_TIMEOUT.min(limit));
        let sent = tokio::select! {
            sent = timeout(limit, sending) => sent,
            () = self.gateway.incarnations.wait_until_lost(&upstream.id, now) => {
                return SendEnd::Lost {
                    fault: UpstreamFault::Broken,
                    why: STARTED_AGAIN.to_owned(),
                };
            }
        };
        let res = match sent {
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
        self.gateway.on_limit_said(&upstream.id, &said.limit);
        if said.did_not_run {
            return SendEnd::NotRun {
                fault: UpstreamFault::TurnedAway,
                arrived: true,
                at_fault: said.at_fault.filter(|addr| *addr != upstream.addr),
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
            load,
            _reservation: reservation,
        }))
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
        let patience = match self.call.route.kind {
            CallKind::Idempotent if !self.is_last => {
                (self.call.route.objective * 2).max(ANSWER_PATIENCE_MIN)
            }
            CallKind::Stream { is_resumable: true } if !self.is_last => {
                first_event_patience(self.call, placement.forecast)
            }
            _ => time_left,
        };
        patience.min(time_left)
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
            at_fault: None,
            why,
        },
        OneShotError::Connect(_) | OneShotError::NotSent(_) => SendEnd::NotRun {
            fault: UpstreamFault::ConnectRefused,
            arrived: false,
            at_fault: None,
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
