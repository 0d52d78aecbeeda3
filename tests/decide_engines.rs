//! Tests of the choice of engines for long and short prompts, without a network.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::decide::LimitState;
use banyanarch::decide::RefuseReason;
use banyanarch::decide::UpstreamLoad;
use banyanarch::decide::engines::EngineChoice;
use banyanarch::decide::engines::EnginePlan;
use banyanarch::decide::engines::EngineRequest;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::MemoryReservation;
use banyanarch::decide::engines::PromptClass;
use banyanarch::decide::engines::boundary;
use banyanarch::decide::engines::choose_engines;
use banyanarch::decide::engines::count_engines;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use yare::parameterized;

/// Engines that read 256 tokens per ms and take 0.925 ms per token step, with 46 steps per pass.
fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory_tokens: Tokens(450_000),
        stride: 46,
        step_ms: 0.925,
        step_per_sequence_ms: 0.00483,
        step_per_kilotoken_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        prefill_per_megapair_ms: 0.0917,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engines(count: usize) -> Vec<EngineView> {
    let engine = |index: usize| EngineView {
        id: format!("e{index:02}").parse().unwrap(),
        load: UpstreamLoad::default(),
        is_near: true,
        slowdown: Slowdown::NONE,
        limit: LimitState::Unlimited,
    };
    (0..count).map(engine).collect()
}

/// Gives all engines this read backlog, and prompts being read whose first event is due in `due`.
fn set_backlog(engines: &mut [EngineView], backlog: Duration, due: Option<Duration>) {
    for engine in engines {
        engine.load.prefill_backlog = backlog;
        engine.load.prefill_due = due;
    }
}

fn request(prompt: u64) -> EngineRequest {
    EngineRequest {
        prompt: Tokens(prompt),
        output: Tokens(1_600),
        objective_left: ms(if prompt > 100_000 { 3_000 } else { 300 }),
        patience_left: ms(if prompt > 100_000 { 12_000 } else { 2_000 }),
        time_left: ms(15_000),
        slot_wait_left: ms(3_000),
        strictest_pause: Some(Duration::from_millis(200)),
        local_load_age_max: Duration::ZERO,
        remote_load_age_max: Duration::ZERO,
        spans_domains: false,
        shuffle_seed: 7,
    }
}

fn plan(choice: EngineChoice) -> EnginePlan {
    match choice {
        EngineChoice::Send(plan) => plan,
        other => panic!("not sent: {other:?}"),
    }
}

fn index(id: &banyanarch::units::UpstreamId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

#[parameterized(
    short = { 5_000, 20 },
    medium = { 45_000, 268 },
    long = { 210_000, 2_842 },
)]
fn reading_takes_what_the_published_model_says(prompt: u64, expected_ms: u128) {
    assert_eq!(
        model().prefill_time(Tokens(prompt)).as_millis(),
        expected_ms
    );
}

#[test]
fn writers_hardly_lengthen_a_pass() {
    let alone = model().pass_time(1, Tokens(5_000));
    let full = model().pass_time(16, Tokens(80_000));
    assert!(alone >= ms(43) && full <= ms(60), "{alone:?} {full:?}");
}

/// Makes an engine write `count` short answers.
fn set_short_answers(engine: &mut EngineView, count: u32) {
    engine.load.in_flight = count;
    engine.load.short_in_flight = count;
    engine.load.strictest_pause = Some(ms(200));
    engine.load.held_tokens = Tokens(u64::from(count) * 6_500);
}

/// If one engine read the whole of a long prompt, every answer that it writes would pause for three
/// seconds.
#[test]
fn a_long_prompt_is_read_by_many_engines_in_equal_parts() {
    let plan = plan(choose_engines(&model(), &engines(23), &request(210_000)));
    assert!(plan.helpers.len() >= 15, "{plan:?}");
    assert!(plan.part_time <= ms(180), "{:?}", plan.part_time);
    let count = plan.helpers.len() + 1;
    let mut readers = plan.helpers.clone();
    readers.push(plan.leader);
    readers.sort();
    readers.dedup();
    assert_eq!(readers.len(), count, "no engine reads two parts");
}

