//! The settings of one process, in YAML.

mod spec;

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
