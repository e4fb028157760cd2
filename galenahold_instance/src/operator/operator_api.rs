//! Serves the HTTP API for operators.

use std::net;
use std::time;

use galenahold_domain::control;
use galenahold_domain::name;
use galenahold_wire::message;
use http::{Method, Request, Response, StatusCode};
use hyper::body;
use log::info;
use serde::{Serialize, de};
use serde_json::{Value, json};

use crate::api;
use crate::configuration;
use crate::operator;
use crate::peer;

/// The maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// The timeout of receiving a document.
const DOCUMENT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The timeout of a call, including the search for a leader.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Provides the snapshot of this instance's counts against service objectives.
pub(crate) trait LocalBurn: Clone + Send + Sync + 'static {
    /// Returns the snapshot as JSON.
    fn snapshot(&self) -> String;
}

/// The HTTP API for operators: authenticates requests and forwards them to the leader.
#[derive(Debug, Clone)]
pub(crate) struct OperatorApi<Handler, Burn> {
    authenticator: operator::OperatorAuthenticator,
    client: peer::ControlClient<Handler>,
    cache: configuration::ConfigurationCache,
    collector: operator::BurnCollector,
    burn: Burn,
}

/// A call to the leader, and the new key to show in the answer.
struct PreparedCall {
    call: message::OperatorCall,
    key: Option<String>,
}

impl<Handler: peer::LocalHandler, Burn: LocalBurn> OperatorApi<Handler, Burn> {
    /// Creates the API.
    pub(crate) fn new(
        authenticator: operator::OperatorAuthenticator,
        client: peer::ControlClient<Handler>,
        cache: configuration::ConfigurationCache,
        collector: operator::BurnCollector,
        burn: Burn,
    ) -> Self {
        Self {
            authenticator,
            client,
            cache,
            collector,
            burn,
        }
    }

    async fn answer(
        &self,
        request: Request<body::Incoming>,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let identity = self.authenticator.authenticate(request.headers())?;
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if method == Method::GET {
            return self.answer_get(&path).await;
        }
        if method != Method::POST {
            return Err(api::RequestRefusal::not_run(
                api::RefusalKind::MethodNotAllowed,
                format!("{path} takes GET or POST"),
            ));
        }
        let reader = api::BodyReader::new(MAX_DOCUMENT_BYTES, DOCUMENT_TIMEOUT);
        let document = reader.read(request.into_body()).await?;
        let prepared = prepare(&path, &document, &identity)?;
        info!(operator:% = identity.operator, path:% = path; "operator call");
        Ok(self.call_leader(prepared).await)
    }

    async fn answer_get(
        &self,
        path: &str,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let call = match path {
            "/v1/intent" => message::OperatorCall::ShowIntent,
            "/v1/servers" => message::OperatorCall::ShowServers,
            "/v1/replicas" => message::OperatorCall::ShowReplicas,
            "/v1/orders" => message::OperatorCall::ShowOrders,
            "/v1/status" | "/v1/members" => message::OperatorCall::Status,
            "/v1/revision" => return Ok(self.revision()),
            "/v1/report/burn" => return Ok(self.report_burn().await),
            _ => return Err(no_such_path(path)),
        };
        Ok(self.call_leader(PreparedCall { call, key: None }).await)
    }

    fn revision(&self) -> Response<api::AnswerBody> {
        // Freshness and age are read first: the revision read after them is at least as new.
        let fresh = self.cache.is_fresh();
        let age = self.cache.age();
        let document = json!({
            "revision": self.cache.index().revision(),
            "fresh": fresh,
            "age_ms": age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        });
        api::json_answer(StatusCode::OK, document.to_string())
    }

    async fn report_burn(&self) -> Response<api::AnswerBody> {
        let collected = self.collector.collect().await;
        let snapshots: Vec<Value> = collected
            .snapshots
            .iter()
            .chain([&self.burn.snapshot()])
            .filter_map(|snapshot| serde_json::from_str(snapshot).ok())
            .collect();
        let document = json!({ "snapshots": snapshots, "missing": collected.missing });
        api::json_answer(StatusCode::OK, document.to_string())
    }

    async fn call_leader(&self, prepared: PreparedCall) -> Response<api::AnswerBody> {
        let deadline = time::Instant::now() + CALL_TIMEOUT;
        let call = message::ControlCall::Operator(prepared.call);
        match self.client.call(call, deadline).await {
            Ok(message::ControlReply::Operator(message::OperatorReply::Done { body })) => {
                api::json_answer(StatusCode::OK, show_key(body, prepared.key))
            }
            Ok(message::ControlReply::Operator(message::OperatorReply::Failed(error))) => {
                render(&error)
            }
            Ok(message::ControlReply::Refused { reason }) => {
                render(&plain_error(message::OperatorErrorKind::Refused, reason))
            }
            Ok(_) | Err(peer::CallError::Unknown) => render(&plain_error(
                message::OperatorErrorKind::OutcomeUnknown,
                "the answer was lost and the change may have been made; repeat it with the same request number",
            )),
            Err(peer::CallError::NotExecuted) => render(&plain_error(
                message::OperatorErrorKind::NoLeader,
                "no leader of the control group can be reached; nothing changed",
            )),
        }
    }
}

