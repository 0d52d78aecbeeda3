//! Tags on the frames of one direction of a connection.

use hmac::Mac;
use hmac::digest::InvalidLength;

use crate::peer::keyring::HmacSha256;
use crate::peer::keyring::hmac_with;

/// Half of an HMAC-SHA-256, which is the usual length of a truncated tag.
pub(crate) const TAG_LEN: usize = 16;

/// Signs or checks the frames of one direction. The frame's number goes into its tag, so that a
/// frame that was repeated, dropped or reordered on the way shows as a wrong tag.
#[derive(Clone)]
pub struct FrameAuthenticator {
    keyed: HmacSha256,
    next_seq: u64,
}

impl FrameAuthenticator {
    /// A seal under the session's key for this direction.
    pub fn new(session_key: &[u8]) -> Result<Self, InvalidLength> {
        Ok(Self {
            keyed: hmac_with(session_key)?,
            next_seq: 0,
        })
    }

    /// The tag of the next frame.
    pub(crate) fn sign(&mut self, payload: &[u8]) -> [u8; TAG_LEN] {
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&self.next_mac(payload).finalize().into_bytes()[..TAG_LEN]);
        tag
    }

    /// Whether `tag` is that of the next frame, compared in constant time.
    pub(crate) fn verify(&mut self, payload: &[u8], tag: &[u8]) -> bool {
        self.next_mac(payload).verify_truncated_left(tag).is_ok()
    }

    fn next_mac(&mut self, payload: &[u8]) -> HmacSha256 {
        let mut mac = self.keyed.clone();
        mac.update(&self.next_seq.to_be_bytes());
        mac.update(payload);
        self.next_seq += 1;
        mac
    }
}
