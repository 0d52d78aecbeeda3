//! Publishing a manifest by one conditional update, truthfully.
//!
//! Of two operators at once one wins, since both writes expect the same version; the other is told
//! whose generation it met. A write whose answer was lost may have taken effect, or may yet: it is
//! told apart by reading the publish id back, and brought to an end by writing the same again. A
//! second identical write under the same expected version is harmless: at most one of the two can
//! take effect, and both say the same.

use std::time::Duration;

use crate::cmd::CmdError;
use crate::cmd::PublishVerdict;
use crate::cmd::remote::published;
use crate::manifest::MANIFEST_OBJECT_NAME;
use crate::manifest::Manifest;
use crate::manifest::PublishedManifest;
use crate::objects::Expected;
use crate::objects::Kind;
use crate::objects::ObjectKey;
use crate::objects::Platform;
use crate::objects::PlatformError;
use crate::units::Generation;
use crate::units::ObjectVersion;

/// The manifest that the platform holds, with its object's version.
type Current = Option<(PublishedManifest, ObjectVersion)>;

/// A write that is being made.
struct Write {
    mine: PublishedManifest,
    expected: Expected,
}

/// What to do after reading.
enum Next {
    Write(Write),
    Tell(PublishVerdict),
}

/// Publishes a checked text. `expect` is the generation that it is meant to follow, if the operator
/// named one. After a lost answer, each of `pauses` is one more try to learn what became of it.
pub async fn publish(
    platform: &dyn Platform,
    text: &str,
    publish_id: u128,
    expect: Option<Generation>,
    pauses: &[Duration],
) -> Result<PublishVerdict, CmdError> {
    let current = match published(platform).await {
        Ok(current) => current,
        Err(CmdError::Platform(PlatformError::Refused(why))) => {
            return Ok(PublishVerdict::Refused(why));
        }
        Err(CmdError::Platform(error)) => {
            return Ok(PublishVerdict::Unreachable(error.to_string()));
        }
        Err(error) => return Err(error),
    };
    let write = match plan(&current, text, publish_id, expect) {
        Next::Write(write) => write,
        Next::Tell(verdict) => return Ok(verdict),
    };
    match put(platform, &write).await? {
        Ok(_) => Ok(PublishVerdict::Accepted(write.mine.generation)),
        Err(PlatformError::Conflict | PlatformError::Absent) => Ok(met(platform, &write).await),
        Err(PlatformError::Refused(why)) => Ok(PublishVerdict::Refused(why)),
        Err(PlatformError::Unavailable(why)) => Ok(PublishVerdict::Unreachable(why)),
        Err(PlatformError::Unknown(why)) => settle(platform, &write, why, pauses).await,
    }
}

fn plan(current: &Current, text: &str, publish_id: u128, expect: Option<Generation>) -> Next {
    let (generation, expected) = match current {
        Some((held, version)) => (held.generation, Expected::Version(*version)),
        None => (Generation::default(), Expected::Absent),
    };
    if expect.is_some_and(|expect| expect != generation) {
        let why = format!("generation {generation} is published");
        return Next::Tell(PublishVerdict::Refused(why));
    }
    let held_text = current.as_ref().map(|(held, _)| held.text.as_str());
    if let Some(other) = held_text.and_then(|held| other_deployment(held, text)) {
        let why = format!("this platform holds the manifest of deployment {other}");
        return Next::Tell(PublishVerdict::Refused(why));
    }
    if held_text == Some(text) {
        return Next::Tell(PublishVerdict::Accepted(generation));
    }
    Next::Write(Write {
        mine: PublishedManifest::next_after(generation, publish_id, text),
        expected,
    })
}

/// The deployment of the held manifest, if it is not that of the new one. Hosts would refuse the new
/// one and be left without a manifest that they can take.
fn other_deployment(held: &str, new: &str) -> Option<String> {
    let deployment = |text| {
        Manifest::parse(text, "")
            .ok()
            .map(|manifest| manifest.deployment)
    };
    let held = deployment(held)?;
    (Some(&held) != deployment(new).as_ref()).then_some(held)
}

async fn put(
    platform: &dyn Platform,
    write: &Write,
) -> Result<Result<ObjectVersion, PlatformError>, CmdError> {
    let key = ObjectKey::new(Kind::Manifests, MANIFEST_OBJECT_NAME);
    let value = serde_json::to_value(&write.mine)?;
    Ok(platform.put(key, value, write.expected).await)
}

/// Whose generation a refused write met, as far as the platform says.
async fn met(platform: &dyn Platform, write: &Write) -> PublishVerdict {
    match published(platform).await {
        Ok(Some((held, _))) => match judge_held(&held, &write.mine) {
            // It was this write that was refused, so ours never was in force.
            PublishVerdict::Unknown(why) => PublishVerdict::Refused(why),
            verdict => verdict,
        },
        _ => PublishVerdict::Refused("another publish came first".to_owned()),
    }
}

/// Finds out what became of a write whose answer was lost.
async fn settle(
    platform: &dyn Platform,
    write: &Write,
    mut why: String,
    pauses: &[Duration],
) -> Result<PublishVerdict, CmdError> {
    for pause in pauses {
        tokio::time::sleep(*pause).await;
        let current = match published(platform).await {
            Ok(current) => current,
            Err(error) => {
                why = error.to_string();
                continue;
            }
        };
        if let Some(verdict) = judge(current, write) {
            return Ok(verdict);
        }
        match put(platform, write).await? {
            Ok(_) => return Ok(PublishVerdict::Accepted(write.mine.generation)),
            // The first write may have come through between the read and this: read again.
            Err(error) => why = error.to_string(),
        }
    }
    Ok(PublishVerdict::Unknown(why))
}

/// What the held manifest says of a write whose answer was lost; none while the write may still
/// take effect.
fn judge(current: Current, write: &Write) -> Option<PublishVerdict> {
    let (held, version) = current?;
    let is_unchanged = write.expected == Expected::Version(version);
    (!is_unchanged).then(|| judge_held(&held, &write.mine))
}

/// What a manifest that was written since says of ours.
fn judge_held(held: &PublishedManifest, mine: &PublishedManifest) -> PublishVerdict {
    // Two operators may publish the same file, and an earlier run's write may come through late.
    if held.publish_id == mine.publish_id || held.text == mine.text {
        return PublishVerdict::Accepted(held.generation);
    }
    let whose = format!(
        "generation {}, publish id {}",
        held.generation, held.publish_id
    );
    if held.generation > mine.generation {
        // Ours may have been in force for a moment before.
        return PublishVerdict::Unknown(format!("a later publish is in force: {whose}"));
    }
    PublishVerdict::Refused(format!("another publish came first: {whose}"))
}
