//! Splitting the text of a manifest into parts that are identified by their content hash.

use xxhash_rust::xxh3::Xxh3;

use crate::units::ContentHash;

/// Average number of lines per part. A part ends after a line where the hash of the last lines is a
/// multiple of this number. The boundary depends only on the text near it, so a change in one place
/// leaves all other parts unchanged.
const LINES_PER_PART: u64 = 16;

/// Number of lines that go into the hash that decides on a boundary. Manifests are generated and
/// repeat the same lines in every entry; a window of several lines usually includes one that
/// identifies the entry.
const WINDOW_LINES: usize = 8;

/// Minimum length of a part in bytes, which keeps the list of parts short.
const PART_LEN_MIN: usize = 512;

/// Maximum length of a part in bytes; a longer line is split.
const PART_LEN_MAX: usize = 4 << 10;

/// Average number of hashes per page. A page ends after a hash that is a multiple of this number.
const HASHES_PER_PAGE: u128 = 16;

/// Maximum number of hashes per page.
const PAGE_HASHES_MAX: usize = 64;

/// Length of one hash on a page, in hexadecimal digits.
const PAGE_HASH_LEN: usize = 32;

/// Splits a text into its parts, in order. Their concatenation is the text. Each part ends with a
/// line, or with a piece of a line that is longer than a part.
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

/// Whether a part ends after the last line of the window.
fn is_boundary(window: &[&str]) -> bool {
    let mut hasher = Xxh3::new();
    for line in window {
        hasher.update(line.as_bytes());
    }
    hasher.digest().is_multiple_of(LINES_PER_PART)
}

/// Splits a line into pieces that are at most as long as a part.
fn split_long_line(line: &str) -> impl Iterator<Item = &str> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let (piece, after) = rest.split_at(char_boundary(rest, PART_LEN_MAX));
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Groups the hashes of parts into pages. The page boundaries depend on the content, like those of
/// the parts: a change of one part changes one page, so that a host fetches only the changed pages
/// of the list of parts, which is long for a manifest of a megabyte.
pub(crate) fn group_into_pages(parts: &[ContentHash]) -> Vec<String> {
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

/// The hashes on a page. Malformed ones are left out; the text that is assembled then does not have
/// the expected hash and is rejected.
pub(crate) fn page_hashes(page: &str) -> impl Iterator<Item = ContentHash> {
    let chunks = page.as_bytes().chunks(PAGE_HASH_LEN);
    chunks.filter_map(|hash| std::str::from_utf8(hash).ok()?.parse().ok())
}

/// The last character boundary of a text that is not after byte `at`.
fn char_boundary(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// Encodes hashes as one field, 16 bytes each.
pub(crate) fn hashes_to_bytes<'a>(hashes: impl Iterator<Item = &'a ContentHash>) -> Vec<u8> {
    hashes.flat_map(|hash| hash.0.to_be_bytes()).collect()
}

/// Decodes the hashes of one field; `None` if its length is not a multiple of 16.
pub(crate) fn hashes_from_bytes(bytes: &[u8]) -> Option<Vec<ContentHash>> {
    let (hashes, rest) = bytes.as_chunks::<16>();
    let hash = |bytes: &[u8; 16]| ContentHash(u128::from_be_bytes(*bytes));
    rest.is_empty().then(|| hashes.iter().map(hash).collect())
}
