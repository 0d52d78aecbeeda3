//! What `banyanarchd --check` says.

use std::path::Path;

use crate::settings::Settings;

/// The exit code of a process whose settings are wrong.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// The result of a check, ready to be printed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsCheck {
    /// One line if all is well, else one a problem.
    pub report: String,
    /// 0, or [`EXIT_BAD_SETTINGS`].
    pub exit_code: u8,
}

/// Checks a settings file without binding or connecting to anything.
pub fn check_settings_file(path: &Path) -> SettingsCheck {
    match Settings::read(path) {
        Ok(settings) => SettingsCheck {
            report: format!(
                "{}: good: host {} in {} of {}",
                path.display(),
                settings.host,
                settings.failure_domain,
                settings.deployment
            ),
            exit_code: 0,
        },
        Err(errors) => SettingsCheck {
            report: errors.to_string(),
            exit_code: EXIT_BAD_SETTINGS,
        },
    }
}
