//! Recognition of returning callers, by route.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_routing::rate;

/// Number of routes beyond which all are forgotten, since configurations add and remove routes over time.
const MAX_ROUTES: usize = 1_024;

/// Recognizes callers that come back after a rejection, with what it learned about each route's callers.
#[derive(Debug, Default)]
pub(crate) struct ReturnMonitor {
    detectors: sync::Mutex<collections::HashMap<name::RouteName, rate::ReturnDetector>>,
}

impl ReturnMonitor {
    /// Records the time that a caller still has; returns whether the caller came back.
    pub(super) fn observe(&self, route: &name::RouteName, remaining: time::Duration) -> bool {
        let mut detectors = self
            .detectors
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(detector) = detectors.get_mut(route) {
            return detector.observe(remaining);
        }
        if detectors.len() >= MAX_ROUTES {
            detectors.clear();
        }
        let detector = detectors.entry(route.clone()).or_default();
        detector.observe(remaining)
    }
}
