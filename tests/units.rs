//! Unit types: written values can be parsed again, and invalid texts are refused.

use std::fmt::Debug;
use std::fmt::Display;
use std::str::FromStr;

use banyanarch::units::ByteSize;
use banyanarch::units::CustomerId;
use banyanarch::units::RequestId;
use banyanarch::units::TokensPerSecond;
use yare::parameterized;

fn round_trip<T>(text: &str)
where
    T: FromStr + Display,
    T::Err: Debug,
{
    assert_eq!(text.parse::<T>().unwrap().to_string(), text);
}

#[test]
fn written_values_are_read_again() {
    round_trip::<ByteSize>("64MiB");
    round_trip::<ByteSize>("1025B");
    round_trip::<CustomerId>("studio-a");
    round_trip::<TokensPerSecond>("8000tok/s");
    round_trip::<RequestId>("0123456789abcdef0123456789abcdef");
}

#[parameterized(
    no_unit = { "64" },
    unknown_unit = { "64MB" },
    negative = { "-1B" },
    too_large = { "99999999999GiB" },
    empty = { "" },
)]
fn wrong_sizes_are_refused(text: &str) {
    let error = text.parse::<ByteSize>().unwrap_err();
    assert!(error.to_string().contains("a size like"), "{error}");
}

#[parameterized(
    empty = { "" },
    blank = { "a b" },
    line_break = { "a\n" },
)]
fn wrong_names_are_refused(text: &str) {
    assert!(text.parse::<CustomerId>().is_err());
}
