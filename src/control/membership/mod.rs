//! Membership: which hosts exist and which of them are alive, by gossip with suspicion and
//! refutation.
//!
//! Within a failure domain, each host probes one other host per probe interval, asks others to
//! probe a host that does not answer, and broadcasts its suspicions; a suspected host refutes with
//! a higher incarnation. Between failure domains, a few hosts of each compare hashes of their
//! views. All messages share a byte budget, so the traffic of a host does not grow with the fleet.

mod action;
mod broadcast_queue;
mod conf;
mod machine;
mod membership_table;
mod outbox;
mod probes;
mod record;
mod seen_notices;
mod suspicion;

pub use action::MembershipAction;
pub use conf::MembershipConf;
pub use machine::Membership;
