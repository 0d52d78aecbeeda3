//! Ids that the system draws, and hashes that name content.

use crate::units::macros::random_id_newtype;

random_id_newtype!(
    /// One sending of a caller.
    RequestId,
    "a request id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// One dispatch of a request to an upstream. A retry is another attempt.
    AttemptId,
    "an attempt id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// A home's permission to dispatch one attempt.
    GrantId,
    "a grant id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// A hash that names some content: a manifest part, a prompt, a prompt's prefix.
    ContentHash,
    "a content hash of 32 hexadecimal digits"
);

impl ContentHash {
    /// The hash of `bytes`. It is not cryptographic: peers are authenticated, and a collision that
    /// a caller makes on purpose harms only prompts that the same caller chose.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}
