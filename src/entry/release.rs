//! Releases what an attempt holds: memory at its upstreams, then its grant.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::debug;
use tokio::time::sleep;

use crate::decide::AttemptOutcome;
use crate::entry::Attempt;
use crate::entry::EntryContext;
use crate::entry::HeldGrant;
use crate::units::UpstreamId;

/// The first pause between two tries to cancel an attempt. The pause doubles up to
/// [`CANCEL_PAUSE_MAX`].
const CANCEL_PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause between two tries to cancel an attempt.
const CANCEL_PAUSE_MAX: Duration = Duration::from_secs(5);

/// The time after an attempt's deadline during which its cancellation is still retried. Engines end
/// an attempt at its own time limit. This much later, an attempt that could not be cancelled holds
/// no memory any more, or its home finds it in the engine's list of attempts.
const CANCEL_GRACE: Duration = Duration::from_secs(10);

/// Releases everything that an attempt holds. The grant is given back only after the engine has
/// confirmed that the attempt's memory is free, or after the tries to cancel have run out: a grant
/// that ended earlier would let the home assign memory that the engine does not have.
///
/// Only a model's attempt that failed or was cancelled may still hold memory at its leader, and
/// only a gang has reservations at other members. If there is neither, the grant is given back at
/// once; else a background task, which counts as work in flight, releases the memory first.
pub(crate) fn release_attempt(
    context: &Arc<EntryContext>,
    attempt: &Attempt,
    ended: AttemptOutcome,
    deadline: Instant,
    is_model: bool,
) {
    let grant = attempt.grant.clone();
    let summary = attempt.summary(ended, context.clock.now());
    let is_gang = grant.upstreams.len() > 1;
    let may_hold_memory =
        is_model && matches!(ended, AttemptOutcome::Cancelled | AttemptOutcome::Failed);
    if !may_hold_memory && !is_gang {
        context.granter.finish(&grant, summary);
        return;
    }
    let context = Arc::clone(context);
    let guard = context.in_flight.track();
    tokio::spawn(async move {
        let give_up_at = deadline + CANCEL_GRACE;
        for (position, id) in grant.upstreams.iter().enumerate() {
            if position > 0 || may_hold_memory {
                release_at_upstream(&context, &grant, id, position > 0, give_up_at).await;
            }
        }
        context.granter.finish(&grant, summary);
        drop(guard);
    });
}

/// Cancels an attempt at its leader, or releases the attempt's reservation at another gang member.
/// Tries again until it succeeds, until the upstream is unknown, or until `give_up_at`.
async fn release_at_upstream(
    context: &EntryContext,
    grant: &HeldGrant,
    id: &UpstreamId,
    is_reservation: bool,
    give_up_at: Instant,
) {
    let mut pause = CANCEL_PAUSE_MIN;
    while let Some(upstream) = context.upstreams.upstream(id) {
        let released = if is_reservation {
            upstream.release_gang(grant.attempt()).await
        } else {
            upstream.cancel(grant.attempt()).await
        };
        let Err(err) = released else {
            return;
        };
        debug!(
            "entry: cannot cancel attempt {} at {id}: {err}",
            grant.attempt()
        );
        if context.clock.now() + pause > give_up_at {
            return;
        }
        sleep(pause).await;
        pause = (pause * 2).min(CANCEL_PAUSE_MAX);
    }
}
