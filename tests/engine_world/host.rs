//! A simulated host, with its load ledger and its choice of engines.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::AvailabilityTracker;
use banyanarch::decide::CallLane;
use banyanarch::decide::CallQueue;
use banyanarch::decide::CustomerShares;
use banyanarch::decide::CustomerUse;
use banyanarch::decide::HealthTracker;
use banyanarch::decide::HostLoad;
use banyanarch::decide::LimitState;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::LoadSource;
use banyanarch::decide::UpstreamFault;
use banyanarch::decide::engines::EngineView;
use banyanarch::units::FailureDomainId;
use banyanarch::units::HostId;
use banyanarch::units::UpstreamId;
use indexmap::IndexMap;

use super::load::Site;

/// A report of one host about its own load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    pub host: HostId,
    pub domain: usize,
    pub loads: IndexMap<UpstreamId, HostLoad>,
    pub uses: Vec<CustomerUse>,
}

/// A simulated host.
pub struct Host {
    pub id: HostId,
    pub domain: usize,
    pub ledger: LoadLedger,
    pub shares: CustomerShares,
    /// The waiting requests of each lane.
    pub queues: IndexMap<CallLane, CallQueue>,
    health: HealthTracker,
    availability: AvailabilityTracker,
    engine_domain: FailureDomainId,
    pub next_report_at: Option<Duration>,
    pub last_report_at: Option<Duration>,
    /// When the next report would be sent if reports were evenly spaced.
    pub next_even_report_at: Duration,
}

impl Host {
    pub fn new(index: usize, domain: usize) -> Self {
        Self {
            id: format!("host-{index:02}").parse().unwrap(),
            domain,
            ledger: LoadLedger::default(),
            shares: CustomerShares::default(),
            queues: IndexMap::new(),
            health: HealthTracker::default(),
            availability: AvailabilityTracker::default(),
            engine_domain: "engines".parse().unwrap(),
            next_report_at: None,
            last_report_at: None,
            next_even_report_at: Duration::ZERO,
        }
    }

    /// The queue of a lane.
    pub fn queue(&mut self, lane: CallLane) -> &mut CallQueue {
        let new = || CallQueue::new(lane);
        self.queues.entry(lane).or_insert_with(new)
    }

    pub fn report(&mut self, now: Instant) -> LoadReport {
        let uses = self.shares.own_use(now);
        let loads = self
            .ledger
            .own_loads(now)
            .map(|(id, load)| (id.clone(), load));
        LoadReport {
            host: self.id.clone(),
            domain: self.domain,
            loads: loads.collect(),
            uses,
        }
    }

    pub fn receive_report(&mut self, report: &LoadReport, now: Instant) {
        self.ledger
            .record_host_loads(report.host.clone(), 1, report.loads.clone(), now);
        let source = LoadSource::Host(report.host.clone());
        self.shares
            .record_use(&source, 1, report.uses.iter().copied(), now);
    }

    /// Records that an engine has refused a request and asks for this backoff; none if it is
    /// ignored.
    pub fn on_refusal(&mut self, engine: &UpstreamId, backoff: Option<Duration>, now: Instant) {
        let fault = UpstreamFault::RequestRefused;
        self.health
            .on_fault(engine, &self.engine_domain, fault, now);
        if let Some(backoff) = backoff {
            self.availability.on_backoff(engine, backoff, now);
        }
    }

    /// Whether the host may send to an engine.
    fn is_usable(&self, engine: &UpstreamId, now: Instant) -> bool {
        self.health.is_usable(engine, &self.engine_domain, now)
            && self.availability.is_available(engine, now)
    }

    /// The engines that the host may send to, as it knows them.
    pub fn views(
        &self,
        site: &Site,
        engines: &[UpstreamId],
        at: Duration,
        now: Instant,
    ) -> Vec<EngineView> {
        let view = |(index, id): (usize, &UpstreamId)| EngineView {
            id: id.clone(),
            load: self.ledger.load(id, now),
            is_near: index % site.domains == self.domain,
            slowdown: site.known_slowdown(index, at),
            limit: LimitState::Unlimited,
        };
        let usable = engines
            .iter()
            .enumerate()
            .filter(|(_, id)| self.is_usable(id, now));
        usable.map(view).collect()
    }
}
