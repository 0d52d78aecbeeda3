//! Which upstreams a restored store lists although they had left, decided without a network.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::ReturnedUpstreams;
use banyanarch::units::StoreEra;
use banyanarch::units::UpstreamId;
use indexmap::IndexSet;
use yare::parameterized;

fn ids(names: &[&str]) -> IndexSet<UpstreamId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against an upstream that has left and counts as new, and against one that was silent for a
/// while or listed for the first time and counts as gone.
#[parameterized(
    restored = { Some(1), Some(2), 5, &["left"] },
    same_era = { Some(1), Some(1), 5, &[] },
    era_unknown = { Some(1), None, 5, &[] },
    era_unknown_before = { None, Some(2), 5, &[] },
    long_ago = { Some(1), Some(2), 61, &[] },
)]
fn an_upstream_that_had_left_is_returned_by_a_later_era(
    before: Option<u16>,
    after: Option<u16>,
    wait_s: u64,
    expected: &[&str],
) {
    let now = Instant::now();
    let mut known = ReturnedUpstreams::default();
    let era = |era: Option<u16>| era.map(StoreEra);
    assert!(
        known
            .on_list(ids(&["left", "b"]), era(before), now)
            .is_empty()
    );
    assert!(known.on_list(ids(&["b"]), era(before), now).is_empty());
    let later = now + Duration::from_secs(wait_s);
    let returned = known.on_list(ids(&["left", "b", "new"]), era(after), later);
    assert_eq!(returned.into_iter().collect::<IndexSet<_>>(), ids(expected));
}

/// Guards against an upstream that has left and is used after a second restore.
#[test]
fn an_upstream_that_had_left_is_returned_by_each_later_era() {
    let now = Instant::now();
    let mut known = ReturnedUpstreams::default();
    known.on_list(ids(&["left"]), Some(StoreEra(1)), now);
    known.on_list(ids(&[]), Some(StoreEra(1)), now);
    for era in 2..5 {
        let returned = known.on_list(ids(&["left"]), Some(StoreEra(era)), now);
        assert_eq!(returned.len(), 1);
    }
}
