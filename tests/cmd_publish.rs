//! `banyanarch publish` and `diff`: what operators are told is true.

mod workdir;

use std::sync::Mutex;
use std::time::Duration;

use banyanarch::cmd::Exit;
use banyanarch::cmd::PublishVerdict;
use banyanarch::cmd::changes;
use banyanarch::cmd::publish;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::PublishedManifest;
use banyanarch::objects::Expected;
use banyanarch::objects::Kind;
use banyanarch::objects::Object;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectList;
use banyanarch::objects::Platform;
use banyanarch::objects::PlatformError;
use banyanarch::units::Generation;
use banyanarch::units::ObjectVersion;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::ready;
use yare::parameterized;

use workdir::WorkDir;

const MANIFEST: &str = include_str!("../examples/desai/manifest.yaml");
const PAUSES: [Duration; 4] = [Duration::ZERO; 4];

/// What happens to one write.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It takes effect and its answer is lost.
    LostAfter,
    /// It and its answer are lost.
    LostBefore,
    /// Its answer is lost, and it takes effect before the next write.
    Late,
    /// Another operator's write takes effect first.
    Overtaken,
    /// It takes effect, its answer is lost, and another operator publishes on top.
    Buried,
    /// The platform turns it away.
    TurnedAway,
}

/// One object, and the faults of the coming writes.
#[derive(Default)]
struct FakePlatform {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    held: Option<Object>,
    faults: Vec<Fault>,
    late: Option<(serde_json::Value, Expected)>,
    is_away: bool,
}

impl FakePlatform {
    fn holding(text: &str) -> Self {
        let platform = Self::default();
        let manifest = PublishedManifest::next_after(Generation(6), 1, text);
        let value = serde_json::to_value(manifest).unwrap();
        platform
            .state
            .lock()
            .unwrap()
            .write(value, Expected::Absent)
            .unwrap();
        platform
    }

    fn with_faults(self, faults: &[Fault]) -> Self {
        self.state.lock().unwrap().faults = faults.iter().rev().copied().collect();
        self
    }

    fn held(&self) -> PublishedManifest {
        let state = self.state.lock().unwrap();
        serde_json::from_value(state.held.as_ref().unwrap().value.clone()).unwrap()
    }
}

impl State {
    fn write(
        &mut self,
        value: serde_json::Value,
        expected: Expected,
    ) -> Result<ObjectVersion, PlatformError> {
        let version = self.held.as_ref().map(|object| object.version);
        let is_expected = match expected {
            Expected::Absent => version.is_none(),
            Expected::Version(wanted) => version == Some(wanted),
        };
        if !is_expected {
            return Err(PlatformError::Conflict);
        }
        let version = ObjectVersion(version.unwrap_or_default().0 + 1);
        self.held = Some(Object {
            key: ObjectKey::new(Kind::Manifests, "current"),
            version,
            value,
        });
        Ok(version)
    }

    fn write_by_another(&mut self) {
        let held = self.held.as_ref().unwrap();
        let generation: PublishedManifest = serde_json::from_value(held.value.clone()).unwrap();
        let theirs = PublishedManifest::next_after(generation.generation, 99, "theirs");
        let expected = Expected::Version(held.version);
        self.write(serde_json::to_value(theirs).unwrap(), expected)
            .unwrap();
    }

    fn put(
        &mut self,
        value: serde_json::Value,
        expected: Expected,
    ) -> Result<ObjectVersion, PlatformError> {
        if let Some((value, expected)) = self.late.take() {
            let _ = self.write(value, expected);
        }
        let lost = Err(PlatformError::Unknown("cut off".to_owned()));
        match self.faults.pop() {
            None => self.write(value, expected),
            Some(Fault::LostBefore) => lost,
            Some(Fault::LostAfter) => {
                let _ = self.write(value, expected);
                lost
            }
            Some(Fault::Late) => {
                self.late = Some((value, expected));
                lost
            }
            Some(Fault::Overtaken) => {
                self.write_by_another();
                self.write(value, expected)
            }
            Some(Fault::Buried) => {
                let _ = self.write(value, expected);
                self.write_by_another();
                lost
            }
            Some(Fault::TurnedAway) => Err(PlatformError::Unavailable("busy".to_owned())),
        }
    }
}

impl Platform for FakePlatform {
    fn get(&self, _: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        let state = self.state.lock().unwrap();
        let away = PlatformError::Unavailable("away".to_owned());
        let held = state.held.clone().ok_or(PlatformError::Absent);
        ready(if state.is_away { Err(away) } else { held }).boxed()
    }

    fn put(
        &self,
        _: ObjectKey,
        value: serde_json::Value,
        expected: Expected,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        ready(self.state.lock().unwrap().put(value, expected)).boxed()
    }

    fn list(&self, _: Kind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        ready(Ok(ObjectList::default())).boxed()
    }

    fn watch(
        &self,
        _: Kind,
        _: ObjectVersion,
        _: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        ready(Ok(ObjectList::default())).boxed()
    }
}

