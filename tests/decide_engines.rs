//! Which engines read a prompt: loads of long prompts among short ones, without a network.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::decide::LimitState;
use banyanarch::decide::RefuseReason;
use banyanarch::decide::UpstreamLoad;
use banyanarch::decide::engines::EngineAsk;
use banyanarch::decide::engines::EngineChoice;
use banyanarch::decide::engines::EnginePlan;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::PromptClass;
use banyanarch::decide::engines::Reserve;
use banyanarch::decide::engines::border;
use banyanarch::decide::engines::choose_engines;
use banyanarch::decide::engines::survey_engines;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use yare::parameterized;

/// Engines that read 256 tokens a ms and write a token step in 0.925 ms, 46 steps a pass.
fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory_tokens: Tokens(450_000),
        stride: 46,
        step_ms: 0.925,
        step_per_writer_ms: 0.00483,
        step_per_kilotoken_ms: 0.00254,
        read_tokens_per_ms: 256.0,
        read_per_megapair_ms: 0.0917,
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

/// All engines have this much to read; the first of it is due in `due`.
fn set_reading(engines: &mut [EngineView], backlog: Duration, due: Option<Duration>) {
    for engine in engines {
        engine.load.prefill_backlog = backlog;
        engine.load.prefill_due = due;
    }
}

