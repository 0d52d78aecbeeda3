//! The record that a policy keeps of a live grant.

use crate::decide::LiveGrant;
use crate::units::CustomerId;
use crate::units::Tokens;

/// A live grant with the data that is needed when it ends.
#[derive(Clone, Debug)]
pub(crate) struct GrantRecord {
    pub(crate) grant: LiveGrant,
    /// The account that the grant is charged to.
    pub(crate) account: CustomerId,
    /// Length of the prefix that the first engine of the grant was expected to have cached.
    pub(crate) hinted_tokens: Tokens,
}
