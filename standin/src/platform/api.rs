//! HTTP handler of the platform's object API.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::future::BoxFuture;
use futures_util::stream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::http;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Reply;
use crate::platform::CallStats;
use crate::platform::Outage;
use crate::platform::PlatformFaults;
use crate::platform::store::Store;
use crate::platform::store::WriteResult;

const API_ROOT: &str = "/apis/banyanarch.dev/v1/";
const MACHINES_KIND: &str = "machines";
const SECOND: Duration = Duration::from_secs(1);
const WATCH_TIMEOUT_DEFAULT_S: u64 = 30;
/// Interval at which a watch on the lagging list of machines checks for newly visible changes.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub(crate) struct Api {
    inner: Mutex<Inner>,
    /// Number of writes and fault changes; a change wakes the watches.
    changed: watch::Sender<u64>,
}

/// State of the platform behind its lock.
#[derive(Debug, Default)]
struct Inner {
    store: Store,
    stats: CallStats,
    faults: PlatformFaults,
    /// Start of the current window of one second, in which `reads` and `writes` are counted.
    second_start: Option<Instant>,
    reads: u64,
    writes: u64,
}

impl Api {
    /// Replaces all faults and wakes the watches, which end with an error during an outage.
    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.wake_watches();
    }

    pub(crate) fn stats(&self) -> CallStats {
        self.lock().stats.clone()
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let query = Query::parse(head.uri.query().unwrap_or(""));
        let body = http::read_body(body).await?;
        match (&head.method, path.as_str()) {
            (&Method::GET, "/stats") => return Ok(http::json(StatusCode::OK, &self.stats())),
            (&Method::PUT, "/faults") => return Ok(self.put_faults(&body)),
            _ => (),
        }
        let Some(target) = path.strip_prefix(API_ROOT) else {
            return Ok(http::text(StatusCode::NOT_FOUND, "no such path"));
        };
        let faults = self.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if let Some(reply) = self.refuse_call(head.method == Method::GET) {
            return reply;
        }
        match (&head.method, target.split_once('/')) {
            (&Method::GET, Some((kind, name))) => Ok(self.get(kind, name)),
            (&Method::GET, None) if query.watch => Ok(self.watch(target, &query)),
            (&Method::GET, None) => Ok(self.list(target)),
            (&Method::POST, None) => self.write("POST", target, "", &body),
            (&Method::PUT, Some((kind, name))) => self.write("PUT", kind, name, &body),
            (&Method::DELETE, Some((kind, name))) => self.write("DELETE", kind, name, &body),
            _ => Ok(http::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    /// Returns the refusal of a call during an outage or beyond a rate limit, and counts it.
    /// Outside an outage, each call counts towards its rate limit.
    fn refuse_call(&self, is_read: bool) -> Option<Reply> {
        let mut inner = self.lock();
        let outage = inner.faults.outage;
        let reply = match outage {
            Outage::None if inner.is_over_rate(is_read, Instant::now()) => Ok(http::text(
                StatusCode::TOO_MANY_REQUESTS,
                "over the rate limit",
            )),
            Outage::None => return None,
            Outage::Unavailable => Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "outage")),
            Outage::Closed => Err(io::Error::other("outage")),
        };
        inner.stats.turned_away += 1;
        Some(reply)
    }

    fn put_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(faults);
                http::empty(StatusCode::OK)
            }
            Err(e) => http::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        let mut inner = self.lock();
        inner.stats.count_read("GET", kind);
        match inner.store.get(kind, name) {
            Some(object) => http::json(StatusCode::OK, &object),
            None => http::text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let mut inner = self.lock();
        inner.stats.count_read("LIST", kind);
        let (version, items) = inner.store.list(kind, inner.visible_at(kind));
        let metadata = json!({"resourceVersion": version.to_string()});
        http::json(
            StatusCode::OK,
            &json!({"metadata": metadata, "items": items}),
        )
    }

    fn write(&self, call: &str, kind: &str, name: &str, body: &[u8]) -> Reply {
        let object: Value = match (call, serde_json::from_slice(body)) {
            ("DELETE", _) => Value::Null,
            (_, Ok(object)) => object,
            (_, Err(e)) => return Ok(http::text(StatusCode::BAD_REQUEST, e.to_string())),
        };
        let spec = object["spec"].clone();
        let now = Instant::now();
        let mut inner = self.lock();
        inner.stats.count_write(call, kind);
        let written = match call {
            "DELETE" => inner.store.delete(kind, name, now),
            "POST" => {
                let Some(name) = object["metadata"]["name"].as_str() else {
                    return Ok(http::text(
                        StatusCode::BAD_REQUEST,
                        "metadata.name is missing",
                    ));
                };
                inner.store.create(kind, name, spec, now)
            }
            _ => {
                let Some(expected) = parse_version(&object["metadata"]["resourceVersion"]) else {
                    let reason = "metadata.resourceVersion is missing";
                    return Ok(http::text(StatusCode::BAD_REQUEST, reason));
                };
                inner.store.replace((kind, name), expected, spec, now)
            }
        };
        let reply = inner.reply_to(call, written);
        drop(inner);
        self.wake_watches();
        reply
    }

    fn watch(self: &Arc<Self>, kind: &str, query: &Query) -> Response<Body> {
        self.lock().stats.count_read("WATCH", kind);
        let ends_at = Instant::now() + Duration::from_secs(query.timeout_s);
        let lines = Arc::clone(self).watch_events(kind.to_owned(), query.version, ends_at);
        http::streamed("application/json", lines)
    }

    fn watch_events(
        self: Arc<Self>,
        kind: String,
        after: u64,
        ends_at: Instant,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send {
        let watcher = Watcher {
            changed: self.changed.subscribe(),
            api: self,
            kind,
            after,
            ends_at,
            queue: VecDeque::new(),
        };
        stream::unfold(watcher, |mut watcher| async move {
            let line = watcher.next_event_line().await?;
            Some((line, watcher))
        })
    }

    fn wake_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Api {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.route(request))
    }
}

