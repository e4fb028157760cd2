//! Writes the HTML burn report of synthetic traffic to standard output, for visual inspection.

use std::time;

use galenahold_domain::intent;
use galenahold_report::{
    BurnReport, ObjectiveRecorder, RequestMeasurement, RequestOutcome, TokenGapCounts,
};

const MINUTES: u64 = 360;
const TEAMS: [&str; 5] = ["councils", "engineers", "foundry-a", "foundry-b", "clerks"];

fn main() -> Result<(), galenahold_report::ReportError> {
    let start = time::Instant::now();
    let recorder = ObjectiveRecorder::new(start);
    for service in ["inscription-drafts", "orders-desk"] {
        for minute in 0..MINUTES {
            for (index, team) in (0_u64..).zip(TEAMS) {
                record_minute(&recorder, service, team, index, start, minute);
            }
        }
    }
    let now = start + time::Duration::from_mins(MINUTES);
    let snapshot = recorder.snapshot(&"kibaha-1".into(), now);
    println!("{}", BurnReport::from_snapshot(&snapshot).to_html()?);
    Ok(())
}

/// Records the requests of one minute; the team with index 2 has late first tokens for an hour.
fn record_minute(
    recorder: &ObjectiveRecorder,
    service: &str,
    team: &str,
    index: u64,
    start: time::Instant,
    minute: u64,
) {
    let is_slow_hour = index == 2 && (200..260).contains(&minute);
    let now = start + time::Duration::from_mins(minute);
    let objective = intent::ServiceObjective::default();
    for request in 0..20 + index {
        let late = (request * 7 + minute * 13 + index).is_multiple_of(29)
            || is_slow_hour && request.is_multiple_of(2);
        let failed = (request + minute * 11).is_multiple_of(997);
        let outcome = if failed {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        let first_token_ms = if late { 2_400 } else { 300 };
        let measurement = RequestMeasurement {
            outcome,
            wait: time::Duration::from_millis(request),
            first_token: Some(time::Duration::from_millis(first_token_ms)),
            token_gaps: TokenGapCounts {
                met: 100,
                missed: u64::from(late) * 3,
            },
        };
        let (service, team) = (service.into(), team.into());
        recorder.record(&service, &team, &objective, &measurement, now);
    }
}
