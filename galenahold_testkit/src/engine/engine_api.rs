//! The HTTP face of an engine for requests and orders.

use std::sync;

use http::StatusCode;
use hyper::body;

use super::engine_core::EngineCore;
use super::event_body::EventBody;
use crate::http::{ConnectionReset, RequestHandler, empty_answer};
use crate::ledger;

use super::generation_queue::GenerationQueue;
use super::placement_handler::PlacementHandler;

/// Serves completions, orders and the inventory.
#[derive(Debug)]
pub(crate) struct EngineApi {
    core: sync::Arc<EngineCore>,
    generation: GenerationQueue,
    placement: PlacementHandler,
}

impl EngineApi {
    /// Makes the face of an engine.
    pub(crate) fn new(core: sync::Arc<EngineCore>) -> Self {
        Self {
            generation: GenerationQueue::new(sync::Arc::clone(&core)),
            placement: PlacementHandler::new(sync::Arc::clone(&core)),
            core,
        }
    }
}

impl RequestHandler for EngineApi {
    type Body = EventBody;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<http::Response<Self::Body>, ConnectionReset> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let answer = match (parts.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => {
                return Ok(self.generation.generate(&parts, body, true).await);
            }
            ("POST", "/v1/completions") => {
                return Ok(self.generation.generate(&parts, body, false).await);
            }
            ("POST", "/v2/repository/index") => {
                self.core.controls.wait_unpaused().await;
                self.placement.index()
            }
            ("POST", _) if path.starts_with("/v2/repository/models/") => {
                self.placement.place_model(&parts, body).await
            }
            ("POST", "/v1/load_lora_adapter") => {
                let kind = ledger::PlacementKind::LoadAdapter;
                self.placement.place_adapter(&parts, body, kind).await
            }
            ("POST", "/v1/unload_lora_adapter") => {
                let kind = ledger::PlacementKind::UnloadAdapter;
                self.placement.place_adapter(&parts, body, kind).await
            }
            ("GET", "/health") => {
                self.core.controls.wait_unpaused().await;
                empty_answer(StatusCode::OK)
            }
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        Ok(answer.map(EventBody::Whole))
    }
}
