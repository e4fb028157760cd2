//! The HTTP face of a weight store.

use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use serde::{Deserialize, Serialize};

use super::WeightStore;
use crate::control;
use crate::http::{
    ConnectionReset, RequestHandler, empty_answer, error_answer, json_answer, read_json,
};

/// What is fetched.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum FetchKind {
    /// A base model.
    Model,
    /// An adapter.
    Adapter,
}

/// The body of `POST /fetch`.
#[derive(Debug, Deserialize)]
struct FetchBody {
    kind: FetchKind,
    bytes: u64,
}

/// Serves a weight store to engines of other processes.
#[derive(Debug)]
pub(crate) struct StoreServer {
    store: sync::Arc<WeightStore>,
}

impl StoreServer {
    /// Makes the face of `store`.
    pub(crate) fn new(store: sync::Arc<WeightStore>) -> Self {
        Self { store }
    }

    async fn fetch(&self, body: body::Incoming) -> http::Response<Full<Bytes>> {
        let fetch: FetchBody = match read_json(body).await {
            Ok(fetch) => fetch,
            Err(reason) => return error_answer(http::StatusCode::BAD_REQUEST, "invalid", &reason),
        };
        match fetch.kind {
            FetchKind::Model => self.store.fetch_model(fetch.bytes).await,
            FetchKind::Adapter => self.store.fetch_adapter().await,
        }
        empty_answer(http::StatusCode::OK)
    }

    async fn control(&self, body: body::Incoming) -> http::Response<Full<Bytes>> {
        match read_json(body).await {
            Ok(control::ServerControl::SlowStore { divisor }) => self.store.slow(divisor),
            Ok(control::ServerControl::StallStore { on }) => self.store.stall(on),
            Ok(_) => return empty_answer(http::StatusCode::NOT_IMPLEMENTED),
            Err(reason) => return error_answer(http::StatusCode::BAD_REQUEST, "invalid", &reason),
        }
        empty_answer(http::StatusCode::OK)
    }
}

impl RequestHandler for StoreServer {
    type Body = Full<Bytes>;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<http::Response<Self::Body>, ConnectionReset> {
        let (parts, body) = request.into_parts();
        let answer = match (&parts.method, parts.uri.path()) {
            (&http::Method::POST, "/fetch") => self.fetch(body).await,
            (&http::Method::POST, "/control") => self.control(body).await,
            (&http::Method::GET, "/counts") => {
                json_answer(http::StatusCode::OK, &self.store.counts())
            }
            (&http::Method::GET, "/health") => empty_answer(http::StatusCode::OK),
            _ => empty_answer(http::StatusCode::NOT_FOUND),
        };
        Ok(answer)
    }
}
