//! A manifest's text in parts that are named by their content.

use xxhash_rust::xxh3::xxh3_64;

use crate::units::ContentHash;

/// Parts are cut behind a line whose hash says so, one in this many: where a part ends depends on
/// the text around it alone, so that a change in one place leaves all other parts as they were.
const LINES_A_CUT: u64 = 64;

/// No part is shorter, so that the list of parts stays short.
const PART_LEN_MIN: usize = 2 << 10;

/// No part is longer, also where one line is.
const PART_LEN_MAX: usize = 16 << 10;

/// The parts of a text, in order.
pub fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(part_len(rest));
        parts.push(part);
        rest = after;
    }
    parts
}

fn part_len(text: &str) -> usize {
    let mut len = 0;
    for line in text.split_inclusive('\n') {
        if len + line.len() > PART_LEN_MAX {
            break;
        }
        len += line.len();
        let is_cut = xxh3_64(line.as_bytes()).is_multiple_of(LINES_A_CUT);
        if is_cut && len >= PART_LEN_MIN {
            return len;
        }
    }
    match len {
        0 => char_boundary(text, PART_LEN_MAX),
        len => len,
    }
}

fn char_boundary(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// The hashes in one field, 16 bytes each.
pub(crate) fn to_bytes<'a>(hashes: impl Iterator<Item = &'a ContentHash>) -> Vec<u8> {
    hashes.flat_map(|hash| hash.0.to_be_bytes()).collect()
}

/// The hashes of one field; none if its length is not a multiple of 16.
pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Vec<ContentHash>> {
    let (hashes, rest) = bytes.as_chunks::<16>();
    let hash = |bytes: &[u8; 16]| ContentHash(u128::from_be_bytes(*bytes));
    rest.is_empty().then(|| hashes.iter().map(hash).collect())
}
