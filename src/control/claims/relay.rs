//! Encoding and decoding of calls to the platform that a peer makes for a host.
//!
//! A host that cannot reach the platform records claims through a peer that can. The reply keeps
//! the kinds of failure apart; if the peer does not answer, the effect of a write is unknown.

use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::peer::PeerError;
use crate::peer::message::PlatformCall;
use crate::peer::message::PlatformReply;
use crate::units::ObjectVersion;

// The status codes of a reply. Hosts of different versions exchange them, so they must not change.
const STATUS_DONE: u32 = 0;
const STATUS_ABSENT: u32 = 1;
const STATUS_CONFLICT: u32 = 2;
const STATUS_REFUSED: u32 = 3;
const STATUS_UNAVAILABLE: u32 = 4;
const STATUS_UNKNOWN: u32 = 5;

/// A call to the platform that a host makes for a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayedCall {
    /// Read an object.
    Get(ObjectKey),
    /// Write an object.
    Put {
        /// The key of the object.
        key: ObjectKey,
        /// The new value of the object.
        value: serde_json::Value,
        /// The condition on the current state of the object.
        expected: Precondition,
    },
}

/// Encodes a read.
pub fn encode_get(key: &ObjectKey) -> PlatformCall {
    PlatformCall {
        kind: key.kind.plural().to_owned(),
        name: key.name.clone(),
        value: None,
        expected_version: None,
    }
}

/// Encodes a write.
pub fn encode_put(
    key: &ObjectKey,
    value: &serde_json::Value,
    expected: Precondition,
) -> PlatformCall {
    PlatformCall {
        value: Some(value.to_string().into_bytes()),
        expected_version: match expected {
            Precondition::Absent => None,
            Precondition::Version(version) => Some(version.0),
        },
        ..encode_get(key)
    }
}

/// Decodes a call. An invalid call is refused and has no effect.
pub fn decode_call(call: &PlatformCall) -> Result<RelayedCall, PlatformError> {
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

/// Encodes the result of a read.
pub fn encode_get_result(result: &Result<Object, PlatformError>) -> PlatformReply {
    match result {
        Ok(object) => PlatformReply {
            status: STATUS_DONE,
            why: String::new(),
            version: object.version.0,
            value: object.value.to_string().into_bytes(),
        },
        Err(error) => encode_error(error),
    }
}

/// Encodes the result of a write.
pub fn encode_put_result(result: &Result<ObjectVersion, PlatformError>) -> PlatformReply {
    match result {
        Ok(version) => PlatformReply {
            status: STATUS_DONE,
            version: version.0,
            ..Default::default()
        },
        Err(error) => encode_error(error),
    }
}

/// Encodes a failed call, with the reason if there is one.
fn encode_error(error: &PlatformError) -> PlatformReply {
    let (status, why) = match error {
        PlatformError::NotFound => (STATUS_ABSENT, ""),
        PlatformError::Conflict => (STATUS_CONFLICT, ""),
        PlatformError::Refused(why) => (STATUS_REFUSED, why.as_str()),
        PlatformError::Unavailable(why) => (STATUS_UNAVAILABLE, why.as_str()),
        PlatformError::OutcomeUnknown(why) => (STATUS_UNKNOWN, why.as_str()),
    };
    PlatformReply {
        status,
        why: why.to_owned(),
        ..Default::default()
    }
}

/// Decodes the result of a read.
pub fn decode_get_result(key: &ObjectKey, reply: &PlatformReply) -> Result<Object, PlatformError> {
    let version = decode_put_result(reply)?;
    let value = serde_json::from_slice(&reply.value)
        .map_err(|error| PlatformError::OutcomeUnknown(error.to_string()))?;
    Ok(Object {
        key: key.clone(),
        version,
        value,
    })
}

/// Decodes the result of a write.
pub fn decode_put_result(reply: &PlatformReply) -> Result<ObjectVersion, PlatformError> {
    let why = reply.why.clone();
    match reply.status {
        STATUS_DONE => Ok(ObjectVersion(reply.version)),
        STATUS_ABSENT => Err(PlatformError::NotFound),
        STATUS_CONFLICT => Err(PlatformError::Conflict),
        STATUS_REFUSED => Err(PlatformError::Refused(why)),
        STATUS_UNAVAILABLE => Err(PlatformError::Unavailable(why)),
        // The peer may run a newer version with more status codes, so the effect is unknown.
        _ => Err(PlatformError::OutcomeUnknown(why)),
    }
}

/// The platform error for a failed call to a peer. If the call may have reached the peer, the
/// outcome of the relayed call is unknown.
pub fn map_peer_error(error: &PeerError) -> PlatformError {
    let why = error.to_string();
    match error {
        PeerError::UnknownHost | PeerError::Unreachable(_) => PlatformError::Unavailable(why),
        PeerError::NoReply | PeerError::MessageTooLarge(_) => PlatformError::OutcomeUnknown(why),
    }
}
