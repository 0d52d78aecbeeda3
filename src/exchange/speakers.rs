//! Which collector speaks for each other failure domain.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::MessageScope;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// A collector that has been silent for this long no longer speaks for its domain to this host.
const SPEAKER_KEPT_FOR: Duration = Duration::from_millis(300);

/// The collector that speaks for each other domain to this host, and when it did last.
#[derive(Debug, Default)]
pub(crate) struct Speakers {
    by_domain: IndexMap<FailureDomainId, (HostId, Instant)>,
}

impl Speakers {
    /// What a collector says for its domain, if it is the one that this host listens to, after what is
    /// taken back of another one.
    ///
    /// Failure it guards against: two hosts of a domain collect for a moment, each speaks for all of
    /// it, and its work counts twice. It holds because one of them is listened to until it is silent,
    /// and what it said is taken back when the other one is.
    pub(crate) fn accept(
        &mut self,
        domain: FailureDomainId,
        speaker: &HostId,
        news: HostUpdate,
        now: Instant,
    ) -> Vec<HostUpdate> {
        let mut heard = Vec::new();
        if let Some((known, heard_at)) = self.by_domain.get(&domain)
            && known != speaker
        {
            if now.saturating_duration_since(*heard_at) < SPEAKER_KEPT_FOR {
                return Vec::new();
            }
            heard.push(nothing_left(known));
        }
        self.by_domain.insert(domain, (speaker.clone(), now));
        heard.push(news);
        heard
    }

    /// Whether a host speaks for its domain.
    pub(crate) fn speaks(&self, host: &HostId) -> bool {
        self.by_domain.values().any(|(speaker, _)| speaker == host)
    }
}

/// That a collector's domain has no work any more.
fn nothing_left(collector: &HostId) -> HostUpdate {
    HostUpdate {
        host: collector.to_string(),
        scope: MessageScope::Domain.into(),
        ..HostUpdate::default()
    }
}
