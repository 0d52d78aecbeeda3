//! Errors of subcommands.

use std::error::Error;
use std::fmt;
use std::io;

use crate::cmd::ExitStatus;
use crate::http::HttpError;
use crate::manifest::ManifestErrors;
use crate::objects::PlatformError;
use crate::settings::SettingsErrors;
use crate::yaml::FileErrors;

/// An error that ends a subcommand.
#[derive(Debug)]
pub enum CmdError {
    /// The command line is invalid.
    Usage(String),
    /// A settings file is invalid.
    Settings(SettingsErrors),
    /// A manifest is invalid.
    Manifest(ManifestErrors),
    /// A file cannot be read.
    Files(FileErrors),
    /// A call to the platform failed.
    Platform(PlatformError),
    /// A call to a host failed.
    Host(HttpError),
    /// A response of the platform or a host is invalid.
    InvalidResponse(String),
    /// Standard output cannot be written to, or standard input cannot be read.
    Output(io::Error),
    /// The async runtime cannot be started, such as for lack of file descriptors.
    Runtime(io::Error),
}

impl CmdError {
    /// The exit status of the tool for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Settings(_) | Self::Manifest(_) | Self::Files(_) => {
                ExitStatus::BadInput
            }
            Self::Platform(PlatformError::NotFound | PlatformError::Refused(_)) => {
                ExitStatus::Negative
            }
            Self::Platform(_) | Self::Host(_) => ExitStatus::Unreachable,
            Self::InvalidResponse(_) | Self::Output(_) | Self::Runtime(_) => ExitStatus::Negative,
        }
    }
}

impl fmt::Display for CmdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => f.write_str(message),
            Self::Settings(errors) => errors.fmt(f),
            Self::Manifest(errors) => errors.fmt(f),
            Self::Files(errors) => errors.fmt(f),
            Self::Platform(error) => error.fmt(f),
            Self::Host(error) => write!(f, "host {error}"),
            Self::InvalidResponse(message) => write!(f, "invalid response: {message}"),
            Self::Output(error) => write!(f, "standard input or output: {error}"),
            Self::Runtime(error) => write!(f, "cannot start the async runtime: {error}"),
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
        Self::InvalidResponse(error.to_string())
    }
}

impl From<io::Error> for CmdError {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}
