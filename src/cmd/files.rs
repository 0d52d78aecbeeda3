//! Files and command-line arguments that several subcommands read.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::manifest::Manifest;
use crate::yaml::FileErrors;

/// The text of a valid manifest file and the parsed manifest.
pub(crate) struct ManifestFile {
    pub(crate) text: String,
    pub(crate) manifest: Manifest,
}

/// Reads a file as text; an error that names the file if it cannot be read.
pub(crate) fn read_text(path: &Path) -> Result<String, CmdError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| FileErrors::unreadable(&file, &error))?;
    Ok(text)
}

/// Reads a manifest file and validates it.
pub(crate) fn read_manifest(path: &Path) -> Result<ManifestFile, CmdError> {
    let text = read_text(path)?;
    let manifest = Manifest::parse(&text, &path.display().to_string())?;
    Ok(ManifestFile { text, manifest })
}

/// The remaining arguments as files; an error if one is an option.
pub(crate) fn remaining_files(args: Arguments) -> Result<Vec<PathBuf>, CmdError> {
    let rest = args.finish();
    match rest
        .iter()
        .find(|arg| arg.to_string_lossy().starts_with('-'))
    {
        Some(option) => Err(unknown_option(&option.to_string_lossy())),
        None => Ok(rest.into_iter().map(PathBuf::from).collect()),
    }
}

/// The only remaining argument as a file; an error if there is none or more than one.
pub(crate) fn single_file(args: Arguments) -> Result<PathBuf, CmdError> {
    let mut files = remaining_files(args)?;
    match (files.pop(), files.is_empty()) {
        (Some(file), true) => Ok(file),
        _ => Err(CmdError::Usage("expected one FILE".to_owned())),
    }
}

/// Returns an error if an argument remains on the command line.
pub(crate) fn expect_no_more_args(args: Arguments) -> Result<(), CmdError> {
    match remaining_files(args)?.first() {
        Some(extra) => Err(CmdError::Usage(format!(
            "unexpected argument `{}`",
            extra.display()
        ))),
        None => Ok(()),
    }
}

fn unknown_option(option: &str) -> CmdError {
    CmdError::Usage(format!("unknown option `{option}`"))
}
