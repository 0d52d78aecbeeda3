//! Finds conflicts between settings and manifest files that are each valid by themselves.

use std::fmt;

use crate::manifest::Manifest;
use crate::settings::Settings;
use crate::yaml::FileErrors;
use crate::yaml::Node;
use crate::yaml::Problem;

/// The valid files that have been read so far.
#[derive(Default)]
pub(crate) struct CheckedFiles {
    settings: Vec<SettingsFile>,
    /// The manifests with the names of their files.
    manifests: Vec<(String, Manifest)>,
}

/// A valid settings file.
struct SettingsFile {
    file: String,
    /// The parsed YAML, from which the lines of fields are found; none if it cannot be parsed.
    root: Option<Node>,
    settings: Settings,
}

impl SettingsFile {
    /// An error that reports one conflict, at the line of `field` in this file.
    fn conflict(&self, field: &str, message: impl fmt::Display) -> FileErrors {
        let problem = Problem {
            line: self.root.as_ref().map_or(1, |root| root.line_of(field)),
            field: field.to_owned(),
            what: message.to_string(),
        };
        FileErrors {
            file: self.file.clone(),
            problems: vec![problem],
        }
    }
}

impl CheckedFiles {
    /// Adds a valid settings file with this name and text.
    pub(crate) fn add_settings(&mut self, file: String, text: &str, settings: Settings) {
        let root = Node::parse(text).ok();
        self.settings.push(SettingsFile {
            file,
            root,
            settings,
        });
    }

    /// Adds a valid manifest file with this name.
    pub(crate) fn add_manifest(&mut self, file: String, manifest: Manifest) {
        self.manifests.push((file, manifest));
    }

    /// The conflicts between each two settings files, and between each settings file and each
    /// manifest. A conflict of two settings files is reported for the one that was added later.
    pub(crate) fn conflicts(&self) -> Vec<FileErrors> {
        let mut conflicts = Vec::new();
        for (index, this) in self.settings.iter().enumerate() {
            conflicts.extend(
                self.settings[..index]
                    .iter()
                    .flat_map(|other| settings_conflicts(this, other)),
            );
            conflicts.extend(
                self.manifests
                    .iter()
                    .flat_map(|manifest| manifest_conflicts(this, manifest)),
            );
        }
        conflicts
    }
}

/// The conflicts between the settings of two hosts of one fleet, as errors in `this`: the same
/// host, the same peer address, and a signing key of `this` that `other` does not accept. The key
/// is checked only in this direction, so callers must check both orders.
fn settings_conflicts(this: &SettingsFile, other: &SettingsFile) -> Vec<FileErrors> {
    let mut conflicts = Vec::new();
    let (mine, theirs) = (&this.settings, &other.settings);
    if mine.host == theirs.host {
        let message = format!("`{}` is also the host in {}", mine.host, other.file);
        conflicts.push(this.conflict("host", message));
    }
    if mine.listen.peers == theirs.listen.peers && mine.listen.peers.port() != 0 {
        let message = format!(
            "{} is also the address in {}",
            mine.listen.peers, other.file
        );
        conflicts.push(this.conflict("listen.peers", message));
    }
    let is_accepted = |id: &str, secret: &str| {
        theirs
            .peers
            .keys
            .iter()
            .any(|key| key.id == id && key.secret == secret)
    };
    // A host signs its frames with its first key. Hosts without this key refuse all of them.
    let signing_key = mine.peers.keys.first();
    if signing_key.is_some_and(|key| !is_accepted(&key.id, &key.secret)) {
        let message = format!(
            "is not among the keys of {}, whose host would refuse all frames of this host",
            other.file
        );
        conflicts.push(this.conflict("peers.keys[0]", message));
    }
    conflicts
}

/// The conflicts between the settings of a host and a manifest, as errors in the settings.
fn manifest_conflicts(
    this: &SettingsFile,
    (file, manifest): &(String, Manifest),
) -> Vec<FileErrors> {
    let mut conflicts = Vec::new();
    if this.settings.deployment != manifest.deployment {
        let message = format!("is not `{}`, the deployment of {file}", manifest.deployment);
        conflicts.push(this.conflict("deployment", message));
    }
    let size = this.settings.body_memory_size;
    if size < manifest.limits.body_size_max {
        let message = format!("{size} is smaller than limits.body_size_max of {file}");
        conflicts.push(this.conflict("body_memory_size", message));
    }
    conflicts
}
