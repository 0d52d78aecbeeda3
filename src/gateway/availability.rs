//! Records what upstreams state about themselves in their responses.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexSet;

use crate::decide::AvailabilityTracker;
use crate::decide::ReturnedUpstreams;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::Stated;
use crate::gateway::UpstreamNotices;
use crate::units::HostId;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// How long upstreams get no requests that had left the list before the store was restored. What
/// upstreams wrote after the copy is written again within about two seconds.
const RETURNED_HOLD: Duration = Duration::from_secs(3);

impl Gateway {
    /// Locks what is known of whether upstreams accept requests.
    pub(crate) fn availability(&self) -> MutexGuard<'_, AvailabilityTracker> {
        let availability = self.availability.lock();
        availability.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether all these upstreams accept requests now, as far as this host may rely on what it
    /// knows. Checked right before a send, since an upstream may have stated otherwise since it was
    /// chosen.
    pub(crate) fn accept_requests<'a>(
        &self,
        mut upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) -> bool {
        if !self.may_send_by_evacuations() {
            return false;
        }
        let now = self.clock.now();
        let availability = self.availability();
        upstreams.all(|upstream| availability.is_available(upstream, now))
    }

    /// Records which upstreams of the platform's list are leaving, and marks those as leaving that
    /// have stated it, since the list may be older than the statement.
    pub(crate) fn mark_leaving(&self, listed: &mut [ListedUpstream]) {
        let now = self.clock.now();
        let mut availability = self.availability();
        for upstream in &mut *listed {
            if upstream.is_leaving {
                availability.on_leaving(&upstream.id, now);
            }
            upstream.is_leaving |= availability.is_leaving(&upstream.id);
        }
        let ids: IndexSet<&UpstreamId> = listed.iter().map(|upstream| &upstream.id).collect();
        availability.on_list(|id| ids.contains(id), now);
    }

    /// Sends nothing for a while to upstreams that a restored store lists although they had left: if
    /// they are gone, their entries are removed again within this time.
    pub(crate) fn hold_returned(&self, listed: &[ListedUpstream], known: &mut ReturnedUpstreams) {
        let now = self.clock.now();
        let ids = listed.iter().map(|upstream| upstream.id.clone()).collect();
        let era = self.catalog_cache.upstreams_era();
        for upstream in known.on_list(ids, era, now) {
            self.availability()
                .on_backoff(&upstream, RETURNED_HOLD, now);
            self.log.record(DecisionEvent::UpstreamReturned {
                upstream: upstream.to_string(),
                held_ms: whole_millis(RETURNED_HOLD),
            });
        }
    }

    /// Records what an upstream states about itself in a response to this host. Changes are logged.
    pub(crate) fn on_notices(&self, upstream: &UpstreamId, notices: &UpstreamNotices) {
        self.on_response_limit(upstream, &notices.limit);
        match &notices.leaving {
            Stated::Absent => {}
            Stated::Value(()) => {
                self.metrics.record_notice("leaving");
                self.on_leaving(upstream, None);
            }
            Stated::Malformed(value) => self.on_malformed_notice(upstream, "leaving", value),
        }
        match &notices.backoff {
            Stated::Absent => {}
            Stated::Value(requested) => self.on_backoff(upstream, *requested),
            Stated::Malformed(value) => self.on_malformed_notice(upstream, "backoff", value),
        }
    }

    /// Records that an upstream is leaving, as another host reports or, if `told_by` is none, a
    /// response to this host. If that is new, it is logged and broadcast.
    pub(crate) fn on_leaving(&self, upstream: &UpstreamId, told_by: Option<&HostId>) {
        let is_new = self.availability().on_leaving(upstream, self.clock.now());
        if is_new {
            self.log.record(DecisionEvent::UpstreamLeaving {
                upstream: upstream.to_string(),
                told_by: told_by.map(ToString::to_string),
            });
            self.broadcast_now.notify_one();
        }
    }

    /// Records that an upstream wants no requests for a time.
    fn on_backoff(&self, upstream: &UpstreamId, requested: Duration) {
        self.metrics.record_notice("backoff");
        let now = self.clock.now();
        let extended = self.availability().on_backoff(upstream, requested, now);
        if let Some(granted) = extended {
            self.log.record(DecisionEvent::UpstreamBackoff {
                upstream: upstream.to_string(),
                requested_ms: whole_millis(requested),
                backoff_ms: whole_millis(granted),
            });
        }
    }

    /// Counts a notice whose value is malformed, and logs it unless one of the same kind and
    /// upstream was logged recently.
    pub(crate) fn on_malformed_notice(
        &self,
        upstream: &UpstreamId,
        notice: &'static str,
        value: &str,
    ) {
        self.metrics.record_malformed_notice(notice);
        let key = (upstream.clone(), notice);
        if self.malformed_notices.should_log(key, self.clock.now()) {
            self.log.record(DecisionEvent::NoticeMalformed {
                upstream: upstream.to_string(),
                notice: notice.into(),
                value: value.to_owned(),
            });
        }
    }
}
