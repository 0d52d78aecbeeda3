//! Conversion between host views and their records in messages.

use std::net::IpAddr;
use std::net::SocketAddr;

use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::peer::message::HostRecord;
use crate::units::Generation;
use crate::units::Incarnation;

/// The record of a host, with a zero time since its death.
pub(crate) fn to_record(view: &HostView) -> HostRecord {
    let ip = match view.peer_addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    HostRecord {
        host: view.id.to_string(),
        domain: view.domain.to_string(),
        ip,
        port: view.peer_addr.port().into(),
        incarnation: view.incarnation.0,
        state: match view.state {
            HostState::Alive => 0,
            HostState::Suspect => 1,
            HostState::Leaving => 2,
            HostState::Dead => 3,
        },
        generation: view.generation.0,
        dead_for_s: 0,
    }
}

/// Parses a record; `None` if a field is invalid, for instance from a later version.
pub(crate) fn from_record(record: &HostRecord) -> Option<HostView> {
    let ip: IpAddr = match record.ip.len() {
        4 => <[u8; 4]>::try_from(&record.ip[..]).ok()?.into(),
        16 => <[u8; 16]>::try_from(&record.ip[..]).ok()?.into(),
        _ => return None,
    };
    let port = u16::try_from(record.port).ok()?;
    let state = match record.state {
        0 => HostState::Alive,
        1 => HostState::Suspect,
        2 => HostState::Leaving,
        3 => HostState::Dead,
        _ => return None,
    };
    Some(HostView {
        id: record.host.parse().ok()?,
        domain: record.domain.parse().ok()?,
        peer_addr: SocketAddr::new(ip, port),
        incarnation: Incarnation(record.incarnation),
        state,
        generation: Generation(record.generation),
    })
}
