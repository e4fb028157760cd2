//! The targets of a run behind a balancer.

use std::sync;
use std::sync::atomic;
use std::time;

use super::load_client::LoadClient;
use super::{DirectEngine, LoadTarget};
use crate::host;
use crate::http;

/// Pause between a balancer's looks at readiness.
const READY_POLL: time::Duration = time::Duration::from_millis(500);
/// Time that one look may take.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

#[derive(Debug)]
struct PooledTarget {
    client: sync::Arc<LoadClient>,
    ready: sync::Arc<atomic::AtomicBool>,
}

#[derive(Debug)]
struct PooledEngine {
    client: sync::Arc<LoadClient>,
    engine: DirectEngine,
}

/// Picks connections in turn, as a balancer does.
#[derive(Debug)]
pub(crate) struct TargetPool {
    targets: Vec<PooledTarget>,
    engines: Vec<PooledEngine>,
    services: Vec<sync::Arc<LoadClient>>,
    turns: atomic::AtomicUsize,
}

impl TargetPool {
    /// Makes the pool and starts the balancer's looks at readiness.
    pub(crate) fn new(
        scope: &host::TaskScope,
        targets: &[LoadTarget],
        engines: &[DirectEngine],
        services: &[std::net::SocketAddr],
    ) -> Self {
        let client = |address| sync::Arc::new(LoadClient::new(address, scope.clone()));
        let engines = engines.iter().map(|engine| PooledEngine {
            client: client(engine.address),
            engine: engine.clone(),
        });
        let targets = targets.iter().map(|target| PooledTarget {
            client: client(target.callers),
            ready: watch_ready(scope, *target),
        });
        Self {
            targets: targets.collect(),
            engines: engines.collect(),
            services: services.iter().map(|&address| client(address)).collect(),
            turns: atomic::AtomicUsize::new(0),
        }
    }

    /// Tells whether requests can go through instances.
    pub(crate) fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Picks the next ready instance; any one when none is ready.
    pub(crate) fn next_target(&self) -> Option<&sync::Arc<LoadClient>> {
        let ready = self
            .targets
            .iter()
            .filter(|target| target.ready.load(atomic::Ordering::Relaxed));
        let ready: Vec<_> = ready.collect();
        if ready.is_empty() {
            let clients: Vec<_> = self.targets.iter().collect();
            return self.pick(&clients).map(|target| &target.client);
        }
        self.pick(&ready).map(|target| &target.client)
    }

    /// Picks the next engine that serves `model`.
    pub(crate) fn next_engine(&self, model: &str) -> Option<&sync::Arc<LoadClient>> {
        let serving = self
            .engines
            .iter()
            .filter(|pooled| pooled.engine.serves(model));
        let serving: Vec<_> = serving.collect();
        self.pick(&serving).map(|pooled| &pooled.client)
    }

    /// Picks the next plain server.
    pub(crate) fn next_service(&self) -> Option<&sync::Arc<LoadClient>> {
        let services: Vec<_> = self.services.iter().collect();
        self.pick(&services)
    }

    fn pick<'a, T>(&self, choices: &[&'a T]) -> Option<&'a T> {
        let turn = self.turns.fetch_add(1, atomic::Ordering::Relaxed);
        let choice = turn % choices.len().max(1);
        choices.get(choice).copied()
    }
}

/// Starts the balancer's looks at one instance.
fn watch_ready(scope: &host::TaskScope, target: LoadTarget) -> sync::Arc<atomic::AtomicBool> {
    let ready = sync::Arc::new(atomic::AtomicBool::new(true));
    if let Some(platform) = target.platform {
        let seen = sync::Arc::clone(&ready);
        scope.spawn(async move {
            let client = http::HttpClient::new(READY_TIMEOUT);
            loop {
                let answer = client.get(platform, "/ready").await;
                let is_ready = answer.is_ok_and(|status| status.is_success());
                seen.store(is_ready, atomic::Ordering::Relaxed);
                tokio::time::sleep(READY_POLL).await;
            }
        });
    }
    ready
}
