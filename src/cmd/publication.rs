//! Publishes a manifest by a conditional update and reports what came of it.
//!
//! If two operators publish at once, both writes expect the same object version, so only one takes
//! effect. The other operator gets the generation that was published first. A write whose answer
//! was lost may have taken effect, or may still do so. To find out, the publisher reads the publish
//! id back and repeats the same write. Repeating a write with the same expected version is safe: at
//! most one of the two writes can take effect, and their contents are equal.

use std::time::Duration;

use crate::cmd::CmdError;
use crate::cmd::PublishOutcome;
use crate::cmd::remote::fetch_published;
use crate::manifest::MANIFEST_OBJECT_NAME;
use crate::manifest::Manifest;
use crate::manifest::PublishedManifest;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformClient;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::Generation;
use crate::units::ObjectVersion;

/// The published manifest and the version of its object; none if nothing is published.
type Published = Option<(PublishedManifest, ObjectVersion)>;

/// A conditional write of a manifest.
struct ManifestWrite {
    manifest: PublishedManifest,
    /// The state that the object must have for the write to take effect.
    expected: Precondition,
}

/// The next step after the published manifest was read.
enum PublishStep {
    /// Writes the manifest.
    Write(ManifestWrite),
    /// Returns this outcome without a write.
    Finish(PublishOutcome),
}

/// Publishes the text of a validated manifest. A text that is already published is accepted without
/// a write. `publish_id` must be unique, since it identifies this write in the published manifest.
/// `expect` is the generation that must be published now, 0 for none; without it, any may be. If
/// the answer to the write is lost, each of `pauses` is followed by one more read, and by one more
/// write if the object is unchanged. An error is returned only if a manifest cannot be encoded or
/// decoded.
pub async fn publish_manifest(
    platform: &dyn PlatformClient,
    text: &str,
    publish_id: u128,
    expect: Option<Generation>,
    pauses: &[Duration],
) -> Result<PublishOutcome, CmdError> {
    let published = match fetch_published(platform).await {
        Ok(published) => published,
        Err(CmdError::Platform(PlatformError::Refused(reason))) => {
            return Ok(PublishOutcome::Refused(reason));
        }
        Err(CmdError::Platform(error)) => {
            return Ok(PublishOutcome::Unreachable(error.to_string()));
        }
        Err(error) => return Err(error),
    };
    let write = match plan_publish(&published, text, publish_id, expect) {
        PublishStep::Write(write) => write,
        PublishStep::Finish(outcome) => return Ok(outcome),
    };
    match put_manifest(platform, &write).await? {
        Ok(_) => Ok(PublishOutcome::Accepted(write.manifest.generation)),
        Err(PlatformError::Conflict | PlatformError::NotFound) => {
            Ok(conflict_outcome(platform, &write).await)
        }
        Err(PlatformError::Refused(reason)) => Ok(PublishOutcome::Refused(reason)),
        Err(PlatformError::Unavailable(reason)) => Ok(PublishOutcome::Unreachable(reason)),
        Err(PlatformError::OutcomeUnknown(error)) => {
            resolve_unanswered(platform, &write, error, pauses).await
        }
    }
}

/// Decides whether a manifest is written. Without a write the outcome is already known: refused if
/// another generation than `expect` or the manifest of another deployment is published, accepted if
/// the same text is published.
fn plan_publish(
    published: &Published,
    text: &str,
    publish_id: u128,
    expect: Option<Generation>,
) -> PublishStep {
    let (generation, expected) = match published {
        Some((manifest, version)) => (manifest.generation, Precondition::Version(*version)),
        None => (Generation::default(), Precondition::Absent),
    };
    if expect.is_some_and(|expect| expect != generation) {
        let reason = format!("generation {generation} is published");
        return PublishStep::Finish(PublishOutcome::Refused(reason));
    }
    let published_text = published
        .as_ref()
        .map(|(manifest, _)| manifest.text.as_str());
    if let Some(other) = published_text.and_then(|old_text| other_deployment(old_text, text)) {
        let reason = format!("this platform holds the manifest of deployment {other}");
        return PublishStep::Finish(PublishOutcome::Refused(reason));
    }
    if published_text == Some(text) {
        return PublishStep::Finish(PublishOutcome::Accepted(generation));
    }
    PublishStep::Write(ManifestWrite {
        manifest: PublishedManifest::next_after(generation, publish_id, text),
        expected,
    })
}

