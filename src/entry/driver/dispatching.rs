//! Dispatches attempts.

use std::time::Instant;

use statig::prelude::*;

use crate::decide::AttemptOutcome;
use crate::decide::RetryBudget;
use crate::decide::Work;
use crate::decide::engine_priority;
use crate::entry::AttemptFailure;
use crate::entry::EntryContext;
use crate::entry::HeldGrant;
use crate::entry::LifecycleEvent;
use crate::entry::RequestLifecycle;
use crate::entry::advance;
use crate::entry::driver::Driver;
use crate::entry::response_source::ResponseSource;
use crate::observe::StepKind;
use crate::settings::PolicyName;
use crate::units::Priority;
use crate::units::UpstreamId;
use crate::upstream::Dispatch;
use crate::upstream::RequestBody;
use crate::upstream::UpstreamError;

impl Driver<'_> {
    /// Sends the request to the upstreams of its grant and forwards the response.
    pub(super) async fn dispatch(
        &mut self,
        lifecycle: &mut StateMachine<RequestLifecycle>,
    ) -> LifecycleEvent {
        self.attempts += 1;
        if self.attempts == 1 {
            self.context
                .with_retry_budget(&self.job.target, RetryBudget::on_first_attempt);
        }
        let now = self.context.clock.now();
        // Checked again right before the dispatch, since the process may have been paused after the
        // grant.
        if now >= self.job.work.deadline {
            self.release_unsent(AttemptOutcome::NotSent);
            advance(
                lifecycle,
                LifecycleEvent::AttemptFailed(AttemptFailure::DidNotRun),
            );
            return LifecycleEvent::DeadlineExceeded;
        }
        let Some(grant) = self.attempt.as_ref().map(|attempt| attempt.grant.clone()) else {
            return LifecycleEvent::AttemptFailed(AttemptFailure::DidNotRun);
        };
        if let Err(err) = reserve_gang(self.context, &self.job.work, &grant).await {
            return self.on_attempt_failure(err).await;
        }
        let leader = grant
            .upstreams
            .first()
            .and_then(|id| self.context.upstreams.upstream(id));
        let Some(upstream) = leader else {
            let why = format!(
                "the leader of {:?} is unknown to this host",
                grant.upstreams
            );
            return self.on_attempt_failure(UpstreamError::NotSent(why)).await;
        };
        let dispatch = self.build_dispatch(&grant, now);
        self.record_step(
            StepKind::Dispatched,
            self.leader(),
            format!("attempt {}", grant.attempt()),
        );
        self.source = Some(ResponseSource::start(upstream, dispatch));
        self.read_response(lifecycle).await
    }

    /// The priority for the engine's queue. Only the shipped policy derives it from the request's
    /// length; a baseline with such priorities would perform better than the policy it represents.
    fn dispatch_priority(&self) -> Priority {
        match self.context.policy {
            PolicyName::Shipped => engine_priority(&self.job.work),
            _ => self.job.work.priority,
        }
    }

    pub(super) fn build_dispatch(&self, grant: &HeldGrant, now: Instant) -> Dispatch {
        let is_gang = grant.upstreams.len() > 1;
        Dispatch {
            attempt: grant.attempt(),
            host: self.context.host.clone(),
            method: self.job.method.to_string(),
            path: self.job.path_and_query.clone(),
            content_type: self.job.content_type.clone(),
            body: RequestBody {
                chunks: vec![self.job.body.clone()],
            },
            priority: self.dispatch_priority(),
            remaining: self.job.work.deadline.saturating_duration_since(now),
            gang: if is_gang {
                grant.upstreams.clone()
            } else {
                Vec::new()
            },
            is_model: self.job.is_model(),
        }
    }
}

/// Reserves memory at all members of the gang except the leader: an equal share at each, until
/// the deadline. At the first failure this stops and returns `NotSent`; members that have
/// already reserved keep the memory until the reservation expires.
///
/// Members are asked in the order of their ids, which prevents deadlock: two gangs that need
/// the same engines compete at the first common one, and neither waits while it holds memory
/// that the other needs.
async fn reserve_gang(
    context: &EntryContext,
    work: &Work,
    grant: &HeldGrant,
) -> Result<(), UpstreamError> {
    let mut members: Vec<&UpstreamId> = grant.upstreams.iter().skip(1).collect();
    members.sort();
    if members.is_empty() {
        return Ok(());
    }
    let now = context.clock.now();
    let hold = work.deadline.saturating_duration_since(now);
    let tokens = work
        .memory_tokens()
        .0
        .div_ceil(grant.upstreams.len() as u64);
    for id in members {
        let unknown = || UpstreamError::NotSent(format!("upstream {id} is unknown to this host"));
        let upstream = context.upstreams.upstream(id).ok_or_else(unknown)?;
        let host = context.host.clone();
        let tokens = crate::units::Tokens(tokens);
        let reserved = upstream
            .hold_gang(grant.attempt(), host, tokens, hold)
            .await;
        // A reservation runs nothing: whether or not it succeeded, the request was not sent.
        reserved.map_err(|err| UpstreamError::NotSent(format!("gang member {id}: {err}")))?;
    }
    Ok(())
}
