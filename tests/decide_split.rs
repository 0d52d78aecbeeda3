//! How many upstreams are open to long prefill.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::LaneSplit;
use banyanarch::decide::SplitInput;
use banyanarch::decide::Tuning;
use banyanarch::manifest::Objective;

/// Long load goes up and down every second. The number of upstreams open to it must follow the
/// load, not the second.
#[test]
fn the_split_does_not_swing() {
    let mut split = LaneSplit::new();
    let tuning = Tuning::of(Objective::ShortSlowdown);
    let start = Instant::now();
    let mut seen = Vec::new();
    for second in 0..120_u64 {
        let now = start + Duration::from_secs(second);
        if second % 2 == 0 {
            split.on_admitted(120_000.0, true, now);
        }
        let input = SplitInput {
            upstreams: 20,
            speed: 8_000.0,
            long_waited: None,
        };
        split.update(&input, &tuning, now);
        seen.push(split.open_to_long());
    }
    // Three memories of the rate after the start.
    let settled = &seen[60..];
    let changes = settled.windows(2).filter(|pair| pair[0] != pair[1]).count();
    let (least, most) = (
        *settled.iter().min().unwrap(),
        *settled.iter().max().unwrap(),
    );
    let wanted = 60_000.0 / 8_000.0 / tuning.long_utilization_max;
    assert!(
        (most as f64 - wanted).abs() < 1.5,
        "{wanted} wanted: {seen:?}"
    );
    assert!(most - least <= 1, "{seen:?}");
    assert!(changes <= 4, "{changes} changes: {seen:?}");
}
