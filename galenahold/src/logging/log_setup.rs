//! Starts logging.

use std::io::Write;

use crate::logging;

/// The library between instances, which says each call at the level of information.
const RPC_LIBRARY: &str = "tarpc";

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogOutput {
    /// Standard error, for a person's command.
    Error,
    /// Standard output, without ever blocking, for an instance.
    Standard,
}

/// Starts logging; `filter` is a level, or levels by module.
///
/// Returns what waits for the last lines, where they are written by a thread of their own. A second call
/// changes nothing.
pub(crate) fn start_logging(filter: &str, output: LogOutput) -> Option<logging::LogTail> {
    let mut builder = env_logger::Builder::new();
    let mut tail = None;
    if output == LogOutput::Standard {
        match logging::BoundedWriter::start(std::io::stdout()) {
            Ok(writer) => {
                tail = Some(writer.tail());
                builder.target(env_logger::Target::Pipe(Box::new(writer)));
            }
            // Lines go to standard error then, as they do by default.
            Err(error) => eprintln!("cannot start the log output: {error}"),
        }
    }
    let started = builder
        .filter_module(RPC_LIBRARY, log::LevelFilter::Warn)
        .parse_filters(filter)
        .format(|buffer, record| {
            let time = buffer.timestamp_millis();
            writeln!(buffer, "{}", logging::LogLine::new(time, record))
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging had been started before");
    }
    tail
}