fn publish_to(platform: &FakePlatform, expect: Option<u64>) -> PublishVerdict {
    let work = publish(platform, MANIFEST, 42, expect.map(Generation), &PAUSES);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.unwrap().block_on(work).unwrap()
}

/// An operator publishes, and the platform takes the write or loses it, while its answer is lost, or
/// another operator publishes at the same moment. `accepted` must mean that the fleet gets this
/// manifest, and `refused` that it never does: an operator who is told the wrong one leaves the old
/// limits in force, or publishes on top of a colleague.
#[parameterized(
    plain = { &[], "accepted as generation 8", true },
    lost_after = { &[Fault::LostAfter], "accepted as generation 8", true },
    lost_before = { &[Fault::LostBefore], "accepted as generation 8", true },
    lost_twice = { &[Fault::LostBefore, Fault::LostAfter], "accepted as generation 8", true },
    late = { &[Fault::Late], "accepted as generation 8", true },
    overtaken = { &[Fault::Overtaken], "refused (another publish came first: generation 8", false },
    lost_then_overtaken = {
        &[Fault::LostBefore, Fault::Overtaken], "refused (another publish came first: generation 8", false
    },
    buried = { &[Fault::Buried], "unknown (a later publish is in force: generation 9", false },
    turned_away = { &[Fault::TurnedAway], "refused (busy; nothing was written)", false },
)]
fn a_publish_ends_in_the_truth(faults: &[Fault], told: &str, is_held: bool) {
    let platform = FakePlatform::holding("old").with_faults(faults);
    let verdict = publish_to(&platform, None);
    assert!(verdict.to_string().starts_with(told), "{verdict}");
    assert_eq!(platform.held().text == MANIFEST, is_held);
}

/// The platform takes every write's connection down and never says more.
#[test]
fn a_platform_that_stays_silent_leaves_it_unknown() {
    let platform = FakePlatform::holding("old").with_faults(&[Fault::LostBefore; 9]);
    let verdict = publish_to(&platform, None);
    assert!(matches!(verdict, PublishVerdict::Unknown(_)), "{verdict}");
    assert_eq!(verdict.exit().code(), 4);
    // The operator runs the command again when the platform is well.
    platform.state.lock().unwrap().faults.clear();
    assert_eq!(
        publish_to(&platform, None),
        PublishVerdict::Accepted(Generation(8))
    );
    // And once more: what is published already is not published twice.
    assert_eq!(
        publish_to(&platform, None),
        PublishVerdict::Accepted(Generation(8))
    );
}

#[test]
fn an_expected_generation_guards_against_overwriting() {
    let platform = FakePlatform::holding("old");
    assert_eq!(publish_to(&platform, Some(5)).exit(), Exit::Refused);
    assert_eq!(platform.held().text, "old");
    assert_eq!(publish_to(&platform, Some(7)).exit(), Exit::Done);
    let empty = FakePlatform::default();
    assert_eq!(
        publish_to(&empty, Some(0)),
        PublishVerdict::Accepted(Generation(1))
    );
}

/// An operator of two deployments mixes up the addresses. The hosts would refuse the other
/// deployment's manifest, and new hosts would find none that they can take.
#[test]
fn a_manifest_of_another_deployment_is_refused() {
    let theirs = include_str!("../examples/acornleaf/manifest.yaml");
    let platform = FakePlatform::holding(theirs);
    let verdict = publish_to(&platform, None);
    assert!(
        verdict.to_string().contains("deployment acornleaf"),
        "{verdict}"
    );
    assert_eq!(platform.held().text, theirs);
}

#[test]
fn a_platform_that_is_away_is_told_apart_from_a_refusal() {
    let platform = FakePlatform::holding("old");
    platform.state.lock().unwrap().is_away = true;
    assert_eq!(publish_to(&platform, None).exit(), Exit::Unreachable);
}

#[test]
fn a_wrong_manifest_never_leaves() {
    let dir = WorkDir::new();
    dir.file("m.yaml", &MANIFEST.replace("rank: 2", "rank: 1"));
    // Nothing listens there; a call would end with 3.
    let ran = dir.run(&["publish", "m.yaml", "--platform", "127.0.0.1:1"]);
    assert_eq!((ran.code, ran.stdout.as_str()), (2, ""));
    assert!(ran.stderr.contains("priorities[2].rank"), "{ran:?}");
}

#[test]
fn a_diff_names_what_changes_whatever_the_order() {
    let old = Manifest::parse(MANIFEST, "old").unwrap();
    let mut new = old.clone();
    new.customers.reverse();
    assert_eq!(changes(&old, &new).unwrap(), Vec::<String>::new());
    new.customers
        .retain(|customer| customer.name.as_str() != "manek-music");
    new.models[0].version = "2026.12".to_owned();
    new.limits.deadline_max_ms = 7;
    new.priorities[0].name = "first".to_owned();
    assert_eq!(
        changes(&old, &new).unwrap(),
        [
            "- customers.manek-music",
            "~ limits.deadline_max_ms: 3600000 -> 7",
            "~ models.geet-model.version: 2026.11 -> 2026.12",
            "- priorities.lookup",
            "+ priorities.first: {\"name\":\"first\",\"rank\":0}",
        ]
    );
}
