//! Rendezvous hashing with bounded load.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::control::home_assignment::rendezvous::weight;

/// Assigns each key to one candidate, with at most `load_max` keys for each candidate.
///
/// Pairs are considered by descending weight; a pair is used if its key is unassigned and its
/// candidate is below `load_max`. The result depends only on the sets of keys and candidates, not
/// on their order. If a candidate is removed, its keys move, and each may displace a key that the
/// new candidate had at a lower weight.
pub fn assign(keys: &[&str], candidates: &[&str], load_max: usize) -> IndexMap<String, String> {
    let mut assignment = IndexMap::new();
    let mut load: IndexMap<&str, usize> = IndexMap::new();
    for (key, candidate) in pairs_by_weight(keys, candidates) {
        let assigned = load.entry(candidate).or_default();
        if *assigned < load_max && !assignment.contains_key(key) {
            *assigned += 1;
            assignment.insert(key.to_owned(), candidate.to_owned());
        }
    }
    assignment
}

/// All pairs of a key and a candidate, sorted by descending weight.
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
