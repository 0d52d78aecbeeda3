//! Engines that refuse all requests for a while, in turn.

use std::time::Duration;

/// One engine in this many refuses at any time.
const ONE_IN: usize = 5;
/// How long an engine refuses before the next one does.
const TURN: Duration = Duration::from_secs(8);

/// Engines that refuse all requests in turn and ask for a backoff.
#[derive(Clone, Copy, Debug)]
pub struct Refusals {
    /// Whether hosts obey the backoff.
    pub is_obeyed: bool,
}

impl Refusals {
    /// The backoff that each refusal asks for.
    pub const BACKOFF: Duration = Duration::from_secs(3);

    /// Whether an engine refuses requests at a time.
    pub fn refuses(engine: usize, at: Duration) -> bool {
        let turns = at.as_millis() / TURN.as_millis();
        (engine as u128 + turns).is_multiple_of(ONE_IN as u128)
    }
}
