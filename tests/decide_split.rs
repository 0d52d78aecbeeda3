//! Tests of the number of upstreams that are open to long prefill.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::LaneSplit;
use banyanarch::decide::SplitInput;
use banyanarch::decide::Tuning;
use banyanarch::manifest::Objective;

/// The long load arrives in every other second. The number of upstreams open to long prefill has to
/// follow the mean load and not each second, or both kinds of work meet on the same engines.
#[test]
fn the_split_does_not_oscillate() {
    let mut split = LaneSplit::new();
    let tuning = Tuning::of(Objective::ShortSlowdown);
    let start = Instant::now();
    let mut open = Vec::new();
    for second in 0..120_u64 {
        let now = start + Duration::from_secs(second);
        if second % 2 == 0 {
            split.on_admitted(120_000.0, true, now);
        }
        let input = SplitInput {
            upstreams: 20,
            speed: 8_000.0,
            long_head_wait: None,
        };
        split.update(&input, &tuning, now);
        open.push(split.open_to_long());
    }
    // After three time constants of the rate.
    let settled = &open[60..];
    let changes = settled.windows(2).filter(|pair| pair[0] != pair[1]).count();
    let (least, most) = (
        *settled.iter().min().unwrap(),
        *settled.iter().max().unwrap(),
    );
    let required = 60_000.0 / 8_000.0 / tuning.long_utilization_max;
    assert!(
        (most as f64 - required).abs() < 1.5,
        "{required} required: {open:?}"
    );
    assert!(most - least <= 1, "{open:?}");
    assert!(changes <= 4, "{changes} changes: {open:?}");
}
