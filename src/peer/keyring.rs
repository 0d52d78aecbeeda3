//! The keys by which hosts authenticate each other.

use hmac::Hmac;
use hmac::Mac;
use hmac::digest::InvalidLength;
use sha2::Sha256;

use crate::settings::PeerKey;

/// An HMAC-SHA-256 computation.
pub(crate) type HmacSha256 = Hmac<Sha256>;

/// The peer keys of the settings. The first key signs; all keys are accepted, which lets keys be
/// rotated without an interruption.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<PeerKey>,
}

impl Keyring {
    /// A keyring with the keys in the order of the settings.
    pub fn new(keys: Vec<PeerKey>) -> Self {
        Self { keys }
    }

    /// The key that signs; none in an empty keyring.
    pub(crate) fn signing(&self) -> Option<&PeerKey> {
        self.keys.first()
    }

    /// The key with the given id; none if the keyring has no such key.
    pub(crate) fn find(&self, id: &str) -> Option<&PeerKey> {
        self.keys.iter().find(|key| key.id == id)
    }
}

/// An HMAC keyed with `secret`, which may have any length.
pub(crate) fn hmac_with(secret: &[u8]) -> Result<HmacSha256, InvalidLength> {
    HmacSha256::new_from_slice(secret)
}
