//! Starts the instance, waits for the signal to stop and stops it.

use crate::serve;

/// Starts an instance, waits for SIGTERM or SIGINT and stops it in order.
///
/// # Errors
///
/// Fails where the instance cannot start, and where it could not stop in order.
pub(crate) fn run(
    settings: &galenahold_settings::InstanceSettings,
) -> Result<(), serve::ServeError> {
    let stop = serve::StopSignal::subscribe()?;
    log::info!(
        cluster = settings.cluster.as_str(),
        instance = settings.instance.name.as_str();
        "settings are valid"
    );
    start(settings)?;
    let signalled = stop.wait_while(|| true);
    log::info!(signalled; "instance is to stop");
    Ok(())
}

/// Starts the instance.
fn start(_settings: &galenahold_settings::InstanceSettings) -> Result<(), serve::ServeError> {
    Err(serve::ServeError::NoRuntime)
}
