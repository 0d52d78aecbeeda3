//! The retry budgets of services.

use std::sync::PoisonError;

use crate::decide::RetryWindow;
use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::units::ServiceId;
use crate::units::whole_millis;

impl Gateway {
    /// Records a caller's request to a service for the retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.with_retry_window(service, |window| {
            window.on_request(&self.conf.retry_bound, now);
        });
    }

    /// Calls `access` with the locked record of the requests and retries to a service.
    fn with_retry_window<T>(
        &self,
        service: &ServiceId,
        access: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(self.started_at));
        access(window)
    }

    /// Takes one retry of a call from this host's share of the budget of its service, and logs the
    /// decision. Returns whether the retry is allowed.
    pub(crate) fn try_retry(&self, call: &Call) -> bool {
        let now = self.clock.now();
        let hosts = self.platform_view.sharing_hosts();
        let check = self.with_retry_window(&call.service, |window| {
            window.try_retry(&self.conf.retry_bound, hosts, now)
        });
        self.metrics.record_retry(check.is_allowed);
        self.log.record(DecisionEvent::RetryChecked {
            request: call.head.request.clone(),
            service: call.service.to_string(),
            is_allowed: check.is_allowed,
            requests: check.requests,
            retries: check.retries,
            hosts: check.hosts,
            budget: check.budget,
            uptime_ms: whole_millis(now.saturating_duration_since(self.started_at)),
        });
        check.is_allowed
    }
}
