//! Gauges that are read when metrics are rendered.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::observe::LedgerTotals;
use crate::observe::board_totals::BoardTotals;

pub(crate) fn observe_ledgers(meter: &Meter, ledgers: &Arc<LedgerTotals>) {
    let seen = ledgers.clone();
    let held = meter.u64_observable_gauge("ledger_held_tokens");
    held.with_callback(move |gauge| {
        for (pool, total) in seen.snapshot() {
            gauge.observe(
                total.held_tokens.0,
                &[KeyValue::new("pool", pool.to_string())],
            );
        }
    })
    .build();
    let seen = ledgers.clone();
    let capacity = meter.u64_observable_gauge("ledger_capacity_tokens");
    capacity
        .with_callback(move |gauge| {
            for (pool, total) in seen.snapshot() {
                gauge.observe(
                    total.capacity_tokens.0,
                    &[KeyValue::new("pool", pool.to_string())],
                );
            }
        })
        .build();
}

pub(crate) fn observe_board(meter: &Meter, board: &Arc<BoardTotals>) {
    let seen = board.clone();
    let generation = meter.u64_observable_gauge("manifest_generation");
    generation
        .with_callback(move |gauge| {
            if let Some(generation) = seen.latest().generation {
                gauge.observe(generation.0, &[]);
            }
        })
        .build();
    let seen = board.clone();
    let hosts = meter.u64_observable_gauge("hosts");
    hosts
        .with_callback(move |gauge| {
            for (state, count) in seen.latest().hosts {
                gauge.observe(count, &[KeyValue::new("state", state)]);
            }
        })
        .build();
    let seen = board.clone();
    let upstreams = meter.u64_observable_gauge("upstreams");
    upstreams
        .with_callback(move |gauge| {
            for ((target, health), count) in seen.latest().upstreams {
                let target = KeyValue::new("target", target.to_string());
                gauge.observe(count, &[target, KeyValue::new("health", health)]);
            }
        })
        .build();
}
