//! A stand-in for the platform's store, with one listener for each host and simulated failures.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::StoreCall;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::net::TcpListener;

/// How the store handles the calls of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// The store responds.
    #[default]
    Healthy,
    /// The store responds after this delay.
    Slow(Duration),
    /// The store responds with status 503 and applies nothing.
    Unavailable,
    /// The store responds with status 429 and applies nothing.
    TooManyRequests,
    /// The store neither responds nor applies anything.
    Unresponsive,
    /// The store applies writes but does not respond to them. Reads work.
    DropsWriteResponses,
    /// The store applies writes a second late, even if the connection has been closed, and does not
    /// respond to them. Reads work.
    DelaysWrites,
}

/// Delay of writes in [`StoreMode::DelaysWrites`].
const LATE_WRITE_DELAY: Duration = Duration::from_secs(1);

/// Objects by kind and name, each with its revision and spec.
type ObjectsByKind = IndexMap<String, IndexMap<String, (u64, Value)>>;
/// The addresses under which one host reaches others, by their real addresses.
pub(crate) type AddressMap = IndexMap<SocketAddr, SocketAddr>;

/// The content and the mode of the store.
#[derive(Default)]
struct StoreData {
    /// The number of restores.
    era: u16,
    objects_by_kind: ObjectsByKind,
    revision: u64,
    mode: StoreMode,
    /// For each host how many faults turn it away.
    turned_away: IndexMap<usize, usize>,
    /// Changes of upstream entries that a restore undid and that are still to be repeated, by
    /// upstream id: the spec to write again, or none if the entry is to be removed again.
    pending_registrations: IndexMap<String, Option<Value>>,
}

/// A copy of the objects and the revision of the store, from which the store can be restored.
pub(crate) struct StoreSnapshot {
    objects_by_kind: ObjectsByKind,
    revision: u64,
}

/// A handle of a stand-in for the store. Clones share its content and its mode.
#[derive(Clone, Default)]
pub(crate) struct StoreStandIn(Arc<Mutex<StoreData>>);

impl StoreStandIn {
    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// Turns hosts away, whatever the mode, until [`StoreStandIn::serve_again`].
    pub(crate) fn turn_away(&self, hosts: &[usize]) {
        let mut data = self.lock();
        for host in hosts {
            *data.turned_away.entry(*host).or_default() += 1;
        }
    }

    /// Ends one call of [`StoreStandIn::turn_away`] with the same hosts.
    pub(crate) fn serve_again(&self, hosts: &[usize]) {
        let mut data = self.lock();
        for host in hosts {
            let count = data.turned_away.entry(*host).or_default();
            *count = count.saturating_sub(1);
        }
    }

    /// Returns a snapshot of the current content.
    pub(crate) fn snapshot(&self) -> StoreSnapshot {
        let data = self.lock();
        StoreSnapshot {
            objects_by_kind: data.objects_by_kind.clone(),
            revision: data.revision,
        }
    }

    /// Restores an older snapshot and starts the next era. The latest manifest and the evacuations in
    /// force are written again at once, as the operator would do.
    pub(crate) fn restore(&self, snapshot: StoreSnapshot) {
        let mut data = self.lock();
        let mut lost = std::mem::replace(&mut data.objects_by_kind, snapshot.objects_by_kind);
        data.revision = snapshot.revision;
        data.era += 1;
        let (kind, name) = stand_in::MANIFEST;
        let manifest = lost.get_mut(kind).and_then(|all| all.swap_remove(name));
        if let Some((_, spec)) = manifest {
            data.put(kind, name, spec);
        }
        let evacuations = lost.swap_remove(stand_in::EVACUATIONS_KIND);
        let kind = stand_in::EVACUATIONS_KIND.to_owned();
        data.objects_by_kind
            .insert(kind, evacuations.unwrap_or_default());
        let saved = data.objects_by_kind.get(stand_in::UPSTREAMS_KIND);
        let saved_names = saved.into_iter().flat_map(|saved| saved.keys());
        data.pending_registrations = saved_names.map(|name| (name.clone(), None)).collect();
        let lost = lost.swap_remove(stand_in::UPSTREAMS_KIND);
        let lost = lost.into_iter().flatten();
        let lost = lost.map(|(name, (_, spec))| (name, Some(spec)));
        data.pending_registrations.extend(lost);
    }

    /// Writes the entries of upstreams again that a restore undid, and removes the entries of
    /// upstreams that ended since the snapshot.
    pub(crate) fn reregister_upstreams(&self) {
        let mut data = self.lock();
        for (name, spec) in std::mem::take(&mut data.pending_registrations) {
            match spec {
                Some(spec) => data.put(stand_in::UPSTREAMS_KIND, &name, spec),
                None => data.remove(stand_in::UPSTREAMS_KIND, &name),
            }
        }
    }

