//! Selection of the hosts that watch the manifest at the platform.

use crate::control::home_assignment::Member;
use crate::control::home_assignment::rank;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Number of hosts of a failure domain that watch the manifest. Each watch is a load on the
/// platform, so not all hosts may watch. With three watchers, two can fail at the same time without
/// delaying a new generation.
const WATCHER_COUNT: usize = 3;

/// The hosts of a failure domain that watch the manifest at the platform. All hosts with the same
/// view of the members select the same watchers.
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
