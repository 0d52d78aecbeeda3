//! What metrics take at the size of the target. A file of its own, so that its process does nothing
//! else meanwhile.

use std::fs;
use std::time::Duration;

use banyanarch::control::outcome::Outcome;
use banyanarch::decide::LengthClass;
use banyanarch::manifest::CustomerSpec;
use banyanarch::manifest::Manifest;
use banyanarch::observe::Metrics;

const DESAI: &str = include_str!("../examples/desai/manifest.yaml");
const CUSTOMERS: usize = 670;
/// Of the 256 MB that a host may take for control.
const BUDGET_BYTES: u64 = 64 << 20;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}

/// 670 customers in steady use fill every series there can be. A host that ran out of memory for
/// them would take the requests it holds with it.
#[test]
fn the_series_of_670_customers_fit_into_a_hosts_budget() {
    let mut manifest = Manifest::parse(DESAI, "m.yaml").unwrap();
    let like = manifest.customers[0].clone();
    manifest.customers = (0..CUSTOMERS)
        .map(|n| CustomerSpec {
            name: format!("customer-{n}").parse().unwrap(),
            ..like.clone()
        })
        .collect();
    let before = resident_bytes();
    let metrics = Metrics::new().unwrap();
    metrics.set_customers(&manifest);
    for customer in &manifest.customers {
        for class in LengthClass::ALL {
            let took = Duration::from_millis(300);
            metrics.record_first_token(&customer.name, class, took);
            metrics.record_token_gap(&customer.name, class, took);
            metrics.record_queue_wait(&customer.name, class, took);
            for outcome in [Outcome::Completed, Outcome::NotRun, Outcome::MayHaveRun] {
                metrics.count_outcome(&customer.name, class, outcome, "deadline");
            }
        }
    }
    let recorded = resident_bytes() - before;
    let text = metrics.render().unwrap();
    let rendered = resident_bytes() - before;
    println!(
        "series held: {recorded} bytes; with one rendering of {}: {rendered}",
        text.len()
    );
    let counts = text.matches("time_to_first_token_seconds_count{").count();
    assert_eq!(counts, CUSTOMERS * LengthClass::ALL.len());
    assert!(!text.contains("overflow"));
    assert!(rendered < BUDGET_BYTES, "{rendered}");
}
