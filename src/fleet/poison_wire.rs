//! The encoding of poison reports, which list the crashes of one request, as messages.

use crate::decide::PoisonReport;
use crate::decide::RequestFingerprint;
use crate::peer::message::PoisonNotice;
use crate::units::AttemptId;
use crate::units::ContentHash;

/// The first byte of a fingerprint that is the hash of an idempotency key. The hash of a request's
/// content has no such byte, so the length tells the two kinds apart.
const KEY_PREFIX: u8 = 1;

/// Encodes a poison report as a message.
pub fn encode_notice(poison: &PoisonReport) -> PoisonNotice {
    let content = match poison.fingerprint {
        RequestFingerprint::Content(hash) => hash.0.to_be_bytes().to_vec(),
        RequestFingerprint::Key(hash) => {
            let mut bytes = vec![KEY_PREFIX];
            bytes.extend(hash.0.to_be_bytes());
            bytes
        }
    };
    let attempts = poison
        .attempts
        .iter()
        .map(|attempt| attempt.0.to_be_bytes().to_vec());
    PoisonNotice {
        content,
        attempts: attempts.collect(),
    }
}

/// Decodes a poison report from a message; none if the message is malformed.
pub fn decode_notice(notice: &PoisonNotice) -> Option<PoisonReport> {
    let decode_hash = |bytes: &[u8]| {
        let bytes: [u8; 16] = bytes.try_into().ok()?;
        Some(ContentHash(u128::from_be_bytes(bytes)))
    };
    let fingerprint = match notice.content.as_slice() {
        [KEY_PREFIX, hash @ ..] if hash.len() == 16 => RequestFingerprint::Key(decode_hash(hash)?),
        content => RequestFingerprint::Content(decode_hash(content)?),
    };
    let decode_attempt = |bytes: &Vec<u8>| decode_hash(bytes).map(|hash| AttemptId(hash.0));
    let attempts: Option<Vec<AttemptId>> = notice.attempts.iter().map(decode_attempt).collect();
    Some(PoisonReport {
        fingerprint,
        attempts: attempts?,
    })
}
