//! Generated histories of concurrent callers, hosts, upstreams and operators under faults.
//!
//! `PROPTEST_CASES=10000 cargo test --release --locked --test histories` runs as many as asked. The
//! seed is fixed, so that every run has the same verdict.

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

const SEED: u64 = 0x0b5e_55ed;

fn conf() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(conf())]

    /// A caller sends a licence grant again and again through several hosts, while the platform
    /// loses answers, delays writes and goes away, hosts die and pause, and upstreams refuse and
    /// crash. It runs at most once, "not run" is true, and nobody waits for ever.
    #[test]
    fn claimed_requests_run_at_most_once(steps in vec(claim_world::step(), 1..80)) {
        let mut world = ClaimWorld::new();
        for step in steps {
            world.step(step);
        }
        world.check();
    }

    /// Two callers read their answers over connections that cross, repeat, lose and cut pieces, and
    /// that are resumed. Each gets its own answer, and knows whether it is whole.
    #[test]
    fn answers_are_the_callers_own(arrivals in vec(answer_world::arrival(), 1..60)) {
        let mut world = AnswerWorld::new();
        for (attempt, arrival) in arrivals {
            world.arrive(attempt, arrival);
        }
        world.check();
    }
}
