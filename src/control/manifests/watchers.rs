//! Which hosts watch the platform's manifest.

use crate::control::home_assignment::Member;
use crate::control::home_assignment::rank;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Hosts of a failure domain that watch. Every watch counts at the platform, so not all may; with
/// three, two can die at once and the others still hear of a new generation at once.
const WATCHERS: usize = 3;

/// The hosts of a failure domain that watch the platform's manifest, the same for all who see the
/// same members.
pub fn watchers(domain: &FailureDomainId, members: &[Member]) -> Vec<HostId> {
    let eligible: Vec<&str> = members
        .iter()
        .filter(|member| member.is_eligible)
        .map(|member| member.host.as_str())
        .collect();
    let ranked = rank(&format!("{domain} watches manifests"), &eligible);
    let is_chosen = |member: &&Member| {
        ranked
            .iter()
            .take(WATCHERS)
            .any(|name| *name == member.host.as_str())
    };
    members
        .iter()
        .filter(is_chosen)
        .map(|member| member.host.clone())
        .collect()
}
