//! Requests that crash upstreams after their calls have ended.

mod gateway_world;

use std::time::Duration;

use gateway_world::crash_world::BadCalls;
use gateway_world::crash_world::Common;
use gateway_world::crash_world::CrashWorld;
use gateway_world::crash_world::LATE_ARRIVALS_MAX;
use gateway_world::crashing_upstream::Crash;
use gateway_world::crashing_upstream::LastAnswer;
use yare::parameterized;

/// How long requests are sent.
const CALLED_FOR: Duration = Duration::from_secs(9);
/// The pause between two requests that crash upstreams, at any host.
const BAD_PAUSE: Duration = Duration::from_millis(250);
/// The patience of the callers that leave.
const PATIENCE: Duration = Duration::from_millis(250);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that crash upstreams and go on reaching them, since their calls have ended
/// in some way before the upstreams do.
#[parameterized(
    request_answered = { "model", Common::Request, LastAnswer::Success, millis(10), None },
    request_answered_some_time_ago = { "model", Common::Request, LastAnswer::Success, millis(1_000), None },
    request_failed = { "model", Common::Request, LastAnswer::Failure, millis(10), None },
    request_to_plain_service_failed = { "once", Common::Request, LastAnswer::Failure, millis(10), None },
    request_to_plain_service_answered = { "safe", Common::Request, LastAnswer::Success, millis(10), None },
    request_answered_for_another = { "model", Common::Request, LastAnswer::ToOther, millis(10), None },
    request_whose_caller_left = { "model", Common::Request, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
    request_to_plain_service_whose_caller_left = { "once", Common::Request, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
    request_sent_to_another_upstream_meanwhile = { "safe", Common::Request, LastAnswer::Nothing, millis(2_500), None },
    part_answered = { "model", Common::Part, LastAnswer::Success, millis(10), None },
    part_answered_some_time_ago = { "model", Common::Part, LastAnswer::Success, millis(1_000), None },
    part_failed = { "model", Common::Part, LastAnswer::Failure, millis(10), None },
    part_answered_for_another = { "model", Common::Part, LastAnswer::ToOther, millis(10), None },
    part_whose_caller_left = { "model", Common::Part, LastAnswer::Nothing, millis(300), Some(PATIENCE) },
)]
#[test_macro(tokio::test)]
async fn what_crashes_upstreams_is_found_although_its_call_has_ended(
    route: &'static str,
    common: Common,
    answer: LastAnswer,
    ends_after: Duration,
    patience: Option<Duration>,
) {
    let world = CrashWorld::start(route, Crash { answer, ends_after }).await;
    let bad = BadCalls {
        common,
        called_for: CALLED_FOR,
        pause: BAD_PAUSE,
        patience,
    };
    let (refused, sound, other_sound) = tokio::join!(
        world.call_bad("bad", bad),
        world.call_sound(0, CALLED_FOR),
        world.call_sound(1, CALLED_FOR),
    );
    let arrivals = world.bad_arrivals();
    assert!(
        refused > 0,
        "of {} none was refused: {arrivals:?}",
        arrivals.len()
    );
    let late = world.late_arrivals(common);
    assert!(late.len() <= LATE_ARRIVALS_MAX, "{late:?}");
    assert_eq!((sound, other_sound), (0, 0));
}
