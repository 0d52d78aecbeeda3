//! Gauges that are read when metrics are rendered.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::decide::PoolLoad;
use crate::observe::latest_counts::LatestCounts;

pub(crate) fn register_cluster_gauges(meter: &Meter, board: &Arc<LatestCounts>) {
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

pub(crate) fn register_host_instruments(meter: &Meter, board: &Arc<LatestCounts>) {
    let seen = board.clone();
    let bytes = meter.u64_observable_counter("peer").with_unit("By");
    bytes
        .with_callback(move |counter| {
            let counts = seen.counts();
            let purpose = |name| [KeyValue::new("purpose", name)];
            counter.observe(counts.peer_control_bytes, &purpose("control"));
            counter.observe(counts.peer_work_bytes, &purpose("work"));
        })
        .build();
    let seen = board.clone();
    let dropped = meter.u64_observable_counter("peer_dropped_messages");
    dropped
        .with_callback(move |counter| counter.observe(seen.counts().peer_dropped_messages, &[]))
        .build();
    let seen = board.clone();
    let refused = meter.u64_observable_counter("peer_refused_connections");
    refused
        .with_callback(move |counter| counter.observe(seen.counts().peer_refused_connections, &[]))
        .build();
    let seen = board.clone();
    let confirmed = meter.f64_observable_gauge("manifest_confirmed_age");
    confirmed
        .with_unit("s")
        .with_callback(move |gauge| {
            if let Some(ago) = seen.counts().manifest_confirmed_ago {
                gauge.observe(ago.as_secs_f64(), &[]);
            }
        })
        .build();
}

pub(crate) fn register_pool_gauges(meter: &Meter, board: &Arc<LatestCounts>) {
    register_pool_gauge(meter, board, "ledger_free_tokens", |load| {
        load.free_tokens.0
    });
    register_pool_gauge(meter, board, "ledger_running", |load| load.running);
    register_pool_gauge(meter, board, "ledger_waiting", |load| load.waiting);
    register_pool_gauge(meter, board, "ledger_upstreams", |load| {
        load.upstreams.into()
    });
}

fn register_pool_gauge(
    meter: &Meter,
    board: &Arc<LatestCounts>,
    name: &'static str,
    value: impl Fn(&PoolLoad) -> u64 + Send + Sync + 'static,
) {
    let seen = board.clone();
    let gauge = meter.u64_observable_gauge(name);
    gauge
        .with_callback(move |gauge| {
            for (pool, load) in seen.counts().pools {
                gauge.observe(value(&load), &[KeyValue::new("pool", pool.to_string())]);
            }
        })
        .build();
}