#[test]
fn short_prompts_go_to_the_first_engines_and_long_ones_to_the_others() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        set_short_answers(engine, 6);
    }
    let short = plan(choose_engines(&model(), &engines, &request(5_000)));
    assert!(index(&short.leader) < 4, "{short:?}");
    assert!(short.helpers.is_empty());
    let long = plan(choose_engines(&model(), &engines, &request(210_000)));
    let readers = long.helpers.iter().chain([&long.leader]);
    assert!(readers.clone().all(|id| index(id) >= 4), "{long:?}");
}

/// The load can change from long to short prompts within a second. With a fixed boundary the short
/// prompts would queue on the engines that were enough for them before, while the others are idle.
#[test]
fn the_boundary_follows_the_number_of_short_answers() {
    let mut engines = engines(23);
    let first_long_engine = |engines: &[EngineView]| {
        let long = plan(choose_engines(&model(), engines, &request(210_000)));
        let readers = long.helpers.iter().chain([&long.leader]);
        readers.map(index).min().unwrap()
    };
    let idle = first_long_engine(&engines);
    for engine in &mut engines[..12] {
        set_short_answers(engine, 14);
    }
    let loaded = first_long_engine(&engines);
    assert!(idle < 3 && loaded > 12, "{idle} {loaded}");
    for engine in &mut engines {
        set_short_answers(engine, 16);
        engine.load.in_flight = 12;
    }
    let kept = boundary::short_engine_count(&model(), &engines);
    assert!(kept < 23, "long prompts keep some engines");
}

#[test]
fn a_short_prompt_goes_to_an_idle_engine_for_long_prompts_when_its_own_are_full() {
    let mut engines = engines(8);
    for engine in &mut engines[..6] {
        set_short_answers(engine, 16);
    }
    engines[6].load.prefill_backlog = ms(200);
    let plan = plan(choose_engines(&model(), &engines, &request(5_000)));
    assert_eq!(index(&plan.leader), 7);
}

