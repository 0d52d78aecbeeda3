//! A manifest's text in parts that are named by their content.

use xxhash_rust::xxh3::Xxh3;

use crate::units::ContentHash;

/// A part ends behind a line where the hash of the last lines says so, on average one in this many.
/// Where it ends depends on the text around it alone, so that a change in one place leaves all other
/// parts as they were.
const LINES_PER_PART: u64 = 16;

/// Lines that go into such a hash. Manifests are generated and full of lines that stand in every
/// entry; a few of them together hold something that tells the entries apart.
const WINDOW_LINES: usize = 8;

/// No part is shorter, so that the list of parts stays short.
const PART_LEN_MIN: usize = 512;

/// No part is longer, also where one line is.
const PART_LEN_MAX: usize = 4 << 10;

/// A page of hashes ends behind a hash that says so, on average one in this many.
const HASHES_PER_PAGE: u128 = 16;

/// No page holds more hashes.
const PAGE_HASHES_MAX: usize = 64;

/// A hash as it stands on a page.
const PAGE_HASH_LEN: usize = 32;

/// The parts of a text, in order.
pub fn split_into_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut window: Vec<&str> = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n').flat_map(split_long_line) {
        if end + line.len() - start > PART_LEN_MAX {
            parts.push(&text[start..end]);
            start = end;
        }
        end += line.len();
        if window.len() == WINDOW_LINES {
            window.remove(0);
        }
        window.push(line);
        if end - start >= PART_LEN_MIN && is_boundary(&window) {
            parts.push(&text[start..end]);
            start = end;
        }
    }
    if start < end {
        parts.push(&text[start..end]);
    }
    parts
}

fn is_boundary(window: &[&str]) -> bool {
    let mut hasher = Xxh3::new();
    for line in window {
        hasher.update(line.as_bytes());
    }
    hasher.digest().is_multiple_of(LINES_PER_PART)
}

/// A line, cut where it is longer than a part.
fn split_long_line(line: &str) -> impl Iterator<Item = &str> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let (piece, after) = rest.split_at(char_boundary(rest, PART_LEN_MAX));
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}

/// The hashes of parts on pages, cut by content like the text: a change of one part changes one
/// page, so that the list of a megabyte's parts need not travel whole either.
pub(crate) fn pages(parts: &[ContentHash]) -> Vec<String> {
    let mut pages = Vec::new();
    let mut page = String::new();
    for hash in parts {
        page.push_str(&hash.to_string());
        let is_full = page.len() >= PAGE_HASH_LEN * PAGE_HASHES_MAX;
        if is_full || hash.0.is_multiple_of(HASHES_PER_PAGE) {
            pages.push(std::mem::take(&mut page));
        }
    }
    if !page.is_empty() {
        pages.push(page);
    }
    pages
}

/// The hashes on a page; what is none is left out, and the whole text's hash then does not fit.
pub(crate) fn page_hashes(page: &str) -> impl Iterator<Item = ContentHash> {
    let chunks = page.as_bytes().chunks(PAGE_HASH_LEN);
    chunks.filter_map(|hash| std::str::from_utf8(hash).ok()?.parse().ok())
}

fn char_boundary(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// The hashes in one field, 16 bytes each.
pub(crate) fn hashes_to_bytes<'a>(hashes: impl Iterator<Item = &'a ContentHash>) -> Vec<u8> {
    hashes.flat_map(|hash| hash.0.to_be_bytes()).collect()
}

/// The hashes of one field; none if its length is not a multiple of 16.
pub(crate) fn hashes_from_bytes(bytes: &[u8]) -> Option<Vec<ContentHash>> {
    let (hashes, rest) = bytes.as_chunks::<16>();
    let hash = |bytes: &[u8; 16]| ContentHash(u128::from_be_bytes(*bytes));
    rest.is_empty().then(|| hashes.iter().map(hash).collect())
}
