//! Files that are each good and do not go together.

use std::fmt;

use crate::manifest::Manifest;
use crate::settings::Settings;
use crate::yaml::FileErrors;
use crate::yaml::Node;
use crate::yaml::Problem;

/// The files that have been read so far.
#[derive(Default)]
pub(crate) struct CheckedFiles {
    settings: Vec<SettingsFile>,
    manifests: Vec<(String, Manifest)>,
}

struct SettingsFile {
    file: String,
    root: Option<Node>,
    settings: Settings,
}

impl SettingsFile {
    fn clash(&self, field: &str, what: impl fmt::Display) -> FileErrors {
        let problem = Problem {
            line: self.root.as_ref().map_or(1, |root| root.line_of(field)),
            field: field.to_owned(),
            what: what.to_string(),
        };
        FileErrors {
            file: self.file.clone(),
            problems: vec![problem],
        }
    }
}

impl CheckedFiles {
    pub(crate) fn add_settings(&mut self, file: String, text: &str, settings: Settings) {
        let root = Node::parse(text).ok();
        self.settings.push(SettingsFile {
            file,
            root,
            settings,
        });
    }

    pub(crate) fn add_manifest(&mut self, file: String, manifest: Manifest) {
        self.manifests.push((file, manifest));
    }

    pub(crate) fn clashes(&self) -> Vec<FileErrors> {
        let mut clashes = Vec::new();
        for (index, this) in self.settings.iter().enumerate() {
            clashes.extend(
                self.settings[..index]
                    .iter()
                    .flat_map(|other| between(this, other)),
            );
            clashes.extend(
                self.manifests
                    .iter()
                    .flat_map(|manifest| against(this, manifest)),
            );
        }
        clashes
    }
}

/// Two hosts of one fleet.
fn between(this: &SettingsFile, other: &SettingsFile) -> Vec<FileErrors> {
    let mut clashes = Vec::new();
    let (mine, theirs) = (&this.settings, &other.settings);
    if mine.host == theirs.host {
        let what = format!("`{}` is the host of {} too", mine.host, other.file);
        clashes.push(this.clash("host", what));
    }
    if mine.listen.peers == theirs.listen.peers && mine.listen.peers.port() != 0 {
        let what = format!("{} is taken by {} too", mine.listen.peers, other.file);
        clashes.push(this.clash("listen.peers", what));
    }
    let is_accepted = |id: &str, secret: &str| {
        theirs
            .peers
            .keys
            .iter()
            .any(|key| key.id == id && key.secret == secret)
    };
    // A host signs with its first key; one that does not know it refuses every frame.
    let signing = mine.peers.keys.first();
    if signing.is_some_and(|key| !is_accepted(&key.id, &key.secret)) {
        let what = format!(
            "is not among the keys of {}, which would refuse this host",
            other.file
        );
        clashes.push(this.clash("peers.keys[0]", what));
    }
    clashes
}

fn against(this: &SettingsFile, (file, manifest): &(String, Manifest)) -> Vec<FileErrors> {
    let mut clashes = Vec::new();
    if this.settings.deployment != manifest.deployment {
        let what = format!("is not `{}`, the deployment of {file}", manifest.deployment);
        clashes.push(this.clash("deployment", what));
    }
    let size = this.settings.body_memory_size;
    if size < manifest.limits.body_size_max {
        let what = format!("{size} can't hold one body of limits.body_size_max of {file}");
        clashes.push(this.clash("body_memory_size", what));
    }
    clashes
}
