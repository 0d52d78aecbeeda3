//! The settings of one daemon process, read from a YAML file.

mod conflicts;
mod errors;
mod parse;
mod settings_check;
mod spec;

pub use errors::SettingsErrors;
pub use settings_check::EXIT_BAD_SETTINGS;
pub use settings_check::SettingsCheck;
pub use settings_check::check_settings_file;
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
