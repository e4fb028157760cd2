//! HTTP API for callers.

use std::net;
use std::time;

use http::{HeaderValue, Request, Response, header};
use hyper::body;

use crate::api;
use crate::gateway;
use crate::gateway::entry;
use crate::gateway::entry::call_answer;
use crate::platform;

/// HTTP API for callers: answers each request, then logs and counts its outcome.
pub(crate) struct CallApi<Dialect> {
    handler: entry::CallHandler<Dialect>,
}

impl<Dialect> Clone for CallApi<Dialect> {
    fn clone(&self) -> Self {
        Self {
            handler: self.handler.clone(),
        }
    }
}

impl<Dialect: gateway::FleetDialect> CallApi<Dialect> {
    pub(crate) fn new(handler: entry::CallHandler<Dialect>) -> Self {
        Self { handler }
    }

    fn count(&self, log: &entry::CallLog, outcome: &str, took: time::Duration) {
        let metrics = &self.handler.parts.metrics;
        let route = log.route.as_deref().unwrap_or_default().to_owned();
        let labels = platform::RequestLabels {
            service: route.clone(),
            team: log.team.as_deref().unwrap_or_default().to_owned(),
            outcome: outcome.to_owned(),
        };
        metrics.requests.get_or_create(&labels).inc();
        let labels = platform::ServiceLabels { service: route };
        let seconds = took.as_secs_f64();
        metrics.first_token.get_or_create(&labels).observe(seconds);
    }

    fn count_refusal(&self, refusal: &api::RequestRefusal) {
        let labels = platform::RefusalLabels {
            kind: refusal.kind.as_str().to_owned(),
            verdict: refusal.verdict.as_str().to_owned(),
        };
        let metrics = &self.handler.parts.metrics;
        metrics.refusals.get_or_create(&labels).inc();
    }
}

impl<Dialect: gateway::FleetDialect> api::HttpHandler for CallApi<Dialect> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        let began = time::Instant::now();
        let (head, body) = request.into_parts();
        let mut log = entry::CallLog::default();
        let served = self.handler.serve(head, body, &mut log).await;
        let took = began.elapsed();
        let mut answer = match served {
            Ok(answer) => {
                self.count(&log, "answered", took);
                log.write(answer.status().as_u16(), "answered", took);
                answer
            }
            Err(refusal) => {
                self.count(&log, refusal.kind.as_str(), took);
                self.count_refusal(&refusal);
                let answer = call_answer::refusal_answer(&refusal);
                log.write(answer.status().as_u16(), &refusal.message, took);
                answer
            }
        };
        if self.handler.parts.readiness.is_stopping() {
            // Closing the connection sends the caller's next request to an instance that stays.
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }
}
