//! Logger for the `log` crate, writing text or JSON to standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ColorChoice, ConfigBuilder, LevelPadding, TermLogger, TerminalMode};

/// Configuration of the logger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogOptions {
    /// Most verbose level that is written.
    pub level: LevelFilter,
    /// Whether each line is a JSON object instead of text.
    pub is_json: bool,
}

/// Installs the global logger, which writes to standard error. Has no effect if a logger is installed
/// already.
pub fn init_logging(options: LogOptions) {
    if options.is_json {
        if log::set_boxed_logger(Box::new(JsonLogger { level: options.level })).is_ok() {
            log::set_max_level(options.level);
        }
        return;
    }
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_level_padding(LevelPadding::Right)
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("tungstenite")
        .build();
    let _ = TermLogger::init(options.level, config, TerminalMode::Stderr, ColorChoice::Never);
}

/// Writes one JSON object per line; `simplelog` has no JSON output.
struct JsonLogger {
    level: LevelFilter,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && !metadata.target().starts_with("ntex")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let line = serde_json::json!({
            "at_ms": at_ms,
            "level": record.level().as_str().to_lowercase(),
            "part": record.target(),
            "message": record.args().to_string(),
        });
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}
