//! Test of the memory of metrics with as many customers as the largest target deployment. It is in
//! a file of its own, so that no other test changes the memory of the process.

use std::fs;
use std::time::Duration;

use banyanarch::control::outcome::Outcome;
use banyanarch::decide::LengthClass;
use banyanarch::manifest::CustomerSpec;
use banyanarch::manifest::Manifest;
use banyanarch::observe::Metrics;

const DESAI: &str = include_str!("../examples/desai/manifest.yaml");
const CUSTOMER_COUNT: usize = 670;
/// A host has 256 MB of memory; this part of it is the budget for control.
const MEMORY_BUDGET_BYTES: u64 = 64 << 20;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}

/// Requests of 670 customers create every possible series. If the series needed too much memory,
/// the host would run out of memory and lose the requests in flight.
#[test]
fn the_series_of_670_customers_fit_into_a_hosts_budget() {
    let mut manifest = Manifest::parse(DESAI, "m.yaml").unwrap();
    let template = manifest.customers[0].clone();
    manifest.customers = (0..CUSTOMER_COUNT)
        .map(|n| CustomerSpec {
            name: format!("customer-{n}").parse().unwrap(),
            ..template.clone()
        })
        .collect();
    let bytes_before = resident_bytes();
    let metrics = Metrics::new().unwrap();
    metrics.set_customers(&manifest);
    for customer in &manifest.customers {
        for class in LengthClass::ALL {
            let elapsed = Duration::from_millis(300);
            metrics.record_first_token(&customer.name, class, elapsed);
            metrics.record_token_gap(&customer.name, class, elapsed);
            metrics.record_queue_wait(&customer.name, class, elapsed);
            for outcome in [Outcome::Completed, Outcome::NotRun, Outcome::MayHaveRun] {
                metrics.count_outcome(&customer.name, class, outcome, "deadline");
            }
        }
    }
    let recorded_bytes = resident_bytes() - bytes_before;
    let text = metrics.render().unwrap();
    let rendered_bytes = resident_bytes() - bytes_before;
    println!(
        "memory of the series: {recorded_bytes} bytes; after rendering {} bytes: {rendered_bytes}",
        text.len()
    );
    let series_count = text.matches("time_to_first_token_seconds_count{").count();
    assert_eq!(series_count, CUSTOMER_COUNT * LengthClass::ALL.len());
    assert!(!text.contains("overflow"));
    assert!(rendered_bytes < MEMORY_BUDGET_BYTES, "{rendered_bytes}");
}
