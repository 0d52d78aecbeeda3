//! A grant with what was expected of it.

use crate::decide::LiveGrant;
use crate::units::CustomerId;
use crate::units::Tokens;

/// A grant that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) grant: LiveGrant,
    /// The account it is charged to.
    pub(crate) account: CustomerId,
    /// The prefix that its engine was thought to have cached.
    pub(crate) hinted_tokens: Tokens,
}
