//! The state of a list of the platform on which this host depends: when to read it again, and the
//! log events of its loss and recovery.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway::CatalogError;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::catalog_sharing::ListKind;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::ReadSource;
use crate::units::BoundedTime;
use crate::units::whole_millis;

/// Interval after a failed call to the platform. It is multiplied by the number of hosts that share
/// the retries, and is shorter than the interval after successful calls, since the lists get older.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The longest retry interval of a host that retries alone. Keys are served for 4.5 s after the
/// last successful call, so several retries fit into that time.
const RETRY_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Time per host of the fleet over which hosts spread their calls to the platform if no other host
/// has a fresh list, since another host may be about to read it. With 80 hosts the delay is at most
/// 0.4 s, and keys are served for three seconds more.
const SPREAD_PER_HOST: Duration = Duration::from_millis(5);
/// Shortest interval between two reads from other hosts after a failed call to the platform. Each
/// update of a host that has the list asks for such a read.
const PEERS_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the platform responds to the reads of one of its lists, and when it may be called next.
pub(super) struct Dependency {
    gateway: Arc<Gateway>,
    list: ListKind,
    /// When the first of the current run of failures was recorded; none while calls succeed.
    lost_at: Option<Instant>,
    /// Failed calls since the last successful one.
    failures: u32,
    /// When the platform itself may be called again after a failed read; none while reads succeed.
    platform_due_at: Option<Instant>,
    /// When a call to the platform last failed.
    failed_at: Option<Instant>,
    /// When the last read ended.
    read_at: Option<Instant>,
}

impl Dependency {
    pub(super) fn new(gateway: &Arc<Gateway>, list: ListKind) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            list,
            lost_at: None,
            failures: 0,
            platform_due_at: None,
            failed_at: None,
            read_at: None,
        }
    }

    /// How long to wait before the next call to the platform: `after_success` if the last call
    /// succeeded, otherwise a retry interval with jitter.
    ///
    /// If the platform rejects all hosts of a fleet for some seconds, independent hosts would each
    /// call it four times a second. Instead, all hosts of a failure domain that lack a fresh list
    /// together call as often as one would alone. The first one that gets a response broadcasts the
    /// age of its lists to the others, which then read from it, however far their next call is.
    pub(super) fn interval(&self, after_success: Duration) -> Duration {
        let Some(doublings) = self.failures.checked_sub(1) else {
            return after_success;
        };
        let own_backoff = RETRY_INTERVAL
            .saturating_mul(1 << doublings.min(8))
            .min(RETRY_INTERVAL_MAX);
        let selector = &self.gateway.reader_selector;
        let retrying_hosts = selector.retrying_hosts(&self.gateway, self.list);
        let shared_interval = RETRY_INTERVAL.saturating_mul(retrying_hosts);
        // Hosts that lost the platform at the same time must not call it at the same time.
        if shared_interval <= own_backoff {
            own_backoff.scaled(rand::random_range(0.75..1.25))
        } else {
            shared_interval
                .scaled(rand::random_range(0.0..2.0))
                .max(RETRY_INTERVAL)
        }
    }

    /// Waits until the next read is due or `wakeup` is notified, and returns the source of that
    /// read. The read is due at `due_at` if the last one succeeded, otherwise when the platform may
    /// be called again. Until then, a wakeup takes effect [`PEERS_INTERVAL`] after the last read at
    /// the earliest.
    pub(super) async fn wait_for_next_read(&self, due_at: Instant, wakeup: &Notify) -> ReadSource {
        if self.gateway.awaits_starting_reader() {
            sleep(RETRY_INTERVAL).await;
            return ReadSource::Any;
        }
        let Some(due_at) = self.platform_due_at else {
            tokio::select! {
                () = sleep_until(due_at.into()) => {}
                () = wakeup.notified() => {}
            }
            return ReadSource::Any;
        };
        let peers_due_at = self.read_at.map(|read_at| read_at + PEERS_INTERVAL);
        let woken = async {
            if let Some(due_at) = peers_due_at {
                sleep_until(due_at.into()).await;
            }
            wakeup.notified().await;
        };
        tokio::select! {
            () = sleep_until(due_at.into()) => ReadSource::Platform,
            () = woken => self.source_after_wakeup(),
        }
    }

    /// The source of a read that was woken before it was due: the platform if this host has reached
    /// it since the last failure and no peer reports a fresh list, otherwise the peers.
    fn source_after_wakeup(&self) -> ReadSource {
        let selector = &self.gateway.reader_selector;
        if selector.has_fresh_peer(&self.gateway, self.list) {
            ReadSource::Peers
        } else if selector.platform_reached_at() > self.failed_at {
            ReadSource::Platform
        } else {
            ReadSource::Peers
        }
    }

    /// Records the result of a read that was requested at `requested_at`. If no peer has a fresh
    /// list, the platform is to be called after a random delay.
    pub(super) fn on_read<T>(&mut self, requested_at: Instant, result: &Result<T, ReadError>) {
        self.read_at = Some(self.gateway.clock.now());
        match result {
            Ok(_) => self.on_success(requested_at),
            Err(ReadError::Catalog(err)) => self.on_failure(requested_at, err),
            Err(ReadError::PeersStale) if self.gateway.awaits_starting_reader() => {}
            Err(ReadError::Absent) => self.on_absent(requested_at),
            Err(ReadError::PeersStale) => {
                let now = self.gateway.clock.now();
                let hosts = self.gateway.platform_view.hosts().len();
                let spread =
                    SPREAD_PER_HOST.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX));
                let due_at = now + spread.scaled(rand::random());
                self.platform_due_at.get_or_insert(due_at);
            }
        }
    }

    /// Records the result of a call to the platform that was sent at `requested_at`.
    pub(super) fn on_call<T>(&mut self, requested_at: Instant, result: &Result<T, CatalogError>) {
        match result {
            Ok(_) => self.on_success(requested_at),
            Err(err) => self.on_failure(requested_at, err),
        }
    }

    /// Records that another host has found that the platform has no such list. The platform need
    /// not be called to find this out again.
    fn on_absent(&mut self, requested_at: Instant) {
        self.on_failure(requested_at, &CatalogError::NotFound);
        self.platform_due_at = None;
    }

    fn on_success(&mut self, requested_at: Instant) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(requested_at);
        self.gateway
            .metrics
            .record_catalog_call(self.list.name(), took);
        self.failures = 0;
        self.platform_due_at = None;
        if let Some(lost_at) = self.lost_at.take() {
            self.gateway.log.record(DecisionEvent::DependencyRegained {
                dependency: self.list.name().into(),
                away_ms: whole_millis(now.saturating_duration_since(lost_at)),
            });
            self.on_recovery();
        }
    }

    /// Wakes the other reads of this host, and broadcasts the recovery to the other hosts.
    fn on_recovery(&self) {
        self.gateway.routes_changed.notify_one();
        self.gateway.upstreams_changed.notify_one();
        self.gateway.evacuations_changed.notify_one();
        self.gateway.broadcast_now.notify_one();
    }

    fn on_failure(&mut self, requested_at: Instant, err: &CatalogError) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(requested_at);
        self.gateway
            .metrics
            .record_catalog_call(self.list.name(), took);
        self.failures += 1;
        self.failed_at = Some(now);
        self.platform_due_at = Some(now + self.interval(RETRY_INTERVAL));
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            self.gateway.log.record(DecisionEvent::DependencyLost {
                dependency: self.list.name().into(),
                error: err.to_string(),
            });
        }
    }
}
