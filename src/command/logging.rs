//! Structured logs: hosts log to standard output, all other commands to standard error.

use std::io::Write;

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

use crate::command::CommandError;
use crate::command::log_queue::LogQueue;

/// Starts logging at `level` unless the environment variable `RUST_LOG` says otherwise. Logging lasts as long as the handle.
///
/// # Errors
/// Returns `Usage` if the level does not parse.
pub fn start(level: &str) -> Result<LoggerHandle, CommandError> {
    Logger::try_with_env_or_str(level)
        .and_then(|logger| logger.format(format_line).start())
        .map_err(|e| CommandError::Usage(format!("log level {level:?}: {e}; use for example info")))
}

/// Starts logging of a host at `level`, to standard output through a queue that never blocks.
///
/// # Errors
/// Returns `Usage` if the level does not parse.
pub fn start_host(level: &str) -> Result<LoggerHandle, CommandError> {
    let queue = LogQueue::start(std::io::stdout());
    Logger::try_with_env_or_str(level)
        .and_then(|logger| logger.log_to_writer(Box::new(queue)).start())
        .map_err(|e| CommandError::Usage(format!("log level {level:?}: {e}; use for example info")))
}

struct KeyValues<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for KeyValues<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(|_| Error::msg("log line not written"))
    }
}

/// Formats a log line, without the line break.
///
/// # Errors
/// Returns the I/O error of the writer.
pub fn format_line(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(
        w,
        "{time} {} {}: {}",
        record.level(),
        record.target(),
        record.args()
    )?;
    record
        .key_values()
        .visit(&mut KeyValues(w))
        .map_err(std::io::Error::other)
}