    /// Creates or replaces an object as the operator or an upstream does. The mode does not affect
    /// these writes.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().put(kind, name, spec);
    }

    /// Removes an object as an upstream does, if it exists. An entry of an upstream that a restore
    /// undid is no longer registered again. The mode does not affect removals.
    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
    }

    /// Starts a listener for the host with this index on a free port of `ip`. Addresses in the
    /// responses are replaced as `address_map` says.
    pub(crate) async fn serve(
        &self,
        host: usize,
        ip: IpAddr,
        address_map: Arc<Mutex<AddressMap>>,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, address_map) = (store.clone(), Arc::clone(&address_map));
                let service = service_fn(move |req| {
                    let (store, address_map) = (store.clone(), Arc::clone(&address_map));
                    async move {
                        let mut res = store.handle(host, req, &address_map).await?;
                        stand_in::set_store_era(res.headers_mut(), store.lock().era);
                        Ok::<_, Infallible>(res)
                    }
                });
                let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(conn);
            }
        });
        Ok(addr)
    }

    /// Responds to a call as the mode says.
    async fn handle(
        &self,
        host: usize,
        req: Request<Incoming>,
        address_map: &Mutex<AddressMap>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let body = body.unwrap_or_default();
        let Some(call) = StoreCall::parse(&head.method, head.uri.path(), &body) else {
            return Ok(json_response(StatusCode::BAD_REQUEST, &Value::Null));
        };
        if self.lock().is_turned_away(host) {
            return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
        }
        let mode = self.lock().mode;
        match mode {
            StoreMode::Healthy => {}
            StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
            StoreMode::Unavailable => {
                return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreMode::TooManyRequests => {
                return Ok(json_response(StatusCode::TOO_MANY_REQUESTS, &Value::Null));
            }
            StoreMode::Unresponsive => std::future::pending().await,
            StoreMode::DropsWriteResponses if call.is_write() => {
                self.lock().apply(&call, &AddressMap::default());
                std::future::pending::<()>().await;
            }
            StoreMode::DelaysWrites if call.is_write() => {
                let (store, call) = (self.clone(), call.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(LATE_WRITE_DELAY).await;
                    store.lock().apply(&call, &AddressMap::default());
                });
                std::future::pending::<()>().await;
            }
            StoreMode::DropsWriteResponses | StoreMode::DelaysWrites => {}
        }
        let address_map = address_map
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (status, body) = self.lock().apply(&call, &address_map);
        Ok(json_response(status, &body))
    }
}

impl StoreData {
    fn is_turned_away(&self, host: usize) -> bool {
        self.turned_away.get(&host).is_some_and(|count| *count > 0)
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value) {
        if kind == stand_in::UPSTREAMS_KIND {
            self.pending_registrations.swap_remove(name);
        }
        self.revision += 1;
        let objects = self.objects_by_kind.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), (self.revision, spec));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if kind == stand_in::UPSTREAMS_KIND {
            self.pending_registrations.swap_remove(name);
        }
        if let Some(objects) = self.objects_by_kind.get_mut(kind) {
            objects.shift_remove(name);
        }
    }

    /// Applies a call whatever the mode, and returns the status and the body of the response.
    /// Addresses in the body are replaced as `address_map` says.
    fn apply(&mut self, call: &StoreCall, address_map: &AddressMap) -> (StatusCode, Value) {
        let object = |name: &str, revision: u64, spec: &Value| {
            let mut spec = spec.clone();
            let rewrite = |addr| address_map.get(&addr).copied().unwrap_or(addr);
            stand_in::rewrite_addresses(&mut spec, rewrite);
            stand_in::object_json(name, revision, &spec)
        };
        let stored = |kind: &str, name: &str| self.objects_by_kind.get(kind)?.get(name);
        let revision_of =
            |kind: &str, name: &str| stored(kind, name).map(|(revision, _)| *revision);
        let existing = |kind: &str, name: &str| {
            let (revision, spec) = stored(kind, name)?;
            Some(object(name, *revision, spec))
        };
        match call {
            StoreCall::List(kind) => {
                let objects = self.objects_by_kind.get(kind);
                let entries = objects.into_iter().flatten();
                let entries = entries.map(|(name, (revision, spec))| object(name, *revision, spec));
                let entries: Vec<Value> = entries.collect();
                (StatusCode::OK, stand_in::list_json(&entries, self.revision))
            }
            StoreCall::Get(kind, name) => match existing(kind, name) {
                Some(object) => (StatusCode::OK, object),
                None => (StatusCode::NOT_FOUND, Value::Null),
            },
            StoreCall::Create(kind, name, _) if existing(kind, name).is_some() => (
                StatusCode::CONFLICT,
                existing(kind, name).unwrap_or_default(),
            ),
            StoreCall::Replace(kind, name, _, Some(revision))
                if revision_of(kind, name) != Some(*revision) =>
            {
                (
                    StatusCode::CONFLICT,
                    existing(kind, name).unwrap_or_default(),
                )
            }
            StoreCall::Create(kind, name, spec) | StoreCall::Replace(kind, name, spec, _) => {
                self.put(kind, name, spec.clone());
                (StatusCode::OK, Value::Null)
            }
            StoreCall::Delete(kind, name) => {
                self.remove(kind, name);
                (StatusCode::OK, Value::Null)
            }
        }
    }
}

/// Returns a response with a JSON body.
fn json_response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body.to_string())));
    *res.status_mut() = status;
    res
}
