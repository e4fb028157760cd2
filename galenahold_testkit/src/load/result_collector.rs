//! Results while a run goes on.

use std::collections;
use std::time;

use super::latency_recorder::LatencyRecorder;
use super::request_end::RequestEnd;
use super::request_result::RequestResult;
use super::{RouteKind, RouteResult, SecondCount, TraceBody, TraceRequest, VerdictCount};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Names the results of a team on a route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey {
    route: RouteKind,
    team: String,
}

#[derive(Debug, Default)]
struct RouteRecorder {
    result: RouteResult,
    first_token: LatencyRecorder,
    after_idle: LatencyRecorder,
    between_tokens: LatencyRecorder,
    total: LatencyRecorder,
}

/// Sums results up by route and team, and over all teams.
#[derive(Debug, Default)]
pub(crate) struct ResultCollector {
    routes: collections::BTreeMap<RouteKey, RouteRecorder>,
    seconds: collections::BTreeMap<u64, SecondCount>,
}

impl ResultCollector {
    /// Takes the result of one request that was due at `due`.
    pub(crate) fn take(
        &mut self,
        route: RouteKind,
        request: &TraceRequest,
        due: time::Instant,
        result: &RequestResult,
    ) {
        let now = time::Instant::now();
        self.count_second(request, due, result);
        for team in ["", &request.team] {
            let key = RouteKey {
                route,
                team: team.to_owned(),
            };
            let recorder = self.routes.entry(key).or_default();
            recorder.take(request, due, now, result);
        }
    }

    /// Returns the results by route and team.
    pub(crate) fn routes(&self) -> Vec<RouteResult> {
        let routes = self.routes.iter();
        routes
            .map(|(key, recorder)| recorder.result_of(key))
            .collect()
    }

    /// Returns the results by second.
    pub(crate) fn seconds(&self) -> Vec<SecondCount> {
        self.seconds.values().copied().collect()
    }

    fn count_second(&mut self, request: &TraceRequest, due: time::Instant, result: &RequestResult) {
        let second = request.at_us / MICROS_PER_SECOND;
        let count = self.seconds.entry(second).or_default();
        count.second = second;
        count.sent += 1;
        match result.end {
            RequestEnd::Answered => count.answered += 1,
            RequestEnd::Refused { .. } => count.refused += 1,
            _ => return,
        }
        if let Some(first_at) = result.first_at {
            let waited = first_at.duration_since(due).as_micros();
            let waited = u64::try_from(waited).unwrap_or(u64::MAX);
            count.worst_first_token_us = count.worst_first_token_us.max(waited);
        }
    }
}

impl RouteRecorder {
    fn take(
        &mut self,
        request: &TraceRequest,
        due: time::Instant,
        now: time::Instant,
        result: &RequestResult,
    ) {
        self.result.sent += 1;
        self.result.tokens += result.tokens;
        self.count_end(request, &result.end);
        for gap in &result.gaps {
            self.between_tokens.record(*gap);
        }
        if result.end != RequestEnd::Answered {
            return;
        }
        self.total.record(now.duration_since(due));
        let Some(first_at) = result.first_at else {
            return;
        };
        let waited = first_at.duration_since(due);
        self.first_token.record(waited);
        if matches!(
            request.body,
            TraceBody::Completion {
                after_idle: true,
                ..
            }
        ) {
            self.after_idle.record(waited);
        }
    }

    fn count_end(&mut self, request: &TraceRequest, end: &RequestEnd) {
        let result = &mut self.result;
        match end {
            RequestEnd::Answered => result.answered += 1,
            RequestEnd::Wrong => result.wrong += 1,
            RequestEnd::FailedStream { verdict, kind } => {
                result.failed_streams += 1;
                let status = http::StatusCode::OK.as_u16();
                count_verdict(&mut result.verdicts, status, verdict, kind);
            }
            RequestEnd::Broken => result.broken += 1,
            RequestEnd::TimedOut => result.timed_out += 1,
            RequestEnd::Refused {
                status,
                verdict,
                kind,
            } => {
                result.refused += 1;
                if *status == http::StatusCode::TOO_MANY_REQUESTS && request.inside_rate {
                    result.refused_inside_rate += 1;
                }
                count_verdict(&mut result.verdicts, *status, verdict, kind);
            }
        }
    }

    fn result_of(&self, key: &RouteKey) -> RouteResult {
        RouteResult {
            route: Some(key.route),
            team: key.team.clone(),
            first_token: self.first_token.summary(),
            first_token_after_idle: self.after_idle.summary(),
            between_tokens: self.between_tokens.summary(),
            total: self.total.summary(),
            ..self.result.clone()
        }
    }
}

/// Counts one refusal or failed stream.
fn count_verdict(verdicts: &mut Vec<VerdictCount>, status: u16, verdict: &str, kind: &str) {
    let known = verdicts
        .iter_mut()
        .find(|known| known.status == status && known.verdict == verdict && known.kind == kind);
    match known {
        Some(known) => known.count += 1,
        None => verdicts.push(VerdictCount {
            status,
            verdict: verdict.to_owned(),
            kind: kind.to_owned(),
            count: 1,
        }),
    }
}
