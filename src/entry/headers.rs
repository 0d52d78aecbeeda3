//! The request headers that callers set.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;

use crate::units::CustomerId;
use crate::units::IdempotencyKey;

/// The parsed and checked request headers of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The customer that the request is made for.
    pub customer: Option<CustomerId>,
    /// The name of the requested priority.
    pub priority: Option<String>,
    /// The time limit for the request.
    pub timeout: Option<Duration>,
    /// Whether the request may run more than once.
    pub repeatable: Option<bool>,
    /// The idempotency key, which identifies repeated deliveries of one request.
    pub key: Option<IdempotencyKey>,
}

impl CallerHeaders {
    /// Parses the headers. An error text starts with the name of the invalid header.
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
