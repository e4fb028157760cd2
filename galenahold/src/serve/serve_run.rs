//! Starts the instance, waits for the signal to stop and stops it.

use galenahold_settings::InstanceSettings;

use crate::serve;

/// Starts an instance, waits for SIGTERM or SIGINT and stops it in order.
///
/// # Errors
///
/// Fails where the instance cannot start, and where it could not stop in order.
pub(crate) fn run(settings: &InstanceSettings) -> Result<(), serve::ServeError> {
    let mut stop = serve::StopSignal::subscribe()?;
    log::info!(
        cluster = settings.cluster.as_str(),
        instance = settings.instance.name.as_str();
        "settings are valid"
    );
    start(settings)?;
    stop.wait();
    Ok(())
}

/// Starts the instance.
fn start(_settings: &InstanceSettings) -> Result<(), serve::ServeError> {
    Err(serve::ServeError::NoRuntime)
}
