//! The requests that crash engines, as their ids tell.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::crash_point::CrashPoint;

/// The beginning of the ids of requests with a part in their prompts that crashes engines.
const PART_PREFIX: &str = "crash-";
/// The beginning of the ids of the repeats of one request that crashes engines.
const REPEAT_PREFIX: &str = "repeat-";

/// What requests that crash engines have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCause {
    /// A part of their prompts; no two of them are alike.
    Part,
    /// All but their ids: they are repeats of one request.
    Repeat,
}

impl CrashCause {
    /// Why a request crashes engines; none if it does not.
    pub(crate) fn of(request: &str) -> Option<Self> {
        if request.starts_with(PART_PREFIX) {
            Some(Self::Part)
        } else if request.starts_with(REPEAT_PREFIX) {
            Some(Self::Repeat)
        } else {
            None
        }
    }

    /// The id of a request that crashes engines at this point, made from another id. That of a repeat
    /// begins with the number of the request.
    pub(crate) fn request(self, point: CrashPoint, request: &str) -> String {
        let prefix = match self {
            Self::Part => PART_PREFIX,
            Self::Repeat => REPEAT_PREFIX,
        };
        format!("{prefix}{point}-{request}")
    }
}

impl FromStr for CrashCause {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "part" => Ok(Self::Part),
            "repeat" => Ok(Self::Repeat),
            _ => Err(format!("no cause of crashes: {text}")),
        }
    }
}

/// One of the parts of prompts that crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashingPart {
    /// Its number.
    pub number: u32,
    /// The share of the tries with it that end their engines, in percent.
    pub share_percent: u32,
}

impl CrashingPart {
    /// The part in the prompt of a request; none if it has no such part.
    pub fn of(request: &str) -> Option<Self> {
        if CrashCause::of(request) != Some(CrashCause::Part) {
            return None;
        }
        let named = request.split('-').nth(2).and_then(|name| name.parse().ok());
        Some(named.unwrap_or_default())
    }

    /// Whether a try of a request with the part ends this engine.
    pub(crate) fn crashes(self, request: &str, upstream: &str) -> bool {
        let draw = xxh3_64(format!("{request} {upstream}").as_bytes()) % 100;
        draw < u64::from(self.share_percent)
    }
}

impl Default for CrashingPart {
    fn default() -> Self {
        Self {
            number: 0,
            share_percent: 100,
        }
    }
}

/// The text that stands in the ids of requests.
impl fmt::Display for CrashingPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{}s{}", self.number, self.share_percent)
    }
}

impl FromStr for CrashingPart {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields = text.strip_prefix('p').and_then(|text| text.split_once('s'));
        let part = fields.and_then(|(number, share_percent)| {
            Some(Self {
                number: number.parse().ok()?,
                share_percent: share_percent.parse().ok()?,
            })
        });
        part.ok_or_else(|| format!("no part that crashes engines: {text}"))
    }
}

/// The number of the request of which this is a repeat; none if it is no repeat.
pub fn repeated_number(request: &str) -> Option<u32> {
    let is_repeat = CrashCause::of(request) == Some(CrashCause::Repeat);
    let number = request
        .split('-')
        .nth(2)
        .and_then(|number| number.parse().ok());
    is_repeat.then(|| number.unwrap_or(0))
}

/// Where a try of a request at this upstream crashes it; none if it does not.
pub(crate) fn crash_point(request: &str, upstream: &str) -> Option<CrashPoint> {
    CrashCause::of(request)?;
    if CrashingPart::of(request).is_some_and(|part| !part.crashes(request, upstream)) {
        return None;
    }
    request.split('-').nth(1)?.parse().ok()
}
