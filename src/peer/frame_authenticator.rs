//! The authentication tags of the frames of one direction of a connection.

use hmac::Mac;
use hmac::digest::InvalidLength;

use crate::peer::keyring::HmacSha256;
use crate::peer::keyring::hmac_with;

/// The length of a tag, in bytes: half of an HMAC-SHA-256, the usual length of a truncated tag.
pub(crate) const TAG_LEN: usize = 16;

/// Signs or verifies the frames of one direction. The sequence number of a frame enters its tag, so
/// that the tag is wrong if a frame was repeated, dropped or reordered.
#[derive(Clone)]
pub struct FrameAuthenticator {
    keyed_mac: HmacSha256,
    next_seq: u64,
}

impl FrameAuthenticator {
    /// An authenticator with the session key of its direction.
    pub fn new(session_key: &[u8]) -> Result<Self, InvalidLength> {
        Ok(Self {
            keyed_mac: hmac_with(session_key)?,
            next_seq: 0,
        })
    }

    /// Returns the tag of the next frame, and advances the sequence number.
    pub(crate) fn sign(&mut self, payload: &[u8]) -> [u8; TAG_LEN] {
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&self.next_mac(payload).finalize().into_bytes()[..TAG_LEN]);
        tag
    }

    /// Whether `tag` is the tag of the next frame. Advances the sequence number in either case. The
    /// comparison takes constant time.
    pub(crate) fn verify(&mut self, payload: &[u8], tag: &[u8]) -> bool {
        self.next_mac(payload).verify_truncated_left(tag).is_ok()
    }

    /// Returns the HMAC of the next frame, and advances the sequence number.
    fn next_mac(&mut self, payload: &[u8]) -> HmacSha256 {
        let mut mac = self.keyed_mac.clone();
        mac.update(&self.next_seq.to_be_bytes());
        mac.update(payload);
        self.next_seq += 1;
        mac
    }
}
