//! Random ids, and hashes that identify content.

use crate::units::macros::random_id_newtype;

random_id_newtype!(
    /// The id of one send of a caller.
    RequestId,
    "a request id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// The id of one dispatch of a request to an upstream. A retry is an attempt with an id of its
    /// own.
    AttemptId,
    "an attempt id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// The id of a grant, with which a home host permits the dispatch of one attempt.
    GrantId,
    "a grant id of 32 hexadecimal digits"
);
random_id_newtype!(
    /// A hash that identifies content: a part of a manifest, a prompt or a prefix of a prompt.
    ContentHash,
    "a content hash of 32 hexadecimal digits"
);

impl ContentHash {
    /// Hashes `bytes`. The hash is not cryptographic: peers are authenticated, and a collision that
    /// a caller provokes harms only prompts that this caller chose.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}
