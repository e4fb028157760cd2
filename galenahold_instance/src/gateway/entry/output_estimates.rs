//! Expected lengths of answers.

use std::collections;
use std::sync;

use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::gateway;

/// The expected length of answers on each route, as learned at this instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutputEstimates {
    routes: sync::Arc<sync::Mutex<collections::HashMap<name::RouteName, fleet::OutputEstimator>>>,
}

impl OutputEstimates {
    /// Returns the expected tokens of the answer to a request of the stated sizes.
    pub(super) fn expected(&self, route: &name::RouteName, sizes: gateway::CallSizes) -> u64 {
        let hint = sizes.hinted_output.map(|tokens| tokens.0);
        let max = sizes.max_output.0;
        match self.lock().get(route) {
            Some(estimator) => estimator.expected(hint, max),
            None => fleet::OutputEstimator::default().expected(hint, max),
        }
    }

    /// Learns from a complete answer of the given tokens.
    pub(super) fn record(&self, route: &name::RouteName, sizes: gateway::CallSizes, tokens: u64) {
        let hint = sizes.hinted_output.map(|tokens| tokens.0);
        let mut routes = self.lock();
        if let Some(estimator) = routes.get_mut(route) {
            estimator.record(hint, tokens);
        } else {
            let mut estimator = fleet::OutputEstimator::default();
            estimator.record(hint, tokens);
            routes.insert(route.clone(), estimator);
        }
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<name::RouteName, fleet::OutputEstimator>> {
        self.routes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
