//! The check of a settings file behind `banyanarchd --check`.

use std::path::Path;

use crate::settings::Settings;

/// The exit code of a process with invalid settings or a wrong command line.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// The result of the check of a settings file: the text to print and the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsCheck {
    /// One line if the settings are valid, otherwise one line per problem.
    pub report: String,
    /// 0 if the settings are valid, otherwise [`EXIT_BAD_SETTINGS`].
    pub exit_code: u8,
}

/// Reads and validates a settings file without binding or connecting to any address.
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
