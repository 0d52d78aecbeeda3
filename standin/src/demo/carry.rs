//! A caller that sends its request through other hosts until it knows what became of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;

use crate::caller::Ask;
use crate::caller::Sent;
use crate::caller::Verdict;
use crate::caller::send;

const SENDINGS_MAX: u32 = 12;
const NEXT_HOST_PAUSE: Duration = Duration::from_millis(50);

/// A request with all that its caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Carried {
    pub(crate) ask: Ask,
    pub(crate) body_hash: ContentHash,
    /// The last sending's outcome, or that of an earlier one that may have run.
    pub(crate) verdict: Verdict,
    pub(crate) first_token: Option<Duration>,
    pub(crate) total: Duration,
    pub(crate) sendings: u32,
}

/// Sends a request when it is due. Where an answer is cut off, the request goes to the next host
/// with the same key; where it is turned away, it is sent again after the time that was named.
pub(crate) async fn carry(ask: Ask, hosts: Arc<[SocketAddr]>, start: Instant) -> Carried {
    let since = start + ask.at;
    tokio::time::sleep_until(since.into()).await;
    let body = ask.body();
    let body_hash = ContentHash::of(&body);
    let ends_at = since + ask.limit;
    let mut cut = None;
    let mut sendings = 0;
    let mut at = usize::try_from(ask.number).unwrap_or(0);
    loop {
        let sent = send(hosts[at % hosts.len()], &ask, body.clone(), since).await;
        sendings += 1;
        at += 1;
        match next(&sent, sendings, ends_at) {
            Next::SendAgain(after) => tokio::time::sleep(after).await,
            Next::Stop => return carried(ask, body_hash, sendings, sent, cut),
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
        Verdict::NotRun { retry_after, .. } => retry_after.unwrap_or(NEXT_HOST_PAUSE),
    };
    let is_too_late = Instant::now() + pause >= ends_at;
    match is_too_late || sendings >= SENDINGS_MAX {
        true => Next::Stop,
        false => Next::SendAgain(pause),
    }
}

fn carried(
    ask: Ask,
    body_hash: ContentHash,
    sendings: u32,
    sent: Sent,
    cut: Option<Verdict>,
) -> Carried {
    // "Not run" of a later sending says nothing of an earlier one that was cut off.
    let verdict = match (sent.verdict, cut) {
        (Verdict::NotRun { .. }, Some(_)) => {
            Verdict::MayHaveRun("cut off, then turned away".into())
        }
        (verdict, _) => verdict,
    };
    Carried {
        ask,
        body_hash,
        verdict,
        first_token: sent.first_token,
        total: sent.total,
        sendings,
    }
}
