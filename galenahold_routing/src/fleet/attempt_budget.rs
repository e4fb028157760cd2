//! Bounds how many attempts are made beyond the first of each call.

use std::collections;

use galenahold_domain::name;

/// Bounds how many attempts one instance makes beyond the first of each call, for each service by itself.
///
/// Each first attempt earns a share of another one, so that the sum over all instances keeps to the
/// same share without a message between them.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    share: f64,
    most: f64,
    held: collections::HashMap<name::ServiceName, f64>,
}

impl AttemptBudget {
    /// Creates a purse that earns `share` of an attempt with each call and holds at most `most` a service.
    #[must_use]
    pub fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            held: collections::HashMap::new(),
        }
    }

    /// Sets how much the purse holds at most for a service.
    pub fn set_capacity(&mut self, most: f64) {
        self.most = most;
        for held in self.held.values_mut() {
            *held = held.min(most);
        }
    }

    /// Counts the first attempt of a service's call.
    pub fn earn(&mut self, service: &name::ServiceName) {
        let (share, most) = (self.share, self.most);
        let held = self.held_for(service);
        *held = (*held + share).min(most);
    }

    /// Takes one further attempt at a service out; false if there is none.
    #[must_use]
    pub fn spend(&mut self, service: &name::ServiceName) -> bool {
        let held = self.held_for(service);
        let affordable = *held >= 1.0;
        if affordable {
            *held -= 1.0;
        }
        affordable
    }

    fn held_for(&mut self, service: &name::ServiceName) -> &mut f64 {
        let most = self.most;
        self.held.entry(service.clone()).or_insert(most)
    }
}
