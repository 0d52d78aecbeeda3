//! Logs on standard error, as text or JSON.
//!
//! Each part starts its messages with a fixed prefix (`homes: …`). What belongs to one request
//! carries its id as the key `request`: `log::info!(request:% = id; "entry: …")`.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::starter_log;

use crate::observe::ObserveError;
use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// Sets up the process's one logger.
pub fn init(settings: &LogSettings) -> Result<(), ObserveError> {
    let level: LevelFilter = settings.level.parse()?;
    let append = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let logger = starter_log::builder().dispatch(|dispatch| dispatch.append(append));
    let set = logger.try_apply();
    set.map_err(|error| ObserveError::Logger(error.to_string()))?;
    log::set_max_level(level);
    Ok(())
}
