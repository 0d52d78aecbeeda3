//! Why a subcommand could not do its work.

use std::error::Error;
use std::fmt;
use std::io;

use crate::cmd::Exit;
use crate::http::HttpError;
use crate::manifest::ManifestErrors;
use crate::objects::PlatformError;
use crate::settings::SettingsErrors;
use crate::yaml::FileErrors;

/// Why a subcommand could not do its work.
#[derive(Debug)]
pub enum CmdError {
    /// The command line is wrong.
    Usage(String),
    /// Settings are wrong.
    Settings(SettingsErrors),
    /// A manifest is wrong.
    Manifest(ManifestErrors),
    /// A file can't be read, or files contradict each other.
    Files(FileErrors),
    /// The platform did not do it.
    Platform(PlatformError),
    /// A host did not answer.
    Host(HttpError),
    /// An answer is not what it should be.
    BadAnswer(String),
    /// Standard output can't be written to.
    Output(io::Error),
    /// The machine gave no thread or descriptor.
    Runtime(io::Error),
}

impl CmdError {
    /// The exit code that goes with it.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) | Self::Manifest(_) | Self::Files(_) => {
                Exit::BadInput
            }
            Self::Platform(PlatformError::Absent | PlatformError::Refused(_)) => Exit::Refused,
            Self::Platform(_) | Self::Host(_) => Exit::Unreachable,
            Self::BadAnswer(_) | Self::Output(_) | Self::Runtime(_) => Exit::Refused,
        }
    }
}

impl fmt::Display for CmdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(why) => f.write_str(why),
            Self::Settings(errors) => errors.fmt(f),
            Self::Manifest(errors) => errors.fmt(f),
            Self::Files(errors) => errors.fmt(f),
            Self::Platform(error) => error.fmt(f),
            Self::Host(error) => write!(f, "host {error}"),
            Self::BadAnswer(why) => write!(f, "bad answer: {why}"),
            Self::Output(error) => write!(f, "standard output: {error}"),
            Self::Runtime(error) => write!(f, "can't start: {error}"),
        }
    }
}

impl Error for CmdError {}

impl From<pico_args::Error> for CmdError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<SettingsErrors> for CmdError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Settings(errors)
    }
}

impl From<ManifestErrors> for CmdError {
    fn from(errors: ManifestErrors) -> Self {
        Self::Manifest(errors)
    }
}

impl From<FileErrors> for CmdError {
    fn from(errors: FileErrors) -> Self {
        Self::Files(errors)
    }
}

impl From<PlatformError> for CmdError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<HttpError> for CmdError {
    fn from(error: HttpError) -> Self {
        Self::Host(error)
    }
}

impl From<serde_json::Error> for CmdError {
    fn from(error: serde_json::Error) -> Self {
        Self::BadAnswer(error.to_string())
    }
}

impl From<io::Error> for CmdError {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}
