//! Which hosts watch the platform's manifest.

use crate::control::homes::Member;
use crate::control::homes::rank;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Hosts of a failure domain that watch. Every watch counts at the platform, so not all may; with
/// three, two can die at once and the others still hear of a new generation at once.
const WATCHER_COUNT: usize = 3;

/// The hosts of a failure domain that watch the platform's manifest, the same for all who see the
/// same members.
pub fn watchers(domain: &FailureDomainId, members: &[Member]) -> Vec<HostId> {
    let eligible: Vec<&str> = members
        .iter()
        .filter(|member| member.is_eligible)
        .map(|member| member.host.as_str())
        .collect();
    let ranked = rank(&format!("{domain} watches manifests"), &eligible);
    let is_watcher = |member: &&Member| {
        ranked
            .iter()
            .take(WATCHER_COUNT)
            .any(|name| *name == member.host.as_str())
    };
    members
        .iter()
        .filter(is_watcher)
        .map(|member| member.host.clone())
        .collect()
}
