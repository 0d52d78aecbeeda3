//! Which hosts are there: gossip with suspicion and refutation.
//!
//! Inside a failure domain each host probes one other a round, asks others to probe it when no
//! answer comes, and spreads what it suspects; the suspected host refutes with a higher
//! incarnation. Between failure domains a few hosts of each compare hashes. Every message passes a
//! byte budget, so what a host sends does not grow with the fleet.

mod action;
mod broadcast_queue;
mod conf;
mod host_table;
mod machine;
mod outbox;
mod probes;
mod record;
mod seen_notices;
mod suspicion;

pub use action::MembershipAction;
pub use conf::MembershipConf;
pub use machine::Membership;
