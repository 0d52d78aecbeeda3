//! Reads published manifests from the platform.

use std::time::Duration;

use futures_util::FutureExt;
use log::warn;
use serde::Deserialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::manifests::ManifestRead;
use crate::control::manifests::ManifestValidator;
use crate::control::manifests::watchers;
use crate::daemon::host::Host;
use crate::manifest::Manifest;
use crate::manifest::PublishedManifest;
use crate::objects::ObjectKind;
use crate::objects::ObjectList;
use crate::objects::PlatformError;
use crate::units::ObjectVersion;

/// The time limit of a watch. A watch is repeated at this interval even if nothing changed, so that
/// a connection that died silently is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a failure, and between checks of whether this host has become a watcher.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// Creates the check of published manifests: they must be valid and name this host's deployment.
pub(crate) fn validator(deployment: String) -> ManifestValidator {
    Box::new(move |text| {
        let manifest = Manifest::parse(text, "manifest").map_err(|errors| errors.to_string())?;
        if manifest.deployment == deployment {
            Ok(manifest)
        } else {
            Err(format!(
                "the manifest is for deployment {}",
                manifest.deployment
            ))
        }
    })
}

/// Feeds manifests from the platform to the manifest controller: continuously if this host is a
/// watcher of its failure domain, else once at the start and whenever the controller asks for them.
pub(crate) async fn run(host: std::sync::Arc<Host>) {
    let mut version = None;
    loop {
        let read = match version {
            Some(after) if is_watcher(&host) => watch(&host, after).await,
            Some(_) => wait_until_requested(&host).await,
            None => list(&host).await,
        };
        match read {
            Ok(next) => version = next,
            Err(err) => {
                warn!("manifests: {err}");
                version = None;
                sleep(POLL_PAUSE).await;
            }
        }
    }
}

/// Waits for published manifests that are newer than a version, and returns the version up to which
/// they have been read.
async fn watch(host: &Host, after: ObjectVersion) -> Result<Option<ObjectVersion>, PlatformError> {
    let changes = host
        .platform
        .watch(ObjectKind::Manifests, after, WATCH_TIMEOUT)
        .await?;
    if changes.items.is_empty() {
        host.manifests.on_platform_read(ManifestRead::Unchanged);
    }
    submit_manifests(host, &changes);
    Ok(Some(changes.version))
}

/// Waits until the controller asks for a read or this host becomes a watcher, but at most for
/// [`POLL_PAUSE`]. A host that does not watch receives new generations from peers.
///
/// Returns none if the manifests must be listed now. Any version means that no read is needed yet;
/// its value has no meaning.
async fn wait_until_requested(host: &Host) -> Result<Option<ObjectVersion>, PlatformError> {
    let is_requested = timeout(POLL_PAUSE, host.manifests.wait_for_read_request())
        .await
        .is_ok();
    let has_become_watcher = is_watcher(host);
    Ok(if is_requested || has_become_watcher {
        None
    } else {
        Some(ObjectVersion::default())
    })
}

/// Reads all published manifests, and returns the version of the list.
async fn list(host: &Host) -> Result<Option<ObjectVersion>, PlatformError> {
    // Clears a pending request of the controller, which this read answers.
    let _ = host.manifests.wait_for_read_request().now_or_never();
    let list = host.platform.list(ObjectKind::Manifests).await?;
    if list.items.is_empty() {
        host.manifests.on_platform_read(ManifestRead::Absent);
    }
    submit_manifests(host, &list);
    Ok(Some(list.version))
}

/// Whether this host is one of the watchers of its failure domain.
fn is_watcher(host: &Host) -> bool {
    let domain = &host.settings.failure_domain;
    let members = host.membership.members(domain);
    watchers(domain, &members).contains(&host.settings.host)
}

/// Passes manifests to the manifest controller. A manifest that cannot be decoded is skipped.
fn submit_manifests(host: &Host, list: &ObjectList) {
    for object in &list.items {
        match PublishedManifest::deserialize(&object.value) {
            Ok(published) => host
                .manifests
                .on_platform_read(ManifestRead::Published(published)),
            Err(err) => warn!("manifests: {} is invalid: {err}", object.key),
        }
    }
}
