//! Leases that bind only hosts in contact with the platform.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::BINDING_CONTACT;
use banyanarch::decide::CONTACT_GAP_MAX;
use banyanarch::decide::ContactTracker;
use banyanarch::decide::LeaseState;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

/// Guards against a host that counts as in contact long after it was cut off, and refuses its callers
/// for that.
#[test]
fn contact_ends_when_its_signs_do() {
    let start = Instant::now();
    let mut contact = ContactTracker::default();
    assert_eq!(contact.lasts(start), None);
    contact.on_contact(start);
    let last = start + CONTACT_GAP_MAX;
    contact.on_contact(last);
    assert_eq!(
        contact.lasts(last + CONTACT_GAP_MAX),
        Some(2 * CONTACT_GAP_MAX)
    );
    assert_eq!(contact.lasts(last + CONTACT_GAP_MAX + MS), None);
}

/// Guards against contact that shrinks when the response to an earlier call arrives after that to a
/// later one.
#[test]
fn an_earlier_sign_does_not_end_contact() {
    let start = Instant::now();
    let mut contact = ContactTracker::default();
    contact.on_contact(start);
    contact.on_contact(start + 10 * MS);
    contact.on_contact(start + 5 * MS);
    assert_eq!(contact.lasts(start + 10 * MS), Some(10 * MS));
}

/// Guards against a host that was cut off and counts that time as contact when it is back.
#[test]
fn contact_begins_anew_after_an_interruption() {
    let start = Instant::now();
    let mut contact = ContactTracker::default();
    contact.on_contact(start);
    let back = start + CONTACT_GAP_MAX + MS;
    contact.on_contact(back);
    contact.on_contact(back + MS);
    assert_eq!(contact.lasts(back + MS), Some(MS));
}

/// Guards against hosts that send by knowledge that others have replaced, and against hosts that
/// refuse their callers although they can learn nothing new.
#[parameterized(
    recent = { true, Some(BINDING_CONTACT), LeaseState::Held },
    recent_and_cut_off = { true, None, LeaseState::Held },
    old = { false, Some(BINDING_CONTACT), LeaseState::Expired },
    old_and_just_back = { false, Some(BINDING_CONTACT - MS), LeaseState::Waived },
    old_and_cut_off = { false, None, LeaseState::Waived },
)]
fn an_expired_lease_binds_hosts_in_contact(
    is_recent: bool,
    contact: Option<Duration>,
    expected: LeaseState,
) {
    let state = LeaseState::of(is_recent, contact);
    assert_eq!(state, expected);
    assert_eq!(state.allows_sends(), expected != LeaseState::Expired);
}
