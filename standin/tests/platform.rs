//! Tests of the fake platform through the client that hosts use.

use std::time::Duration;

use banyanarch::http::HttpClient;
use banyanarch::objects::HttpPlatformClient;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::PlatformClient;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::ObjectVersion;
use serde_json::json;
use standin::platform::Outage;
use standin::platform::PlatformFake;
use standin::platform::PlatformFaults;
use yare::parameterized;

const WAIT: Duration = Duration::from_secs(2);

async fn platform() -> (PlatformFake, HttpPlatformClient) {
    let fake = PlatformFake::start(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let client = HttpPlatformClient::new(HttpClient::new(fake.addr()), WAIT);
    (fake, client)
}

fn key(kind: ObjectKind) -> ObjectKey {
    ObjectKey::new(kind, "one")
}

/// Two operators publish at the same time: of two writes that expect the same version one must fail
/// with a conflict.
#[tokio::test]
async fn one_of_two_writes_wins() {
    let (fake, client) = platform().await;
    let key = key(ObjectKind::Manifests);
    let first = client
        .put(key.clone(), json!(1), Precondition::Absent)
        .await
        .unwrap();
    let again = client
        .put(key.clone(), json!(1), Precondition::Absent)
        .await;
    assert_eq!(again, Err(PlatformError::Conflict));
    let second = client
        .put(key.clone(), json!(2), Precondition::Version(first))
        .await;
    let third = client
        .put(key.clone(), json!(3), Precondition::Version(first))
        .await;
    assert!(second.is_ok());
    assert_eq!(third, Err(PlatformError::Conflict));
    assert_eq!(client.get(key).await.unwrap().value, json!(2));
    assert_eq!(fake.stats().conflicts, 2);
}

/// A write takes effect but its response is lost: the client gets no outcome and must read the
/// object back.
#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let (fake, client) = platform().await;
    fake.set_faults(PlatformFaults {
        lose_answer_one_in: 1,
        ..PlatformFaults::default()
    });
    let lost = client
        .put(key(ObjectKind::Claims), json!("mine"), Precondition::Absent)
        .await;
    assert!(
        matches!(lost, Err(PlatformError::OutcomeUnknown(_))),
        "{lost:?}"
    );
    let read = client.get(key(ObjectKind::Claims)).await.unwrap();
    assert_eq!(read.value, json!("mine"));
}

/// A watch ignores writes of other kinds, reports those of its own, and counts as one call.
#[tokio::test]
async fn a_watch_waits_for_its_kind() {
    let (fake, client) = platform().await;
    let watch = client.watch(ObjectKind::Manifests, ObjectVersion(0), WAIT);
    let write = async {
        client
            .put(key(ObjectKind::Claims), json!(1), Precondition::Absent)
            .await
            .unwrap();
        client
            .put(key(ObjectKind::Manifests), json!(2), Precondition::Absent)
            .await
            .unwrap()
    };
    let (seen, version) = tokio::join!(watch, write);
    let seen = seen.unwrap();
    assert_eq!(seen.items[0].value, json!(2));
    assert_eq!(seen.version, version);
    assert_eq!(fake.stats().reads, 1);
}

/// The list of machines lags behind the store, and catches up.
#[tokio::test]
async fn the_list_of_machines_lags() {
    let (fake, client) = platform().await;
    fake.set_faults(PlatformFaults {
        machines_lag_ms: 300,
        ..PlatformFaults::default()
    });
    client
        .put(key(ObjectKind::Machines), json!(1), Precondition::Absent)
        .await
        .unwrap();
    let early = client.list(ObjectKind::Machines).await.unwrap();
    assert!(early.items.is_empty());
    let later = client
        .watch(ObjectKind::Machines, early.version, WAIT)
        .await
        .unwrap();
    assert_eq!(later.items.len(), 1);
}

/// During an outage, or beyond the write rate, nothing is written, and the client gets an error
/// that says so.
#[parameterized(
    outage = { PlatformFaults { outage: Outage::Unavailable, ..PlatformFaults::default() } },
    rate = { PlatformFaults { writes_per_second: Some(0), ..PlatformFaults::default() } },
)]
#[test_macro(tokio::test)]
async fn refused_writes_are_not_applied(faults: PlatformFaults) {
    let (fake, client) = platform().await;
    fake.set_faults(faults);
    let put = client
        .put(key(ObjectKind::Leases), json!(1), Precondition::Absent)
        .await;
    assert!(matches!(put, Err(PlatformError::Unavailable(_))), "{put:?}");
    fake.set_faults(PlatformFaults::default());
    let read = client.get(key(ObjectKind::Leases)).await;
    assert_eq!(read, Err(PlatformError::NotFound));
}
