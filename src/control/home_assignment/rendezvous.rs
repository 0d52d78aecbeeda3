//! Rendezvous hashing.

use xxhash_rust::xxh3::Xxh3;

/// The weight of a pair, which is the same on every host and independent for each pair.
pub(crate) fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    // Names contain no zero byte, so that two different pairs never hash the same bytes.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Sorts the candidates by descending weight for the key. The order of the remaining candidates
/// stays the same if one is removed.
pub fn rank<C: AsRef<str> + Clone>(key: &str, candidates: &[C]) -> Vec<C> {
    let mut ranked: Vec<C> = candidates.to_vec();
    ranked.sort_by_cached_key(|candidate| {
        let name = candidate.as_ref();
        (std::cmp::Reverse(weight(key, name)), name.to_owned())
    });
    ranked
}
