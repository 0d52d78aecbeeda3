//! Conversions between the state of a host and the entries of the updates between hosts.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decide::HostLoad;
use crate::decide::LimitReport;
use crate::decide::PrefillSent;
use crate::decide::RecentSends;
use crate::exchange::LoadEntry;
use crate::exchange::RateLimitEntry;
use crate::exchange::SlowdownEntry;
use crate::exchange::UpstreamHash;
use crate::units::RequestsPerSecond;
use crate::units::Slowdown;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::units::whole_micros;
use crate::units::whole_millis_u32;

/// The age of the limit of an upstream of which the sender knows no statement. The entry contains
/// only what was sent to the upstream.
const AGE_MS_UNKNOWN: u32 = u32::MAX;

/// The entry of an update for the load that this host puts on an upstream.
pub(crate) fn load_entry(id: &UpstreamId, load: &HostLoad) -> LoadEntry {
    LoadEntry {
        upstream: id.to_string(),
        in_flight: load.in_flight,
        short_in_flight: load.short_in_flight,
        prefill_remaining_ms: whole_millis_u32(load.prefill.remaining),
        prefill_total_us: whole_micros(load.prefill.total),
        strictest_pause_ms: load.strictest_pause.map_or(0, whole_millis_u32),
        held_tokens: load.held_tokens.0,
        helping: load.helping,
        prefill_due_ms: load.prefill_due.map_or(0, whole_millis_u32),
        ..LoadEntry::default()
    }
}

/// The upstream that a load belongs to; none if the entry identifies it only by a hash that this
/// host does not know. This host does not choose such an upstream, so it does not need the load.
pub(crate) fn resolve_upstream(
    entry: &LoadEntry,
    by_hash: &IndexMap<UpstreamHash, UpstreamId>,
) -> Option<UpstreamId> {
    // Cloning a known id is cheaper than parsing the name.
    let known = by_hash.get(&entry.hash());
    known.cloned().or_else(|| entry.upstream.parse().ok())
}

/// The load that an entry reports.
pub(crate) fn decode_load(entry: &LoadEntry) -> HostLoad {
    HostLoad {
        in_flight: entry.in_flight,
        short_in_flight: entry.short_in_flight,
        strictest_pause: (entry.strictest_pause_ms > 0)
            .then(|| Duration::from_millis(entry.strictest_pause_ms.into())),
        prefill: PrefillSent {
            total: Duration::from_micros(entry.prefill_total_us),
            remaining: Duration::from_millis(entry.prefill_remaining_ms.into()),
        },
        held_tokens: Tokens(entry.held_tokens),
        helping: entry.helping,
        prefill_due: (entry.prefill_due_ms > 0)
            .then(|| Duration::from_millis(entry.prefill_due_ms.into())),
    }
}

/// The entry of an update for the slowdown of an engine.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn slowdown_entry((engine, slowdown): &(UpstreamId, Slowdown)) -> SlowdownEntry {
    SlowdownEntry {
        upstream_hash: UpstreamHash::from(engine).0,
        slowdown_percent: (slowdown.factor() * 100.0) as u32,
    }
}

/// The slowdown that an entry reports.
pub(crate) fn decode_slowdown(entry: &SlowdownEntry) -> Slowdown {
    Slowdown::new(f64::from(entry.slowdown_percent) / 100.0)
}

/// The entry of an update for the rate limit of an upstream.
pub(crate) fn limit_entry((upstream, report): (&UpstreamId, LimitReport)) -> RateLimitEntry {
    RateLimitEntry {
        upstream_hash: UpstreamHash::from(upstream).0,
        limit_per_s: report.limit.map(|limit| limit.0),
        age_ms: report.age.map_or(AGE_MS_UNKNOWN, whole_millis_u32),
        sent_in_window: report.sent.in_window,
        sent_in_burst_window: report.sent.in_burst_window,
    }
}

/// The rate limit that an entry reports, with what was sent to the upstream.
pub(crate) fn decode_limit(entry: &RateLimitEntry) -> LimitReport {
    LimitReport {
        limit: entry.limit_per_s.and_then(RequestsPerSecond::checked),
        age: (entry.age_ms != AGE_MS_UNKNOWN).then(|| Duration::from_millis(entry.age_ms.into())),
        sent: RecentSends {
            in_window: entry.sent_in_window,
            in_burst_window: entry.sent_in_burst_window,
        },
    }
}
