//! Observable instruments, whose values are read when metrics are rendered.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::decide::PoolLoad;
use crate::observe::latest_counts::LatestCounts;

/// Registers the gauges of the manifest, the hosts and the upstreams in the cluster view.
pub(crate) fn register_cluster_gauges(meter: &Meter, counts: &Arc<LatestCounts>) {
    let latest = counts.clone();
    let generation = meter.u64_observable_gauge("manifest_generation");
    generation
        .with_callback(move |gauge| {
            if let Some(generation) = latest.cluster().generation {
                gauge.observe(generation.0, &[]);
            }
        })
        .build();
    let latest = counts.clone();
    let hosts = meter.u64_observable_gauge("hosts");
    hosts
        .with_callback(move |gauge| {
            for (state, count) in latest.cluster().hosts {
                gauge.observe(count, &[KeyValue::new("state", state)]);
            }
        })
        .build();
    let latest = counts.clone();
    let upstreams = meter.u64_observable_gauge("upstreams");
    upstreams
        .with_callback(move |gauge| {
            for ((target, health), count) in latest.cluster().upstreams {
                let target = KeyValue::new("target", target.to_string());
                gauge.observe(count, &[target, KeyValue::new("health", health)]);
            }
        })
        .build();
}

/// Registers the instruments of the traffic between hosts and of the manifest's age.
pub(crate) fn register_host_instruments(meter: &Meter, counts: &Arc<LatestCounts>) {
    let latest = counts.clone();
    let bytes = meter.u64_observable_counter("peer").with_unit("By");
    bytes
        .with_callback(move |counter| {
            let host = latest.host();
            let purpose = |name| [KeyValue::new("purpose", name)];
            counter.observe(host.peer_control_bytes, &purpose("control"));
            counter.observe(host.peer_work_bytes, &purpose("work"));
        })
        .build();
    let latest = counts.clone();
    let dropped = meter.u64_observable_counter("peer_dropped_messages");
    dropped
        .with_callback(move |counter| counter.observe(latest.host().peer_dropped_messages, &[]))
        .build();
    let latest = counts.clone();
    let refused = meter.u64_observable_counter("peer_refused_connections");
    refused
        .with_callback(move |counter| counter.observe(latest.host().peer_refused_connections, &[]))
        .build();
    let latest = counts.clone();
    let confirmed = meter.f64_observable_gauge("manifest_confirmed_age");
    confirmed
        .with_unit("s")
        .with_callback(move |gauge| {
            if let Some(ago) = latest.host().manifest_confirmed_ago {
                gauge.observe(ago.as_secs_f64(), &[]);
            }
        })
        .build();
}

/// Registers the gauges of the pools that this host is the home of.
pub(crate) fn register_pool_gauges(meter: &Meter, counts: &Arc<LatestCounts>) {
    register_pool_gauge(meter, counts, "ledger_free_tokens", |load| {
        load.free_tokens.0
    });
    register_pool_gauge(meter, counts, "ledger_running", |load| load.running);
    register_pool_gauge(meter, counts, "ledger_waiting", |load| load.waiting);
    register_pool_gauge(meter, counts, "ledger_upstreams", |load| {
        load.upstreams.into()
    });
}

/// Registers a gauge that reports `value` of each pool.
fn register_pool_gauge(
    meter: &Meter,
    counts: &Arc<LatestCounts>,
    name: &'static str,
    value: impl Fn(&PoolLoad) -> u64 + Send + Sync + 'static,
) {
    let latest = counts.clone();
    let gauge = meter.u64_observable_gauge(name);
    gauge
        .with_callback(move |gauge| {
            for (pool, load) in latest.host().pools {
                gauge.observe(value(&load), &[KeyValue::new("pool", pool.to_string())]);
            }
        })
        .build();
}