/// The deployment of the published manifest if the new manifest has a different one; none if both
/// have the same one, or if the published manifest cannot be parsed. The hosts of the published
/// deployment would refuse the new manifest, and new hosts would have no manifest that they accept.
fn other_deployment(published: &str, new: &str) -> Option<String> {
    let deployment = |text| {
        Manifest::parse(text, "")
            .ok()
            .map(|manifest| manifest.deployment)
    };
    let published = deployment(published)?;
    (Some(&published) != deployment(new).as_ref()).then_some(published)
}

/// Writes the manifest once. The inner result is the answer of the platform; the outer one is an
/// error if the manifest cannot be encoded.
async fn put_manifest(
    platform: &dyn PlatformClient,
    write: &ManifestWrite,
) -> Result<Result<ObjectVersion, PlatformError>, CmdError> {
    let key = ObjectKey::new(ObjectKind::Manifests, MANIFEST_OBJECT_NAME);
    let value = serde_json::to_value(&write.manifest)?;
    Ok(platform.put(key, value, write.expected).await)
}

/// The outcome of a write that the platform answered with a conflict. Names the generation that was
/// published instead, if the platform can be read.
async fn conflict_outcome(platform: &dyn PlatformClient, write: &ManifestWrite) -> PublishOutcome {
    match fetch_published(platform).await {
        Ok(Some((published, _))) => match outcome_by_manifest(&published, &write.manifest) {
            // The platform refused this write, so the manifest was never published.
            PublishOutcome::Unknown(reason) => PublishOutcome::Refused(reason),
            outcome => outcome,
        },
        _ => PublishOutcome::Refused("another publish came first".to_owned()),
    }
}

/// Finds out whether a write whose answer was lost took effect, and repeats the write if the object
/// is unchanged. The outcome is unknown if no attempt gives a result; `last_error` is the error of
/// the first write.
async fn resolve_unanswered(
    platform: &dyn PlatformClient,
    write: &ManifestWrite,
    mut last_error: String,
    pauses: &[Duration],
) -> Result<PublishOutcome, CmdError> {
    for pause in pauses {
        tokio::time::sleep(*pause).await;
        let published = match fetch_published(platform).await {
            Ok(published) => published,
            Err(error) => {
                last_error = error.to_string();
                continue;
            }
        };
        if let Some(outcome) = unanswered_outcome(published, write) {
            return Ok(outcome);
        }
        match put_manifest(platform, write).await? {
            Ok(_) => return Ok(PublishOutcome::Accepted(write.manifest.generation)),
            // The first write may have taken effect after the read, so the object is read again.
            Err(error) => last_error = error.to_string(),
        }
    }
    Ok(PublishOutcome::Unknown(last_error))
}

/// The outcome of a write whose answer was lost, by the manifest that is published now; none if the
/// object is unchanged or absent, since the write may still take effect.
fn unanswered_outcome(published: Published, write: &ManifestWrite) -> Option<PublishOutcome> {
    let (manifest, version) = published?;
    let is_unchanged = write.expected == Precondition::Version(version);
    (!is_unchanged).then(|| outcome_by_manifest(&manifest, &write.manifest))
}

/// The outcome of a write of `own`, by a manifest that was published after its preceding read.
fn outcome_by_manifest(published: &PublishedManifest, own: &PublishedManifest) -> PublishOutcome {
    // Equal texts have different publish ids if two operators publish the same file, or if a write
    // of an earlier run of the tool takes effect late.
    if published.publish_id == own.publish_id || published.text == own.text {
        return PublishOutcome::Accepted(published.generation);
    }
    let description = format!(
        "generation {}, publish id {}",
        published.generation, published.publish_id
    );
    if published.generation > own.generation {
        // The own manifest may have been published before the later one.
        return PublishOutcome::Unknown(format!("a later publish is in force: {description}"));
    }
    PublishOutcome::Refused(format!("another publish came first: {description}"))
}
