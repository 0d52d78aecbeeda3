//! Tests of `banyanarch publish` and of the differences between manifests.

mod workdir;

use std::sync::Mutex;
use std::time::Duration;

use banyanarch::cmd::ExitStatus;
use banyanarch::cmd::PublishOutcome;
use banyanarch::cmd::diff_manifests;
use banyanarch::cmd::publish_manifest;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::PublishedManifest;
use banyanarch::objects::Object;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::ObjectList;
use banyanarch::objects::PlatformClient;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::Generation;
use banyanarch::units::ObjectVersion;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::ready;
use yare::parameterized;

use workdir::WorkDir;

const MANIFEST: &str = include_str!("../examples/desai/manifest.yaml");
const RETRY_PAUSES: [Duration; 4] = [Duration::ZERO; 4];

/// A fault of one write.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write never takes effect and its answer is lost.
    WriteLost,
    /// The answer is lost, and the write takes effect just before the next one.
    AppliedLate,
    /// The write of another operator takes effect first.
    PrecededByAnother,
    /// The write takes effect, its answer is lost, and another operator publishes after it.
    FollowedByAnother,
    /// The platform refuses the write for now.
    Unavailable,
}

/// A platform with one object and with faults for the next writes.
#[derive(Default)]
struct FakePlatform {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    object: Option<Object>,
    faults: Vec<Fault>,
    late_write: Option<(serde_json::Value, Precondition)>,
    is_unreachable: bool,
}

impl FakePlatform {
    fn with_manifest(text: &str) -> Self {
        let platform = Self::default();
        let manifest = PublishedManifest::next_after(Generation(6), 1, text);
        let value = serde_json::to_value(manifest).unwrap();
        platform
            .state
            .lock()
            .unwrap()
            .write(value, Precondition::Absent)
            .unwrap();
        platform
    }

    fn with_faults(self, faults: &[Fault]) -> Self {
        self.state.lock().unwrap().faults = faults.iter().rev().copied().collect();
        self
    }

    fn published(&self) -> PublishedManifest {
        let state = self.state.lock().unwrap();
        serde_json::from_value(state.object.as_ref().unwrap().value.clone()).unwrap()
    }
}

impl State {
    fn write(
        &mut self,
        value: serde_json::Value,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let version = self.object.as_ref().map(|object| object.version);
        let is_expected = match expected {
            Precondition::Absent => version.is_none(),
            Precondition::Version(wanted) => version == Some(wanted),
        };
        if !is_expected {
            return Err(PlatformError::Conflict);
        }
        let version = ObjectVersion(version.unwrap_or_default().0 + 1);
        self.object = Some(Object {
            key: ObjectKey::new(ObjectKind::Manifests, "current"),
            version,
            value,
        });
        Ok(version)
    }

    fn write_by_another(&mut self) {
        let object = self.object.as_ref().unwrap();
        let published: PublishedManifest = serde_json::from_value(object.value.clone()).unwrap();
        let theirs = PublishedManifest::next_after(published.generation, 99, "theirs");
        let expected = Precondition::Version(object.version);
        self.write(serde_json::to_value(theirs).unwrap(), expected)
            .unwrap();
    }

    fn put(
        &mut self,
        value: serde_json::Value,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        if let Some((value, expected)) = self.late_write.take() {
            let _ = self.write(value, expected);
        }
        let no_answer = Err(PlatformError::OutcomeUnknown(
            "connection closed".to_owned(),
        ));
        match self.faults.pop() {
            None => self.write(value, expected),
            Some(Fault::WriteLost) => no_answer,
            Some(Fault::AnswerLost) => {
                let _ = self.write(value, expected);
                no_answer
            }
            Some(Fault::AppliedLate) => {
                self.late_write = Some((value, expected));
                no_answer
            }
            Some(Fault::PrecededByAnother) => {
                self.write_by_another();
                self.write(value, expected)
            }
            Some(Fault::FollowedByAnother) => {
                let _ = self.write(value, expected);
                self.write_by_another();
                no_answer
            }
            Some(Fault::Unavailable) => Err(PlatformError::Unavailable("busy".to_owned())),
        }
    }
}

impl PlatformClient for FakePlatform {
    fn get(&self, _: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        let state = self.state.lock().unwrap();
        let unreachable = PlatformError::Unavailable("unreachable".to_owned());
        let object = state.object.clone().ok_or(PlatformError::NotFound);
        ready(if state.is_unreachable {
            Err(unreachable)
        } else {
            object
        })
        .boxed()
    }

    fn put(
        &self,
        _: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        ready(self.state.lock().unwrap().put(value, expected)).boxed()
    }

    fn list(&self, _: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        ready(Ok(ObjectList::default())).boxed()
    }

    fn watch(
        &self,
        _: ObjectKind,
        _: ObjectVersion,
        _: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        ready(Ok(ObjectList::default())).boxed()
    }
}

