//! The JSON representation of objects, lists and watch events.

use serde::Deserialize;
use serde::Serialize;

use crate::objects::Object;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::ObjectList;
use crate::units::ObjectVersion;

/// An object in JSON.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct WireObject {
    api_version: String,
    kind: String,
    metadata: WireMetadata,
    spec: serde_json::Value,
}

/// The metadata of an object or of a list. A list has no name.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct WireMetadata {
    #[serde(default)]
    name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    resource_version: Option<String>,
}

/// A list of objects in JSON.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireList {
    metadata: WireMetadata,
    items: Vec<WireObject>,
}

/// A line of a watch: one changed object.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireEvent {
    /// The kind of change, such as `DELETED`.
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) object: WireObject,
}

impl WireObject {
    /// The JSON form of an object to write. `version` is the version that the write requires; none
    /// for an object to create.
    pub(crate) fn new(
        key: &ObjectKey,
        spec: serde_json::Value,
        version: Option<ObjectVersion>,
    ) -> Self {
        let resource_version = version.map(|version| version.to_string());
        Self {
            api_version: "banyanarch.dev/v1".to_owned(),
            kind: key.kind.plural().to_owned(),
            metadata: WireMetadata {
                name: key.name.clone(),
                resource_version,
            },
            spec,
        }
    }

    /// The version of the object; an error if it is missing or malformed.
    pub(crate) fn version(&self) -> Result<ObjectVersion, String> {
        self.metadata.version()
    }

    /// Converts the JSON form into an object of the given kind. Fails if the version is missing or
    /// malformed.
    pub(crate) fn into_object(self, kind: ObjectKind) -> Result<Object, String> {
        let version = self.version()?;
        let key = ObjectKey::new(kind, self.metadata.name);
        Ok(Object {
            key,
            version,
            value: self.spec,
        })
    }
}

impl WireMetadata {
    fn version(&self) -> Result<ObjectVersion, String> {
        let text = self.resource_version.as_deref().unwrap_or_default();
        text.parse()
            .map_err(|err| format!("metadata.resourceVersion: {err}"))
    }
}

impl WireList {
    /// Converts the JSON form into a list of objects of the given kind. Fails if the version of the
    /// list or of an object is missing or malformed.
    pub(crate) fn into_list(self, kind: ObjectKind) -> Result<ObjectList, String> {
        let version = self.metadata.version()?;
        let items: Result<Vec<Object>, String> = self
            .items
            .into_iter()
            .map(|object| object.into_object(kind))
            .collect();
        Ok(ObjectList {
            items: items?,
            version,
        })
    }
}
