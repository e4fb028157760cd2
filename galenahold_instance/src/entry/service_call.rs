//! Calls to plain services.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::crash;
use galenahold_routing::replica;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use tokio_util::sync;

use crate::dispatch;
use crate::entry;

/// The maximum number of concurrent calls of one plain backend server; further calls wait.
const SERVICE_CONCURRENCY: u32 = 256;

/// The header that states the team to plain services.
const TEAM_HEADER: &str = "x-team";

/// A call to a plain service in progress.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    /// The id of the request.
    pub(crate) id: name::RequestId,
    /// The identity of the caller.
    pub(crate) identity: entry::CallerIdentity,
    /// The guard that checks whether the call may still run.
    pub(crate) guard: entry::KeyGuard,
    /// The name of the service.
    pub(crate) service: name::ServiceName,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query, without keys.
    pub(crate) target: String,
    /// The headers that are sent to the backend server.
    pub(crate) headers: HeaderMap,
    /// The request body.
    pub(crate) body: bytes::Bytes,
    /// The keys by which the call is recognized if its server crashes.
    pub(crate) keys: crash::CallKeys,
    /// Whether the call may be retried after it may have run.
    pub(crate) idempotent: bool,
    /// The number of tokens that the call is charged.
    pub(crate) tokens: amount::TokenCount,
    /// The priority of the service.
    pub(crate) priority: i32,
    /// The deadline of the answer.
    pub(crate) deadline: time::Instant,
    /// The recorder of the request's outcome.
    pub(crate) recorder: entry::RequestRecorder,
    /// Cancelled when the caller leaves.
    pub(crate) departure: sync::CancellationToken,
}

impl ServiceCall {
    /// Returns the HTTP request of one attempt.
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

    async fn caller_left(&self) {
        self.departure.cancelled().await;
    }

    fn charged_tokens(&self) -> amount::TokenCount {
        self.tokens
    }

    fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    fn keys(&self) -> &crash::CallKeys {
        &self.keys
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
