//! Sends requests to entry hosts as they become due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;
use banyanarch::units::seconds;
use bytes::Bytes;
use hyper::Method;
use tokio::task::JoinSet;

use crate::caller::CallOutcome;
use crate::caller::CallerRequest;
use crate::caller::SendResult;
use crate::caller::send;
use crate::fleet::Fleet;
use crate::http::call_json;
use crate::load::scenario::Scenario;

/// Time before its due instant at which the body of a request is built, so that building it does
/// not add to the time to first token.
const BODY_LEAD_TIME: Duration = Duration::from_millis(60);
/// Maximum number of times that a caller sends one request.
const SENDS_MAX: u32 = 6;
/// Pause before a request is sent again when the response names none.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// A request with the result of its last send.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    pub(crate) request: CallerRequest,
    pub(crate) body_hash: ContentHash,
    pub(crate) result: SendResult,
    pub(crate) send_count: u32,
}

impl Sample {
    pub(crate) fn is_completed(&self) -> bool {
        self.result.outcome == CallOutcome::Completed
    }

    /// Returns when the request ended, in seconds from the start of the run.
    pub(crate) fn ended_s(&self) -> f64 {
        (self.request.arrival + self.result.total).as_secs_f64()
    }

    /// Returns whether the whole answer arrived within the timeout.
    pub(crate) fn is_good(&self) -> bool {
        self.is_completed() && self.result.total <= self.request.timeout
    }
}

/// Sends each request to an entry host when it is due, and waits for all results. Callers resend
/// failed requests if the scenario says so. If `with_faults` is set, the faults of the scenario
/// are injected into the engines at their times.
pub(crate) async fn play(
    scenario: &Scenario,
    fleet: &Fleet,
    requests: Vec<CallerRequest>,
    with_faults: bool,
) -> Vec<Sample> {
    let hosts: Arc<[SocketAddr]> = fleet.callers_addrs().into();
    let start = Instant::now() + BODY_LEAD_TIME;
    let mut callers = JoinSet::new();
    let send_requests = async {
        for request in requests {
            let due_at = start + request.arrival;
            if let Some(build_at) = due_at.checked_sub(BODY_LEAD_TIME) {
                tokio::time::sleep_until(build_at.into()).await;
            }
            let hosts = Arc::clone(&hosts);
            callers.spawn(send_when_due(
                request,
                due_at,
                hosts,
                scenario.resends_failed,
            ));
        }
    };
    let inject_faults = async {
        if with_faults {
            inject_engine_faults(scenario, fleet, start).await;
        }
    };
    tokio::join!(send_requests, inject_faults);
    callers.join_all().await
}

/// Sends one request at `due_at`, and again to the next host while it fails and may be resent.
async fn send_when_due(
    request: CallerRequest,
    due_at: Instant,
    hosts: Arc<[SocketAddr]>,
    resends_failed: bool,
) -> Sample {
    let body = request.body();
    let body_hash = ContentHash::of(&body);
    tokio::time::sleep_until(due_at.into()).await;
    let mut host_index = usize::try_from(request.number).unwrap_or(0);
    let mut send_count = 1;
    let mut result = send_to_host(&hosts, host_index, &request, &body, due_at).await;
    while resends_failed && send_count < SENDS_MAX && should_resend(&result, &request) {
        tokio::time::sleep(resend_pause(&result)).await;
        host_index += 1;
        send_count += 1;
        result = send_to_host(&hosts, host_index, &request, &body, due_at).await;
    }
    Sample {
        request,
        body_hash,
        result,
        send_count,
    }
}

async fn send_to_host(
    hosts: &[SocketAddr],
    host_index: usize,
    request: &CallerRequest,
    body: &Bytes,
    due_at: Instant,
) -> SendResult {
    send(
        hosts[host_index % hosts.len()],
        request,
        body.clone(),
        due_at,
    )
    .await
}

fn should_resend(result: &SendResult, request: &CallerRequest) -> bool {
    result.outcome != CallOutcome::Completed
        && result.total + resend_pause(result) < request.timeout
}

/// Returns the pause before a request is sent again: the caller obeys Retry-After if there is one,
/// and otherwise retries almost at once.
fn resend_pause(result: &SendResult) -> Duration {
    match &result.outcome {
        CallOutcome::NotRun {
            retry_after: Some(after),
            ..
        } => *after,
        _ => RESEND_PAUSE,
    }
}

async fn inject_engine_faults(scenario: &Scenario, fleet: &Fleet, start: Instant) {
    for (at_s, engines, faults) in &scenario.faults {
        let due_at = start + seconds(*at_s);
        tokio::time::sleep_until(due_at.into()).await;
        for (index, engine) in fleet.engines.iter().enumerate() {
            if engines.contains(index) {
                let _ = call_json(engine.addr, Method::PUT, "/faults", faults).await;
            }
        }
    }
}
