//! Recorder of request outcomes.

use std::sync;
use std::time;

use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_report::{RequestMeasurement, RequestOutcome, TokenGapCounts};
use log::info;

use crate::api;
use crate::platform;

/// Records the times and the outcome of a request in the log, the metrics and the service objectives.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecorder {
    metrics: platform::FleetMetrics,
    burn_recorder: platform::BurnRecorder,
    subject: sync::Arc<RequestSubject>,
    measured: sync::Arc<sync::Mutex<MeasuredTimes>>,
}

/// The request that a recorder records, with its service and team.
#[derive(Debug)]
pub(crate) struct RequestSubject {
    /// The id of the request.
    pub(crate) request: name::RequestId,
    /// The service that the request is for.
    pub(crate) service: name::ServiceName,
    /// The caller's team; empty on an open route.
    pub(crate) team: name::TeamName,
    /// The objective of the service.
    pub(crate) objective: intent::ServiceObjective,
    /// The arrival time of the request.
    pub(crate) started_at: time::Instant,
}

#[derive(Debug, Default)]
struct MeasuredTimes {
    wait: Option<time::Duration>,
    first_token: Option<time::Duration>,
    token_gaps: TokenGapCounts,
}

impl RequestRecorder {
    /// Creates a recorder for one request.
    pub(crate) fn new(
        metrics: platform::FleetMetrics,
        burn_recorder: platform::BurnRecorder,
        subject: RequestSubject,
    ) -> Self {
        Self {
            metrics,
            burn_recorder,
            subject: sync::Arc::new(subject),
            measured: sync::Arc::default(),
        }
    }

    /// Records that the request is sent to a backend server; only the first send counts.
    pub(crate) fn record_sent(&self) {
        let waited = self.subject.started_at.elapsed();
        self.lock().wait.get_or_insert(waited);
    }

    /// Records the time to the first token of a stream, or to a complete answer.
    pub(crate) fn record_first_token(&self) {
        let labels = platform::ServiceLabels {
            service: self.subject.service.to_string(),
        };
        let waited = self.subject.started_at.elapsed();
        self.metrics
            .first_token
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
        self.lock().first_token = Some(waited);
    }

    /// Records the time between two consecutive tokens.
    pub(crate) fn record_token_gap(&self, gap: time::Duration) {
        let bound = time::Duration::from_millis(self.subject.objective.between_tokens_ms);
        let gaps = &mut self.lock().token_gaps;
        if gap <= bound {
            gaps.met += 1;
        } else {
            gaps.missed += 1;
        }
    }

    /// Records a complete answer that spent `tokens`.
    pub(crate) fn record_answered(&self, status: u16, tokens: u64) {
        self.count_request("answered", tokens);
        self.record_measurement(RequestOutcome::Answered);
        info!(
            request:% = self.subject.request,
            service:% = self.subject.service,
            team:% = self.subject.team,
            status = status,
            tokens = tokens,
            duration_ms = self.duration_ms();
            "request answered"
        );
    }

    /// Records that the caller disconnected after `tokens` were spent.
    pub(crate) fn record_abandoned(&self, tokens: u64) {
        self.count_request("abandoned", tokens);
        info!(
            request:% = self.subject.request,
            service:% = self.subject.service,
            team:% = self.subject.team,
            tokens = tokens,
            duration_ms = self.duration_ms();
            "caller disconnected"
        );
    }

    /// Records a refusal or error.
    pub(crate) fn record_refused(&self, refusal: &api::RequestRefusal) {
        self.count_request(refusal.kind.as_str(), 0);
        let labels = platform::RefusalLabels {
            kind: refusal.kind.as_str().to_owned(),
            verdict: refusal.verdict.as_str().to_owned(),
        };
        self.metrics.refusals.get_or_create(&labels).inc();
        self.record_measurement(classify_refusal(refusal.kind));
        info!(
            request:% = self.subject.request,
            service:% = self.subject.service,
            team:% = self.subject.team,
            kind = refusal.kind.as_str(),
            verdict = refusal.verdict.as_str(),
            reason = refusal.message.as_str(),
            duration_ms = self.duration_ms();
            "request refused"
        );
    }

    fn record_measurement(&self, outcome: RequestOutcome) {
        let measured = self.lock();
        let measurement = RequestMeasurement {
            outcome,
            wait: measured
                .wait
                .unwrap_or_else(|| self.subject.started_at.elapsed()),
            first_token: measured.first_token,
            token_gaps: measured.token_gaps,
        };
        drop(measured);
        self.burn_recorder.record(&self.subject, &measurement);
    }

    fn count_request(&self, outcome: &str, tokens: u64) {
        let labels = platform::RequestLabels {
            service: self.subject.service.to_string(),
            team: self.subject.team.to_string(),
            outcome: outcome.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if tokens > 0 {
            let labels = platform::TeamLabels {
                team: self.subject.team.to_string(),
            };
            self.metrics.tokens.get_or_create(&labels).inc_by(tokens);
        }
    }

    fn duration_ms(&self) -> u64 {
        let duration = self.subject.started_at.elapsed();
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> sync::MutexGuard<'_, MeasuredTimes> {
        self.measured
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Classifies refusals for the objectives: due to the caller, within the team's rate, or failed.
fn classify_refusal(kind: api::RefusalKind) -> RequestOutcome {
    match kind {
        api::RefusalKind::BadRequest
        | api::RefusalKind::TooLarge
        | api::RefusalKind::SlowRequest
        | api::RefusalKind::Unauthorized
        | api::RefusalKind::Forbidden
        | api::RefusalKind::NotFound
        | api::RefusalKind::MethodNotAllowed
        | api::RefusalKind::RateLimited
        | api::RefusalKind::TooManyTokens
        | api::RefusalKind::PromptBlocked
        | api::RefusalKind::OrderRunning
        | api::RefusalKind::OrderUnknown
        | api::RefusalKind::OrderDiffers
        | api::RefusalKind::OrderExpired
        | api::RefusalKind::KeyWithdrawn
        | api::RefusalKind::CallerLeft => RequestOutcome::RefusedByRule,
        api::RefusalKind::QueueFull
        | api::RefusalKind::StaleConfiguration
        | api::RefusalKind::ControlUnavailable
        | api::RefusalKind::OrderLedgerFull
        | api::RefusalKind::Stopping => RequestOutcome::RefusedInsideRate,
        api::RefusalKind::DeadlineExceeded
        | api::RefusalKind::BackendUnavailable
        | api::RefusalKind::BackendFailed => RequestOutcome::Failed,
    }
}
