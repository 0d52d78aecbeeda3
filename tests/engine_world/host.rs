//! A simulated host, with its load ledger and its choice of engines.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::HostLoad;
use banyanarch::decide::LimitState;
use banyanarch::decide::LoadLedger;
use banyanarch::decide::engines::EngineChoice;
use banyanarch::decide::engines::EngineRequest;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::choose_engines;
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
}

/// A simulated host.
pub struct Host {
    pub id: HostId,
    pub domain: usize,
    pub ledger: LoadLedger,
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
            next_report_at: None,
            last_report_at: None,
            next_even_report_at: Duration::ZERO,
        }
    }

    pub fn report(&self, now: Instant) -> LoadReport {
        let loads = self
            .ledger
            .own_loads(now)
            .map(|(id, load)| (id.clone(), load));
        LoadReport {
            host: self.id.clone(),
            domain: self.domain,
            loads: loads.collect(),
        }
    }

    pub fn receive_report(&mut self, report: &LoadReport, now: Instant) {
        self.ledger
            .record_host_loads(report.host.clone(), 1, report.loads.clone(), now);
    }

    pub fn choose(
        &self,
        site: &Site,
        engines: &[UpstreamId],
        engine_request: &EngineRequest,
        at: Duration,
        now: Instant,
    ) -> EngineChoice {
        let view = |(index, id): (usize, &UpstreamId)| EngineView {
            id: id.clone(),
            load: self.ledger.load(id, now),
            is_near: index % site.domains == self.domain,
            slowdown: site.known_slowdown(index, at),
            limit: LimitState::Unlimited,
        };
        let views: Vec<EngineView> = engines.iter().enumerate().map(view).collect();
        choose_engines(&site.model, &views, engine_request)
    }
}