fn publish_to(platform: &FakePlatform, expect: Option<u64>) -> PublishOutcome {
    let work = publish_manifest(
        platform,
        MANIFEST,
        42,
        expect.map(Generation),
        &RETRY_PAUSES,
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.unwrap().block_on(work).unwrap()
}

/// Guards against a wrong result when the platform loses a write or its answer, or when another
/// operator publishes at the same time. `accepted` must mean that the manifest was published, and
/// `refused` that it never will be. An operator who sees a wrong result leaves the old limits in force,
/// or overwrites the manifest of another operator.
#[parameterized(
    no_fault = { &[], "accepted as generation 8", true },
    answer_lost = { &[Fault::AnswerLost], "accepted as generation 8", true },
    write_lost = { &[Fault::WriteLost], "accepted as generation 8", true },
    write_lost_then_answer_lost = { &[Fault::WriteLost, Fault::AnswerLost], "accepted as generation 8", true },
    applied_late = { &[Fault::AppliedLate], "accepted as generation 8", true },
    preceded_by_another = { &[Fault::PrecededByAnother], "refused (another publish came first: generation 8", false },
    write_lost_then_preceded_by_another = {
        &[Fault::WriteLost, Fault::PrecededByAnother], "refused (another publish came first: generation 8", false
    },
    followed_by_another = { &[Fault::FollowedByAnother], "unknown (a later publish is in force: generation 9", false },
    unavailable = { &[Fault::Unavailable], "refused (busy; nothing was written)", false },
)]
fn the_reported_outcome_is_what_happened(faults: &[Fault], expected: &str, is_published: bool) {
    let platform = FakePlatform::with_manifest("old").with_faults(faults);
    let outcome = publish_to(&platform, None);
    assert!(outcome.to_string().starts_with(expected), "{outcome}");
    assert_eq!(platform.published().text == MANIFEST, is_published);
}

/// The platform closes the connection of every write without an answer.
#[test]
fn the_outcome_is_unknown_if_the_platform_never_answers() {
    let platform = FakePlatform::with_manifest("old").with_faults(&[Fault::WriteLost; 9]);
    let outcome = publish_to(&platform, None);
    assert!(matches!(outcome, PublishOutcome::Unknown(_)), "{outcome}");
    assert_eq!(outcome.exit_status().code(), 4);
    // The operator runs the command again when the platform has recovered.
    platform.state.lock().unwrap().faults.clear();
    assert_eq!(
        publish_to(&platform, None),
        PublishOutcome::Accepted(Generation(8))
    );
    // A third run does not publish the manifest a second time.
    assert_eq!(
        publish_to(&platform, None),
        PublishOutcome::Accepted(Generation(8))
    );
}

#[test]
fn an_expected_generation_guards_against_overwriting() {
    let platform = FakePlatform::with_manifest("old");
    assert_eq!(
        publish_to(&platform, Some(5)).exit_status(),
        ExitStatus::Negative
    );
    assert_eq!(platform.published().text, "old");
    assert_eq!(
        publish_to(&platform, Some(7)).exit_status(),
        ExitStatus::Success
    );
    let empty = FakePlatform::default();
    assert_eq!(
        publish_to(&empty, Some(0)),
        PublishOutcome::Accepted(Generation(1))
    );
}

/// An operator of two deployments confuses their platforms. Hosts would refuse the manifest of the
/// other deployment, and new hosts would have no manifest that they accept.
#[test]
fn a_manifest_of_another_deployment_is_refused() {
    let theirs = include_str!("../examples/acornleaf/manifest.yaml");
    let platform = FakePlatform::with_manifest(theirs);
    let outcome = publish_to(&platform, None);
    assert!(
        outcome.to_string().contains("deployment acornleaf"),
        "{outcome}"
    );
    assert_eq!(platform.published().text, theirs);
}

#[test]
fn an_unreachable_platform_is_distinguished_from_a_refusal() {
    let platform = FakePlatform::with_manifest("old");
    platform.state.lock().unwrap().is_unreachable = true;
    assert_eq!(
        publish_to(&platform, None).exit_status(),
        ExitStatus::Unreachable
    );
}

#[test]
fn an_invalid_manifest_is_not_sent() {
    let dir = WorkDir::new();
    dir.write_file("m.yaml", &MANIFEST.replace("rank: 2", "rank: 1"));
    // Nothing listens on this port, so a call to the platform would end with exit code 3.
    let output = dir.run(&["publish", "m.yaml", "--platform", "127.0.0.1:1"]);
    assert_eq!((output.code, output.stdout.as_str()), (2, ""));
    assert!(output.stderr.contains("priorities[2].rank"), "{output:?}");
}

#[test]
fn a_diff_lists_changes_and_ignores_the_order() {
    let old = Manifest::parse(MANIFEST, "old").unwrap();
    let mut new = old.clone();
    new.customers.reverse();
    assert_eq!(diff_manifests(&old, &new).unwrap(), Vec::<String>::new());
    new.customers
        .retain(|customer| customer.name.as_str() != "manek-music");
    new.models[0].version = "2026.12".to_owned();
    new.limits.deadline_max_ms = 7;
    new.priorities[0].name = "first".to_owned();
    assert_eq!(
        diff_manifests(&old, &new).unwrap(),
        [
            "- customers.manek-music",
            "~ limits.deadline_max_ms: 3600000 -> 7",
            "~ models.geet-model.version: 2026.11 -> 2026.12",
            "- priorities.lookup",
            "+ priorities.first: {\"name\":\"first\",\"rank\":0}",
        ]
    );
}
