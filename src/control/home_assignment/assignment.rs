//! Rendezvous hashing with bounded load.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::control::home_assignment::rendezvous::weight;

/// Assigns each key to one candidate so that none gets more than `load_max`.
///
/// Pairs are taken by falling weight; a pair counts if its key is free and its candidate has room.
/// The result depends on the sets alone, not on their order. Where one candidate goes, its keys
/// move, and one of them may push out a key that its new candidate had taken at a lower weight.
pub fn assign(keys: &[&str], candidates: &[&str], load_max: usize) -> IndexMap<String, String> {
    let mut assignment = IndexMap::new();
    let mut load: IndexMap<&str, usize> = IndexMap::new();
    for (key, candidate) in pairs_by_weight(keys, candidates) {
        let taken = load.entry(candidate).or_default();
        if *taken < load_max && !assignment.contains_key(key) {
            *taken += 1;
            assignment.insert(key.to_owned(), candidate.to_owned());
        }
    }
    assignment
}

/// All pairs of a key and a candidate, the heaviest first.
pub(crate) fn pairs_by_weight<'a>(
    keys: &[&'a str],
    candidates: &[&'a str],
) -> Vec<(&'a str, &'a str)> {
    let mut pairs: Vec<(u64, &str, &str)> = Vec::with_capacity(keys.len() * candidates.len());
    for key in keys {
        for candidate in candidates {
            pairs.push((weight(key, candidate), key, candidate));
        }
    }
    pairs.sort_unstable_by_key(|(weight, key, candidate)| (Reverse(*weight), *key, *candidate));
    pairs
        .into_iter()
        .map(|(_, key, candidate)| (key, candidate))
        .collect()
}
