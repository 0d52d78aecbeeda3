//! Newtypes for ids, sizes, rates and counters, each with `Display` and `FromStr`.
//!
//! Ids chosen by people are shared strings, so that a clone costs only a reference count. Generated
//! ids are random 128-bit numbers written in hexadecimal.

mod bounded_time;
mod byte_size;
mod counters;
mod crash_id;
mod customer_hash;
mod error;
mod macros;
mod millicores;
mod millis;
mod names;
mod prompt_part_id;
mod quarantine_id;
mod random_ids;
mod rates;
mod request_hash;
mod service_hash;
mod slowdown;
mod teller_id;
mod tokens;

pub use bounded_time::BoundedTime;
pub use bounded_time::DURATION_MAX;
pub use bounded_time::milliseconds;
pub use bounded_time::seconds;
pub use byte_size::ByteSize;
pub use counters::FencingNumber;
pub use counters::Generation;
pub use counters::Incarnation;
pub use counters::ObjectVersion;
pub use counters::Priority;
pub use counters::StoreEra;
pub use crash_id::CrashId;
pub use customer_hash::CustomerHash;
pub use error::ParseUnitError;
pub use millicores::Millicores;
pub use millis::whole_micros;
pub use millis::whole_millis;
pub use millis::whole_millis_u32;
pub use names::CustomerId;
pub use names::FailureDomainId;
pub use names::HostId;
pub use names::IdempotencyKey;
pub use names::PoolId;
pub use names::RegionId;
pub use names::ServiceId;
pub use names::TargetId;
pub use names::UpstreamId;
pub use names::UpstreamName;
pub use prompt_part_id::PromptPartId;
pub use quarantine_id::QuarantineId;
pub use random_ids::AttemptId;
pub use random_ids::ContentHash;
pub use random_ids::GrantId;
pub use random_ids::RequestId;
pub use rates::RequestsPerSecond;
pub use rates::TokensPerSecond;
pub use request_hash::RequestHash;
pub use service_hash::ServiceHash;
pub use slowdown::Slowdown;
pub use teller_id::TellerId;
pub use tokens::Tokens;
