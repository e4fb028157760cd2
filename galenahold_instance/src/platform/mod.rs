//! The HTTP API for the platform: liveness, readiness and metrics.

mod burn_recorder;
mod fleet_metrics;
mod platform_api;
mod readiness_state;

pub(crate) use burn_recorder::BurnRecorder;
pub(crate) use fleet_metrics::{
    FleetMetrics, LoadLabels, RefusalLabels, RequestLabels, ServiceLabels, TeamLabels,
};
pub(crate) use platform_api::PlatformApi;
pub(crate) use readiness_state::ReadinessState;
