//! A request as it arrived.

use std::sync;
use std::time;

use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::name;
use http::{Method, request};

use crate::api;
use crate::entry;

/// The header by which a caller shortens the service's deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// The parts of a request that its answer is decided by.
pub(super) struct ArrivedRequest {
    pub(super) id: name::RequestId,
    pub(super) started_at: time::Instant,
    pub(super) head: request::Parts,
    pub(super) identity: entry::CallerIdentity,
    pub(super) index: sync::Arc<control::ConfigurationIndex>,
}

impl ArrivedRequest {
    /// Refuses any other method than `method`.
    pub(super) fn check_method(&self, method: &Method) -> Result<(), api::RequestRefusal> {
        if self.head.method == *method {
            return Ok(());
        }
        Err(api::RequestRefusal::not_run(
            api::RefusalKind::MethodNotAllowed,
            format!("this path takes {method}"),
        ))
    }

    /// Refuses a body that holds a key, since the backend server would see it.
    pub(super) fn check_body(&self, body: &[u8]) -> Result<(), api::RequestRefusal> {
        if self.identity.redactor().detects_key(body) {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::BadRequest,
                "the body holds a key; leave it out, since the backend server would see it",
            ));
        }
        Ok(())
    }

    /// Returns path and query without keys.
    pub(super) fn target(&self) -> Result<String, api::RequestRefusal> {
        let redactor = self.identity.redactor();
        let path = self.head.uri.path();
        if redactor.detects_escaped_key(path) {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::BadRequest,
                "the path holds a key; leave it out, since the backend server would see it",
            ));
        }
        let query = self.head.uri.query();
        Ok(match query.and_then(|query| redactor.redact_query(query)) {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        })
    }

    /// Returns when the request has to be answered: the caller's limit, under the service's.
    pub(super) fn deadline(
        &self,
        service: &intent::ServiceIntent,
    ) -> Result<time::Instant, api::RequestRefusal> {
        let limit_ms = match self.head.headers.get(TIMEOUT_HEADER) {
            None => service.deadline_ms,
            Some(value) => {
                let wanted = value.to_str().ok().and_then(|text| text.parse().ok());
                let wanted: u64 = wanted.ok_or_else(|| {
                    api::RequestRefusal::not_run(
                        api::RefusalKind::BadRequest,
                        format!("{TIMEOUT_HEADER}: must be a whole number of milliseconds"),
                    )
                })?;
                wanted.min(service.deadline_ms)
            }
        };
        Ok(self.started_at + time::Duration::from_millis(limit_ms))
    }

    pub(super) fn refuse_access(&self, name: &str) -> api::RequestRefusal {
        match self.identity.team() {
            Some(team) => api::RequestRefusal::not_run(
                api::RefusalKind::Forbidden,
                format!("the team {team} may not use {name}"),
            ),
            None => api::RequestRefusal::not_run(
                api::RefusalKind::Unauthorized,
                format!("{name} is for teams; give a key as Authorization: Bearer"),
            ),
        }
    }
}
