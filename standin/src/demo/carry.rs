//! A caller that sends its request to one host after the other until the outcome is known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;

use crate::caller::Ask;
use crate::caller::Sent;
use crate::caller::Verdict;
use crate::caller::send;
use crate::engine::wall_ms;

const SENDINGS_MAX: u32 = 12;
/// Pause before the request is sent again. The pause is longer than any work started by the
/// previous send takes to reach an engine or service, so that the runs of two sends can be told
/// apart by their times.
const NEXT_HOST_PAUSE: Duration = Duration::from_millis(50);

/// A request with everything that its caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Carried {
    pub(crate) ask: Ask,
    pub(crate) body_hash: ContentHash,
    /// The outcome of the last send, or of an earlier one that may have run.
    pub(crate) verdict: Verdict,
    pub(crate) first_token: Option<Duration>,
    pub(crate) total: Duration,
    pub(crate) sendings: u32,
    /// Begin and end, in milliseconds since the Unix epoch, of the sends whose outcome was `not
    /// run`.
    pub(crate) told_not_run_ms: Vec<(u64, u64)>,
}

/// Sends a request when it is due. If the answer is cut off, the request goes to the next host with
/// the same key; if it is refused, it goes to the next host after the time named in the refusal.
pub(crate) async fn carry(ask: Ask, hosts: Arc<[SocketAddr]>, start: Instant) -> Carried {
    let since = start + ask.at;
    tokio::time::sleep_until(since.into()).await;
    let body = ask.body();
    let body_hash = ContentHash::of(&body);
    let ends_at = since + ask.limit;
    let mut cut = None;
    let mut sendings = 0;
    let mut told_not_run_ms = Vec::new();
    let mut at = usize::try_from(ask.number).unwrap_or(0);
    loop {
        let begin_ms = wall_ms();
        let sent = send(hosts[at % hosts.len()], &ask, body.clone(), since).await;
        sendings += 1;
        at += 1;
        if matches!(sent.verdict, Verdict::NotRun { .. }) {
            told_not_run_ms.push((begin_ms, wall_ms()));
        }
        match next(&sent, sendings, ends_at) {
            Next::SendAgain(after) => tokio::time::sleep(after).await,
            Next::Stop => {
                return Carried {
                    ask,
                    body_hash,
                    first_token: sent.first_token,
                    total: sent.total,
                    verdict: in_all(sent.verdict, cut),
                    sendings,
                    told_not_run_ms,
                };
            }
        }
        if matches!(sent.verdict, Verdict::Cut(_)) {
            cut = Some(sent.verdict);
        }
    }
}

enum Next {
    SendAgain(Duration),
    Stop,
}

fn next(sent: &Sent, sendings: u32, ends_at: Instant) -> Next {
    let pause = match &sent.verdict {
        Verdict::Completed | Verdict::Wrong(_) | Verdict::MayHaveRun(_) => return Next::Stop,
        Verdict::Cut(_) => NEXT_HOST_PAUSE,
        Verdict::NotRun { retry_after, .. } => {
            retry_after.map_or(NEXT_HOST_PAUSE, |after| after.max(NEXT_HOST_PAUSE))
        }
    };
    let is_too_late = Instant::now() + pause >= ends_at;
    match is_too_late || sendings >= SENDINGS_MAX {
        true => Next::Stop,
        false => Next::SendAgain(pause),
    }
}

/// Returns the outcome over all sends. `NotRun` from a later send says nothing about an earlier one
/// that was cut off.
fn in_all(last: Verdict, cut: Option<Verdict>) -> Verdict {
    match (last, cut) {
        (Verdict::NotRun { .. }, Some(_)) => {
            Verdict::MayHaveRun("cut off, then turned away".to_owned())
        }
        (last, _) => last,
    }
}
