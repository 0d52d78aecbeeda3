//! The requests that crash engines, as their ids tell.

use std::str::FromStr;

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

/// The number of the request of which this is a repeat; none if it is no repeat.
pub fn repeated_number(request: &str) -> Option<u32> {
    let is_repeat = CrashCause::of(request) == Some(CrashCause::Repeat);
    let number = request
        .split('-')
        .nth(2)
        .and_then(|number| number.parse().ok());
    is_repeat.then(|| number.unwrap_or(0))
}

/// Where a request crashes engines; none if it does not.
pub(crate) fn crash_point(request: &str) -> Option<CrashPoint> {
    CrashCause::of(request)?;
    request.split('-').nth(1)?.parse().ok()
}
