//! Property tests on generated histories of concurrent callers, hosts, upstreams and operators
//! under faults.
//!
//! `PROPTEST_CASES=10000 cargo test --release --locked --test histories` runs the given number of
//! cases. The seed is fixed, so that every run has the same result; `HISTORIES_SEED` sets another
//! one.

mod fakes;
mod worlds;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use worlds::answer_world;
use worlds::answer_world::AnswerWorld;
use worlds::claim_world;
use worlds::claim_world::ClaimWorld;
use worlds::drain_world;
use worlds::drain_world::DrainWorld;
use worlds::grant_world;
use worlds::grant_world::GrantWorld;
use worlds::manifest_world;
use worlds::manifest_world::ManifestWorld;

/// The seed of all cases unless `HISTORIES_SEED` sets another one.
const SEED: u64 = 0x0b5e_55ed;

fn conf() -> ProptestConfig {
    let other = std::env::var("HISTORIES_SEED").ok();
    let seed = other.map_or(SEED, |seed| seed.parse().unwrap());
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(conf())]

    /// A caller sends a licence grant repeatedly through several hosts, while the platform loses
    /// responses, delays writes and becomes unreachable, hosts die and pause, and upstreams refuse
    /// and crash. The request runs at most once, a "not run" is true, and no caller waits forever.
    #[test]
    fn claimed_requests_run_at_most_once(steps in vec(claim_world::step(), 1..80)) {
        let mut world = ClaimWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }

    /// Two callers read their answers over resumed connections that reorder, repeat, lose and split
    /// pieces. Each caller gets its own answer, and knows whether it is complete.
    #[test]
    fn callers_get_their_own_answers(arrivals in vec(answer_world::arrival(), 1..60)) {
        let mut world = AnswerWorld::new();
        for (attempt, arrival) in arrivals {
            world.arrive(attempt, arrival);
        }
        world.check();
    }

    /// Messages between hosts and their home are lost and delayed, hosts pause, die and restart,
    /// connections break, and engines crash and leave. No memory is lost or granted twice, no
    /// answer that is being read is interrupted, nothing new goes to an upstream that is leaving,
    /// and every request ends.
    #[test]
    fn no_engine_loses_memory(steps in vec(grant_world::step(), 1..60)) {
        let mut world = GrantWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }

    /// The same as `no_engine_loses_memory` with several homes that die and overlap in time. For a
    /// moment memory may be granted twice; all other guarantees hold.
    #[test]
    fn moving_homes_lose_nothing(steps in vec(grant_world::step_with_moving_homes(), 1..60)) {
        let mut world = GrantWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }

    /// Operators publish, hosts are replaced, watches lag and repeat old events, and messages are
    /// lost and reordered. No process goes back to an earlier manifest or mixes two, and the newest
    /// is in force everywhere within six seconds after one host has received it, or half a minute
    /// if the messages of that host are lost.
    #[test]
    fn manifests_move_forward_only(steps in vec(manifest_world::step(), 1..60)) {
        let mut world = ManifestWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }

    /// A host is told to shut down while callers come and go and the platform accepts claims or
    /// does not. No caller is turned away before the load balancer knows, none is interrupted
    /// except by a second signal, and the shutdown completes.
    #[test]
    fn shutdowns_interrupt_no_request(steps in vec(drain_world::step(), 1..40)) {
        let mut world = DrainWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }
}
