//! Tests of the stand-ins for upstreams.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::http::one_shot;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use soak::call;
use soak::history::History;
use soak::upstream::UpstreamMode;
use soak::upstream::UpstreamStandIn;
use tokio::time::Instant;

/// Guards against a check of deadlines that blames a host for the time in which the upstream did
/// not respond: a request arrives before an unresponsive upstream handles it.
#[tokio::test]
async fn a_request_to_an_unresponsive_upstream_arrives_before_it_is_handled() {
    let started_at = Instant::now();
    let history = Arc::new(History::default());
    let service = call::PLAIN_SERVICES[0];
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let upstream = UpstreamStandIn::start(
        "u001".to_owned(),
        service,
        0,
        ip,
        started_at,
        Arc::clone(&history),
    )
    .await
    .unwrap();
    upstream.set_mode(UpstreamMode::Unresponsive);
    let req = Request::post("/idempotent/x")
        .header("host", "u001")
        .header("x-attempt-id", "00010000aa")
        .body(Full::<Bytes>::default())
        .unwrap();
    let addr = upstream.addr;
    let timeout = Duration::from_secs(10);
    let pending = tokio::spawn(async move { one_shot::call(addr, req, 1 << 16, timeout).await });
    while upstream.arrivals() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let handled_from = started_at.elapsed();
    upstream.set_mode(UpstreamMode::Healthy);
    pending.await.unwrap().unwrap();
    let observations = history.lock();
    let run = &observations.runs["00010000aa"][0];
    assert!(
        run.arrived_at < handled_from,
        "{run:?}, handled from {handled_from:?}"
    );
}
