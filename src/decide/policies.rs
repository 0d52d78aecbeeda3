//! Policies by name.

use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::baseline::Alone;
use crate::decide::baseline::Direct;
use crate::decide::baseline::LeastInFlight;
use crate::decide::baseline::RoundRobin;
use crate::settings::PolicyName;

/// A new policy for one pool. Equal seeds and equal calls give equal decisions.
pub fn policy_for(name: PolicyName, conf: &PolicyConfig, seed: u64) -> Box<dyn Policy> {
    let _ = conf;
    match name {
        PolicyName::RoundRobin => Box::new(Direct::new(RoundRobin::default(), seed)),
        PolicyName::Shipped | PolicyName::LeastInFlight => {
            Box::new(Direct::new(LeastInFlight, seed))
        }
        PolicyName::Alone => Box::new(Direct::new(Alone::new(seed), seed)),
    }
}
