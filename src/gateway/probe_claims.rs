//! Claims of calls to be the one probe of quarantined parts.
//!
//! The platform decides which call of all hosts is the probe, so hosts that do not hear one another do
//! not each send one. Without the platform there are no probes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::decide::RequestPart;
use crate::gateway::Gateway;

/// How long a call waits for the answer to its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long no probe is claimed after the platform has not answered a claim.
pub(crate) const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// The claim of a call that waits for the answer.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    /// The quarantined parts.
    pub(crate) parts: Vec<RequestPart>,
    /// Takes whether the call is the probe.
    pub(crate) answer: oneshot::Sender<bool>,
}

/// The claims of calls of this host.
#[derive(Debug, Default)]
pub(crate) struct ProbeClaims {
    state: Mutex<ClaimState>,
    is_pending: Notify,
}

#[derive(Debug, Default)]
struct ClaimState {
    pending: Vec<PendingClaim>,
    /// When the platform last did not answer a claim.
    failed_at: Option<Instant>,
}

impl ProbeClaims {
    fn state(&self) -> MutexGuard<'_, ClaimState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there are claims.
    pub(crate) async fn wait_until_pending(&self) {
        self.is_pending.notified().await;
    }

    /// Takes the claims that wait for an answer.
    pub(crate) fn take_pending(&self) -> Vec<PendingClaim> {
        std::mem::take(&mut self.state().pending)
    }

    /// Records that the platform has not answered a claim.
    pub(crate) fn on_failure(&self, now: Instant) {
        self.state().failed_at = Some(now);
    }

    /// Adds a claim; none if the platform has not answered one recently.
    fn add(&self, parts: &[RequestPart], now: Instant) -> Option<oneshot::Receiver<bool>> {
        let mut state = self.state();
        let failed_at = state.failed_at;
        if failed_at.is_some_and(|at| now.saturating_duration_since(at) < CLAIM_INTERVAL) {
            return None;
        }
        let (answer, answered) = oneshot::channel();
        state.pending.push(PendingClaim {
            parts: parts.to_vec(),
            answer,
        });
        self.is_pending.notify_one();
        Some(answered)
    }
}

impl Gateway {
    /// Claims the probe of quarantined parts for a call. Returns whether the call may be sent.
    pub(crate) async fn claim_probe(&self, parts: &[RequestPart]) -> bool {
        let now = self.clock.now();
        let Some(answered) = self.probe_claims.add(parts, now) else {
            return false;
        };
        let answered = timeout(CLAIM_TIMEOUT, answered).await;
        matches!(answered, Ok(Ok(true)))
    }
}
