//! Hosts that have failed to deliver a list.

use std::time::Duration;

use banyanarch::decide::EXCLUDED_FOR;
use banyanarch::decide::EXCLUDED_FOR_IF_NEEDED;
use banyanarch::decide::ListNeed;
use banyanarch::decide::ReaderFailure;
use yare::parameterized;

/// Guards against a list that stays lost for seconds because the one host that has it was asked by
/// all others at once, and against requests to a host again and again that can't be reached or whose
/// list is not needed.
#[parameterized(
    silent = { ReaderFailure::NoResponse, true, false, EXCLUDED_FOR },
    silent_and_needed = { ReaderFailure::NoResponse, true, true, EXCLUDED_FOR_IF_NEEDED },
    silent_and_not_needed = { ReaderFailure::NoResponse, false, true, EXCLUDED_FOR },
    stale = { ReaderFailure::Stale, true, false, EXCLUDED_FOR },
    other_list_stale = { ReaderFailure::Stale, true, true, Duration::ZERO },
)]
fn a_host_is_asked_again_sooner_if_it_reports_a_list_that_is_needed(
    failure: ReaderFailure,
    lacks_list: bool,
    is_reported_fresh: bool,
    expected: Duration,
) {
    let need = ListNeed {
        lacks_list,
        is_reported_fresh,
        is_reported_alone: true,
    };
    assert_eq!(failure.excluded_for(need), expected);
}

/// Guards against a host that is asked for its manifest again right after that was stale.
#[test]
fn a_report_on_several_lists_does_not_end_an_exclusion() {
    let need = ListNeed {
        lacks_list: true,
        is_reported_fresh: true,
        is_reported_alone: false,
    };
    assert_eq!(ReaderFailure::Stale.excluded_for(need), EXCLUDED_FOR);
}
