//! The parts of the prompts that callers send. Requests with one of the parts crash the engines that
//! begin an answer on them.

use xxhash_rust::xxh3::xxh3_64;

use crate::crashing_request::CrashCause;

/// The part that crashes engines, as it stands in the list of parts.
const CRASHING_PART: &str = "badbad:400";
/// The number of parts at the beginning of prompts.
const COMMON_PARTS: u64 = 4;

/// The list of the parts of a request's prompt: one that many requests share, for some the one that
/// crashes engines, and one of its own.
pub(crate) fn prompt_parts(request: &str) -> String {
    let hash = xxh3_64(request.as_bytes());
    let common = 0xc0 + hash % COMMON_PARTS;
    if CrashCause::of(request) == Some(CrashCause::Part) {
        format!("{common:x}:40,{CRASHING_PART},{hash:x}:900")
    } else {
        format!("{common:x}:40,{hash:x}:900")
    }
}
