//! The parts of the prompts that callers send. Requests with some of the parts crash the engines that
//! begin an answer on them.

use xxhash_rust::xxh3::xxh3_64;

use crate::crashing_request::CrashingPart;

/// The id of the first part that crashes engines; the others follow.
const CRASHING_PARTS: u32 = 0x00ba_dbad;
/// The number of parts at the beginning of prompts.
const COMMON_PARTS: u64 = 4;

/// The list of the parts of a request's prompt: one that many requests share, for some one that
/// crashes engines, and one of its own.
pub(crate) fn prompt_parts(request: &str) -> String {
    let hash = xxh3_64(request.as_bytes());
    let common = 0xc0 + hash % COMMON_PARTS;
    match CrashingPart::of(request) {
        Some(part) => {
            let crashing = CRASHING_PARTS + part.number;
            format!("{common:x}:40,{crashing:x}:400,{hash:x}:900")
        }
        None => format!("{common:x}:40,{hash:x}:900"),
    }
}
