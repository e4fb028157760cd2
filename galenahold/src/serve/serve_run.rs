//! Starts the instance, waits for the signal to stop and stops it.

use galenahold_instance::{FleetInstance, StopReason};
use galenahold_settings::InstanceSettings;
use snafu::ResultExt;

use crate::serve;
use crate::serve::serve_error::{FaultSnafu, StartSnafu};

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
    let wake = stop.waker();
    let instance =
        FleetInstance::start(settings.clone(), move || wake.wake()).context(StartSnafu)?;
    stop.wait();
    let fault = instance.fault();
    instance.stop(match fault {
        Some(_) => StopReason::Fault,
        None => StopReason::Planned,
    });
    match fault {
        Some(reason) => FaultSnafu { reason }.fail(),
        None => Ok(()),
    }
}
