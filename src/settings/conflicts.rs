//! Settings that are each good and do not go together.

use std::net::SocketAddr;

use crate::settings::ListenSettings;
use crate::settings::PeerKey;
use crate::settings::PeerSeed;
use crate::settings::PeerSettings;
use crate::settings::PlatformSettings;
use crate::units::HostId;
use crate::yaml::Fields;
use crate::yaml::Item;

/// Two listeners on one port would let whichever binds first win.
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
        let earlier = taken.iter().find(|(_, other)| collide(*other, address));
        if let Some((earlier, _)) = earlier {
            fields.report(path, format!("{address} is taken by {earlier}"));
        }
        taken.push((path, address));
    }
}

fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

/// One list of seeds for all hosts may name this host too, but then by its own address.
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
        let is_here = collide(seed.address, listen.peers);
        if is_self != is_here {
            let what = format!("{} is not where {} listens", seed.address, seed.host);
            fields.report(&format!("peers.seeds[{index}].address"), what);
        }
    }
}

pub(crate) fn check_seeds(fields: &mut Fields<'_>, seeds: &[Item<PeerSeed>]) {
    for (index, seed) in seeds.iter().enumerate() {
        let earlier = &seeds[..index];
        let other = earlier
            .iter()
            .find(|other| other.value.host == seed.value.host);
        if let Some(other) = other {
            let what = format!("{} is named by {} too", seed.value.host, other.path);
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
