//! Applies the platform's list of machines, which lags behind the actual state.

use std::net::SocketAddr;

use indexmap::IndexSet;
use log::warn;
use serde::Deserialize;

use crate::cluster_view::ClusterView;
use crate::cluster_view::UpstreamView;
use crate::decide::UpstreamHealth;
use crate::objects::Object;
use crate::objects::ObjectList;
use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::ObjectVersion;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// A machine as the platform lists it.
#[derive(Deserialize)]
struct MachineSpec {
    role: MachineRole,
    target: Option<TargetId>,
    domain: FailureDomainId,
    address: SocketAddr,
    state: MachineState,
}

#[derive(Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum MachineRole {
    Upstream,
    Entry,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum MachineState {
    Live,
    Leaving,
}

/// What membership needs from a list of machines.
#[derive(Default)]
pub(crate) struct ListedMachines {
    /// Hosts that may be alive.
    pub(crate) seeds: Vec<PeerSeed>,
    /// Upstreams that are leaving, for peers with an older list.
    pub(crate) leaving: Vec<(UpstreamId, ObjectVersion)>,
}

/// Applies the platform's list of machines to the cluster view. An upstream that is no longer
/// listed counts as leaving and is kept, since its running requests still need its address. Since
/// the list lags, state that peers reported with a later version is not overwritten.
pub(crate) fn apply(cluster_view: &ClusterView, list: &ObjectList) -> ListedMachines {
    let mut listed = ListedMachines::default();
    let mut ids: IndexSet<UpstreamId> = IndexSet::new();
    for object in &list.items {
        match parse_machine(object) {
            Some(Machine::Upstream(view)) => {
                ids.insert(view.id.clone());
                apply_upstream(cluster_view, view);
            }
            Some(Machine::Entry(seed)) => listed.seeds.push(seed),
            None => {}
        }
    }
    for (id, mut view) in cluster_view.upstreams.snapshot() {
        let is_removed = !ids.contains(&id) && view.version <= list.version;
        if is_removed && view.health != UpstreamHealth::Leaving {
            view.health = UpstreamHealth::Leaving;
            cluster_view.upstreams.insert(id.clone(), view.clone());
        }
        if view.health == UpstreamHealth::Leaving {
            listed.leaving.push((id, view.version));
        }
    }
    listed
}

/// Stores a listed upstream in the cluster view, unless the view has a later version of it.
fn apply_upstream(cluster_view: &ClusterView, view: UpstreamView) {
    let known = cluster_view.upstreams.get(&view.id);
    let is_newer = |known: &UpstreamView| known.version <= view.version && *known != view;
    if known.as_ref().is_none_or(is_newer) {
        cluster_view.upstreams.insert(view.id.clone(), view);
    }
}

/// A listed machine whose fields have been checked.
enum Machine {
    Upstream(UpstreamView),
    Entry(PeerSeed),
}

/// Parses a listed machine; none if its fields are invalid.
fn parse_machine(object: &Object) -> Option<Machine> {
    let name = &object.key.name;
    let spec = match MachineSpec::deserialize(&object.value) {
        Ok(spec) => spec,
        Err(err) => {
            warn!("platform: machine {name} is invalid: {err}");
            return None;
        }
    };
    match spec.role {
        MachineRole::Upstream => {
            let is_live = spec.state == MachineState::Live;
            Some(Machine::Upstream(UpstreamView {
                id: name.parse().ok()?,
                target: spec.target?,
                domain: spec.domain,
                addr: spec.address,
                version: object.version,
                health: if is_live {
                    UpstreamHealth::Live
                } else {
                    UpstreamHealth::Leaving
                },
            }))
        }
        MachineRole::Entry => Some(Machine::Entry(PeerSeed {
            host: name.parse().ok()?,
            failure_domain: spec.domain,
            address: spec.address,
        })),
    }
}
