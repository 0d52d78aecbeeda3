//! What callers say in headers.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;

use crate::units::CustomerId;
use crate::units::IdempotencyKey;

/// The headers of a caller, checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Who the request is for.
    pub customer: Option<CustomerId>,
    /// The priority it names.
    pub priority: Option<String>,
    /// Its time limit.
    pub timeout: Option<Duration>,
    /// Whether it may run more than once.
    pub repeatable: Option<bool>,
    /// The key that makes repeated sendings one request.
    pub key: Option<IdempotencyKey>,
}

impl CallerHeaders {
    /// Reads and checks them; the error names the header.
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let timeout_ms: Option<u64> = parse(headers, "Banyanarch-Timeout-Ms")?;
        Ok(Self {
            customer: parse(headers, "Banyanarch-Customer")?,
            priority: parse(headers, "Banyanarch-Priority")?,
            timeout: timeout_ms.map(Duration::from_millis),
            repeatable: parse(headers, "Banyanarch-Repeatable")?,
            key: parse(headers, "Idempotency-Key")?,
        })
    }
}

fn parse<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| format!("{name}: not plain text"))?;
    text.trim()
        .parse()
        .map(Some)
        .map_err(|err| format!("{name}: {err}"))
}
