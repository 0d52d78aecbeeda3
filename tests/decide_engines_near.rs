//! Engines of one's own failure domain first: what hosts of a large fleet choose.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::decide::LimitState;
use banyanarch::decide::UpstreamLoad;
use banyanarch::decide::engines::EngineAsk;
use banyanarch::decide::engines::EngineChoice;
use banyanarch::decide::engines::EnginePlan;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::choose_engines;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use indexmap::IndexSet;

/// Engines in all, and failure domains.
const ENGINES: usize = 100;
const DOMAINS: usize = 5;
/// The domain of the host that chooses; the first engine is in another one.
const OWN: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model() -> EngineModel {
    EngineModel {
        slots: 10,
        memory_tokens: Tokens(450_000),
        stride: 73,
        step_ms: 0.925,
        step_per_writer_ms: 0.004_83,
        step_per_kilotoken_ms: 0.002_54,
        read_tokens_per_ms: 256.0,
        read_per_megapair_ms: 0.091_7,
    }
}

fn engines() -> Vec<EngineView> {
    let engine = |index: usize| EngineView {
        id: format!("e{index:03}").parse().unwrap(),
        load: UpstreamLoad::default(),
        is_near: index % DOMAINS == OWN,
        slowdown: Slowdown::NONE,
        limit: LimitState::Unlimited,
    };
    (0..ENGINES).map(engine).collect()
}

fn ask(prompt: u64, draw: u32) -> EngineAsk {
    EngineAsk {
        prompt: Tokens(prompt),
        output: Tokens(1_800),
        objective_left: ms(if prompt > 100_000 { 4_000 } else { 300 }),
        patience_left: ms(12_000),
        time_left: ms(15_000),
        strictest_pause: Some(Duration::from_millis(200)),
        news_age: ms(97),
        far_news_age: ms(100),
        is_far: false,
        draw,
    }
}

fn sent(choice: EngineChoice) -> Option<EnginePlan> {
    match choice {
        EngineChoice::Send(plan) => Some(plan),
        EngineChoice::Wait(_) | EngineChoice::Refuse { .. } => None,
    }
}

fn is_near(plan: &EnginePlan) -> bool {
    let leader: usize = plan.leader.as_str()[1..].parse().unwrap();
    leader % DOMAINS == OWN
}

/// Half of all short answers of a fleet of 195 hosts come late: each host chooses among all engines by
/// what other domains have told it 40 ms ago, and all fill the same ones.
#[test]
fn short_prompts_stay_in_their_domain_while_it_is_as_good_as_others() {
    for draw in 0..50 {
        let plan = sent(choose_engines(&model(), &engines(), &ask(5_000, draw)));
        assert!(plan.as_ref().is_some_and(is_near), "{plan:?}");
    }
}

/// Half of the callers move to one domain. Its engines have long to read, and its short prompts come
/// late beside idle engines of the other domains.
#[test]
fn a_busy_domain_sends_its_short_prompts_farther() {
    let mut engines = engines();
    for engine in engines.iter_mut().filter(|engine| engine.is_near) {
        engine.load.prefill_backlog = ms(150);
    }
    for draw in 0..50 {
        let plan = sent(choose_engines(&model(), &engines, &ask(5_000, draw)));
        assert!(plan.is_some_and(|plan| !is_near(&plan)));
    }
}

/// All long prompts that wait for the engines of their domain see the same free ones in another. They
/// go there at once, reserve the same memory, and of 6,890 reservations 5,263 are for nobody.
#[test]
fn few_of_the_long_prompts_that_wait_go_farther_at_once() {
    let mut engines = engines();
    for engine in engines.iter_mut().filter(|engine| engine.is_near) {
        engine.load.prefill_backlog = ms(1_500);
    }
    let choices = (0..1_200).map(|draw| choose_engines(&model(), &engines, &ask(300_000, draw)));
    let plans: Vec<EnginePlan> = choices.filter_map(sent).collect();
    assert!(
        (50..=200).contains(&plans.len()),
        "{} go farther",
        plans.len()
    );
    let leaders: IndexSet<&str> = plans.iter().map(|plan| plan.leader.as_str()).collect();
    assert!(leaders.len() >= 4, "all go to {leaders:?}");
}

/// The longest prompts need sixteen engines that write no answers. Their domain never has as many free
/// at load; they wait for their deadline and are turned away while others have them.
#[test]
fn the_longest_prompts_that_are_late_go_wherever_engines_are_idle() {
    let mut engines = engines();
    for engine in engines.iter_mut().filter(|engine| engine.is_near) {
        engine.load.in_flight = 1;
        engine.load.strictest_pause = Some(ms(250));
    }
    // Short answers of the other domains stand anywhere in the order of engines.
    for engine in engines.iter_mut().step_by(2) {
        engine.load.in_flight = 1;
        engine.load.strictest_pause = Some(ms(250));
    }
    for draw in 1..12 {
        let late = EngineAsk {
            objective_left: Duration::ZERO,
            ..ask(700_000, draw)
        };
        let plan = sent(choose_engines(&model(), &engines, &late));
        let plan = plan.expect("sent to idle engines");
        let used = plan.helpers.iter().chain([&plan.leader]);
        let is_idle = |id: &UpstreamId| {
            let engine = engines.iter().find(|engine| engine.id == *id);
            engine.is_some_and(|engine| engine.load.in_flight == 0)
        };
        assert!(used.into_iter().all(is_idle), "{plan:?}");
    }
}

/// In a small fleet all hosts hear of each other at once, and a long prompt needs engines of all
/// domains.
#[test]
fn where_all_news_are_as_young_the_domain_does_not_matter() {
    let same_age = EngineAsk {
        far_news_age: ms(97),
        ..ask(5_000, 3)
    };
    let mut far = engines();
    let mut near = engines();
    far.iter_mut().for_each(|engine| engine.is_near = false);
    near.iter_mut().for_each(|engine| engine.is_near = true);
    let expected = choose_engines(&model(), &far, &same_age);
    assert_eq!(choose_engines(&model(), &engines(), &same_age), expected);
    assert_eq!(choose_engines(&model(), &near, &same_age), expected);
}
