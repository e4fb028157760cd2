//! Records requests against the objectives of services.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_report::{ObjectiveRecorder, RequestMeasurement};

use crate::entry;
use crate::operator;

/// Counts this instance's requests against the objectives of their services.
#[derive(Debug, Clone)]
pub(crate) struct BurnRecorder {
    instance: name::InstanceName,
    recorder: sync::Arc<ObjectiveRecorder>,
}

impl BurnRecorder {
    /// Creates a recorder without counts.
    pub(crate) fn new(instance: name::InstanceName) -> Self {
        Self {
            instance,
            recorder: sync::Arc::new(ObjectiveRecorder::new(time::Instant::now())),
        }
    }

    /// Counts a finished request.
    pub(crate) fn record(&self, subject: &entry::RequestSubject, measurement: &RequestMeasurement) {
        self.recorder.record(
            &subject.service,
            &subject.team,
            &subject.objective,
            measurement,
            time::Instant::now(),
        );
    }
}

impl operator::LocalBurn for BurnRecorder {
    fn snapshot(&self) -> String {
        let snapshot = self.recorder.snapshot(&self.instance, time::Instant::now());
        serde_json::to_string(&snapshot).unwrap_or_default()
    }
}
