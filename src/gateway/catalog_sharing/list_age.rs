//! Limits of the age of a list that one host uses from another.

use std::time::Duration;

/// Largest age of the manifest or of the upstreams in the response of another host. If the list is
/// older, this host reads the platform itself, as it would without the other host.
pub(super) const RESPONSE_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Largest age of the list of hosts, which changes rarely, in such a response. It is longer than
/// most outages of the platform, so that not all hosts of a fleet request the list from the
/// platform when it has recovered.
pub(super) const HOSTS_AGE_MAX: Duration = Duration::from_secs(15);

/// Whether a list that was confirmed at `confirmed_at` is fresh enough at `now`, both since boot.
pub(crate) fn is_fresh(confirmed_at: Duration, now: Duration) -> bool {
    now.saturating_sub(confirmed_at) <= RESPONSE_AGE_MAX
}
