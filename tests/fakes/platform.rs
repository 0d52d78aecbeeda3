//! An in-memory platform with a latency for each call.

use std::sync::Mutex;
use std::time::Duration;

use banyanarch::control::claims::ShardValue;
use banyanarch::objects::Object;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::ObjectList;
use banyanarch::objects::PlatformClient;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::units::ObjectVersion;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use indexmap::IndexMap;

use super::object::FakeObject;
use super::object::Fault;

pub(crate) struct FakePlatform {
    latency: Duration,
    objects: Mutex<IndexMap<ObjectKey, FakeObject>>,
    fault: Mutex<Fault>,
}

impl FakePlatform {
    pub(crate) fn new(latency: Duration) -> Self {
        Self {
            latency,
            objects: Mutex::default(),
            fault: Mutex::new(Fault::None),
        }
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    pub(crate) fn sum(&self, count: impl Fn(&FakeObject) -> u64) -> u64 {
        self.objects.lock().unwrap().values().map(count).sum()
    }

    fn call_object<T>(&self, key: ObjectKey, call: impl FnOnce(&mut FakeObject, Fault) -> T) -> T {
        let fault = *self.fault.lock().unwrap();
        call(self.objects.lock().unwrap().entry(key).or_default(), fault)
    }
}

impl PlatformClient for FakePlatform {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>> {
        async move {
            tokio::time::sleep(self.latency).await;
            self.call_object(key, FakeObject::get)
        }
        .boxed()
    }

    fn put(
        &self,
        key: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>> {
        async move {
            tokio::time::sleep(self.latency).await;
            let value = ShardValue::from_json(value).unwrap();
            self.call_object(key, |object, fault| object.put(value, expected, fault))
        }
        .boxed()
    }

    fn list(&self, _kind: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async { Ok(ObjectList::default()) }.boxed()
    }

    fn watch(
        &self,
        _kind: ObjectKind,
        _after: ObjectVersion,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>> {
        async { Ok(ObjectList::default()) }.boxed()
    }
}
