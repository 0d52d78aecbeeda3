//! Gangs: several engines that hold one prompt together.

use crate::units::Tokens;

/// The memory that each member of a gang holds: an even share, rounded up. Home, entry host and
/// adopted grants all work it out the same way.
pub fn gang_share(memory: Tokens, members: usize) -> Tokens {
    let members = u64::try_from(members).unwrap_or(u64::MAX).max(1);
    Tokens(memory.0.div_ceil(members))
}