#[test]
fn when_all_slots_are_taken_a_request_waits_only_while_it_is_on_time() {
    let mut engines = engines(4);
    for engine in &mut engines {
        set_short_answers(engine, 16);
    }
    let choice = choose_engines(&model(), &engines, &request(5_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    let late = EngineRequest {
        objective_left: Duration::ZERO,
        ..request(5_000)
    };
    let refused = choose_engines(&model(), &engines, &late);
    assert!(
        matches!(
            refused,
            EngineChoice::Refuse {
                reason: RefuseReason::QueueFull,
                ..
            }
        ),
        "{refused:?}"
    );
}

/// Engines read the newest part first, so each of ten long prompts that arrive together delays
/// those before it, and the first callers' answers are seconds late.
#[test]
fn a_long_prompt_waits_at_its_host_while_it_would_make_others_late() {
    let mut engines = engines(23);
    set_backlog(&mut engines, ms(600), Some(ms(750)));
    let choice = choose_engines(&model(), &engines, &request(210_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    let urgent = EngineRequest {
        objective_left: ms(1_000),
        ..request(210_000)
    };
    let choice = choose_engines(&model(), &engines, &urgent);
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
    // No prompt would be late because of it.
    set_backlog(&mut engines, ms(600), Some(ms(2_000)));
    let choice = choose_engines(&model(), &engines, &request(210_000));
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
}

/// A long prompt that would be slightly late was refused, retried as a new request and refused
/// again, although its caller would have waited for ten seconds and engines were idle after five.
#[test]
fn a_long_prompt_that_will_be_late_waits_behind_others_while_its_caller_stays() {
    let mut engines = engines(23);
    set_backlog(&mut engines, ms(2_900), None);
    let choice = choose_engines(&model(), &engines, &request(210_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    let late = EngineRequest {
        objective_left: Duration::ZERO,
        patience_left: ms(5_000),
        ..request(210_000)
    };
    set_backlog(&mut engines, ms(100), Some(ms(200)));
    let choice = choose_engines(&model(), &engines, &late);
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    set_backlog(&mut engines, Duration::ZERO, None);
    let choice = choose_engines(&model(), &engines, &late);
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
}

/// More long prompts arrive than engines can read while their callers wait. Kept at the host, they
/// would be refused when it is too late for the caller to try elsewhere.
#[test]
fn a_long_prompt_that_cannot_be_read_before_its_caller_leaves_is_refused_at_once() {
    let mut engines = engines(23);
    set_backlog(&mut engines, ms(11_900), None);
    let choice = choose_engines(&model(), &engines, &request(210_000));
    let EngineChoice::Refuse {
        reason,
        retry_after,
    } = choice
    else {
        panic!("{choice:?}");
    };
    assert_eq!(reason, RefuseReason::QueueFull);
    assert!(retry_after >= ms(2_000), "{retry_after:?}");
}

#[test]
fn a_prompt_that_cannot_meet_its_deadline_is_refused_at_once() {
    let hopeless = EngineRequest {
        time_left: ms(600),
        ..request(210_000)
    };
    let refused = choose_engines(&model(), &engines(23), &hopeless);
    assert!(
        matches!(
            refused,
            EngineChoice::Refuse {
                reason: RefuseReason::Deadline,
                ..
            }
        ),
        "{refused:?}"
    );
}

/// Split over all engines, the parts of one long prompt would lengthen the pauses of all short
/// answers beyond what their callers accept.
#[test]
fn no_part_goes_to_an_engine_whose_pauses_would_become_too_long() {
    let mut engines = engines(23);
    for engine in &mut engines[..18] {
        set_short_answers(engine, 6);
    }
    let plan = plan(choose_engines(&model(), &engines, &request(210_000)));
    let readers: Vec<usize> = plan
        .helpers
        .iter()
        .chain([&plan.leader])
        .map(index)
        .collect();
    assert!(readers.iter().all(|reader| *reader >= 18), "{readers:?}");
    assert!(readers.len() >= 4, "{readers:?}");
}

/// A prompt of 45,000 tokens is read in parts that fit into the pauses of short answers, so it does
/// not wait behind long prompts.
#[test]
fn a_medium_prompt_is_read_and_answered_among_short_ones() {
    let mut engines = engines(23);
    for engine in &mut engines[..6] {
        set_short_answers(engine, 8);
    }
    for engine in &mut engines[7..] {
        engine.load.prefill_backlog = ms(2_000);
    }
    let medium = EngineRequest {
        objective_left: ms(1_500),
        ..request(45_000)
    };
    let plan = plan(choose_engines(&model(), &engines, &medium));
    let readers: Vec<usize> = plan
        .helpers
        .iter()
        .chain([&plan.leader])
        .map(index)
        .collect();
    assert!(readers.iter().all(|reader| *reader < 7), "{readers:?}");
    assert!(plan.part_time <= ms(70), "{:?}", plan.part_time);
}

/// A prompt of 900,000 tokens needs twice the memory of one engine. If it were refused as too
/// large, it would never run, although the fleet has the memory of twenty engines.
#[test]
fn a_prompt_larger_than_one_engine_reserves_memory_on_several() {
    let plan = plan(choose_engines(&model(), &engines(23), &request(900_000)));
    let reserved: u64 = plan
        .reservations
        .iter()
        .map(|reservation| reservation.tokens.0)
        .sum();
    assert_eq!(reserved, 901_600);
    assert_eq!(plan.reservations.len(), 3, "no more engines than it needs");
    assert_eq!(plan.reservations[0].engine, plan.leader);
    for reservation in &plan.reservations[1..] {
        assert!(plan.helpers.contains(&reservation.engine));
        assert!(reservation.tokens.0 <= 436_500);
    }
}

/// If two hosts send a prompt of 300,000 tokens to one engine at the same moment, the engine has
/// memory for only one. Without a reservation the other waits inside the engine for seconds,
/// although its other parts have been read.
#[test]
fn the_memory_of_a_long_answer_is_reserved_at_its_leader_too() {
    let plan = plan(choose_engines(&model(), &engines(23), &request(210_000)));
    assert_eq!(plan.reservations[0].engine, plan.leader);
    let reserved: u64 = plan
        .reservations
        .iter()
        .map(|reservation| reservation.tokens.0)
        .sum();
    assert_eq!(reserved, 211_600);
    let mut full = engines(23);
    for engine in &mut full {
        engine.load.held_tokens = Tokens(440_000);
    }
    let choice = choose_engines(&model(), &full, &request(210_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
}

/// The leader's part of a long prompt was not read for four seconds after all other parts had been
/// read: the leader also helped with other prompts, whose parts are read first, and more of them
/// kept arriving.
#[test]
fn an_engine_that_writes_long_answers_does_not_help_with_long_prompts() {
    let mut engines = engines(23);
    for engine in &mut engines[..2] {
        set_short_answers(engine, 2);
    }
    let mut leaders = Vec::new();
    let mut helpers = Vec::new();
    for _ in 0..6 {
        let plan = plan(choose_engines(&model(), &engines, &request(210_000)));
        let leader = index(&plan.leader);
        engines[leader].load.in_flight += 1;
        engines[leader].load.strictest_pause = Some(ms(800));
        engines[leader].load.prefill_backlog += plan.part_time;
        for reservation in &plan.reservations {
            engines[index(&reservation.engine)].load.held_tokens += reservation.tokens;
        }
        leaders.push(leader);
        helpers.extend(plan.helpers.iter().map(index));
    }
    assert!(
        leaders.iter().all(|leader| !helpers.contains(leader)),
        "{leaders:?}"
    );
}

#[test]
fn a_prompt_larger_than_all_memory_is_refused() {
    let refused = choose_engines(&model(), &engines(2), &request(1_000_000));
    assert!(
        matches!(
            refused,
            EngineChoice::Refuse {
                reason: RefuseReason::TooLarge,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[test]
fn without_engines_a_request_is_refused() {
    let refused = choose_engines(&model(), &[], &request(5_000));
    assert!(
        matches!(
            refused,
            EngineChoice::Refuse {
                reason: RefuseReason::NoUpstream,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[parameterized(
    short = { 20_000, PromptClass::Short },
    medium = { 45_000, PromptClass::Medium },
    long = { 210_000, PromptClass::Long },
)]
fn the_class_follows_from_reading_time_and_memory(prompt: u64, expected: PromptClass) {
    assert_eq!(request(prompt).class(&model()), expected);
}

/// Sixty hosts with slightly outdated reports get a burst of short prompts. All see the same engine
/// as the least busy by a few milliseconds, and without a random choice all would use it.
#[test]
fn hosts_with_the_same_view_spread_over_engines_that_are_about_equal() {
    let mut engines = engines(23);
    for (index, engine) in engines.iter_mut().enumerate() {
        set_short_answers(engine, 6);
        engine.load.prefill_backlog = Duration::from_micros(100 * index as u64);
    }
    let chosen = (0..60_u32).map(|host| {
        let request = EngineRequest {
            local_load_age_max: ms(170),
            remote_load_age_max: ms(170),
            shuffle_seed: host.wrapping_mul(0x85EB_CA6B),
            ..request(5_000)
        };
        index(&plan(choose_engines(&model(), &engines, &request)).leader)
    });
    let mut counts = [0_u32; 23];
    for leader in chosen {
        counts[leader] += 1;
    }
    let most = counts.iter().max().unwrap();
    assert!(*most <= 15, "{counts:?}");
}

/// If short answers are spread over all engines, a long prompt that arrives a second later finds no
/// engine where it would not lengthen pauses, until the longest of these answers ends.
#[test]
fn short_answers_fill_the_first_engines_before_the_next() {
    let mut engines = engines(23);
    for sent in 0..30 {
        let request = EngineRequest {
            shuffle_seed: 0x85EB_CA6B_u32.wrapping_mul(sent),
            ..request(5_000)
        };
        let leader = index(&plan(choose_engines(&model(), &engines, &request)).leader);
        let writing = engines[leader].load.in_flight + 1;
        set_short_answers(&mut engines[leader], writing);
    }
    let busy = engines.iter().filter(|e| e.load.in_flight > 0).count();
    assert!(busy <= 3, "{busy}");
}

/// Guards against hundreds of hosts that all send to one engine when callers arrive after a pause,
/// since no report shows a request in flight yet.
#[parameterized(
    whole_fleet = { 188, 6 },
    twice_the_fleet = { 376, 12 },
    large = { 39, 2 },
    small = { 23, 1 },
)]
fn a_load_that_begins_is_spread_in_proportion_to_the_engines(count: usize, spread: usize) {
    let engines = engines(count);
    let chosen = (0..600_u32).map(|host| {
        let request = EngineRequest {
            local_load_age_max: ms(490),
            remote_load_age_max: ms(490),
            shuffle_seed: host.wrapping_mul(0x85EB_CA6B),
            ..request(5_000)
        };
        index(&plan(choose_engines(&model(), &engines, &request)).leader)
    });
    let mut counts = vec![0_u32; count];
    for leader in chosen {
        counts[leader] += 1;
    }
    let used = counts.iter().filter(|count| **count > 0).count();
    assert_eq!(used, spread, "{counts:?}");
    let most = *counts.iter().max().unwrap();
    assert!(f64::from(most) <= 2.5 * 600.0 / spread as f64, "{counts:?}");
}

/// Where callers accept only pauses shorter than the pass of a full engine, no prompt would count
/// as short, and the shortest would wait for engines that they do not need.
#[parameterized(
    pause_of_the_callers = { Some(200), 20_000, PromptClass::Short },
    longer_pause = { Some(400), 40_000, PromptClass::Short },
    longer_than_fits = { Some(200), 40_000, PromptClass::Medium },
    shorter_than_a_pass = { Some(40), 5_000, PromptClass::Short },
    no_pause_stated = { None, 20_000, PromptClass::Short },
)]
fn the_longest_short_prompt_follows_from_the_strictest_pause(
    pause_ms: Option<u64>,
    prompt: u64,
    class: PromptClass,
) {
    let request = EngineRequest {
        strictest_pause: pause_ms.map(Duration::from_millis),
        ..request(prompt)
    };
    assert_eq!(request.class(&model()), class);
}

/// The counts go to the decision log. Without them a correct refusal could not be told from a wrong
/// one there.
#[test]
fn engines_are_counted_by_what_they_could_do_for_a_prompt() {
    let mut engines = engines(20);
    set_short_answers(&mut engines[0], 16);
    set_backlog(&mut engines[1..5], ms(400), None);
    engines[5].load.held_tokens = Tokens(440_000);
    for engine in &mut engines[6..] {
        engine.is_near = false;
    }
    let (near, all) = count_engines(&model(), &engines, &request(600_000));
    assert_eq!((near.engines, all.engines), (6, 20));
    assert_eq!((near.with_place, all.with_place), (5, 19));
    assert_eq!((near.with_memory, all.with_memory), (5, 19));
    assert_eq!((near.with_room, all.with_room), (5, 19));
    assert_eq!((near.idle, all.idle), (1, 15));
    assert_eq!(all.best.map(|best| best.engines), Some(15));
    assert_eq!(all.best.map(|best| best.stretched), Some(0));
}

/// A prompt was rejected after it had been sent, which cost a retry: one of its helpers already
/// helped with as many prompts as it has slots, which hosts did not count.
#[parameterized(
    medium = { 45_000 },
    long = { 300_000 },
)]
fn an_engine_without_free_helper_slots_is_not_named_as_helper(prompt: u64) {
    let mut engines = engines(23);
    for engine in &mut engines[..10] {
        engine.load.helping = model().slots;
    }
    let plan = plan(choose_engines(&model(), &engines, &request(prompt)));
    let full: Vec<&UpstreamId> = engines[..10].iter().map(|engine| &engine.id).collect();
    assert!(plan.helpers.len() >= 3, "{plan:?}");
    assert!(
        !plan.helpers.iter().any(|id| full.contains(&id)),
        "{plan:?}"
    );
}

/// 40 engines of which the first 20 are idle. The others, including those for long answers, write
/// answers.
fn half_idle() -> Vec<EngineView> {
    let mut engines = engines(40);
    for engine in &mut engines[20..] {
        set_short_answers(engine, 1);
        engine.load.short_in_flight = 0;
        engine.load.strictest_pause = Some(ms(1_000));
    }
    engines
}

fn late(prompt: u64, time_left: Duration) -> EngineRequest {
    EngineRequest {
        objective_left: Duration::ZERO,
        time_left,
        ..request(prompt)
    }
}

/// The longest prompts waited until their deadline although sixteen engines were idle: their
/// answers could be written only by one of the few engines for long answers, each of which was
/// writing one.
#[test]
fn the_longest_late_prompts_are_answered_by_an_idle_engine_if_no_other_can() {
    let plan = plan(choose_engines(
        &model(),
        &half_idle(),
        &late(800_000, ms(9_000)),
    ));
    assert_eq!(plan.helpers.len(), 15);
    assert!(index(&plan.leader) < 20, "{plan:?}");
}

/// The longest prompts waited until their deadline although sixteen engines were idle: the engines
/// with the most free memory were to reserve it, and one of them had a backlog.
#[test]
fn a_late_prompt_reserves_memory_on_engines_without_a_backlog() {
    let mut engines = engines(40);
    for engine in &mut engines[..20] {
        engine.load.held_tokens = Tokens(50_000);
    }
    set_backlog(&mut engines[20..], ms(300), None);
    let plan = plan(choose_engines(
        &model(),
        &engines,
        &late(800_000, ms(9_000)),
    ));
    assert!(
        plan.reservations
            .iter()
            .all(|reservation| index(&reservation.engine) < 20),
        "{plan:?}"
    );
}

/// A prompt that idle engines would read in three seconds was refused on arrival, ten seconds
/// before its deadline, because all but a few engines had short answers at that moment.
#[parameterized(
    enough_time = { 9_000, true },
    too_short_for_idle_engines = { 3_500, false },
)]
fn a_late_prompt_waits_while_idle_engines_could_meet_its_deadline(left_ms: u64, waits: bool) {
    let mut engines = engines(40);
    for engine in &mut engines[..36] {
        set_short_answers(engine, 9);
    }
    let choice = choose_engines(&model(), &engines, &late(1_000_000, ms(left_ms)));
    let is_expected = match choice {
        EngineChoice::Wait(_) => waits,
        EngineChoice::Refuse { reason, .. } => !waits && reason == RefuseReason::Deadline,
        EngineChoice::Send(_) => false,
    };
    assert!(is_expected, "{choice:?}");
}

/// The longest prompts waited until their deadline although sixteen engines were idle: an idle
/// engine with an overdue prompt was ordered after one that writes an answer, to which no long part
/// may be sent.
#[test]
fn a_late_prompt_takes_idle_engines_before_those_that_write() {
    let mut engines = half_idle();
    set_backlog(&mut engines[..20], Duration::ZERO, Some(Duration::ZERO));
    let plan = plan(choose_engines(
        &model(),
        &engines,
        &late(800_000, ms(9_000)),
    ));
    assert!(plan.helpers.iter().all(|id| index(id) < 20), "{plan:?}");
}

#[test]
fn memory_that_an_engine_has_just_refused_is_reserved_elsewhere() {
    let mut engines = engines(23);
    for engine in &mut engines[..20] {
        engine.load.refused_tokens = Some(Tokens(50_000));
    }
    let plan = plan(choose_engines(&model(), &engines, &request(300_000)));
    let exceeds_refusal = |reservation: &MemoryReservation| {
        let is_refused = index(&reservation.engine) < 20;
        is_refused && reservation.tokens >= Tokens(50_000)
    };
    assert!(!plan.reservations.iter().any(exceeds_refusal), "{plan:?}");
}

/// An engine that has set a rate limit was asked to read parts of other prompts, or got more
/// requests than the limit allows.
#[test]
fn an_engine_with_a_rate_limit_is_no_helper_and_gets_what_its_limit_allows() {
    let mut engines = engines(20);
    engines[0].limit = LimitState::Exhausted;
    engines[1].limit = LimitState::Open;
    let short = plan(choose_engines(&model(), &engines, &request(5_000)));
    assert_ne!(index(&short.leader), 0);
    for shuffle_seed in 0..20 {
        let long = EngineRequest {
            shuffle_seed,
            ..request(210_000)
        };
        let long = plan(choose_engines(&model(), &engines, &long));
        assert_ne!(index(&long.leader), 0);
        let helpers: Vec<usize> = long.helpers.iter().map(index).collect();
        assert!(
            !helpers.contains(&0) && !helpers.contains(&1),
            "{helpers:?}"
        );
    }
}
