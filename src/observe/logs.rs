//! Logs on standard error, as text or JSON.
//!
//! Each message starts with the name of the part of the program that logs it, such as `homes:`. A
//! message about one request carries the request id under the key `request`:
//! `log::info!(request:% = id; "entry: …")`.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::starter_log;

use crate::observe::ObserveError;
use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// Installs the logger of the process. Fails if the process has a logger already or the level is
/// unknown.
pub fn init(settings: &LogSettings) -> Result<(), ObserveError> {
    let level: LevelFilter = settings.level.parse()?;
    let append = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let logger = starter_log::builder().dispatch(|dispatch| dispatch.append(append));
    let applied = logger.try_apply();
    applied.map_err(|error| ObserveError::Logger(error.to_string()))?;
    log::set_max_level(level);
    Ok(())
}