impl<Handler: peer::LocalHandler, Burn: LocalBurn> api::HttpHandler for OperatorApi<Handler, Burn> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        self.answer(request)
            .await
            .unwrap_or_else(|refusal| refusal.answer())
    }
}

fn prepare(
    path: &str,
    document: &[u8],
    identity: &operator::OperatorIdentity,
) -> Result<PreparedCall, api::RequestRefusal> {
    let operator_request = |request: name::RequestId| control::OperatorRequest {
        operator: identity.operator.clone(),
        request,
    };
    let mut key = None;
    let call = match path {
        "/v1/plans" => message::OperatorCall::Plan {
            intent: parse::<operator::PlanDocument>(document)?.intent,
        },
        "/v1/plans/confirm" => {
            let document: operator::ConfirmDocument = parse(document)?;
            message::OperatorCall::Confirm {
                request: operator_request(document.request),
                base: document.base,
                digest: document.digest,
                intent: document.intent,
            }
        }
        "/v1/keys" => {
            let document: operator::GiveKeyDocument = parse(document)?;
            let (shown, record) = operator::derive_key(identity, &document.request, &document.team);
            key = Some(shown.reveal());
            message::OperatorCall::GiveKey {
                request: operator_request(document.request),
                base: document.base,
                record,
            }
        }
        "/v1/keys/withdraw" => {
            let document: operator::WithdrawKeyDocument = parse(document)?;
            message::OperatorCall::WithdrawKey {
                request: operator_request(document.request),
                id: document.id,
            }
        }
        "/v1/members/add" => prepare_add(parse(document)?)?,
        "/v1/members/promote" => message::OperatorCall::PromoteMember {
            name: parse::<operator::MemberDocument>(document)?.name,
        },
        "/v1/members/remove" => message::OperatorCall::RemoveMember {
            name: parse::<operator::MemberDocument>(document)?.name,
        },
        _ => return Err(no_such_path(path)),
    };
    Ok(PreparedCall { call, key })
}

fn prepare_add(
    document: operator::MemberDocument,
) -> Result<message::OperatorCall, api::RequestRefusal> {
    let address = document.address.ok_or_else(|| {
        api::RequestRefusal::not_run(
            api::RefusalKind::BadRequest,
            "address: missing: must be the IP number and port at which other instances reach it",
        )
    })?;
    Ok(message::OperatorCall::AddMember {
        name: document.name,
        address,
    })
}

fn parse<Document: de::DeserializeOwned>(document: &[u8]) -> Result<Document, api::RequestRefusal> {
    serde_json::from_slice(document).map_err(|error| {
        api::RequestRefusal::not_run(api::RefusalKind::BadRequest, error.to_string())
    })
}

fn no_such_path(path: &str) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::NotFound,
        format!("the API for operators has no path {path}"),
    )
}

/// Adds the key to the answer. The key is shown nowhere else.
fn show_key(body: String, key: Option<String>) -> String {
    let Some(key) = key else {
        return body;
    };
    let Ok(Value::Object(mut document)) = serde_json::from_str(&body) else {
        return body;
    };
    document.insert("key".to_owned(), Value::String(key));
    Value::Object(document).to_string()
}

fn plain_error(
    kind: message::OperatorErrorKind,
    text: impl Into<String>,
) -> message::OperatorError {
    message::OperatorError {
        kind,
        message: text.into(),
        details: None,
    }
}

#[derive(Debug, Serialize)]
struct ErrorDocument<'a> {
    error: ErrorBody<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    kind: message::OperatorErrorKind,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    details: Option<Value>,
}

fn render(error: &message::OperatorError) -> Response<api::AnswerBody> {
    let status = match error.kind {
        message::OperatorErrorKind::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        message::OperatorErrorKind::Conflict => StatusCode::CONFLICT,
        message::OperatorErrorKind::NotFound => StatusCode::NOT_FOUND,
        message::OperatorErrorKind::NoLeader | message::OperatorErrorKind::Refused => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        message::OperatorErrorKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    };
    let document = ErrorDocument {
        error: ErrorBody {
            kind: error.kind,
            message: &error.message,
            details: error
                .details
                .as_deref()
                .and_then(|details| serde_json::from_str(details).ok()),
        },
    };
    api::json_answer(status, serde_json::to_vec(&document).unwrap_or_default())
}
