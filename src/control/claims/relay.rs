//! Calls to the platform that a host asks a peer to make for it.
//!
//! A host that is cut off from the platform goes on claiming through a peer that is not. The reply
//! tells the same kinds of failure apart; a peer that was asked and gives no answer leaves the
//! effect of a write unknown.

use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::peer::PeerError;
use crate::peer::message::PlatformCall;
use crate::peer::message::PlatformReply;
use crate::units::ObjectVersion;

const DONE: u32 = 0;
const ABSENT: u32 = 1;
const CONFLICT: u32 = 2;
const REFUSED: u32 = 3;
const UNAVAILABLE: u32 = 4;
const UNKNOWN: u32 = 5;

/// A call that a peer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayedCall {
    /// Read an object.
    Get(ObjectKey),
    /// Write an object.
    Put {
        /// Which.
        key: ObjectKey,
        /// Its new value.
        value: serde_json::Value,
        /// What it must be before.
        expected: Precondition,
    },
}

/// A read as a message.
pub fn get_to(key: &ObjectKey) -> PlatformCall {
    PlatformCall {
        kind: key.kind.plural().to_owned(),
        name: key.name.clone(),
        value: None,
        expected_version: None,
    }
}

/// A write as a message.
pub fn put_to(key: &ObjectKey, value: &serde_json::Value, expected: Precondition) -> PlatformCall {
    PlatformCall {
        value: Some(value.to_string().into_bytes()),
        expected_version: match expected {
            Precondition::Absent => None,
            Precondition::Version(version) => Some(version.0),
        },
        ..get_to(key)
    }
}

/// A call out of a message. One that can't be read is refused, and nothing is done.
pub fn call_from(call: &PlatformCall) -> Result<RelayedCall, PlatformError> {
    let refused = |why: &str| PlatformError::Refused(why.to_owned());
    let kind = ObjectKind::from_plural(&call.kind).ok_or_else(|| refused("unknown kind"))?;
    let key = ObjectKey::new(kind, call.name.clone());
    let Some(bytes) = &call.value else {
        return Ok(RelayedCall::Get(key));
    };
    let value = serde_json::from_slice(bytes).map_err(|error| refused(&error.to_string()))?;
    let version = call.expected_version.map(ObjectVersion);
    let expected = version.map_or(Precondition::Absent, Precondition::Version);
    Ok(RelayedCall::Put {
        key,
        value,
        expected,
    })
}

/// What came of a read as a message.
pub fn got_to(result: &Result<Object, PlatformError>) -> PlatformReply {
    match result {
        Ok(object) => PlatformReply {
            status: DONE,
            why: String::new(),
            version: object.version.0,
            value: object.value.to_string().into_bytes(),
        },
        Err(error) => error_to(error),
    }
}

/// What came of a write as a message.
pub fn written_to(result: &Result<ObjectVersion, PlatformError>) -> PlatformReply {
    match result {
        Ok(version) => PlatformReply {
            status: DONE,
            version: version.0,
            ..Default::default()
        },
        Err(error) => error_to(error),
    }
}

fn error_to(error: &PlatformError) -> PlatformReply {
    let (status, why) = match error {
        PlatformError::NotFound => (ABSENT, ""),
        PlatformError::Conflict => (CONFLICT, ""),
        PlatformError::Refused(why) => (REFUSED, why.as_str()),
        PlatformError::Unavailable(why) => (UNAVAILABLE, why.as_str()),
        PlatformError::OutcomeUnknown(why) => (UNKNOWN, why.as_str()),
    };
    PlatformReply {
        status,
        why: why.to_owned(),
        ..Default::default()
    }
}

/// What came of a read, out of a message.
pub fn got_from(key: &ObjectKey, reply: &PlatformReply) -> Result<Object, PlatformError> {
    let version = written_from(reply)?;
    let value = serde_json::from_slice(&reply.value)
        .map_err(|error| PlatformError::OutcomeUnknown(error.to_string()))?;
    Ok(Object {
        key: key.clone(),
        version,
        value,
    })
}

/// What came of a write, out of a message.
pub fn written_from(reply: &PlatformReply) -> Result<ObjectVersion, PlatformError> {
    let why = reply.why.clone();
    match reply.status {
        DONE => Ok(ObjectVersion(reply.version)),
        ABSENT => Err(PlatformError::NotFound),
        CONFLICT => Err(PlatformError::Conflict),
        REFUSED => Err(PlatformError::Refused(why)),
        UNAVAILABLE => Err(PlatformError::Unavailable(why)),
        // A newer peer's word that this one does not know proves nothing.
        _ => Err(PlatformError::OutcomeUnknown(why)),
    }
}

/// What a call that a peer did not answer amounts to.
pub fn of_peer_error(error: &PeerError) -> PlatformError {
    let why = error.to_string();
    match error {
        PeerError::UnknownHost | PeerError::Unreachable(_) => PlatformError::Unavailable(why),
        PeerError::NoReply | PeerError::BadFrame(_) => PlatformError::OutcomeUnknown(why),
    }
}
