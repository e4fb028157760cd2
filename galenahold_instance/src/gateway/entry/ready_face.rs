//! Tells the balancer whether this instance takes callers.

use std::net;

use http::{Request, Response, StatusCode};
use hyper::body;

use crate::configuration;
use crate::face;
use crate::gateway;
use crate::platform;

/// Tells the balancer whether this instance takes callers.
#[derive(Debug, Clone)]
pub(crate) struct ReadyFace<Dialect> {
    /// The platform's words.
    pub(crate) dialect: Dialect,
    /// Whether a planned stop is under way.
    pub(crate) readiness: platform::ReadinessState,
    /// The configuration with its confirmation.
    pub(crate) holder: configuration::ConfigurationHolder,
    /// The declaration in force.
    pub(crate) declared: gateway::DeclarationHolder<Dialect>,
}

impl<Dialect: gateway::FleetDialect> face::HttpHandler for ReadyFace<Dialect> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<face::AnswerBody> {
        if !self.dialect.asks_readiness(request.uri().path()) {
            return face::json_answer(StatusCode::NOT_FOUND, "{}");
        }
        let served = self.holder.is_fresh() && self.declared.index().is_some();
        match self.readiness.check(served) {
            Ok(()) => face::json_answer(StatusCode::OK, r#"{"ready":true}"#),
            Err(reason) => face::json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                format!(r#"{{"ready":false,"reason":"{}"}}"#, reason.as_str()),
            ),
        }
    }
}
