//! The HTTP client that sends load and unload orders to model engines.

use galenahold_domain::placement as domain;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::backend;
use crate::placement;

/// The header that carries the fencing number.
const FENCING_HEADER: &str = "x-fencing-number";

/// The maximum length of an engine's refusal that is kept, in bytes.
const MAX_REASON_BYTES: usize = 512;

/// The maximum size of an answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Sends orders to model engines, each at most once and over its own connection.
///
/// Orders for models use the model repository extension of the `KServe` protocol, and orders for adapters the
/// API of vLLM.
#[derive(Debug, Clone)]
pub(crate) struct EngineClient {
    client: backend::BackendClient,
}

impl EngineClient {
    /// Creates a client.
    pub(crate) fn new(client: backend::BackendClient) -> Self {
        Self { client }
    }

    /// Sends an order and waits for its outcome; sends nothing if `may_send` returns `false` right before the send.
    pub(crate) async fn send(
        &self,
        order: &placement::EngineOrder,
        may_send: impl FnOnce() -> bool,
    ) -> placement::OrderResult {
        let connecting = self
            .client
            .connect(&order.address, backend::ConnectionReuse::Never)
            .await;
        let Ok(connection) = connecting else {
            return placement::OrderResult::NotSent;
        };
        // An instance that was suspended after the commit may have lost its lease.
        if !may_send() {
            return placement::OrderResult::NotSent;
        }
        let request = order_request(order);
        let sent = self
            .client
            .send(connection, &order.address, request, order.deadline)
            .await;
        match sent {
            Ok(exchange) => read_result(order, exchange).await,
            Err(error) if error.kind == backend::AttemptErrorKind::Unsent => {
                placement::OrderResult::NotSent
            }
            Err(_) => placement::OrderResult::Unknown,
        }
    }
}

async fn read_result(
    order: &placement::EngineOrder,
    mut exchange: backend::BackendExchange,
) -> placement::OrderResult {
    let status = exchange.head().status;
    let read = exchange.read_rest(MAX_ANSWER_BYTES, order.deadline).await;
    if status.is_success() {
        return placement::OrderResult::Done;
    }
    let body = read.unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    let reason: String = text.chars().take(MAX_REASON_BYTES).collect();
    if is_refusal(status) {
        return placement::OrderResult::Refused {
            reason: format!("{status}: {reason}"),
        };
    }
    placement::OrderResult::Unknown
}

/// Returns whether a status means that the engine did nothing: a client error or insufficient storage. After
/// other errors the outcome is unknown.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::INSUFFICIENT_STORAGE
}

fn order_request(order: &placement::EngineOrder) -> Request<Full<bytes::Bytes>> {
    let artifact = &order.reservation.artifact;
    let (path, document) = match (&artifact.adapter, order.action) {
        (None, placement::OrderAction::Load) => (
            format!("/v2/repository/models/{}/load", artifact.model),
            load_document(order),
        ),
        (None, placement::OrderAction::Unload) => (
            format!("/v2/repository/models/{}/unload", artifact.model),
            json!({}),
        ),
        (Some(_), placement::OrderAction::Load) => (
            "/v1/load_lora_adapter".to_owned(),
            adapter_document(&order.reservation),
        ),
        (Some(adapter), placement::OrderAction::Unload) => (
            "/v1/unload_lora_adapter".to_owned(),
            json!({ "lora_name": adapter }),
        ),
    };
    let mut request = Request::new(Full::new(bytes::Bytes::from(document.to_string())));
    *request.method_mut() = Method::POST;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("backend"));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(fence) = HeaderValue::from_str(&order.reservation.fence.to_string()) {
        headers.insert(FENCING_HEADER, fence);
    }
    request
}

fn load_document(order: &placement::EngineOrder) -> Value {
    let reservation = &order.reservation;
    json!({
        "parameters": {
            "version": reservation.artifact.version,
            "bytes": reservation.bytes,
            "order": reservation.id,
        }
    })
}

fn adapter_document(reservation: &domain::MemoryReservation) -> Value {
    json!({
        "lora_name": reservation.artifact.adapter,
        "base_model_name": reservation.artifact.model,
        "bytes": reservation.bytes,
        "order": reservation.id,
    })
}
