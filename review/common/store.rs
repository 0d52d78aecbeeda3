//! A stand-in for the platform's store: objects by kind and name, lists, watches, conditional
//! writes. Each node has a listener of its own, where addresses may be replaced: so a test decides
//! by which path a node reaches a runner.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::common::http;
use crate::common::http::Message;
use crate::common::json::Json;

/// A stored object.
#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

/// A change of an object; none if it was deleted.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    object: Option<Object>,
}

#[derive(Default)]
struct Data {
    /// How often the store came back from an older copy.
    era: u64,
    is_away: bool,
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    changes: Vec<Change>,
    observer: Option<Observer>,
}

/// An older copy of the store.
pub struct OldCopy {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    changes: Vec<Change>,
}

/// Is told of each answer about a kind: the name of the listener, the target of the call and the
/// body.
pub type Observer = Arc<dyn Fn(&str, &str, &Json) + Send + Sync>;

/// The store. Clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    changed: Arc<Condvar>,
}

/// The addresses that are replaced in the answers of one listener.
pub type Addresses = Vec<(String, String)>;

impl Store {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Creates or replaces an object, as the operator or a runner does. A write that changes nothing
    /// has no effect.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut data = self.lock();
        data.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut data = self.lock();
        data.remove(kind, name);
        self.changed.notify_all();
    }

    /// Sets what is told of each answer.
    pub fn observe(&self, observer: Observer) {
        self.lock().observer = Some(observer);
    }

    /// Copies the content.
    pub fn copy(&self) -> OldCopy {
        let data = self.lock();
        OldCopy {
            revision: data.revision,
            objects: data.objects.clone(),
            changes: data.changes.clone(),
        }
    }

    /// Goes away: calls get no answer, and waiting ones are cut.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from an older copy.
    pub fn come_back(&self, copy: OldCopy) {
        let mut data = self.lock();
        data.era += 1;
        data.is_away = false;
        data.revision = copy.revision;
        data.objects = copy.objects;
        data.changes = copy.changes;
    }

    /// Starts a listener for the node `name`, and returns its address.
    pub fn serve(&self, name: &str, ip: &str, addresses: Addresses) -> String {
        let listener = TcpListener::bind((ip, 0)).expect("cannot listen");
        let addr = listener.local_addr().expect("no address").to_string();
        let store = self.clone();
        let name = name.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, addresses) = (store.clone(), addresses.clone());
                let name = name.clone();
                std::thread::spawn(move || store.serve_connection(&name, stream, &addresses));
            }
        });
        addr
    }

    fn serve_connection(&self, name: &str, stream: TcpStream, addresses: &Addresses) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let data = self.lock();
            let (era, is_away) = (data.era, data.is_away);
            drop(data);
            if is_away {
                return;
            }
            let (status, body) = self.answer(&request);
            let data = self.lock();
            if data.is_away || data.era != era {
                return;
            }
            let observer = data.observer.clone();
            drop(data);
            if let Some(observer) = observer {
                observer(name, request.target(), &body);
            }
            let mut text = body.to_string();
            for (real, replaced) in addresses {
                text = text.replace(&format!("\"{real}\""), &format!("\"{replaced}\""));
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {}\r\n\
                 Content-Length: {}\r\n\r\n",
                era + 1,
                text.len()
            );
            if writer.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/objects/") else {
            return (404, Json::Null);
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let given = body.get("metadata");
        let condition = given.get("revision").number().or(parameter("revision"));
        match (request.method(), name) {
            ("GET", "") => match parameter("watch") {
                Some(since) => {
                    let wait = Duration::from_millis(parameter("wait-ms").unwrap_or(0));
                    if since > self.lock().revision {
                        return (410, Json::Null);
                    }
                    (200, self.watch(kind, since, wait))
                }
                None => (200, self.lock().list(kind)),
            },
            ("GET", name) => match self.lock().find(kind, name) {
                Some(object) => (200, object_json(name, &object)),
                None => (404, Json::Null),
            },
            ("POST", "") => {
                let Some(name) = given.get("name").text() else {
                    return (400, Json::Null);
                };
                let mut data = self.lock();
                if let Some(object) = data.find(kind, name) {
                    return (409, object_json(name, &object));
                }
                let object = data.put(kind, name, body.get("spec").clone());
                self.changed.notify_all();
                (200, object_json(name, &object))
            }
            ("PUT", name) => {
                let mut data = self.lock();
                let Some(before) = data.find(kind, name) else {
                    return (404, Json::Null);
                };
                if condition.is_some_and(|revision| revision != before.revision) {
                    return (409, object_json(name, &before));
                }
                let object = data.put(kind, name, body.get("spec").clone());
                self.changed.notify_all();
                (200, object_json(name, &object))
            }
            ("DELETE", name) => {
                let mut data = self.lock();
                let Some(before) = data.find(kind, name) else {
                    return (404, Json::Null);
                };
                if condition.is_some_and(|revision| revision != before.revision) {
                    return (409, object_json(name, &before));
                }
                data.remove(kind, name);
                self.changed.notify_all();
                (200, object_json(name, &before))
            }
            _ => (404, Json::Null),
        }
    }

    /// Waits until a kind has changed after `since`, for `wait` at most.
    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Json {
        let until = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            let events = data.changes_after(kind, since);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || data.is_away {
                return Json::Object(vec![
                    ("events".to_owned(), Json::List(events)),
                    ("as-of".to_owned(), number(data.revision)),
                ]);
            }
            let waited = self.changed.wait_timeout(data, left);
            data = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
    }
}

impl Data {
    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.get(kind)?.get(name).cloned()
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let before = self.find(kind, name);
        if let Some(before) = before.clone().filter(|before| before.spec == spec) {
            return before;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: before.map_or(self.revision, |before| before.created),
            spec,
        };
        let objects = self.objects.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object.clone());
        self.record(kind, name, Some(object.clone()));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let objects = self.objects.entry(kind.to_owned()).or_default();
        if objects.remove(name).is_some() {
            self.revision += 1;
            self.record(kind, name, None);
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Option<Object>) {
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
        });
    }

    fn list(&self, kind: &str) -> Json {
        let objects = self.objects.get(kind).into_iter().flatten();
        let entries = objects.map(|(name, object)| object_json(name, object));
        Json::Object(vec![
            ("entries".to_owned(), Json::List(entries.collect())),
            ("has-more".to_owned(), Json::Bool(false)),
            ("as-of".to_owned(), number(self.revision)),
        ])
    }

    fn changes_after(&self, kind: &str, since: u64) -> Vec<Json> {
        let changes = self.changes.iter();
        let changes = changes.filter(|change| change.revision > since && change.kind == kind);
        let event = |change: &Change| {
            let gone = Object {
                revision: change.revision,
                created: 0,
                spec: Json::Null,
            };
            let object = change.object.as_ref().unwrap_or(&gone);
            Json::Object(vec![
                ("deleted".to_owned(), Json::Bool(change.object.is_none())),
                ("object".to_owned(), object_json(&change.name, object)),
            ])
        };
        changes.map(event).collect()
    }
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn object_json(name: &str, object: &Object) -> Json {
    let metadata = Json::Object(vec![
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("revision".to_owned(), number(object.revision)),
        ("created".to_owned(), number(object.created)),
        ("finalizers".to_owned(), Json::List(Vec::new())),
        ("deletion-pending".to_owned(), Json::Bool(false)),
    ]);
    Json::Object(vec![
        ("metadata".to_owned(), metadata),
        ("spec".to_owned(), object.spec.clone()),
        ("status".to_owned(), Json::Null),
    ])
}
