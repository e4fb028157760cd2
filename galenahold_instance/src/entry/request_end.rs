//! Records how a request ended.

use std::time;

use galenahold_domain::name;
use log::info;

use crate::face;
use crate::platform;

/// Records how a request ended, in the log, the metrics and the objectives.
#[derive(Debug, Clone)]
pub(crate) struct RequestEnd {
    metrics: platform::FleetMetrics,
    recorder: platform::BurnRecorder,
    request: name::RequestId,
    service: name::ServiceName,
    team: name::TeamName,
    started_at: time::Instant,
}

impl RequestEnd {
    /// Creates the record of a request that came at `started_at`.
    pub(crate) fn new(
        metrics: platform::FleetMetrics,
        recorder: platform::BurnRecorder,
        request: name::RequestId,
        service: name::ServiceName,
        team: name::TeamName,
        started_at: time::Instant,
    ) -> Self {
        Self {
            metrics,
            recorder,
            request,
            service,
            team,
            started_at,
        }
    }

    /// Records the time to the first token or answer.
    pub(crate) fn first_token(&self) {
        let labels = platform::ServiceLabels {
            service: self.service.to_string(),
        };
        let waited = self.started_at.elapsed();
        self.metrics
            .first_token
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
        self.recorder.first_token(&self.service, &self.team, waited);
    }

    /// Records the time between two tokens.
    pub(crate) fn between_tokens(&self, gap: time::Duration) {
        self.recorder.between_tokens(&self.service, &self.team, gap);
    }

    /// Records a whole answer that spent `tokens`.
    pub(crate) fn answered(&self, status: u16, tokens: u64) {
        self.count("answered", tokens);
        self.recorder.answered(&self.service, &self.team);
        info!(
            request:% = self.request,
            service:% = self.service,
            team:% = self.team,
            status = status,
            tokens = tokens,
            duration_ms = millis(self.started_at.elapsed());
            "request answered"
        );
    }

    /// Records that the caller went away after `tokens` were spent.
    pub(crate) fn abandoned(&self, tokens: u64) {
        self.count("abandoned", tokens);
        info!(
            request:% = self.request,
            service:% = self.service,
            team:% = self.team,
            tokens = tokens,
            duration_ms = millis(self.started_at.elapsed());
            "caller went away"
        );
    }

    /// Records a refusal or error.
    pub(crate) fn refused(&self, refusal: &face::RequestRefusal) {
        self.count(refusal.kind.as_str(), 0);
        let labels = platform::RefusalLabels {
            kind: refusal.kind.as_str().to_owned(),
            verdict: refusal.verdict.as_str().to_owned(),
        };
        self.metrics.refusals.get_or_create(&labels).inc();
        self.recorder
            .refused(&self.service, &self.team, refusal.kind);
        info!(
            request:% = self.request,
            service:% = self.service,
            team:% = self.team,
            kind = refusal.kind.as_str(),
            verdict = refusal.verdict.as_str(),
            duration_ms = millis(self.started_at.elapsed());
            "request refused"
        );
    }

    fn count(&self, outcome: &str, tokens: u64) {
        let labels = platform::RequestLabels {
            service: self.service.to_string(),
            team: self.team.to_string(),
            outcome: outcome.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if tokens > 0 {
            let labels = platform::TeamLabels {
                team: self.team.to_string(),
            };
            self.metrics.tokens.get_or_create(&labels).inc_by(tokens);
        }
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
