//! A dependency of this host: when it is asked again, and when its loss and its return are told.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::gateway::CatalogError;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::catalog_sharing::ReadError;
use crate::gateway::catalog_sharing::Source;
use crate::units::whole_millis;

/// After a failed call, for each host that tries together with this one; shorter than the interval of
/// answered ones, since what is known grows old.
pub(super) const FAILED_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval of a host that tries alone; keys are served for 4.5 s after the last answered call.
const FAILED_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Before this host asks the platform itself where other hosts had nothing fresh, for each host of the
/// fleet: one of them may be about to read. With 80 hosts at most 0.4 s, while keys are served for
/// three seconds more.
const TURN_SPREAD: Duration = Duration::from_millis(5);

/// One dependency's state.
pub(super) struct Dependency {
    gateway: Arc<Gateway>,
    name: &'static str,
    lost_at: Option<Instant>,
    /// Failed calls since the last answered one.
    failures: u32,
    /// When the platform itself may be asked again; none while reads are answered.
    platform_due_at: Option<Instant>,
    /// When a call to the platform failed last.
    failed_at: Option<Instant>,
}

impl Dependency {
    pub(super) fn new(gateway: &Arc<Gateway>, name: &'static str) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            name,
            lost_at: None,
            failures: 0,
            platform_due_at: None,
            failed_at: None,
        }
    }

    /// How long to wait before the next call to the platform, where answered ones are this far apart.
    ///
    /// Failure it guards against: the platform turns all hosts of a fleet away for some seconds, and each
    /// asks four times a second. All hosts of a failure domain that have nothing fresh ask as often
    /// together as one would alone; the first that gets an answer tells the others.
    pub(super) fn interval(&self, answered: Duration) -> Duration {
        let Some(doublings) = self.failures.checked_sub(1) else {
            return answered;
        };
        let alone = FAILED_INTERVAL
            .saturating_mul(1 << doublings.min(8))
            .min(FAILED_INTERVAL_MAX);
        let together =
            FAILED_INTERVAL.saturating_mul(self.gateway.reader_selector.trying(&self.gateway));
        // Hosts that lost the platform together must not ask it together.
        if together <= alone {
            alone.mul_f64(rand::random_range(0.75..1.25))
        } else {
            together
                .mul_f64(rand::random_range(0.0..2.0))
                .max(FAILED_INTERVAL)
        }
    }

    /// Waits until the next read, which is due at `due_at` if this one was answered, and says whom it asks.
    pub(super) async fn next_read(&self, due_at: Instant, news: &Notify) -> Source {
        let Some(due_at) = self.platform_due_at else {
            tokio::select! {
                () = sleep_until(due_at.into()) => {}
                () = news.notified() => {}
            }
            return Source::Any;
        };
        tokio::select! {
            () = sleep_until(due_at.into()) => Source::Platform,
            () = news.notified() => self.source_after_news(),
        }
    }

    /// Either another read of this host was answered, or another host has something fresh.
    fn source_after_news(&self) -> Source {
        if self.gateway.reader_selector.reached_at() > self.failed_at {
            Source::Platform
        } else {
            Source::Others
        }
    }

    /// Takes in what came of a read that was asked for at `asked_at`.
    pub(super) fn on_read<T>(&mut self, asked_at: Instant, read: &Result<T, ReadError>) {
        match read {
            Ok(_) => self.on_answered(asked_at),
            Err(ReadError::Catalog(err)) => self.on_failed(asked_at, err),
            Err(ReadError::OthersStale) => {
                let now = self.gateway.clock.now();
                let hosts = self.gateway.platform_view.hosts().len();
                let spread = TURN_SPREAD.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX));
                let due_at = now + spread.mul_f64(rand::random());
                self.platform_due_at.get_or_insert(due_at);
            }
        }
    }

    /// Takes in what came of a call to the platform.
    pub(super) fn on_call<T>(&mut self, asked_at: Instant, called: &Result<T, CatalogError>) {
        match called {
            Ok(_) => self.on_answered(asked_at),
            Err(err) => self.on_failed(asked_at, err),
        }
    }

    fn on_answered(&mut self, asked_at: Instant) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(asked_at);
        self.gateway.meters.catalog_call(self.name, took);
        self.failures = 0;
        self.platform_due_at = None;
        if let Some(lost_at) = self.lost_at.take() {
            self.gateway.log.note(Event::DependencyRegained {
                dependency: self.name.into(),
                away_ms: whole_millis(now.saturating_duration_since(lost_at)),
            });
            self.on_regained();
        }
    }

    /// Lets the other reads of this host try at once, and the other hosts know.
    fn on_regained(&self) {
        self.gateway.routes_news.notify_one();
        self.gateway.upstreams_news.notify_one();
        self.gateway.load_urgent.notify_one();
    }

    fn on_failed(&mut self, asked_at: Instant, err: &CatalogError) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(asked_at);
        self.gateway.meters.catalog_call(self.name, took);
        self.failures += 1;
        self.failed_at = Some(now);
        self.platform_due_at = Some(now + self.interval(FAILED_INTERVAL));
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            self.gateway.log.note(Event::DependencyLost {
                dependency: self.name.into(),
                error: err.to_string(),
            });
        }
    }
}
