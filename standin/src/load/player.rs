//! Sends requests to entry hosts as they become due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;
use bytes::Bytes;
use hyper::Method;
use tokio::task::JoinSet;

use crate::caller::Ask;
use crate::caller::Sent;
use crate::caller::Verdict;
use crate::caller::send;
use crate::fleet::Fleet;
use crate::http::call_json;
use crate::load::scenario::Scenario;

/// Time before its due instant at which the body of a request is built, so that building it does
/// not add to the time to first token.
const HEAD_START: Duration = Duration::from_millis(60);
const SENDINGS_MAX: u32 = 6;
const SEND_AGAIN_PAUSE: Duration = Duration::from_millis(50);

/// A request with the result that its caller got.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    pub(crate) ask: Ask,
    pub(crate) body_hash: ContentHash,
    pub(crate) sent: Sent,
    pub(crate) sendings: u32,
}

impl Sample {
    pub(crate) fn is_completed(&self) -> bool {
        self.sent.verdict == Verdict::Completed
    }

    /// Returns when the request ended, in seconds from the start of the run.
    pub(crate) fn ended_s(&self) -> f64 {
        (self.ask.at + self.sent.total).as_secs_f64()
    }

    /// Returns whether the whole answer arrived within the timeout.
    pub(crate) fn is_good(&self) -> bool {
        self.is_completed() && self.sent.total <= self.ask.limit
    }
}

/// Sends all requests when they are due, and injects the faults of the scenario if `faulty` is set.
pub(crate) async fn play(
    scenario: &Scenario,
    fleet: &Fleet,
    asks: Vec<Ask>,
    faulty: bool,
) -> Vec<Sample> {
    let hosts: Arc<[SocketAddr]> = fleet.callers().into();
    let start = Instant::now() + HEAD_START;
    let mut callers = JoinSet::new();
    let feed = async {
        for ask in asks {
            let due = start + ask.at;
            if let Some(early) = due.checked_sub(HEAD_START) {
                tokio::time::sleep_until(early.into()).await;
            }
            let hosts = Arc::clone(&hosts);
            callers.spawn(one(ask, due, hosts, scenario.sends_again));
        }
    };
    let break_things = async {
        if faulty {
            set_faults(scenario, fleet, start).await;
        }
    };
    tokio::join!(feed, break_things);
    callers.join_all().await
}

async fn one(ask: Ask, due: Instant, hosts: Arc<[SocketAddr]>, sends_again: bool) -> Sample {
    let body = ask.body();
    let body_hash = ContentHash::of(&body);
    tokio::time::sleep_until(due.into()).await;
    let mut at = usize::try_from(ask.number).unwrap_or(0);
    let mut sendings = 1;
    let mut sent = send_to(&hosts, at, &ask, &body, due).await;
    while sends_again && sendings < SENDINGS_MAX && wants_more(&sent, &ask) {
        tokio::time::sleep(pause(&sent)).await;
        at += 1;
        sendings += 1;
        sent = send_to(&hosts, at, &ask, &body, due).await;
    }
    Sample {
        ask,
        body_hash,
        sent,
        sendings,
    }
}

async fn send_to(hosts: &[SocketAddr], at: usize, ask: &Ask, body: &Bytes, due: Instant) -> Sent {
    send(hosts[at % hosts.len()], ask, body.clone(), due).await
}

fn wants_more(sent: &Sent, ask: &Ask) -> bool {
    sent.verdict != Verdict::Completed && sent.total + pause(sent) < ask.limit
}

/// Returns the pause before a request is sent again: the caller obeys Retry-After if there is one,
/// and otherwise retries almost at once.
fn pause(sent: &Sent) -> Duration {
    match &sent.verdict {
        Verdict::NotRun {
            retry_after: Some(after),
            ..
        } => *after,
        _ => SEND_AGAIN_PAUSE,
    }
}

async fn set_faults(scenario: &Scenario, fleet: &Fleet, start: Instant) {
    for (at_s, engines, faults) in &scenario.faults {
        let due = start + Duration::from_secs_f64(*at_s);
        tokio::time::sleep_until(due.into()).await;
        for (at, engine) in fleet.engines.iter().enumerate() {
            if engines.has(at) {
                let _ = call_json(engine.addr, Method::PUT, "/faults", faults).await;
            }
        }
    }
}