fn ask(prompt: u64) -> EngineAsk {
    EngineAsk {
        prompt: Tokens(prompt),
        output: Tokens(1_600),
        objective_left: ms(if prompt > 100_000 { 3_000 } else { 300 }),
        patience_left: ms(if prompt > 100_000 { 12_000 } else { 2_000 }),
        time_left: ms(15_000),
        strictest_pause: Some(Duration::from_millis(200)),
        news_age: Duration::ZERO,
        far_news_age: Duration::ZERO,
        is_far: false,
        draw: 7,
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
    assert_eq!(model().read_time(Tokens(prompt)).as_millis(), expected_ms);
}

#[test]
fn writers_hardly_lengthen_a_pass() {
    let alone = model().pass_time(1, Tokens(5_000));
    let full = model().pass_time(16, Tokens(80_000));
    assert!(alone >= ms(43) && full <= ms(60), "{alone:?} {full:?}");
}

/// Puts short answers on an engine.
fn write_short(engine: &mut EngineView, count: u32) {
    engine.load.in_flight = count;
    engine.load.short_in_flight = count;
    engine.load.strictest_pause = Some(ms(200));
    engine.load.held_tokens = Tokens(u64::from(count) * 6_500);
}

/// A caller at the counter waits for a clause while an archive is read. One engine reads all of it,
/// and every answer that it was writing stands still for three seconds.
#[test]
fn a_long_prompt_is_read_by_many_engines_in_equal_parts() {
    let plan = plan(choose_engines(&model(), &engines(23), &ask(210_000)));
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
fn short_prompts_stay_on_the_first_engines_and_long_ones_off_them() {
    let mut engines = engines(23);
    for engine in &mut engines[..4] {
        write_short(engine, 6);
    }
    let short = plan(choose_engines(&model(), &engines, &ask(5_000)));
    assert!(index(&short.leader) < 4, "{short:?}");
    assert!(short.helpers.is_empty());
    let long = plan(choose_engines(&model(), &engines, &ask(210_000)));
    let readers = long.helpers.iter().chain([&long.leader]);
    assert!(readers.clone().all(|id| index(id) >= 4), "{long:?}");
}

/// The load turns from archives to clauses within a second. Without a border that moves, the short
/// prompts queue on the engines that were enough for them before, and the others idle.
#[test]
fn the_border_follows_the_number_of_short_answers() {
    let mut engines = engines(23);
    let reach = |engines: &[EngineView]| {
        let long = plan(choose_engines(&model(), engines, &ask(210_000)));
        let readers = long.helpers.iter().chain([&long.leader]);
        readers.map(index).min().unwrap()
    };
    let at_rest = reach(&engines);
    for engine in &mut engines[..12] {
        write_short(engine, 14);
    }
    let under_load = reach(&engines);
    assert!(at_rest < 3 && under_load > 12, "{at_rest} {under_load}");
    for engine in &mut engines {
        write_short(engine, 16);
        engine.load.in_flight = 12;
    }
    let kept = border::short_border(&model(), &engines);
    assert!(kept < 23, "long prompts keep some engines");
}

#[test]
fn a_short_prompt_spills_over_to_idle_engines_of_long_ones() {
    let mut engines = engines(8);
    for engine in &mut engines[..6] {
        write_short(engine, 16);
    }
    engines[6].load.prefill_backlog = ms(200);
    let plan = plan(choose_engines(&model(), &engines, &ask(5_000)));
    assert_eq!(index(&plan.leader), 7);
}

#[test]
fn when_all_places_are_taken_a_request_waits_only_while_it_is_on_time() {
    let mut engines = engines(4);
    for engine in &mut engines {
        write_short(engine, 16);
    }
    let waits = choose_engines(&model(), &engines, &ask(5_000));
    assert!(matches!(waits, EngineChoice::Wait(_)), "{waits:?}");
    let late = EngineAsk {
        objective_left: Duration::ZERO,
        ..ask(5_000)
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

/// Ten archives arrive together. Engines read the newest part first, so each one that is sent puts off
/// those before it: the first callers' answers come seconds after their time, one after the other.
#[test]
fn a_long_prompt_waits_at_its_host_while_it_would_make_others_late() {
    let mut engines = engines(23);
    set_reading(&mut engines, ms(600), Some(ms(750)));
    let choice = choose_engines(&model(), &engines, &ask(210_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    let pressed = EngineAsk {
        objective_left: ms(1_000),
        ..ask(210_000)
    };
    let choice = choose_engines(&model(), &engines, &pressed);
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
    // Nothing there comes late by it.
    set_reading(&mut engines, ms(600), Some(ms(2_000)));
    let choice = choose_engines(&model(), &engines, &ask(210_000));
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
}

/// An audit that comes a moment late is turned away, comes back, is taken for a new one and turned away
/// again, while its caller would have waited for ten seconds and engines idle after five.
#[test]
fn a_long_prompt_that_will_be_late_waits_behind_others_while_its_caller_stays() {
    let mut engines = engines(23);
    set_reading(&mut engines, ms(2_900), None);
    let choice = choose_engines(&model(), &engines, &ask(210_000));
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    let late = EngineAsk {
        objective_left: Duration::ZERO,
        patience_left: ms(5_000),
        ..ask(210_000)
    };
    set_reading(&mut engines, ms(100), Some(ms(200)));
    let choice = choose_engines(&model(), &engines, &late);
    assert!(matches!(choice, EngineChoice::Wait(_)), "{choice:?}");
    set_reading(&mut engines, Duration::ZERO, None);
    let choice = choose_engines(&model(), &engines, &late);
    assert!(matches!(choice, EngineChoice::Send(_)), "{choice:?}");
}

/// More archives come than engines can read while their callers stay. Kept at the host they are turned
/// away in the end, when it is too late to ask anybody else.
#[test]
fn a_long_prompt_that_would_come_after_its_caller_has_left_is_told_so_at_once() {
    let mut engines = engines(23);
    set_reading(&mut engines, ms(11_900), None);
    let choice = choose_engines(&model(), &engines, &ask(210_000));
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
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let hopeless = EngineAsk {
        time_left: ms(600),
        ..ask(210_000)
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

/// Clauses are being written on all engines when an archive comes. Split over all of them, its parts
/// stretch the pauses of every clause beyond what the callers accept, for the sake of one audit.
#[test]
fn no_part_goes_where_it_would_stretch_pauses_too_far() {
    let mut engines = engines(23);
    for engine in &mut engines[..18] {
        write_short(engine, 6);
    }
    let plan = plan(choose_engines(&model(), &engines, &ask(210_000)));
    let readers: Vec<usize> = plan
        .helpers
        .iter()
        .chain([&plan.leader])
        .map(index)
        .collect();
    assert!(readers.iter().all(|reader| *reader >= 18), "{readers:?}");
    assert!(readers.len() >= 4, "{readers:?}");
}

/// A summary of 45,000 tokens is read among clauses in parts that fit into their pauses, so it does
/// not wait behind the archives.
#[test]
fn a_medium_prompt_is_read_and_answered_among_short_ones() {
    let mut engines = engines(23);
    for engine in &mut engines[..6] {
        write_short(engine, 8);
    }
    for engine in &mut engines[7..] {
        engine.load.prefill_backlog = ms(2_000);
    }
    let medium = EngineAsk {
        objective_left: ms(1_500),
        ..ask(45_000)
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

/// A prompt of 900,000 tokens needs twice the memory of an engine. Refused as too large it never
/// runs anywhere, on a fleet with the memory of twenty.
#[test]
fn a_prompt_of_several_engines_memory_reserves_it() {
    let plan = plan(choose_engines(&model(), &engines(23), &ask(900_000)));
    let reserved: u64 = plan.reserves.iter().map(|reserve| reserve.tokens.0).sum();
    assert_eq!(reserved, 901_600);
    assert_eq!(plan.reserves.len(), 3, "no more engines than it needs");
    assert_eq!(plan.reserves[0].engine, plan.leader);
    for reserve in &plan.reserves[1..] {
        assert!(plan.helpers.contains(&reserve.engine));
        assert!(reserve.tokens.0 <= 436_500);
    }
}

/// Two hosts send a prompt of 300,000 tokens to one engine in the same moment. It holds one of them;
/// the other waits inside for seconds, with its parts read everywhere else.
#[test]
fn the_memory_of_a_long_answer_is_set_aside_at_its_leader_too() {
    let plan = plan(choose_engines(&model(), &engines(23), &ask(210_000)));
    assert_eq!(plan.reserves[0].engine, plan.leader);
    let reserved: u64 = plan.reserves.iter().map(|reserve| reserve.tokens.0).sum();
    assert_eq!(reserved, 211_600);
    let mut full = engines(23);
    for engine in &mut full {
        engine.load.held_tokens = Tokens(440_000);
    }
    let waits = choose_engines(&model(), &full, &ask(210_000));
    assert!(matches!(waits, EngineChoice::Wait(_)), "{waits:?}");
}

/// An audit's own part is not read for four seconds, while all its other parts have been. Its engine
/// helps with other prompts as well, whose parts go first, and more of them keep coming.
#[test]
fn an_engine_that_writes_long_answers_does_not_help_with_long_prompts() {
    let mut engines = engines(23);
    for engine in &mut engines[..2] {
        write_short(engine, 2);
    }
    let mut leaders = Vec::new();
    let mut helpers = Vec::new();
    for _ in 0..6 {
        let plan = plan(choose_engines(&model(), &engines, &ask(210_000)));
        let led = index(&plan.leader);
        engines[led].load.in_flight += 1;
        engines[led].load.strictest_pause = Some(ms(800));
        engines[led].load.prefill_backlog += plan.part_time;
        for reserve in &plan.reserves {
            engines[index(&reserve.engine)].load.held_tokens += reserve.tokens;
        }
        leaders.push(led);
        helpers.extend(plan.helpers.iter().map(index));
    }
    assert!(
        leaders.iter().all(|leader| !helpers.contains(leader)),
        "{leaders:?}"
    );
}

#[test]
fn a_prompt_beyond_all_memory_is_refused() {
    let refused = choose_engines(&model(), &engines(2), &ask(1_000_000));
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
    let refused = choose_engines(&model(), &[], &ask(5_000));
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
fn the_class_follows_from_time_to_read_and_memory(prompt: u64, expected: PromptClass) {
    assert_eq!(ask(prompt).class(&model()), expected);
}

/// Sixty hosts, each a little late in what it knows, get a burst of clauses. All see the same engine
/// as the least busy by a few milliseconds, and all take it.
#[test]
fn hosts_that_see_the_same_spread_over_engines_that_are_about_equal() {
    let mut engines = engines(23);
    for (index, engine) in engines.iter_mut().enumerate() {
        write_short(engine, 6);
        engine.load.prefill_backlog = Duration::from_micros(100 * index as u64);
    }
    let chosen = (0..60_u32).map(|host| {
        let ask = EngineAsk {
            news_age: ms(170),
            far_news_age: ms(170),
            draw: host.wrapping_mul(0x85EB_CA6B),
            ..ask(5_000)
        };
        index(&plan(choose_engines(&model(), &engines, &ask)).leader)
    });
    let mut counts = [0_u32; 23];
    for leader in chosen {
        counts[leader] += 1;
    }
    let most = counts.iter().max().unwrap();
    assert!(*most <= 15, "{counts:?}");
}

/// Clauses, then archives a second later: every engine writes a few answers to clauses for as long as the
/// longest of them takes, and no archive can be read on any without stretching somebody's pauses.
#[test]
fn answers_to_clauses_fill_the_first_engines_before_the_next() {
    let mut engines = engines(23);
    for sent in 0..30 {
        let ask = EngineAsk {
            draw: 0x85EB_CA6B_u32.wrapping_mul(sent),
            ..ask(5_000)
        };
        let leader = index(&plan(choose_engines(&model(), &engines, &ask)).leader);
        let writing = engines[leader].load.in_flight + 1;
        write_short(&mut engines[leader], writing);
    }
    let busy = engines.iter().filter(|e| e.load.in_flight > 0).count();
    assert!(busy <= 3, "{busy}");
}

/// Callers accept shorter pauses than a full engine's pass takes. No prompt is short any more, and the
/// shortest wait for engines that they don't need.
#[parameterized(
    pause_of_the_callers = { Some(200), 20_000, PromptClass::Short },
    longer_pause = { Some(400), 40_000, PromptClass::Short },
    longer_than_fits = { Some(200), 40_000, PromptClass::Medium },
    shorter_than_a_pass = { Some(40), 5_000, PromptClass::Short },
    nobody_says = { None, 20_000, PromptClass::Short },
)]
fn how_long_a_short_prompt_may_be_follows_the_strictest_pause(
    pause_ms: Option<u64>,
    prompt: u64,
    class: PromptClass,
) {
    let ask = EngineAsk {
        strictest_pause: pause_ms.map(Duration::from_millis),
        ..ask(prompt)
    };
    assert_eq!(ask.class(&model()), class);
}

/// A refusal that does not say what its host saw can't be told from a wrong one.
#[test]
fn a_survey_counts_what_engines_could_do_for_a_prompt() {
    let mut engines = engines(20);
    write_short(&mut engines[0], 16);
    set_reading(&mut engines[1..5], ms(400), None);
    engines[5].load.held_tokens = Tokens(440_000);
    for engine in &mut engines[6..] {
        engine.is_near = false;
    }
    let (near, all) = survey_engines(&model(), &engines, &ask(600_000));
    assert_eq!((near.engines, all.engines), (6, 20));
    assert_eq!((near.with_place, all.with_place), (5, 19));
    assert_eq!((near.with_memory, all.with_memory), (5, 19));
    assert_eq!((near.with_room, all.with_room), (5, 19));
    assert_eq!((near.idle, all.idle), (1, 15));
    assert_eq!(all.best.map(|best| best.engines), Some(15));
    assert_eq!(all.best.map(|best| best.stretched), Some(0));
}

/// A prompt is turned away after it was sent, and costs a retry: one of its helpers reads parts for as many
/// others as it has slots, which hosts did not count.
#[parameterized(
    medium = { 45_000 },
    long = { 300_000 },
)]
fn an_engine_that_helps_as_many_as_it_has_slots_is_named_no_more(prompt: u64) {
    let mut engines = engines(23);
    for engine in &mut engines[..10] {
        engine.load.helping = model().slots;
    }
    let plan = plan(choose_engines(&model(), &engines, &ask(prompt)));
    let full: Vec<&UpstreamId> = engines[..10].iter().map(|engine| &engine.id).collect();
    assert!(plan.helpers.len() >= 3, "{plan:?}");
    assert!(
        !plan.helpers.iter().any(|id| full.contains(&id)),
        "{plan:?}"
    );
}

/// Forty engines of which the first 20 are idle; the others write answers, those for long answers too.
fn half_idle() -> Vec<EngineView> {
    let mut engines = engines(40);
    for engine in &mut engines[20..] {
        write_short(engine, 1);
        engine.load.short_in_flight = 0;
        engine.load.strictest_pause = Some(ms(1_000));
    }
    engines
}

fn late(prompt: u64, time_left: Duration) -> EngineAsk {
    EngineAsk {
        objective_left: Duration::ZERO,
        time_left,
        ..ask(prompt)
    }
}

/// The longest prompts wait until their deadline beside sixteen idle engines: their answer was to be written
/// by one of the few engines that write long answers, and each of these writes one.
#[test]
fn a_late_prompt_of_the_longest_is_led_by_an_idle_engine_where_no_other_can() {
    let plan = plan(choose_engines(
        &model(),
        &half_idle(),
        &late(800_000, ms(9_000)),
    ));
    assert_eq!(plan.helpers.len(), 15);
    assert!(index(&plan.leader) < 20, "{plan:?}");
}

/// The longest prompts wait until their deadline beside sixteen idle engines: those with the most memory free
/// were to keep it, and one of them has something left to read.
#[test]
fn a_late_prompt_is_kept_by_engines_with_nothing_left_to_read() {
    let mut engines = engines(40);
    for engine in &mut engines[..20] {
        engine.load.held_tokens = Tokens(50_000);
    }
    set_reading(&mut engines[20..], ms(300), None);
    let plan = plan(choose_engines(
        &model(),
        &engines,
        &late(800_000, ms(9_000)),
    ));
    assert!(
        plan.reserves
            .iter()
            .all(|reserve| index(&reserve.engine) < 20),
        "{plan:?}"
    );
}

/// A prompt that idle engines would read in three seconds is refused as soon as it arrives, ten seconds before
/// its deadline: all but a few engines had short answers at that moment.
#[parameterized(
    time_for_it = { 9_000, true },
    not_even_idle_engines_have_the_time = { 3_500, false },
)]
fn a_deadline_is_judged_by_what_engines_could_do_and_not_by_this_moment(left_ms: u64, waits: bool) {
    let mut engines = engines(40);
    for engine in &mut engines[..36] {
        write_short(engine, 9);
    }
    let choice = choose_engines(&model(), &engines, &late(1_000_000, ms(left_ms)));
    let is_expected = match choice {
        EngineChoice::Wait(_) => waits,
        EngineChoice::Refuse { reason, .. } => !waits && reason == RefuseReason::Deadline,
        EngineChoice::Send(_) => false,
    };
    assert!(is_expected, "{choice:?}");
}

/// The longest prompts wait until their deadline beside sixteen idle engines: where another prompt is overdue,
/// an idle engine came after one that writes an answer, which no long part may be sent to.
#[test]
fn a_late_prompt_takes_idle_engines_before_those_that_write() {
    let mut engines = half_idle();
    set_reading(&mut engines[..20], Duration::ZERO, Some(Duration::ZERO));
    let plan = plan(choose_engines(
        &model(),
        &engines,
        &late(800_000, ms(9_000)),
    ));
    assert!(plan.helpers.iter().all(|id| index(id) < 20), "{plan:?}");
}

#[test]
fn memory_that_an_engine_has_just_refused_is_taken_elsewhere() {
    let mut engines = engines(23);
    for engine in &mut engines[..20] {
        engine.load.refused_tokens = Some(Tokens(50_000));
    }
    let plan = plan(choose_engines(&model(), &engines, &ask(300_000)));
    let keeps_too_much = |reserve: &Reserve| {
        let is_refused = index(&reserve.engine) < 20;
        is_refused && reserve.tokens >= Tokens(50_000)
    };
    assert!(!plan.reserves.iter().any(keeps_too_much), "{plan:?}");
}

/// An engine that has named a limit is asked to read parts of others' prompts, or gets more than the limit allows.
#[test]
fn an_engine_in_need_helps_no_others_and_gets_what_its_limit_allows() {
    let mut engines = engines(20);
    engines[0].limit = LimitState::Exhausted;
    engines[1].limit = LimitState::Open;
    let short = plan(choose_engines(&model(), &engines, &ask(5_000)));
    assert_ne!(index(&short.leader), 0);
    for draw in 0..20 {
        let long = EngineAsk {
            draw,
            ..ask(210_000)
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
