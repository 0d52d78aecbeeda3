//! An object of the platform with injected faults.

use banyanarch::control::claims::ShardValue;
use banyanarch::objects::Object;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::ObjectVersion;

/// The fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The call succeeds.
    None,
    /// The call does not reach the platform.
    Unavailable,
    /// The call takes effect, but the answer is lost.
    AnswerLost,
    /// The call is delayed and gets no answer; a write takes effect when delayed writes are
    /// applied.
    Delayed,
}

/// An object with conditional writes.
#[derive(Debug, Default)]
pub(crate) struct FakeObject {
    pub(crate) version: u64,
    pub(crate) value: Option<ShardValue>,
    pub(crate) writes: u64,
    pub(crate) conflicts: u64,
    pub(crate) reads: u64,
    delayed_writes: Vec<(ShardValue, Precondition)>,
}

impl FakeObject {
    pub(crate) fn get(&mut self, fault: Fault) -> Result<Object, PlatformError> {
        match fault {
            Fault::None => (),
            Fault::Unavailable => return Err(PlatformError::Unavailable("down".to_owned())),
            _ => return Err(PlatformError::OutcomeUnknown("lost".to_owned())),
        }
        self.reads += 1;
        let value = self.value.as_ref().ok_or(PlatformError::NotFound)?;
        Ok(Object {
            key: ObjectKey::new(ObjectKind::Claims, "shard-00"),
            version: ObjectVersion(self.version),
            value: value.to_json().unwrap(),
        })
    }

    pub(crate) fn put(
        &mut self,
        value: ShardValue,
        expected: Precondition,
        fault: Fault,
    ) -> Result<ObjectVersion, PlatformError> {
        let lost = Err(PlatformError::OutcomeUnknown("lost".to_owned()));
        match fault {
            Fault::None => self.apply(value, expected),
            Fault::Unavailable => Err(PlatformError::Unavailable("down".to_owned())),
            Fault::AnswerLost => {
                let _ = self.apply(value, expected);
                lost
            }
            Fault::Delayed => {
                self.delayed_writes.push((value, expected));
                lost
            }
        }
    }

    /// Applies the delayed writes whose conditions the object still meets.
    pub(crate) fn apply_delayed(&mut self) {
        for (value, expected) in std::mem::take(&mut self.delayed_writes) {
            let _ = self.apply(value, expected);
        }
    }

    fn apply(
        &mut self,
        value: ShardValue,
        expected: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let is_met = match expected {
            Precondition::Absent => self.value.is_none(),
            Precondition::Version(version) => self.value.is_some() && version.0 == self.version,
        };
        if !is_met {
            self.conflicts += 1;
            return Err(PlatformError::Conflict);
        }
        self.writes += 1;
        self.version += 1;
        self.value = Some(value);
        Ok(ObjectVersion(self.version))
    }
}
