//! Reads the manifest from the platform.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use tokio::time::sleep;

use crate::board::Board;
use crate::manifest::InForce;
use crate::manifest::Manifest;
use crate::platform::Kind;
use crate::platform::Object;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::units::ContentHash;
use crate::units::Generation;
use crate::units::ObjectVersion;

const WATCH_WAIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct ManifestSpec {
    generation: Generation,
    text: String,
}

/// Keeps the manifest on the board up with the platform.
pub(crate) async fn keep(board: Arc<Board>, platform: Arc<dyn Platform>, deployment: String) {
    loop {
        if let Err(err) = follow(&board, &*platform, &deployment).await {
            warn!("manifests: {err}");
        }
        sleep(PAUSE).await;
    }
}

async fn follow(
    board: &Board,
    platform: &dyn Platform,
    deployment: &str,
) -> Result<(), PlatformError> {
    let list = platform.list(Kind::Manifests).await?;
    take_in_all(board, &list.items, deployment);
    let mut version: ObjectVersion = list.version;
    loop {
        let changes = platform.watch(Kind::Manifests, version, WATCH_WAIT).await?;
        take_in_all(board, &changes.items, deployment);
        version = changes.version;
    }
}

fn take_in_all(board: &Board, objects: &[Object], deployment: &str) {
    for object in objects {
        if let Err(why) = take_in(board, object, deployment) {
            warn!("manifests: {} is not taken: {why}", object.key);
        }
    }
}

fn take_in(board: &Board, object: &Object, deployment: &str) -> Result<(), String> {
    let spec = ManifestSpec::deserialize(&object.value).map_err(|err| err.to_string())?;
    let manifest = Manifest::parse(&spec.text, "manifest").map_err(|err| err.to_string())?;
    if manifest.deployment != deployment {
        return Err(format!("it is for deployment {}", manifest.deployment));
    }
    let hash = ContentHash::of(spec.text.as_bytes());
    let generation = spec.generation;
    if board.advance_manifest(InForce {
        generation,
        hash,
        manifest,
    }) {
        info!("manifests: generation {generation} is in force");
    }
    Ok(())
}
