//! The parts of the prompts that callers send. Requests with one of the parts crash the engines that
//! begin an answer on them.

use xxhash_rust::xxh3::xxh3_64;

/// The beginning of the ids of requests whose prompts have the part that crashes engines.
const CRASHING_PREFIX: &str = "crash-";
/// The part that crashes engines, as it stands in the list of parts.
const CRASHING_PART: &str = "badbad:400";
/// The number of parts at the beginning of prompts.
const COMMON_PARTS: u64 = 4;

/// The id of a request with the part that crashes engines, made from another id.
pub(crate) fn crashing_request(request: &str) -> String {
    format!("{CRASHING_PREFIX}{request}")
}

/// Whether the prompt of a request has the part that crashes engines.
pub(crate) fn crashes_engines(request: &str) -> bool {
    request.starts_with(CRASHING_PREFIX)
}

/// The list of the parts of a request's prompt: one that many requests share, for some the one that
/// crashes engines, and one of its own.
pub(crate) fn prompt_parts(request: &str) -> String {
    let hash = xxh3_64(request.as_bytes());
    let common = 0xc0 + hash % COMMON_PARTS;
    if crashes_engines(request) {
        format!("{common:x}:40,{CRASHING_PART},{hash:x}:900")
    } else {
        format!("{common:x}:40,{hash:x}:900")
    }
}

/// Whether a list of parts has the one that crashes engines.
pub(crate) fn has_crashing_part(parts: &str) -> bool {
    parts.split(',').any(|part| part == CRASHING_PART)
}
