//! The weight store that an engine loads from.

use std::net;
use std::sync;
use std::time;

use super::{FetchKind, WeightStore};
use crate::http;

/// Time that one fetch from another process may take.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_mins(10);

/// Says where checkpoints come from.
#[derive(Debug, Clone)]
pub enum StoreTarget {
    /// A store of the same process.
    Shared(sync::Arc<WeightStore>),
    /// A store process at an address.
    Remote(net::SocketAddr),
}

impl StoreTarget {
    /// Fetches the checkpoint of a base model; tells whether it came.
    pub(crate) async fn fetch_model(&self, bytes: u64) -> bool {
        match self {
            Self::Shared(store) => {
                store.fetch_model(bytes).await;
                true
            }
            Self::Remote(address) => fetch_remote(*address, FetchKind::Model, bytes).await,
        }
    }

    /// Fetches an adapter; tells whether it came.
    pub(crate) async fn fetch_adapter(&self, bytes: u64) -> bool {
        match self {
            Self::Shared(store) => {
                store.fetch_adapter().await;
                true
            }
            Self::Remote(address) => fetch_remote(*address, FetchKind::Adapter, bytes).await,
        }
    }
}

/// Fetches through a store process.
async fn fetch_remote(address: net::SocketAddr, kind: FetchKind, bytes: u64) -> bool {
    let body = serde_json::json!({"kind": kind, "bytes": bytes}).to_string();
    let client = http::HttpClient::new(FETCH_TIMEOUT);
    match client.post(address, "/fetch", body.into_bytes()).await {
        Ok(status) => status.is_success(),
        Err(error) => {
            log::warn!("fetch failed: {error}");
            false
        }
    }
}
