//! The keys by which hosts know each other.

use hmac::Hmac;
use hmac::Mac;
use hmac::digest::InvalidLength;
use sha2::Sha256;

use crate::settings::PeerKey;

/// An HMAC-SHA-256 that has taken in its key.
pub(crate) type HmacSha256 = Hmac<Sha256>;

/// The keys of the settings: the first one signs, all are accepted.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<PeerKey>,
}

impl Keyring {
    /// The keys in the order of the settings.
    pub fn new(keys: Vec<PeerKey>) -> Self {
        Self { keys }
    }

    /// The key that signs.
    pub(crate) fn signing(&self) -> Option<&PeerKey> {
        self.keys.first()
    }

    /// The key with this name, if it is accepted.
    pub(crate) fn find(&self, id: &str) -> Option<&PeerKey> {
        self.keys.iter().find(|key| key.id == id)
    }
}

/// An HMAC under `secret`, which may have any length.
pub(crate) fn hmac_with(secret: &[u8]) -> Result<HmacSha256, InvalidLength> {
    HmacSha256::new_from_slice(secret)
}
