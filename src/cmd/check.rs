//! The subcommand `banyanarch check`.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::checked_files::CheckedFiles;
use crate::cmd::files::read_text;
use crate::cmd::files::remaining_files;
use crate::manifest::Manifest;
use crate::settings::Settings;
use crate::yaml::Node;

pub(crate) const USAGE: &str = "
Checks settings and manifests, and whether the given files contradict each other. Reports every
problem as `FILE:LINE: FIELD: what is wrong`.

Usage:
    banyanarch check [--settings | --manifest] FILE...

Options:
    --settings    Treat all files as settings.
    --manifest    Treat all files as manifests.
                  Without either, a file with the key `listen` is treated as settings, any other
                  as a manifest.

Exit codes: 0 no problem, 2 a problem or a bad command line.
";

/// The kind of a file to check.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FileKind {
    Settings,
    Manifest,
}

/// The arguments of `banyanarch check`.
struct CheckArgs {
    /// The kind of all files; none if the kind of each file is detected from its contents.
    kind: Option<FileKind>,
    files: Vec<PathBuf>,
}

impl CheckArgs {
    /// Parses the arguments; an error if no file is given or both options are.
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        let settings = args.contains("--settings");
        let manifest = args.contains("--manifest");
        let files = remaining_files(args)?;
        let kind = match (settings, manifest) {
            (true, true) => {
                let message = "give one of --settings and --manifest";
                return Err(CmdError::Usage(message.to_owned()));
            }
            (true, false) => Some(FileKind::Settings),
            (false, true) => Some(FileKind::Manifest),
            (false, false) => None,
        };
        if files.is_empty() {
            return Err(CmdError::Usage("expected at least one FILE".to_owned()));
        }
        Ok(Self { kind, files })
    }
}

/// Checks the files, each by itself and then against each other. Writes a line for each valid file
/// to `out` and a line for each problem to standard error.
pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let args = CheckArgs::parse(args)?;
    let mut checked = CheckedFiles::default();
    let mut problems = Vec::new();
    for path in &args.files {
        match check_file(path, args.kind, &mut checked) {
            Ok(description) => writeln!(out, "{}: good: {description}", path.display())?,
            Err(error) => problems.push(error.to_string()),
        }
    }
    problems.extend(checked.conflicts().iter().map(ToString::to_string));
    for problem in &problems {
        eprintln!("{problem}");
    }
    Ok(if problems.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::BadInput
    })
}

/// Parses a file and adds it to `checked`. Returns a description of its contents.
fn check_file(
    path: &Path,
    kind: Option<FileKind>,
    checked: &mut CheckedFiles,
) -> Result<String, CmdError> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    match kind.unwrap_or_else(|| detect_kind(&text)) {
        FileKind::Settings => {
            let settings = Settings::parse(&text, &file)?;
            let description = format!("settings of host {}", settings.host);
            checked.add_settings(file, &text, settings);
            Ok(description)
        }
        FileKind::Manifest => {
            let manifest = Manifest::parse(&text, &file)?;
            let description = format!(
                "manifest of {}, {} models, {} services, {} customers",
                manifest.deployment,
                manifest.models.len(),
                manifest.services.len(),
                manifest.customers.len()
            );
            checked.add_manifest(file, manifest);
            Ok(description)
        }
    }
}

/// The kind of a file by its contents: settings if the key `listen` is at the top level, otherwise
/// a manifest, also if the text is not valid YAML.
fn detect_kind(text: &str) -> FileKind {
    match Node::parse(text) {
        Ok(root) if root.has_key("listen") => FileKind::Settings,
        _ => FileKind::Manifest,
    }
}
