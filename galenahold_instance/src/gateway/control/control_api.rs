//! HTTP API of a control group member.

use std::net;
use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_domain::control as domain;
use galenahold_domain::declaration;
use galenahold_domain::name;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body;
use log::{error, info, warn};
use serde_json::json;
use tokio::sync::oneshot;

use crate::api;
use crate::gateway;
use crate::gateway::control;

/// Maximum size of an operator's document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Maximum time to read a request body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Maximum time until enough data folders hold a committed document.
const REPLICATION_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// How often the number of data folders that hold a document is checked.
const REPLICATION_POLL_PERIOD: time::Duration = time::Duration::from_millis(10);

/// Maximum time until a quorum confirms a linearizable read.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// HTTP API of a control group member: serves the operator's documents and the notices of backend
/// servers.
#[derive(Debug)]
pub(crate) struct ControlApi<Dialect> {
    dialect: Dialect,
    parts: sync::Arc<control::HandlerParts<Dialect>>,
    /// The address at which this instance serves the API.
    own_address: net::SocketAddr,
    /// Number of data folders that have to hold a document before it is acknowledged.
    required_copies: usize,
}

impl<Dialect: Clone> Clone for ControlApi<Dialect> {
    fn clone(&self) -> Self {
        Self {
            dialect: self.dialect.clone(),
            parts: sync::Arc::clone(&self.parts),
            own_address: self.own_address,
            required_copies: self.required_copies,
        }
    }
}

impl<Dialect: gateway::FleetDialect> ControlApi<Dialect> {
    /// Creates the API; an acknowledged document survives the loss of `tolerated_losses` data
    /// folders.
    pub(crate) fn new(
        dialect: Dialect,
        parts: sync::Arc<control::HandlerParts<Dialect>>,
        own_address: net::SocketAddr,
        tolerated_losses: usize,
    ) -> Self {
        Self {
            dialect,
            parts,
            own_address,
            required_copies: tolerated_losses + 1,
        }
    }

