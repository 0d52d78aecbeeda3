//! Upstreams that have stated that they are leaving or want no requests for a time.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::AvailabilityTracker;
use banyanarch::decide::BACKOFF_MAX;
use banyanarch::decide::UpstreamAvailability;
use banyanarch::units::UpstreamId;

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against a backoff that ends early because the upstream asks for a shorter one later.
#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    assert_eq!(tracker.on_backoff(&a, seconds(5), start), Some(seconds(5)));
    assert_eq!(tracker.on_backoff(&a, seconds(1), start + seconds(1)), None);
    let availability = tracker.availability(&a, start + seconds(3));
    assert_eq!(availability, UpstreamAvailability::BackingOff(seconds(2)));
    assert_eq!(tracker.age(&a, start + seconds(3)), Some(seconds(3)));
    let availability = tracker.availability(&a, start + seconds(5));
    assert_eq!(availability, UpstreamAvailability::Available);
    assert_eq!(tracker.age(&a, start + seconds(5)), None);
}

/// Guards against a backoff without end, which would take an upstream out because of one value.
#[test]
fn a_backoff_is_bounded() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    let granted = tracker.on_backoff(&a, Duration::MAX, start);
    assert_eq!(granted, Some(BACKOFF_MAX));
    let availability = tracker.availability(&a, start + BACKOFF_MAX);
    assert_eq!(availability, UpstreamAvailability::Available);
}

/// Guards against a backoff of no time that is recorded and logged at each refusal.
#[test]
fn a_backoff_of_zero_is_none() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    assert_eq!(tracker.on_backoff(&a, Duration::ZERO, start), None);
    assert_eq!(tracker.age(&a, start), None);
}

/// Guards against a leaving upstream that gets requests again because a list names it again, or
/// because its backoff ends.
#[test]
fn an_upstream_that_leaves_stays_leaving() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    assert!(tracker.on_leaving(&a, start));
    assert!(!tracker.on_leaving(&a, start + seconds(1)));
    tracker.on_backoff(&a, seconds(3), start);
    let later = start + seconds(3_600);
    tracker.on_list(|_| true, later);
    assert_eq!(
        tracker.availability(&a, later),
        UpstreamAvailability::Leaving
    );
    tracker.on_list(|_| false, later);
    tracker.on_list(|_| true, later + seconds(59));
    let availability = tracker.availability(&a, later + seconds(59));
    assert_eq!(availability, UpstreamAvailability::Leaving);
}

/// Guards against state that grows with each upstream that was ever listed.
#[test]
fn upstreams_off_the_list_are_forgotten() {
    let (a, b, start) = (upstream("a"), upstream("b"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    tracker.on_leaving(&a, start);
    tracker.on_backoff(&b, seconds(3), start);
    tracker.on_list(|_| false, start);
    tracker.on_list(|_| false, start + seconds(60));
    let at = start + seconds(60);
    assert_eq!(
        tracker.availability(&a, at),
        UpstreamAvailability::Available
    );
    assert!(format!("{tracker:?}").len() < 60, "{tracker:?}");
}

/// Guards against a new incarnation that inherits the statements of the former one.
#[test]
fn a_new_incarnation_has_stated_nothing() {
    let name = "i-1".parse().unwrap();
    let former = UpstreamId::of_instance(&name, Some(1));
    let current = UpstreamId::of_instance(&name, Some(2));
    let start = Instant::now();
    let mut tracker = AvailabilityTracker::default();
    tracker.on_leaving(&former, start);
    tracker.on_backoff(&former, seconds(3), start);
    let availability = tracker.availability(&current, start);
    assert_eq!(availability, UpstreamAvailability::Available);
}

/// Guards against a host that repeats an old statement to the others for ever.
#[test]
fn a_leaving_upstream_is_broadcast_for_a_while() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    tracker.on_leaving(&a, start);
    assert_eq!(tracker.recently_leaving(start + seconds(1)).count(), 1);
    tracker.on_leaving(&a, start + seconds(1));
    assert_eq!(tracker.recently_leaving(start + seconds(2)).count(), 0);
}

/// Guards against an evacuated upstream that gets requests because its backoff ends, and against one
/// that gets none after its evacuation has ended.
#[test]
fn an_evacuated_upstream_is_available_again_when_the_evacuation_ends() {
    let (a, start) = (upstream("a"), Instant::now());
    let mut tracker = AvailabilityTracker::default();
    tracker.on_backoff(&a, seconds(1), start);
    assert!(tracker.set_evacuated(&a, true, start));
    assert!(!tracker.set_evacuated(&a, true, start + seconds(1)));
    let at = start + seconds(2);
    assert_eq!(
        tracker.availability(&a, at),
        UpstreamAvailability::Evacuated
    );
    assert_eq!(tracker.age(&a, at), Some(seconds(2)));
    tracker.on_list(|_| true, at);
    assert!(!tracker.is_available(&a, at));
    assert!(tracker.set_evacuated(&a, false, at));
    assert!(tracker.is_available(&a, at));
}
