//! Versioned object store; versions increase over the whole store.

use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

/// Number of revisions kept of one object, so that a lagging list can show an older one.
const REVISIONS_MAX: usize = 16;

/// Result of a write.
#[derive(Debug)]
pub(crate) enum WriteResult {
    /// The write took effect; holds the object as it is now.
    Applied(Value),
    /// The object already exists, or has another version.
    Conflict,
    /// The object does not exist.
    NotFound,
}

/// A change that a watch reports.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) event_type: &'static str,
    pub(crate) object: Value,
}

#[derive(Debug)]
struct Revision {
    written_at: Instant,
    version: u64,
    /// `None` for a deletion.
    spec: Option<Value>,
}

/// All objects with their recent revisions.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: u64,
    objects: IndexMap<(String, String), Vec<Revision>>,
}

impl Store {
    /// Returns the newest revision of an object, or `None` if the object does not exist.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let revision = self.latest_revision(kind, name)?;
        let spec = revision.spec.as_ref()?;
        Some(object(kind, name, revision.version, spec))
    }

    pub(crate) fn create(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
        now: Instant,
    ) -> WriteResult {
        if self
            .latest_revision(kind, name)
            .is_some_and(|r| r.spec.is_some())
        {
            return WriteResult::Conflict;
        }
        self.add_revision(kind, name, Some(spec), now)
    }

    /// Replaces an object whose version is `expected`.
    pub(crate) fn replace(
        &mut self,
        (kind, name): (&str, &str),
        expected: u64,
        spec: Value,
        now: Instant,
    ) -> WriteResult {
        match self.latest_revision(kind, name) {
            Some(Revision { spec: None, .. }) | None => WriteResult::NotFound,
            Some(revision) if revision.version != expected => WriteResult::Conflict,
            Some(_) => self.add_revision(kind, name, Some(spec), now),
        }
    }

    pub(crate) fn delete(&mut self, kind: &str, name: &str, now: Instant) -> WriteResult {
        match self.latest_revision(kind, name) {
            Some(Revision { spec: Some(_), .. }) => self.add_revision(kind, name, None, now),
            _ => WriteResult::NotFound,
        }
    }

    /// Returns the objects of a kind as they were at `at`, and the version to watch after.
    pub(crate) fn list(&self, kind: &str, at: Instant) -> (u64, Vec<Value>) {
        let visible = self.visible_revisions(kind, at);
        let newest = visible.iter().map(|(_, revision)| revision.version).max();
        let items = visible.iter().filter_map(|(name, revision)| {
            let spec = revision.spec.as_ref()?;
            Some(object(kind, name, revision.version, spec))
        });
        (newest.unwrap_or(0), items.collect())
    }

    /// Returns the changes after a version as visible at `at`, ordered by version. An object that
    /// changed more than once is reported once, in its newest revision.
    pub(crate) fn changes(&self, kind: &str, after: u64, at: Instant) -> Vec<Change> {
        let visible = self.visible_revisions(kind, at);
        let newer = visible.into_iter().filter(|(_, r)| r.version > after);
        let mut changes: Vec<Change> = newer
            .map(|(name, revision)| Change {
                version: revision.version,
                event_type: match (
                    &revision.spec,
                    self.is_creation(kind, name, revision.version),
                ) {
                    (None, _) => "DELETED",
                    (Some(_), true) => "ADDED",
                    (Some(_), false) => "MODIFIED",
                },
                object: object(
                    kind,
                    name,
                    revision.version,
                    revision.spec.as_ref().unwrap_or(&Value::Null),
                ),
            })
            .collect();
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Returns the newest revision at `at` of each object of a kind, deletions included.
    fn visible_revisions(&self, kind: &str, at: Instant) -> Vec<(&str, &Revision)> {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .filter_map(|((_, name), revisions)| {
                let revision = revisions.iter().rev().find(|r| r.written_at <= at)?;
                Some((name.as_str(), revision))
            })
            .collect()
    }

    fn is_creation(&self, kind: &str, name: &str, version: u64) -> bool {
        let revisions = self.objects.get(&(kind.to_owned(), name.to_owned()));
        revisions
            .and_then(|revisions| revisions.first())
            .is_some_and(|first| first.version == version)
    }

    fn latest_revision(&self, kind: &str, name: &str) -> Option<&Revision> {
        let revisions = self.objects.get(&(kind.to_owned(), name.to_owned()));
        revisions.and_then(|revisions| revisions.last())
    }

    fn add_revision(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<Value>,
        now: Instant,
    ) -> WriteResult {
        self.version += 1;
        let version = self.version;
        let shown = object(kind, name, version, spec.as_ref().unwrap_or(&Value::Null));
        let key = (kind.to_owned(), name.to_owned());
        let revisions = self.objects.entry(key).or_default();
        if revisions.len() == REVISIONS_MAX {
            revisions.remove(0);
        }
        revisions.push(Revision {
            written_at: now,
            version,
            spec,
        });
        WriteResult::Applied(shown)
    }
}

fn object(kind: &str, name: &str, version: u64, spec: &Value) -> Value {
    json!({
        "apiVersion": "banyanarch.dev/v1",
        "kind": kind,
        "metadata": {"name": name, "resourceVersion": version.to_string()},
        "spec": spec,
    })
}
