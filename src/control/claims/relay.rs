//! Calls to the platform that a host asks a peer to make for it.
//!
//! A host that is cut off from the platform goes on claiming through a peer that is not. The reply
//! tells the same kinds of failure apart; a peer that was asked and gives no answer leaves the
//! effect of a write unknown.

use crate::objects::Expected;
use crate::objects::Kind;
use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::PlatformError;
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
        expected: Expected,
    },
}

/// A read as a message.
pub fn encode_get(key: &ObjectKey) -> PlatformCall {
    PlatformCall {
        kind: key.kind.plural().to_owned(),
        name: key.name.clone(),
        value: None,
        expected_version: None,
    }
}

/// A write as a message.
pub fn encode_put(key: &ObjectKey, value: &serde_json::Value, expected: Expected) -> PlatformCall {
    PlatformCall {
        value: Some(value.to_string().into_bytes()),
        expected_version: match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version.0),
        },
        ..encode_get(key)
    }
}

/// A call out of a message. One that can't be read is refused, and nothing is done.
pub fn decode_call(call: &PlatformCall) -> Result<RelayedCall, PlatformError> {
    let refused = |why: &str| PlatformError::Refused(why.to_owned());
    let kind = Kind::from_plural(&call.kind).ok_or_else(|| refused("unknown kind"))?;
    let key = ObjectKey::new(kind, call.name.clone());
    let Some(bytes) = &call.value else {
        return Ok(RelayedCall::Get(key));
    };
    let value = serde_json::from_slice(bytes).map_err(|error| refused(&error.to_string()))?;
    let version = call.expected_version.map(ObjectVersion);
    let expected = version.map_or(Expected::Absent, Expected::Version);
    Ok(RelayedCall::Put {
        key,
        value,
        expected,
    })
}

/// What came of a read as a message.
pub fn encode_get_result(result: &Result<Object, PlatformError>) -> PlatformReply {
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
pub fn encode_put_result(result: &Result<ObjectVersion, PlatformError>) -> PlatformReply {
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
        PlatformError::Absent => (ABSENT, ""),
        PlatformError::Conflict => (CONFLICT, ""),
        PlatformError::Refused(why) => (REFUSED, why.as_str()),
        PlatformError::Unavailable(why) => (UNAVAILABLE, why.as_str()),
        PlatformError::Unknown(why) => (UNKNOWN, why.as_str()),
    };
    PlatformReply {
        status,
        why: why.to_owned(),
        ..Default::default()
    }
}

/// What came of a read, out of a message.
pub fn decode_get_result(key: &ObjectKey, reply: &PlatformReply) -> Result<Object, PlatformError> {
    let version = decode_put_result(reply)?;
    let value = serde_json::from_slice(&reply.value)
        .map_err(|error| PlatformError::Unknown(error.to_string()))?;
    Ok(Object {
        key: key.clone(),
        version,
        value,
    })
}

/// What came of a write, out of a message.
pub fn decode_put_result(reply: &PlatformReply) -> Result<ObjectVersion, PlatformError> {
    let why = reply.why.clone();
    match reply.status {
        DONE => Ok(ObjectVersion(reply.version)),
        ABSENT => Err(PlatformError::Absent),
        CONFLICT => Err(PlatformError::Conflict),
        REFUSED => Err(PlatformError::Refused(why)),
        UNAVAILABLE => Err(PlatformError::Unavailable(why)),
        // A newer peer's word that this one does not know proves nothing.
        _ => Err(PlatformError::Unknown(why)),
    }
}

/// What a call that a peer did not answer amounts to.
pub fn map_peer_error(error: &PeerError) -> PlatformError {
    let why = error.to_string();
    match error {
        PeerError::UnknownHost | PeerError::Unreachable(_) => PlatformError::Unavailable(why),
        PeerError::NoAnswer | PeerError::BadFrame(_) => PlatformError::Unknown(why),
    }
}
