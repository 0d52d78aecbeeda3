//! Answers of the fake engine. An answer depends on the body of the request alone, so anyone who
//! knows the body can tell whether an answer belongs to it.

use banyanarch::units::ContentHash;

/// Returns the text of the token at `offset` of the answer to the body with this hash.
pub fn token_text(body_hash: ContentHash, offset: u64) -> String {
    let mut seed = [0; 24];
    seed[..16].copy_from_slice(&body_hash.0.to_le_bytes());
    seed[16..].copy_from_slice(&offset.to_le_bytes());
    let word = ContentHash::of(&seed).0 & 0xffff;
    format!("{word:04x} ")
}

/// Returns the text of `count` tokens of an answer, from `offset` on.
pub fn tokens_text(body_hash: ContentHash, offset: u64, count: u64) -> String {
    (offset..offset + count)
        .map(|index| token_text(body_hash, index))
        .collect()
}

/// Returns the length of the answer in tokens: between half of `max_tokens` and all of it.
pub fn len_tokens(body_hash: ContentHash, max_tokens: u64) -> u64 {
    let half = max_tokens / 2;
    let extra = u64::try_from(body_hash.0 % u128::from(max_tokens - half + 1)).unwrap_or(0);
    (half + extra).max(1)
}

/// Returns the whole answer to the body with this hash.
pub fn full_text(body_hash: ContentHash, max_tokens: u64) -> String {
    tokens_text(body_hash, 0, len_tokens(body_hash, max_tokens))
}
