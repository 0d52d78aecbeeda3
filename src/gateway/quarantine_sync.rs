//! Keeps the quarantines of parts that crash upstreams in the platform, so that hosts which all
//! restart at the same time know them.
//!
//! Hosts tell each other what they know, so few need the platform: the hosts that read the platform
//! for others that start read the quarantines once after their own start. A quarantine is saved by the
//! hosts that have seen its crashes and, if they should fail, by those that read for others. A host that
//! hears no other tells and learns by the platform alone: it saves also what its crashes suggest, and
//! reads again and again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::sleep;

use crate::decide::CrashCheck;
use crate::decide::QuarantineChange;
use crate::decide::QuarantineRecord;
use crate::decide::RequestPart;
use crate::gateway::Catalog;
use crate::gateway::CatalogError;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ProbeClaim;
use crate::gateway::SavedQuarantine;
use crate::units::BoundedTime;
use crate::units::CrashId;
use crate::units::QuarantineId;
use crate::units::StoreEra;

/// The pause between two passes while something is left to do.
const PASS_INTERVAL: Duration = Duration::from_millis(500);
/// The longest pause after failed calls, which double it.
const RETRY_INTERVAL_MAX: Duration = Duration::from_secs(8);
/// How long hosts that read for others leave it to those that have seen the crashes to save a
/// quarantine.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);
/// The uptime from which a host that hears no other reads the quarantines itself.
const ALONE_AFTER: Duration = Duration::from_secs(3);
/// The pause between two reads of such a host.
const ALONE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// What one host knows of the quarantines in the platform.
struct QuarantineSync {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    /// Whether the quarantines were read, or need not be.
    has_read: bool,
    /// When they were last read.
    read_at: Option<Instant>,
    /// The era of the store that has the saved quarantines.
    era: StoreEra,
    /// The quarantines in the platform, with their crashes.
    saved: IndexMap<QuarantineId, IndexSet<CrashId>>,
    /// The quarantines of which this host has seen crashes.
    own: IndexSet<QuarantineId>,
    /// When this host learned of the quarantines that are not saved yet.
    unsaved_since: IndexMap<QuarantineId, Instant>,
    /// The failed calls since the last one that succeeded.
    failures: u32,
}

/// Reads the quarantines after the start, and saves and deletes them for as long as the process runs.
pub(crate) async fn sync_quarantines(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) {
    gateway.starting_reader_found().await;
    let mut sync = QuarantineSync::new(Arc::clone(&gateway), catalog);
    loop {
        sync.answer_claims().await;
        let is_done = sync.pass().await;
        let next_pass = async {
            if is_done {
                gateway.quarantines_changed.notified().await;
            } else {
                sleep(sync.interval()).await;
            }
        };
        tokio::select! {
            () = next_pass => {}
            () = gateway.probe_claims.wait_until_pending() => {}
        }
    }
}

