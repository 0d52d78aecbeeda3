//! Engines that refuse all requests for a while, in turn.

use std::time::Duration;

/// A period in which engines refuse all requests in turn and ask for a backoff.
#[derive(Clone, Copy, Debug)]
pub struct RefusalPeriod {
    pub from: Duration,
    pub until: Duration,
    /// One engine in this many refuses at any time.
    pub one_in: usize,
    /// How long an engine refuses before the next one does.
    pub turn: Duration,
    /// The backoff that each refusal asks for.
    pub backoff: Duration,
    /// Whether hosts obey the backoff.
    pub is_obeyed: bool,
}

impl RefusalPeriod {
    /// Whether an engine refuses requests at a time.
    pub fn refuses(&self, engine: usize, at: Duration) -> bool {
        if !(self.from..self.until).contains(&at) {
            return false;
        }
        let turns = (at - self.from).as_millis() / self.turn.as_millis();
        (engine as u128 + turns).is_multiple_of(self.one_in as u128)
    }
}
