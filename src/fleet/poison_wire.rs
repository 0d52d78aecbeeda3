//! Requests that crash upstreams, as messages.

use crate::decide::PoisonReport;
use crate::decide::RequestFingerprint;
use crate::peer::message::PoisonNotice;
use crate::units::AttemptId;
use crate::units::ContentHash;

const KEY_MARK: u8 = 1;

/// A poison as a message.
pub fn encode_notice(poison: &PoisonReport) -> PoisonNotice {
    let content = match poison.fingerprint {
        RequestFingerprint::Content(hash) => hash.0.to_be_bytes().to_vec(),
        RequestFingerprint::Key(hash) => {
            let mut bytes = vec![KEY_MARK];
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

/// A poison out of a message; none if it can't be read.
pub fn decode_notice(notice: &PoisonNotice) -> Option<PoisonReport> {
    let hash_of = |bytes: &[u8]| {
        let bytes: [u8; 16] = bytes.try_into().ok()?;
        Some(ContentHash(u128::from_be_bytes(bytes)))
    };
    let fingerprint = match notice.content.as_slice() {
        [KEY_MARK, hash @ ..] if hash.len() == 16 => RequestFingerprint::Key(hash_of(hash)?),
        content => RequestFingerprint::Content(hash_of(content)?),
    };
    let attempt_of = |bytes: &Vec<u8>| hash_of(bytes).map(|hash| AttemptId(hash.0));
    let attempts: Option<Vec<AttemptId>> = notice.attempts.iter().map(attempt_of).collect();
    Some(PoisonReport {
        fingerprint,
        attempts: attempts?,
    })
}
