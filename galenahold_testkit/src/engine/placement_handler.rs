//! Answering orders and lookups of the inventory.

use std::sync;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body;

use super::adapter_body::AdapterBody;
use super::engine_core::EngineCore;
use super::load_order::LoadOrder;
use super::placement_runner::PlacementRunner;
use super::repository_body::RepositoryBody;
use crate::announce;
use crate::http::{empty_answer, error_answer, json_answer, read_json};
use crate::ledger;

type WholeAnswer = http::Response<Full<Bytes>>;

/// Takes load and unload orders.
#[derive(Debug)]
pub(crate) struct PlacementHandler {
    core: sync::Arc<EngineCore>,
}

impl PlacementHandler {
    /// Makes the desk of an engine.
    pub(crate) fn new(core: sync::Arc<EngineCore>) -> Self {
        Self { core }
    }

    /// Loads or unloads a base model.
    pub(crate) async fn place_model(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
    ) -> WholeAnswer {
        let path = parts
            .uri
            .path()
            .trim_start_matches("/v2/repository/models/");
        let (model, kind) = match path.rsplit_once('/') {
            Some((model, "load")) => (model, ledger::PlacementKind::LoadModel),
            Some((model, "unload")) => (model, ledger::PlacementKind::UnloadModel),
            _ => return empty_answer(StatusCode::NOT_FOUND),
        };
        match read_json::<Option<RepositoryBody>>(body).await {
            Ok(body) => {
                let body = body.unwrap_or_default();
                let order = LoadOrder::for_model(kind, model, body, &parts.headers);
                self.place(order).await
            }
            Err(reason) => error_answer(StatusCode::BAD_REQUEST, "invalid_order", &reason),
        }
    }

    /// Loads or unloads an adapter.
    pub(crate) async fn place_adapter(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
        kind: ledger::PlacementKind,
    ) -> WholeAnswer {
        match read_json::<AdapterBody>(body).await {
            Ok(body) => {
                self.place(LoadOrder::for_adapter(kind, body, &parts.headers))
                    .await
            }
            Err(reason) => error_answer(StatusCode::BAD_REQUEST, "invalid_order", &reason),
        }
    }

    /// Carries out an order.
    async fn place(&self, order: LoadOrder) -> WholeAnswer {
        self.core.controls.wait_unpaused().await;
        let name = order.name().to_owned();
        let status = PlacementRunner::new(sync::Arc::clone(&self.core), order)
            .run()
            .await;
        match status {
            StatusCode::OK => json_answer(status, &serde_json::json!({"name": name})),
            StatusCode::CONFLICT => error_answer(status, "fenced", "the fencing number is too low"),
            StatusCode::INSUFFICIENT_STORAGE => {
                error_answer(status, "memory", "the memory does not suffice")
            }
            StatusCode::NOT_FOUND => {
                error_answer(status, "not_found", "the base model is not ready")
            }
            _ => empty_answer(status),
        }
    }

    /// Lists what is held.
    pub(crate) fn index(&self) -> WholeAnswer {
        let loaded = self.core.models.lock().loaded();
        let entries: Vec<_> = loaded.iter().map(index_entry).collect();
        json_answer(StatusCode::OK, &entries)
    }
}

/// Returns one entry of the inventory.
fn index_entry(loaded: &announce::LoadedModel) -> serde_json::Value {
    let state = match loaded.state {
        announce::ReplicaState::Ready => "READY",
        announce::ReplicaState::Loading => "LOADING",
        announce::ReplicaState::Unloading => "UNLOADING",
    };
    serde_json::json!({
        "name": loaded.model,
        "version": loaded.version,
        "state": state,
        "bytes": loaded.bytes,
        "order": loaded.order,
        "adapter": loaded.adapter,
    })
}
