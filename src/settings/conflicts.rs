//! Checks for settings that are valid one by one and contradict each other.

use std::net::SocketAddr;

use crate::settings::ListenSettings;
use crate::settings::PeerKey;
use crate::settings::PeerSeed;
use crate::settings::PeerSettings;
use crate::settings::PlatformSettings;
use crate::units::HostId;
use crate::yaml::Fields;
use crate::yaml::Item;

/// Reports listeners and the platform if two of them have the same address. With two listeners on
/// one port, the one that binds first would get all connections.
pub(crate) fn check_addresses(
    fields: &mut Fields<'_>,
    listen: Option<&ListenSettings>,
    platform: Option<&PlatformSettings>,
) {
    let Some(listen) = listen else {
        return;
    };
    let mut taken = vec![("listen.callers", listen.callers)];
    let rest = [
        ("listen.peers", listen.peers),
        ("listen.status", listen.status),
    ];
    let platform = platform.map(|platform| ("platform.address", platform.address));
    for (path, address) in rest.into_iter().chain(platform) {
        let earlier = taken
            .iter()
            .find(|(_, other)| addresses_conflict(*other, address));
        if let Some((earlier, _)) = earlier {
            fields.report(path, format!("{address} is taken by {earlier}"));
        }
        taken.push((path, address));
    }
}

/// Whether two addresses name the same port of the same host. Port 0 conflicts with no other, since
/// the operating system chooses a free port for it.
fn addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

/// Reports a seed that names this host with another address, or this host's address with another
/// name. All hosts may share one list of seeds, so this host may be among its own seeds.
pub(crate) fn check_own_seed(
    fields: &mut Fields<'_>,
    host: Option<&HostId>,
    listen: Option<&ListenSettings>,
    peers: Option<&PeerSettings>,
) {
    let (Some(host), Some(listen), Some(peers)) = (host, listen, peers) else {
        return;
    };
    if listen.peers.port() == 0 {
        return;
    }
    for (index, seed) in peers.seeds.iter().enumerate() {
        let is_self = seed.host == *host;
        let is_own_address = addresses_conflict(seed.address, listen.peers);
        if is_self != is_own_address {
            let what = format!(
                "{} is not the address that {} listens on",
                seed.address, seed.host
            );
            fields.report(&format!("peers.seeds[{index}].address"), what);
        }
    }
}

/// Reports seeds that share a host name or an address with an earlier seed.
pub(crate) fn check_seeds(fields: &mut Fields<'_>, seeds: &[Item<PeerSeed>]) {
    for (index, seed) in seeds.iter().enumerate() {
        let earlier = &seeds[..index];
        let other = earlier
            .iter()
            .find(|other| other.value.host == seed.value.host);
        if let Some(other) = other {
            let what = format!("{} is the host of {} too", seed.value.host, other.path);
            fields.report(&format!("{}.host", seed.path), what);
        }
        let other = earlier
            .iter()
            .find(|other| other.value.address == seed.value.address);
        if let Some(other) = other {
            let what = format!(
                "{} is the address of {} too",
                seed.value.address, other.path
            );
            fields.report(&format!("{}.address", seed.path), what);
        }
    }
}

/// Reports keys that share an id with an earlier key.
pub(crate) fn check_keys(fields: &mut Fields<'_>, keys: &[Item<PeerKey>]) {
    for (index, key) in keys.iter().enumerate() {
        let other = keys[..index]
            .iter()
            .find(|other| other.value.id == key.value.id);
        if let Some(other) = other {
            let what = format!("{} is the id of {} too", key.value.id, other.path);
            fields.report(&format!("{}.id", key.path), what);
        }
    }
}
