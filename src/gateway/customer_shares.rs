//! A gateway's part in the shares of customers: the engine time of its calls, and the entries of
//! updates.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CallLane;
use crate::decide::CustomerUse;
use crate::decide::LoadSource;
use crate::decide::ShareStanding;
use crate::exchange::CustomerUseEntry;
use crate::exchange::HostUpdate;
use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::gateway::placement::call_lane;
use crate::gateway::placement::engine_model;
use crate::routing::RouteTable;
use crate::units::CustomerHash;
use crate::units::ServiceHash;
use crate::units::ServiceId;

/// The time that a call to a service without an engine model counts for. Shares are compared within
/// one service only.
const PLAIN_CALL_TIME: Duration = Duration::from_millis(10);
/// The name of the account of medium and long prompts.
const LONG_LANE: &str = "long";
/// Engine time that an engine provides in a second, in microseconds.
const ENGINE_US_PER_S: f64 = 1e6;
/// The fraction of the engine time that customers above their share may bring in use. The rest
/// covers errors of the predicted times and prompts that hosts send at the same moment.
const ENGINE_TIME_FRACTION: f64 = 0.8;

impl Gateway {
    /// The time for which a call occupies an engine, as predicted by the model of its service; the
    /// same time for all calls to a service without a model.
    pub fn engine_time(&self, call: &Call) -> Duration {
        let routes = self.platform_view.routes();
        let model = routes
            .as_ref()
            .and_then(|routes| engine_model(routes, call));
        model.map_or(PLAIN_CALL_TIME, |model| {
            model.engine_time(call.head.prompt, call.head.output)
        })
    }

    /// Adds an admitted call to what its customer wants. Returns what the customer wanted before it,
    /// compared with its share.
    pub(crate) fn record_arrival(&self, call: &Call) -> ShareStanding {
        let Some(customer) = &call.customer else {
            return ShareStanding::within();
        };
        let cost = self.engine_time(call);
        let now = self.clock.now();
        let account = self.share_account(call);
        let mut shares = self.shares();
        shares.on_arrival(&account, customer, cost, now);
        let figures = shares.figures(&account, customer, now);
        drop(shares);
        let standing = figures.standing_before(cost.as_secs_f64() * 1e6);
        let metrics = &self.metrics.customers;
        metrics.record_time_wanted(Some(customer), &call.service, cost);
        metrics.set_share_ratio(customer, &account, standing.ratio);
        standing
    }

    /// Adds a call that is sent to an upstream to what is used for its customer.
    pub fn record_use(&self, call: &Call) {
        let Some(customer) = &call.customer else {
            return;
        };
        let cost = self.engine_time(call);
        let now = self.clock.now();
        let account = self.share_account(call);
        self.shares().on_send(&account, customer, cost, now);
        self.metrics
            .customers
            .record_time_used(Some(customer), &call.service, cost);
    }

    /// The fraction of what the customer of a call wants that fits on this many engines beside what
    /// the other customers want.
    pub(crate) fn fitting_fraction(&self, call: &Call, engines: usize) -> f64 {
        let Some(customer) = &call.customer else {
            return 1.0;
        };
        let account = self.share_account(call);
        let now = self.clock.now();
        let shares = self.shares();
        let lanes = [call.service.clone(), call.service.lane(LONG_LANE)];
        let other_lanes = lanes.iter().filter(|lane| **lane != account);
        let other_lanes_us_per_s: f64 = other_lanes.map(|lane| shares.wanted_us_per_s(lane)).sum();
        let capacity_us_per_s = engines as f64 * ENGINE_US_PER_S * ENGINE_TIME_FRACTION;
        shares
            .figures(&account, customer, now)
            .fitting_fraction(capacity_us_per_s - other_lanes_us_per_s)
    }

    /// The name under which the share of a call is accounted. Medium and long prompts have one of
    /// their own, so that they don't take the share of their customer's short ones.
    fn share_account(&self, call: &Call) -> ServiceId {
        match call_lane(self, call) {
            CallLane::Short | CallLane::Plain => call.service.clone(),
            CallLane::Medium | CallLane::Long => call.service.lane(LONG_LANE),
        }
    }

    /// Applies what another host or collector reports of the customers of services.
    pub(crate) fn apply_customer_uses(
        &self,
        source: &LoadSource,
        update: &HostUpdate,
        now: Instant,
    ) {
        let uses = update.customer_uses.iter().map(CustomerUse::from);
        self.shares()
            .record_use(source, update.incarnation, uses, now);
    }

    /// Forgets the demand of customers without a key in the manifest.
    pub(crate) fn retain_listed_customers(&self, routes: &RouteTable) {
        let customers: IndexSet<CustomerHash> =
            routes.keys.customers().map(CustomerHash::from).collect();
        self.shares()
            .retain(|customer| customers.contains(&customer));
    }
}

impl From<&CustomerUse> for CustomerUseEntry {
    fn from(customer_use: &CustomerUse) -> Self {
        Self {
            service_hash: customer_use.service.0,
            customer_hash: customer_use.customer.map_or(0, |customer| customer.0),
            customers: customer_use.customers,
            wanted_us_per_s: customer_use.wanted_us_per_s,
            used_us_per_s: customer_use.used_us_per_s,
            call_us: customer_use.call_us,
            usual_us_per_s: customer_use.usual_us_per_s,
            usual_call_us: customer_use.usual_call_us,
            learned_s: u32::try_from(customer_use.learned.as_secs()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&CustomerUseEntry> for CustomerUse {
    fn from(entry: &CustomerUseEntry) -> Self {
        Self {
            service: ServiceHash(entry.service_hash),
            customer: (entry.customer_hash != 0).then_some(CustomerHash(entry.customer_hash)),
            customers: entry.customers,
            wanted_us_per_s: entry.wanted_us_per_s,
            used_us_per_s: entry.used_us_per_s,
            call_us: entry.call_us,
            usual_us_per_s: entry.usual_us_per_s,
            usual_call_us: entry.usual_call_us,
            learned: Duration::from_secs(entry.learned_s.into()),
        }
    }
}