impl Inner {
    /// Counts a call in the current second, and returns whether it exceeds the rate limit.
    fn is_over_rate(&mut self, is_read: bool, now: Instant) -> bool {
        if self.second_start.is_none_or(|start| now >= start + SECOND) {
            self.second_start = Some(now);
            self.reads = 0;
            self.writes = 0;
        }
        let (count, limit) = match is_read {
            true => (&mut self.reads, self.faults.reads_per_second),
            false => (&mut self.writes, self.faults.writes_per_second),
        };
        *count += 1;
        limit.is_some_and(|limit| *count > limit)
    }

    /// Returns the instant whose state a list of this kind shows.
    fn visible_at(&self, kind: &str) -> Instant {
        let now = Instant::now();
        if kind != MACHINES_KIND {
            return now;
        }
        let lag = Duration::from_millis(self.faults.machines_lag_ms);
        now.checked_sub(lag).unwrap_or(now)
    }

    /// Returns the response to a write, or an error if a fault drops the response.
    fn reply_to(&mut self, call: &str, written: WriteResult) -> Reply {
        let object = match written {
            WriteResult::Applied(object) => object,
            WriteResult::NotFound => {
                return Ok(http::text(StatusCode::NOT_FOUND, "no such object"));
            }
            WriteResult::Conflict => {
                self.stats.conflicts += 1;
                return Ok(http::text(StatusCode::CONFLICT, "the object has changed"));
            }
        };
        let one_in = self.faults.lose_answer_one_in;
        if one_in > 0 && self.stats.writes.is_multiple_of(one_in) {
            self.stats.lost_answers += 1;
            return Err(io::Error::other("response dropped by a fault"));
        }
        let status = match call {
            "POST" => StatusCode::CREATED,
            _ => StatusCode::OK,
        };
        Ok(http::json(status, &object))
    }
}

/// An open watch, which sends its events as lines of JSON.
struct Watcher {
    api: Arc<Api>,
    changed: watch::Receiver<u64>,
    kind: String,
    after: u64,
    ends_at: Instant,
    queue: VecDeque<Bytes>,
}

impl Watcher {
    /// Returns the next line of the watch: `None` at its end, an error during an outage.
    async fn next_event_line(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(line) = self.queue.pop_front() {
                return Some(Ok(line));
            }
            if self.api.lock().faults.outage != Outage::None {
                return Some(Err(io::Error::other("outage")));
            }
            self.changed.mark_unchanged();
            self.collect_changes();
            if self.queue.is_empty() && !self.wait_for_change().await {
                return None;
            }
        }
    }

    fn collect_changes(&mut self) {
        let inner = self.api.lock();
        let visible_at = inner.visible_at(&self.kind);
        let changes = inner.store.changes(&self.kind, self.after, visible_at);
        for change in changes {
            self.after = change.version;
            let event = json!({"type": change.event_type, "object": change.object});
            self.queue.push_back(Bytes::from(format!("{event}\n")));
        }
    }

    /// Waits until something may have changed; returns false when the watch has timed out.
    async fn wait_for_change(&mut self) -> bool {
        let now = Instant::now();
        if now >= self.ends_at {
            return false;
        }
        let lag_ms = self.api.lock().faults.machines_lag_ms;
        let until = match self.kind.as_str() {
            MACHINES_KIND if lag_ms > 0 => self.ends_at.min(now + LAG_POLL_INTERVAL),
            _ => self.ends_at,
        };
        let _ = tokio::time::timeout_at(until.into(), self.changed.changed()).await;
        true
    }
}

/// Query parameters of a list or watch.
struct Query {
    watch: bool,
    version: u64,
    timeout_s: u64,
}

impl Query {
    fn parse(query: &str) -> Self {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| value(name).and_then(|text| text.parse().ok());
        Self {
            watch: value("watch") == Some("true"),
            version: number("resourceVersion").unwrap_or(0),
            timeout_s: number("timeoutSeconds").unwrap_or(WATCH_TIMEOUT_DEFAULT_S),
        }
    }
}

fn parse_version(value: &Value) -> Option<u64> {
    value.as_str()?.parse().ok()
}
