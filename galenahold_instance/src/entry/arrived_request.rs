//! Head and caller of a request, with the checks that apply to every route.

use std::sync;
use std::time;

use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::name;
use http::{Method, request};

use crate::api;
use crate::entry;

/// The request header in which a caller states a shorter deadline than the service's, in
/// milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// A caller's request after its head has been read and its key resolved.
pub(super) struct ArrivedRequest {
    pub(super) id: name::RequestId,
    pub(super) started_at: time::Instant,
    pub(super) head: request::Parts,
    pub(super) identity: entry::CallerIdentity,
    pub(super) index: sync::Arc<control::ConfigurationIndex>,
}

impl ArrivedRequest {
    /// Refuses a request whose method is not `method`.
    pub(super) fn check_method(&self, method: &Method) -> Result<(), api::RequestRefusal> {
        if self.head.method == *method {
            return Ok(());
        }
        Err(api::RequestRefusal::not_run(
            api::RefusalKind::MethodNotAllowed,
            format!("this path supports only {method}"),
        ))
    }

    /// Refuses a body that contains a caller's key, since the backend server would receive it.
    pub(super) fn check_body(&self, body: &[u8]) -> Result<(), api::RequestRefusal> {
        if self.identity.redactor().detects_key(body) {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::BadRequest,
                "the body contains a key; remove it, because the backend server would receive it",
            ));
        }
        Ok(())
    }

    /// Returns the path and the query; query parameters that contain a key are removed, and a path
    /// that contains one is refused.
    pub(super) fn target(&self) -> Result<String, api::RequestRefusal> {
        let redactor = self.identity.redactor();
        let path = self.head.uri.path();
        if redactor.detects_escaped_key(path) {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::BadRequest,
                "the path contains a key; remove it, because the backend server would receive it",
            ));
        }
        let query = self.head.uri.query();
        Ok(match query.and_then(|query| redactor.redact_query(query)) {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        })
    }

    /// Returns the deadline of the answer: the caller's timeout, capped by the service's.
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

    /// Refuses the use of a model or service that the caller's team may not call.
    pub(super) fn refuse_access(&self, name: &str) -> api::RequestRefusal {
        match self.identity.team() {
            Some(team) => api::RequestRefusal::not_run(
                api::RefusalKind::Forbidden,
                format!("the team {team} may not use {name}"),
            ),
            None => api::RequestRefusal::not_run(
                api::RefusalKind::Unauthorized,
                format!("{name} requires a team's key; send it as Authorization: Bearer"),
            ),
        }
    }
}
