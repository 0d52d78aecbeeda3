//! A caller that sends its request to one host after the other until the outcome is known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;

use crate::caller::CallOutcome;
use crate::caller::CallerRequest;
use crate::caller::SendResult;
use crate::caller::send;
use crate::engine::unix_time_ms;

/// Maximum number of times that a caller sends one request.
const SENDS_MAX: u32 = 12;
/// Pause before the request is sent again. The pause is longer than any work started by the
/// previous send takes to reach an engine or service, so that the runs of two sends can be told
/// apart by their times.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// A request with its final outcome over all sends. The times are those of the last send.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRequest {
    pub(crate) request: CallerRequest,
    pub(crate) body_hash: ContentHash,
    /// The outcome of the last send, or of an earlier one that may have run.
    pub(crate) outcome: CallOutcome,
    pub(crate) first_token: Option<Duration>,
    pub(crate) total: Duration,
    pub(crate) send_count: u32,
    /// Begin and end, in milliseconds due_at the Unix epoch, of the sends whose outcome was `not
    /// run`.
    pub(crate) not_run_sends_ms: Vec<(u64, u64)>,
}

/// Sends a request when it is due. If the answer is cut off, the request goes to the next host with
/// the same key; if it is refused, it goes to the next host after the time named in the refusal.
pub(crate) async fn send_until_resolved(
    request: CallerRequest,
    hosts: Arc<[SocketAddr]>,
    start: Instant,
) -> ResolvedRequest {
    let due_at = start + request.arrival;
    tokio::time::sleep_until(due_at.into()).await;
    let body = request.body();
    let body_hash = ContentHash::of(&body);
    let deadline = due_at + request.timeout;
    let mut cut_off = None;
    let mut send_count = 0;
    let mut not_run_sends_ms = Vec::new();
    let mut host_index = usize::try_from(request.number).unwrap_or(0);
    loop {
        let begin_ms = unix_time_ms();
        let result = send(
            hosts[host_index % hosts.len()],
            &request,
            body.clone(),
            due_at,
        )
        .await;
        send_count += 1;
        host_index += 1;
        if matches!(result.outcome, CallOutcome::NotRun { .. }) {
            not_run_sends_ms.push((begin_ms, unix_time_ms()));
        }
        match next_step(&result, send_count, deadline) {
            NextStep::Resend(after) => tokio::time::sleep(after).await,
            NextStep::Stop => {
                return ResolvedRequest {
                    request,
                    body_hash,
                    first_token: result.first_token,
                    total: result.total,
                    outcome: final_outcome(result.outcome, cut_off),
                    send_count,
                    not_run_sends_ms,
                };
            }
        }
        if matches!(result.outcome, CallOutcome::Cut(_)) {
            cut_off = Some(result.outcome);
        }
    }
}

enum NextStep {
    Resend(Duration),
    Stop,
}

fn next_step(result: &SendResult, send_count: u32, deadline: Instant) -> NextStep {
    let pause = match &result.outcome {
        CallOutcome::Completed | CallOutcome::Wrong(_) | CallOutcome::MayHaveRun(_) => {
            return NextStep::Stop;
        }
        CallOutcome::Cut(_) => RESEND_PAUSE,
        CallOutcome::NotRun { retry_after, .. } => {
            retry_after.map_or(RESEND_PAUSE, |after| after.max(RESEND_PAUSE))
        }
    };
    let is_too_late = Instant::now() + pause >= deadline;
    match is_too_late || send_count >= SENDS_MAX {
        true => NextStep::Stop,
        false => NextStep::Resend(pause),
    }
}

/// Returns the outcome over all sends. `NotRun` from a later send says nothing about an earlier one
/// that was cut off.
fn final_outcome(last: CallOutcome, cut_off: Option<CallOutcome>) -> CallOutcome {
    match (last, cut_off) {
        (CallOutcome::NotRun { .. }, Some(_)) => {
            CallOutcome::MayHaveRun("cut off, then turned away".to_owned())
        }
        (last, _) => last,
    }
}
