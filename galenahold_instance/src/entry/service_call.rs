//! One call to a plain service on its way.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::replica;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;

use crate::dispatch;
use crate::entry;

/// Calls that one plain backend server runs at once before others wait.
const SERVICE_CONCURRENCY: u32 = 256;

/// The header that names the team to plain services.
const TEAM_HEADER: &str = "x-team";

/// One call to a plain service on its way.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    /// The request's id.
    pub(crate) id: name::RequestId,
    /// Who calls.
    pub(crate) identity: entry::CallerIdentity,
    /// Checks that the call may run.
    pub(crate) guard: entry::KeyGuard,
    /// The service.
    pub(crate) service: name::ServiceName,
    /// The method.
    pub(crate) method: Method,
    /// Path and query, without keys.
    pub(crate) target: String,
    /// The headers for the backend server.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: bytes::Bytes,
    /// Whether the call may be repeated.
    pub(crate) idempotent: bool,
    /// Tokens that the call is charged.
    pub(crate) tokens: amount::TokenCount,
    /// The service's priority.
    pub(crate) priority: i32,
    /// When the call has to be answered.
    pub(crate) deadline: time::Instant,
    /// Records how the call ends.
    pub(crate) recorder: entry::RequestRecorder,
}

impl ServiceCall {
    /// Returns the request of one attempt.
    pub(crate) fn request(&self, attempt: &name::RequestId) -> Request<Full<bytes::Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.target.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static("backend"));
        if let Ok(value) = HeaderValue::from_str(attempt) {
            headers.insert(entry::REQUEST_ID_HEADER, value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.identity.team_or_empty()) {
            headers.insert(TEAM_HEADER, value);
        }
        request
    }
}

impl entry::AttemptCall for ServiceCall {
    fn id(&self) -> &name::RequestId {
        &self.id
    }

    fn identity(&self) -> &entry::CallerIdentity {
        &self.identity
    }

    fn guard(&self) -> &entry::KeyGuard {
        &self.guard
    }

    fn recorder(&self) -> &entry::RequestRecorder {
        &self.recorder
    }

    fn deadline(&self) -> time::Instant {
        self.deadline
    }

    fn charged_tokens(&self) -> amount::TokenCount {
        self.tokens
    }

    fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    fn slot_request(
        &self,
        weight: f64,
        avoided_server: Option<name::ServerName>,
    ) -> dispatch::SlotRequest {
        dispatch::SlotRequest {
            target: replica::ReplicaTarget::Service(self.service.clone()),
            team: self.identity.team_or_empty(),
            weight,
            tokens: amount::TokenCount(self.tokens.0.max(1)),
            bytes: amount::ByteCount(self.body.len() as u64),
            priority: self.priority,
            concurrency: SERVICE_CONCURRENCY,
            prefix: replica::PrefixBlocks::default(),
            avoided_server,
            deadline: self.deadline,
        }
    }
}
