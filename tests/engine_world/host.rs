//! A host: what it knows of all work, and how it chooses.

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

/// What one host tells the others.
#[derive(Clone, Debug)]
pub struct News {
    pub host: HostId,
    pub domain: usize,
    pub loads: IndexMap<UpstreamId, HostLoad>,
}

pub struct Host {
    pub id: HostId,
    pub domain: usize,
    pub ledger: LoadLedger,
    pub tells_at: Option<Duration>,
    pub told_at: Option<Duration>,
    /// When the host would tell next if its messages were evenly spread.
    pub even_at: Duration,
}

impl Host {
    pub fn new(index: usize, domain: usize) -> Self {
        Self {
            id: format!("host-{index:02}").parse().unwrap(),
            domain,
            ledger: LoadLedger::default(),
            tells_at: None,
            told_at: None,
            even_at: Duration::ZERO,
        }
    }

    pub fn news(&self, now: Instant) -> News {
        let loads = self
            .ledger
            .own_loads(now)
            .map(|(id, load)| (id.clone(), load));
        News {
            host: self.id.clone(),
            domain: self.domain,
            loads: loads.collect(),
        }
    }

    pub fn hear(&mut self, news: &News, now: Instant) {
        self.ledger
            .record_host_loads(news.host.clone(), 1, news.loads.clone(), now);
    }

    pub fn choose(
        &self,
        site: &Site,
        engines: &[UpstreamId],
        ask: &EngineRequest,
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
        choose_engines(&site.model, &views, ask)
    }
}
