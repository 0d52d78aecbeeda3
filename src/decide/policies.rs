//! The construction of policies by name.

use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolKind;
use crate::decide::baseline::ImmediatePolicy;
use crate::decide::baseline::LeastBacklog;
use crate::decide::baseline::LeastInFlight;
use crate::decide::baseline::RoundRobin;
use crate::decide::shipped::EnginePolicy;
use crate::decide::shipped::ServicePolicy;
use crate::settings::PolicyName;

/// Creates the named policy for one pool. Equal seeds and equal calls give equal decisions.
pub fn policy_for(name: PolicyName, conf: &PolicyConfig, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Shipped => shipped(conf, seed),
        PolicyName::RoundRobin => Box::new(ImmediatePolicy::new(RoundRobin::default(), seed)),
        PolicyName::LeastInFlight => Box::new(ImmediatePolicy::new(LeastInFlight, seed)),
        PolicyName::Alone => Box::new(ImmediatePolicy::new(LeastBacklog::new(seed), seed)),
    }
}

fn shipped(conf: &PolicyConfig, seed: u64) -> Box<dyn Policy> {
    match conf.kind {
        PoolKind::Model { prefill_speed, .. } => {
            Box::new(EnginePolicy::new(conf.clone(), prefill_speed, seed))
        }
        PoolKind::Service { .. } => Box::new(ServicePolicy::new(conf.clone(), seed)),
    }
}
