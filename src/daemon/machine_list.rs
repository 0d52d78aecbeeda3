//! The platform's lagging list of machines.

use std::net::SocketAddr;

use log::warn;
use serde::Deserialize;

use crate::board::Board;
use crate::board::UpstreamView;
use crate::decide::UpstreamHealth;
use crate::platform::Object;
use crate::units::FailureDomainId;
use crate::units::TargetId;
use crate::units::UpstreamId;

#[derive(Deserialize)]
struct MachineSpec {
    role: MachineRole,
    target: Option<TargetId>,
    domain: FailureDomainId,
    address: SocketAddr,
    state: MachineState,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MachineRole {
    Upstream,
    Entry,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MachineState {
    Live,
    Leaving,
}

/// Puts the upstreams of the platform's list on the board. One that is no longer listed counts as
/// leaving: its running requests still need its address.
pub(crate) fn take_in(board: &Board, machines: &[Object]) {
    let listed: Vec<UpstreamView> = machines.iter().filter_map(upstream_of).collect();
    board.upstreams.retain(|id, view| {
        if !listed.iter().any(|listed| listed.id == *id) {
            view.health = UpstreamHealth::Leaving;
        }
        true
    });
    for mut view in listed {
        let before = board.upstreams.get(&view.id);
        // The list lags: an upstream that is known to leave at this address goes on leaving.
        let left = before.is_some_and(|before| {
            before.health == UpstreamHealth::Leaving && before.addr == view.addr
        });
        if left {
            view.health = UpstreamHealth::Leaving;
        }
        board.upstreams.insert(view.id.clone(), view);
    }
}

fn upstream_of(object: &Object) -> Option<UpstreamView> {
    let spec: MachineSpec = match serde_json::from_value(object.value.clone()) {
        Ok(spec) => spec,
        Err(err) => {
            warn!(
                "platform: machine {} is not understood: {err}",
                object.key.name
            );
            return None;
        }
    };
    if spec.role != MachineRole::Upstream {
        return None;
    }
    let id: UpstreamId = object.key.name.parse().ok()?;
    let health = match spec.state {
        MachineState::Live => UpstreamHealth::Live,
        MachineState::Leaving => UpstreamHealth::Leaving,
    };
    Some(UpstreamView {
        id,
        target: spec.target?,
        domain: spec.domain,
        addr: spec.address,
        health,
    })
}
