//! The continuous exchange of load between hosts: their requests at upstreams, rate limits, and
//! requests and parts of prompts that crash upstreams.
//!
//! Each host sends its complete state in one datagram, to every other host in a small fleet, and to
//! the hosts of its failure domain in a larger one ([`ExchangeState`]). Collectors relay deltas,
//! and complete snapshots every few seconds, so a lost datagram causes only a short delay and needs
//! no retransmission. No guarantee of the system depends on the exchange.

mod active_collectors;
mod aggregate;
mod codec;
mod collector_messages;
mod collector_tracker;
mod customer_use_sum;
mod error;
mod exchange_state;
mod listed_host;
mod load_state;
mod message;
mod message_scope;
mod outgoing_update;
mod part_evidence_entry;
mod received_entries;
mod received_limits;
mod received_outcomes;
mod received_part_evidence;
mod received_uses;
mod send_pacer;
mod sent_limits;
mod sent_outcomes;
mod sent_part_evidence;
mod sent_uses;
mod source_state;
mod task;
mod update_route;
mod upstream_hash;

pub use codec::UpdateCodec;
pub use error::ExchangeError;
pub use exchange_state::ExchangeState;
pub use exchange_state::is_large_fleet;
pub use listed_host::ListedHost;
pub use listed_host::strongest_host;
pub use message::CustomerUseEntry;
pub use message::HostUpdate;
pub use message::LoadEntry;
pub use message::RateLimitEntry;
pub use message::SlowdownEntry;
pub use message::UpstreamOutcomeEntry;
pub use message_scope::MessageScope;
pub use outgoing_update::OutgoingUpdate;
pub use part_evidence_entry::PartEvidenceEntry;
pub use send_pacer::SendPacer;
pub use send_pacer::SendReason;
pub use send_pacer::update_interval;
pub use task::Exchange;
pub use task::ExchangeHandler;
pub use update_route::UpdateRoute;
pub use upstream_hash::UpstreamHash;
