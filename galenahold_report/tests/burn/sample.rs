//! Test fixture that records requests.

use std::time;

use galenahold_domain::intent;
use galenahold_report::{
    BurnReport, BurnSnapshot, ObjectiveRecorder, RequestMeasurement, RequestOutcome, TokenGapCounts,
};

/// A recorder with its start time; the methods take times relative to it.
#[derive(Debug)]
pub(crate) struct Sample {
    start: time::Instant,
    recorder: ObjectiveRecorder,
}

impl Sample {
    pub(crate) fn new() -> Self {
        let start = time::Instant::now();
        Self {
            start,
            recorder: ObjectiveRecorder::new(start),
        }
    }

    /// Records `count` requests to the service `drafts` at `after` since the start.
    pub(crate) fn requests(
        &self,
        count: u64,
        team: &str,
        outcome: RequestOutcome,
        first_token_ms: u64,
        after: time::Duration,
    ) {
        let measurement = RequestMeasurement {
            outcome,
            wait: time::Duration::from_millis(4),
            first_token: Some(time::Duration::from_millis(first_token_ms)),
            token_gaps: TokenGapCounts { met: 9, missed: 1 },
        };
        let objective = intent::ServiceObjective {
            first_token_ms: 500,
            latency_target_per_million: 900_000,
            availability_per_million: 990_000,
            ..intent::ServiceObjective::default()
        };
        for _ in 0..count {
            let now = self.start + after;
            let service = "drafts".into();
            self.recorder
                .record(&service, &team.into(), &objective, &measurement, now);
        }
    }

    pub(crate) fn snapshot(&self, instance: &str, after: time::Duration) -> BurnSnapshot {
        self.recorder.snapshot(&instance.into(), self.start + after)
    }

    pub(crate) fn report(&self, after: time::Duration) -> BurnReport {
        BurnReport::from_snapshot(&self.snapshot("e1", after))
    }
}
