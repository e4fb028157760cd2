//! The task that publishes cache events, late and with gaps.

use std::net;
use std::time;

use tokio::sync::mpsc;

use crate::announce;
use crate::http;

/// Path of cache events.
const CACHE_EVENTS_PATH: &str = "/v1/backend/cache-events";
/// Time that one event may take.
const PUBLISH_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// An event with the time at which it happened.
#[derive(Debug)]
pub(crate) struct StampedEvent {
    /// When it happened.
    pub(crate) at: time::Instant,
    /// What happened.
    pub(crate) event: announce::CacheEvent,
}

/// Sends events to one instance after the other.
#[derive(Debug)]
pub(crate) struct CachePublisher {
    instances: Vec<net::SocketAddr>,
    lag: time::Duration,
    events: mpsc::UnboundedReceiver<StampedEvent>,
}

impl CachePublisher {
    /// Makes the publisher of `events`.
    pub(crate) fn new(
        instances: Vec<net::SocketAddr>,
        lag: time::Duration,
        events: mpsc::UnboundedReceiver<StampedEvent>,
    ) -> Self {
        Self {
            instances,
            lag,
            events,
        }
    }

    /// Publishes until the engine ends.
    pub(crate) async fn run(mut self) {
        let client = http::HttpClient::new(PUBLISH_TIMEOUT);
        let mut turn = 0;
        while let Some(stamped) = self.events.recv().await {
            if self.instances.is_empty() {
                continue;
            }
            tokio::time::sleep_until((stamped.at + self.lag).into()).await;
            let instance = self.instances[turn % self.instances.len()];
            turn += 1;
            let body = serde_json::to_vec(&stamped.event).unwrap_or_default();
            if let Err(error) = client.post(instance, CACHE_EVENTS_PATH, body).await {
                log::debug!("cache event lost: {error}");
            }
        }
    }
}
