//! Starts logging.

use std::io::Write;

use crate::logging;

/// The library between instances, which says each call at the level of information.
const RPC_LIBRARY: &str = "tarpc";

/// Starts logging to standard error; `filter` is a level, or levels by module.
///
/// A second call changes nothing.
pub(crate) fn start_logging(filter: &str) {
    let started = env_logger::Builder::new()
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
}
