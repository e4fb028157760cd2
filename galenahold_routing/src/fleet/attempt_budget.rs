//! Bounds how many attempts are made beyond the first of each call.

use std::collections;

use galenahold_domain::name;

/// Bounds how many attempts one instance makes beyond the first of each call, for each service by itself.
///
/// Each first attempt earns a fraction of another one, so that the sum over all instances keeps to the
/// same fraction without a message between them.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    fraction: f64,
    capacity: f64,
    balances: collections::HashMap<name::ServiceName, f64>,
}

impl AttemptBudget {
    /// Creates a purse that earns `fraction` of an attempt with each call and holds at capacity `capacity` a service.
    #[must_use]
    pub fn new(fraction: f64, capacity: f64) -> Self {
        Self {
            fraction,
            capacity,
            balances: collections::HashMap::new(),
        }
    }

    /// Sets how much the purse holds at capacity for a service.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        for balance in self.balances.values_mut() {
            *balance = balance.min(capacity);
        }
    }

    /// Counts the first attempt of a service's call.
    pub fn earn(&mut self, service: &name::ServiceName) {
        let (fraction, capacity) = (self.fraction, self.capacity);
        let balance = self.balance_mut(service);
        *balance = (*balance + fraction).min(capacity);
    }

    /// Takes one further attempt at a service out; false if there is none.
    #[must_use]
    pub fn spend(&mut self, service: &name::ServiceName) -> bool {
        let balance = self.balance_mut(service);
        let affordable = *balance >= 1.0;
        if affordable {
            *balance -= 1.0;
        }
        affordable
    }

    fn balance_mut(&mut self, service: &name::ServiceName) -> &mut f64 {
        let capacity = self.capacity;
        self.balances.entry(service.clone()).or_insert(capacity)
    }
}