impl QuarantineSync {
    fn new(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            gateway,
            catalog,
            has_read: false,
            read_at: None,
            era: StoreEra::default(),
            saved: IndexMap::new(),
            own: IndexSet::new(),
            unsaved_since: IndexMap::new(),
            failures: 0,
        }
    }

    /// The pause until the next pass, with jitter: hosts that failed together do not call together.
    fn interval(&self) -> Duration {
        let backoff = PASS_INTERVAL.saturating_mul(1 << self.failures.min(8));
        let interval = backoff.min(RETRY_INTERVAL_MAX);
        interval.scaled(rand::random_range(0.75..1.25))
    }

    /// Reads, saves and deletes what is due. Returns whether nothing is left to do.
    async fn pass(&mut self) -> bool {
        let result = self.try_pass().await;
        match result {
            Ok(is_done) => {
                self.failures = 0;
                is_done
            }
            Err(err) => {
                if self.failures == 0 {
                    self.gateway.log.record(DecisionEvent::QuarantinesFailed {
                        error: err.to_string(),
                    });
                }
                self.failures = self.failures.saturating_add(1);
                false
            }
        }
    }

    async fn try_pass(&mut self) -> Result<bool, CatalogError> {
        self.forget_former_era();
        let now = self.gateway.clock.now();
        let is_alone = self.is_alone(now);
        if !self.has_read {
            self.read_if_due(is_alone).await?;
        } else if is_alone {
            self.read_again_if_due(now).await?;
        }
        let now = self.gateway.clock.now();
        self.own.extend(self.gateway.take_own_quarantines());
        let (records, suspicions, lasting) = {
            let quarantine = self.gateway.part_quarantine();
            let suspicions = quarantine.suspicions(now);
            (quarantine.records(now), suspicions, quarantine.lasting(now))
        };
        let mut is_done = self.has_read && !is_alone;
        for record in records.iter().chain(suspicions.iter().filter(|_| is_alone)) {
            is_done &= self.save_if_due(record, now).await?;
        }
        self.delete_ended(lasting).await?;
        Ok(is_done)
    }

    /// Whether this host hears no other.
    fn is_alone(&self, now: Instant) -> bool {
        let uptime = now.saturating_duration_since(self.gateway.started_at);
        uptime >= ALONE_AFTER && self.gateway.ledger().live_peer_count(now) == 0
    }

    /// Answers the claims of calls to be probes.
    async fn answer_claims(&mut self) {
        for claim in self.gateway.probe_claims.take_pending() {
            let is_claimed = match self.claim_probe(&claim.parts).await {
                Ok(is_claimed) => is_claimed,
                Err(err) => {
                    self.gateway.log.record(DecisionEvent::QuarantinesFailed {
                        error: err.to_string(),
                    });
                    let now = self.gateway.clock.now();
                    self.gateway.probe_claims.on_failure(now);
                    false
                }
            };
            // A call that no longer waits does not need the answer.
            let _ = claim.answer.send(is_claimed);
        }
    }

    /// Claims a probe in the platform if one is due. Returns whether this host may send it.
    async fn claim_probe(&self, parts: &[RequestPart]) -> Result<bool, CatalogError> {
        let now = self.gateway.clock.now();
        let record = {
            let quarantine = self.gateway.part_quarantine();
            let is_due = matches!(quarantine.check(parts, now), CrashCheck::Probe(_));
            is_due.then(|| quarantine.record_of(parts, now)).flatten()
        };
        let Some(mut record) = record else {
            return Ok(false);
        };
        record.probes.push(Duration::ZERO);
        let wall = self.gateway.clock.wall();
        let claim = self
            .catalog
            .claim_probe(SavedQuarantine::new(&record, wall))
            .await?;
        let now = self.gateway.clock.now();
        let changes = match &claim {
            ProbeClaim::Claimed => self.gateway.part_quarantine().on_probe(parts, now, now),
            ProbeClaim::Taken(saved) => {
                let record = saved.record(self.gateway.clock.wall());
                self.gateway.part_quarantine().restore(&record, now)
            }
        };
        self.gateway.log_quarantine_changes(&changes, None);
        Ok(claim == ProbeClaim::Claimed)
    }

    /// Saves all quarantines again after the store was restored from an older copy.
    fn forget_former_era(&mut self) {
        let era = self.gateway.catalog_cache.routes_version().era();
        if era != self.era {
            self.era = era;
            self.saved.clear();
        }
    }

    /// Reads the quarantines if no other host tells them.
    async fn read_if_due(&mut self, is_alone: bool) -> Result<(), CatalogError> {
        let now = self.gateway.clock.now();
        let uptime = now.saturating_duration_since(self.gateway.started_at);
        if !self.gateway.is_starting_reader() && !is_alone {
            self.has_read = uptime >= ALONE_AFTER;
            return Ok(());
        }
        let count = self.read().await?;
        self.has_read = true;
        self.gateway
            .log
            .record(DecisionEvent::QuarantinesRestored { quarantines: count });
        self.gateway.broadcast_now.notify_one();
        Ok(())
    }

    /// Reads the quarantines again, for a host that learns of them in no other way.
    async fn read_again_if_due(&mut self, now: Instant) -> Result<(), CatalogError> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ALONE_READ_INTERVAL;
        if !self.read_at.is_some_and(is_recent) {
            self.read().await?;
        }
        Ok(())
    }

    /// Reads and applies the quarantines. Returns how many there are.
    async fn read(&mut self) -> Result<usize, CatalogError> {
        let saved = self.catalog.quarantines().await?;
        self.read_at = Some(self.gateway.clock.now());
        self.restore(&saved);
        Ok(saved.len())
    }

    fn restore(&mut self, saved: &[SavedQuarantine]) {
        let now = self.gateway.clock.now();
        let wall = self.gateway.clock.wall();
        for quarantine in saved {
            let record = quarantine.record(wall);
            self.saved
                .insert(quarantine.id(), record.crash_ids().collect());
            let changes = self.gateway.part_quarantine().restore(&record, now);
            self.gateway.log_quarantine_changes(&changes, None);
        }
    }

    /// Saves a quarantine if that is due. Returns whether this host has nothing more to do for it.
    async fn save_if_due(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
    ) -> Result<bool, CatalogError> {
        let id = record.id();
        let saved = self.saved.get(&id);
        let is_saved = saved.is_some_and(|saved| record.crash_ids().all(|id| saved.contains(&id)));
        if is_saved {
            self.unsaved_since.swap_remove(&id);
            return Ok(true);
        }
        let since = *self.unsaved_since.entry(id).or_insert(now);
        if !self.own.contains(&id) {
            if !self.gateway.is_starting_reader() {
                return Ok(true);
            }
            if now.saturating_duration_since(since) < CONFIRM_AFTER {
                return Ok(false);
            }
        }
        let quarantine = SavedQuarantine::new(record, self.gateway.clock.wall());
        self.catalog.save_quarantine(quarantine).await?;
        self.saved.insert(id, record.crash_ids().collect());
        self.gateway.log.record(DecisionEvent::QuarantineSaved {
            quarantine: id.to_string(),
            crashes: record.crashes.len(),
        });
        Ok(true)
    }

    /// Deletes the quarantines that this host has saved or read and that have ended.
    async fn delete_ended(&mut self, lasting: IndexSet<QuarantineId>) -> Result<(), CatalogError> {
        self.unsaved_since.retain(|id, _| lasting.contains(id));
        self.own.retain(|id| lasting.contains(id));
        let saved = self.saved.keys().copied();
        let ended: Vec<QuarantineId> = saved.filter(|id| !lasting.contains(id)).collect();
        for id in ended {
            match self.catalog.delete_quarantine(id).await {
                Ok(()) | Err(CatalogError::NotFound) => {}
                Err(err) => return Err(err),
            }
            self.saved.swap_remove(&id);
            self.gateway.log.record(DecisionEvent::QuarantineDeleted {
                quarantine: id.to_string(),
            });
        }
        Ok(())
    }
}

impl Gateway {
    /// Records which quarantines a crash that this host has seen belongs to.
    pub(crate) fn note_own_crash(&self, crash: CrashId, now: Instant) {
        let records = {
            let quarantine = self.part_quarantine();
            let mut records = quarantine.records(now);
            records.extend(quarantine.suspicions(now));
            records
        };
        let of_crash = records
            .iter()
            .filter(|record| record.crash_ids().any(|known| known == crash));
        let ids: Vec<QuarantineId> = of_crash.map(QuarantineRecord::id).collect();
        if !ids.is_empty() {
            self.own_quarantines().extend(ids);
            self.quarantines_changed.notify_one();
        }
    }

    /// Wakes the task that saves quarantines if some have begun or ended.
    pub fn on_quarantine_changes(&self, changes: &[QuarantineChange]) {
        if !changes.is_empty() {
            self.quarantines_changed.notify_one();
        }
    }

    fn take_own_quarantines(&self) -> IndexSet<QuarantineId> {
        std::mem::take(&mut *self.own_quarantines())
    }
}
