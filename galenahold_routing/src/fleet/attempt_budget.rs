//! A budget for retries and other extra attempts of calls.

use std::collections;

use galenahold_domain::name;

/// Limits the attempts that one instance makes beyond the first of each call, separately for each service.
///
/// Each first attempt adds a fraction of an extra attempt to the budget. Extra attempts over all instances
/// therefore stay within the same fraction without coordination.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    fraction: f64,
    capacity: f64,
    balances: collections::HashMap<name::ServiceName, f64>,
}

impl AttemptBudget {
    /// Creates a budget that earns `fraction` of an attempt with each call, up to `capacity` attempts for each
    /// service.
    #[must_use]
    pub fn new(fraction: f64, capacity: f64) -> Self {
        Self {
            fraction,
            capacity,
            balances: collections::HashMap::new(),
        }
    }

    /// Sets the maximum number of saved attempts for each service.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        for balance in self.balances.values_mut() {
            *balance = balance.min(capacity);
        }
    }

    /// Adds to the budget of a service for the first attempt of a call.
    pub fn earn(&mut self, service: &name::ServiceName) {
        let (fraction, capacity) = (self.fraction, self.capacity);
        let balance = self.balance_mut(service);
        *balance = (*balance + fraction).min(capacity);
    }

    /// Spends one extra attempt at a service; returns false if the budget is used up.
    #[must_use]
    pub fn spend(&mut self, service: &name::ServiceName) -> bool {
        let balance = self.balance_mut(service);
        let affordable = *balance >= 1.0;
        if affordable {
            *balance -= 1.0;
        }
        affordable
    }

    /// Gives back an extra attempt that was not made.
    pub fn refund(&mut self, service: &name::ServiceName) {
        let capacity = self.capacity;
        let balance = self.balance_mut(service);
        *balance = (*balance + 1.0).min(capacity);
    }

    fn balance_mut(&mut self, service: &name::ServiceName) -> &mut f64 {
        let capacity = self.capacity;
        self.balances.entry(service.clone()).or_insert(capacity)
    }
}
