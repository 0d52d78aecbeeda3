//! The platform's store, one listener for each host, and how it misbehaves.

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

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// It answers.
    #[default]
    Well,
    /// It answers later.
    Slow(Duration),
    /// It says that nothing was done.
    Unavailable,
    /// It says that there are too many calls.
    Busy,
    /// It does not answer, and does nothing.
    Silent,
    /// Writes are done; their answers are lost.
    LosesAnswers,
    /// Writes are done a second after their connection was closed.
    WritesLate,
}

/// A call that lost its answer was done, or is done this much later.
const LATE_BY: Duration = Duration::from_secs(1);

type Kinds = IndexMap<String, IndexMap<String, (u64, Value)>>;
/// Addresses as one host sees them.
pub(crate) type SeenAs = IndexMap<SocketAddr, SocketAddr>;

#[derive(Default)]
struct State {
    era: u16,
    kinds: Kinds,
    revision: u64,
    state: StoreState,
    /// Upstreams' entries that were lost by a return and are not written again yet; none for one that has ended.
    unwritten: IndexMap<String, Option<Value>>,
}

/// What the store held once.
pub(crate) struct Copy {
    kinds: Kinds,
    revision: u64,
}

/// The store.
#[derive(Clone, Default)]
pub(crate) struct Store(Arc<Mutex<State>>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, state: StoreState) {
        self.lock().state = state;
    }

    /// What it holds now.
    pub(crate) fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            kinds: state.kinds.clone(),
            revision: state.revision,
        }
    }

    /// Comes back from an older copy in the next era. The operator writes the manifest again at once.
    pub(crate) fn return_from(&self, copy: Copy) {
        let mut state = self.lock();
        let mut lost = std::mem::replace(&mut state.kinds, copy.kinds);
        state.revision = copy.revision;
        state.era += 1;
        let (kind, name) = stand_in::MANIFEST;
        let manifest = lost.get_mut(kind).and_then(|all| all.swap_remove(name));
        if let Some((_, spec)) = manifest {
            state.put(kind, name, spec);
        }
        let copied = state.kinds.get(stand_in::UPSTREAMS_KIND);
        let ended = copied.into_iter().flat_map(|copied| copied.keys());
        state.unwritten = ended.map(|name| (name.clone(), None)).collect();
        let lost = lost.swap_remove(stand_in::UPSTREAMS_KIND);
        let lost = lost.into_iter().flatten();
        let lost = lost.map(|(name, (_, spec))| (name, Some(spec)));
        state.unwritten.extend(lost);
    }

    /// Upstreams write their entries again; those that ended since the copy was made have none.
    pub(crate) fn write_upstreams_again(&self) {
        let mut state = self.lock();
        for (name, spec) in std::mem::take(&mut state.unwritten) {
            match spec {
                Some(spec) => state.put(stand_in::UPSTREAMS_KIND, &name, spec),
                None => state.remove(stand_in::UPSTREAMS_KIND, &name),
            }
        }
    }

    /// Writes an object, as the operator or an upstream does: that always works.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().put(kind, name, spec);
    }

    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
    }

    /// Serves one host, which sees other addresses in the place of some.
    pub(crate) async fn serve(
        &self,
        ip: IpAddr,
        seen_as: Arc<Mutex<SeenAs>>,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, seen_as) = (store.clone(), Arc::clone(&seen_as));
                let service = service_fn(move |req| {
                    let (store, seen_as) = (store.clone(), Arc::clone(&seen_as));
                    async move {
                        let mut res = store.answer(req, &seen_as).await?;
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

    async fn answer(
        &self,
        req: Request<Incoming>,
        seen_as: &Mutex<SeenAs>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let body = body.unwrap_or_default();
        let Some(call) = StoreCall::parse(&head.method, head.uri.path(), &body) else {
            return Ok(response(StatusCode::BAD_REQUEST, &Value::Null));
        };
        let state = self.lock().state;
        match state {
            StoreState::Well => {}
            StoreState::Slow(delay) => tokio::time::sleep(delay).await,
            StoreState::Unavailable => {
                return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreState::Busy => return Ok(response(StatusCode::TOO_MANY_REQUESTS, &Value::Null)),
            StoreState::Silent => std::future::pending().await,
            StoreState::LosesAnswers if call.is_write() => {
                self.lock().apply(&call, &SeenAs::default());
                std::future::pending::<()>().await;
            }
            StoreState::WritesLate if call.is_write() => {
                let (store, call) = (self.clone(), call.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(LATE_BY).await;
                    store.lock().apply(&call, &SeenAs::default());
                });
                std::future::pending::<()>().await;
            }
            StoreState::LosesAnswers | StoreState::WritesLate => {}
        }
        let seen_as = seen_as
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (status, body) = self.lock().apply(&call, &seen_as);
        Ok(response(status, &body))
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) {
        if kind == stand_in::UPSTREAMS_KIND {
            self.unwritten.swap_remove(name);
        }
        self.revision += 1;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), (self.revision, spec));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if kind == stand_in::UPSTREAMS_KIND {
            self.unwritten.swap_remove(name);
        }
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.shift_remove(name);
        }
    }

    fn apply(&mut self, call: &StoreCall, seen_as: &SeenAs) -> (StatusCode, Value) {
        let object = |name: &str, revision: u64, spec: &Value| {
            let mut spec = spec.clone();
            let moved = |addr| seen_as.get(&addr).copied().unwrap_or(addr);
            stand_in::rewrite_addresses(&mut spec, moved);
            stand_in::object_json(name, revision, &spec)
        };
        let found = |kind: &str, name: &str| {
            let objects = self.kinds.get(kind);
            objects.is_some_and(|objects| objects.contains_key(name))
        };
        match call {
            StoreCall::List(kind) => {
                let objects = self.kinds.get(kind);
                let entries = objects.into_iter().flatten();
                let entries = entries.map(|(name, (revision, spec))| object(name, *revision, spec));
                let entries: Vec<Value> = entries.collect();
                (StatusCode::OK, stand_in::list_json(&entries, self.revision))
            }
            StoreCall::Get(kind, name) => {
                match self.kinds.get(kind).and_then(|objects| objects.get(name)) {
                    Some((revision, spec)) => (StatusCode::OK, object(name, *revision, spec)),
                    None => (StatusCode::NOT_FOUND, Value::Null),
                }
            }
            StoreCall::Create(kind, name, _) if found(kind, name) => {
                (StatusCode::CONFLICT, Value::Null)
            }
            StoreCall::Create(kind, name, spec) | StoreCall::Replace(kind, name, spec) => {
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

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body.to_string())));
    *res.status_mut() = status;
    res
}
