//! The settings of one process, in YAML.

mod clashes;
mod errors;
mod file_check;
mod parse;
mod spec;

pub use errors::SettingsErrors;
pub use file_check::EXIT_BAD_SETTINGS;
pub use file_check::FileCheck;
pub use file_check::run_daemon_check;
pub use spec::DrainSettings;
pub use spec::ListenSettings;
pub use spec::LogFormat;
pub use spec::LogSettings;
pub use spec::PeerKey;
pub use spec::PeerSeed;
pub use spec::PeerSettings;
pub use spec::PlatformSettings;
pub use spec::PolicyName;
pub use spec::Settings;