    async fn declare(&self, path: &str, body: body::Incoming) -> Response<api::AnswerBody> {
        let content = match read_body(body).await {
            Ok(content) => content,
            Err(refusal) => return refusal.answer(),
        };
        let declaration = match self.read_declaration(&content) {
            Ok(declaration) => declaration,
            Err(reason) => {
                info!(reason = reason.as_str(); "declaration refused");
                return error_answer(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let number = declaration.number;
        if !self.parts.member.is_leader() {
            let leader = self.parts.member.leader();
            info!(number = number, leader = leader.as_deref().unwrap_or("-"); "declaration is left to the leader");
            return self.redirect_to_leader(path);
        }
        match self.commit(number, &content).await {
            Ok(outcome) => {
                info!(number = number, outcome:? = outcome; "declaration acknowledged");
                let document = json!({ "version": number }).to_string();
                api::json_answer(StatusCode::OK, document)
            }
            Err(reason) => {
                warn!(number = number, reason = reason; "outcome of the declaration is unknown");
                error_answer(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
        }
    }

    fn read_declaration(&self, content: &[u8]) -> Result<declaration::FleetDeclaration, String> {
        let declaration = self
            .dialect
            .read_document(content)
            .map_err(|error| error.to_string())?;
        declaration.check().map_err(|fault| fault.to_string())?;
        Ok(declaration)
    }

    /// Commits a document and waits until enough data folders hold it.
    async fn commit(
        &self,
        number: u64,
        content: &[u8],
    ) -> Result<domain::ControlOutcome, &'static str> {
        let document = declaration::DeclaredDocument::pack(number, content).map_err(|error| {
            warn!(number = number, error:% = error; "cannot pack the declaration");
            "the document cannot be packed"
        })?;
        let command = domain::ControlCommand::Declare { document };
        let committed = self
            .parts
            .member
            .command_at(&command)
            .await
            .map_err(|_| "the document may or may not have been committed; send it again")?;
        let replicated = self.wait_replicated(committed.position.index.get());
        tokio::time::timeout(REPLICATION_TIMEOUT, replicated)
            .await
            .map_err(|_| "too few data folders hold the document; send it again")?;
        Ok(committed.outcome)
    }

    async fn wait_replicated(&self, index: u64) {
        loop {
            let status = self.parts.member.handle().status();
            let copies = status
                .members
                .iter()
                .filter(|report| report.matched.is_some_and(|matched| matched.get() >= index))
                .count();
            if copies >= self.required_copies {
                return;
            }
            tokio::time::sleep(REPLICATION_POLL_PERIOD).await;
        }
    }

    async fn read_back(&self, path: &str) -> Response<api::AnswerBody> {
        if !self.parts.member.is_leader() {
            return self.redirect_to_leader(path);
        }
        match self.confirmed_view().await {
            Some(view) => match &view.declared {
                Some(document) => document_answer(document),
                None => error_answer(StatusCode::NOT_FOUND, "no configuration was declared"),
            },
            None => error_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "no quorum confirmed the latest configuration in time",
            ),
        }
    }

    /// Reads the configuration linearizably: everything acknowledged before this call is included.
    async fn confirmed_view(&self) -> Option<sync::Arc<domain::ConfigurationView>> {
        let (sender, receiver) = oneshot::channel();
        let state = self.parts.member.state().clone();
        self.parts
            .member
            .handle()
            .read_with(move |confirmed: Result<_, driver::ReadError>| {
                let view = confirmed.map(|_| state.read(domain::ControlState::view));
                // The receiver is dropped if the read timed out.
                let _ = sender.send(view);
            });
        let read = tokio::time::timeout(READ_TIMEOUT, receiver).await;
        read.ok()?.ok()?.ok()
    }

    async fn apply_notice(
        &self,
        server: &str,
        path: &str,
        body: body::Incoming,
    ) -> Response<api::AnswerBody> {
        let content = match read_body(body).await {
            Ok(content) => content,
            Err(refusal) => return refusal.answer(),
        };
        let notice = match self.dialect.read_notice(server, &content) {
            Ok(notice) => notice,
            Err(error) => {
                warn!(server = server, error:% = error; "cannot read the notice of a backend server");
                return error_answer(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        match self.parts.record_notice(notice).await {
            Ok(()) => {
                let next = self.dialect.notice_answer(Some(self.own_address));
                api::json_answer(StatusCode::OK, next)
            }
            Err(refusal) => self.refuse_notice(refusal, path),
        }
    }

    async fn apply_leave(&self, server: &str, path: &str) -> Response<api::AnswerBody> {
        let server = name::ServerName::from(server);
        match self.parts.record_leave(&server).await {
            Ok(()) => api::json_answer(StatusCode::OK, "{}"),
            Err(refusal) => self.refuse_notice(refusal, path),
        }
    }

    fn refuse_notice(
        &self,
        refusal: control::NoticeRefusal,
        path: &str,
    ) -> Response<api::AnswerBody> {
        match refusal {
            control::NoticeRefusal::NotLeading => self.redirect_to_leader(path),
            control::NoticeRefusal::NotCommitted => error_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "the departure was not committed in time; send it again",
            ),
            control::NoticeRefusal::StartInFuture => error_answer(
                StatusCode::BAD_REQUEST,
                "the server's start is in the future",
            ),
        }
    }

    /// Redirects the client to the leader, or refuses the request if the leader is unknown.
    fn redirect_to_leader(&self, path: &str) -> Response<api::AnswerBody> {
        let leader = self.parts.member.leader();
        let address = leader.and_then(|leader| leader.parse::<net::SocketAddr>().ok());
        let address = address.filter(|address| address.ip() != self.own_address.ip());
        let Some(address) = address else {
            return error_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "the leader of the control group is unknown",
            );
        };
        let target = net::SocketAddr::new(address.ip(), self.own_address.port());
        let mut answer = error_answer(
            StatusCode::TEMPORARY_REDIRECT,
            "another instance is the leader",
        );
        if let Ok(location) = HeaderValue::from_str(&format!("http://{target}{path}")) {
            answer.headers_mut().insert(header::LOCATION, location);
        }
        answer
    }
}

impl<Dialect: gateway::FleetDialect> api::HttpHandler for ControlApi<Dialect> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        match self.dialect.control_request(&head.method, path) {
            gateway::ControlRequest::Declare => self.declare(path, body).await,
            gateway::ControlRequest::ReadBack => self.read_back(path).await,
            gateway::ControlRequest::Notice(server) => self.apply_notice(&server, path, body).await,
            gateway::ControlRequest::Leave(server) => self.apply_leave(&server, path).await,
            gateway::ControlRequest::Unknown => {
                error_answer(StatusCode::NOT_FOUND, "unknown method or path")
            }
        }
    }
}

async fn read_body(body: body::Incoming) -> Result<bytes::Bytes, api::RequestRefusal> {
    let reader = api::BodyReader::new(MAX_DOCUMENT_BYTES, BODY_TIMEOUT);
    reader.read(body).await
}

fn document_answer(document: &declaration::DeclaredDocument) -> Response<api::AnswerBody> {
    match document.unpack() {
        Ok(content) => api::json_answer(StatusCode::OK, content),
        Err(error) => {
            error!(number = document.number, error:% = error; "cannot unpack the declaration");
            error_answer(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the configuration cannot be unpacked",
            )
        }
    }
}

fn error_answer(status: StatusCode, reason: &str) -> Response<api::AnswerBody> {
    api::json_answer(status, json!({ "error": reason }).to_string())
}
