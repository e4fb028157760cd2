//! The numbers that reports show of the order ledger.

use serde::Serialize;

use crate::order;

/// Statistics of the order ledger for reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OrderStatistics {
    /// The usage of the ledger by all teams.
    pub usage: order::OrderUsage,
    /// The number of records whose attempt is running.
    pub running: usize,
    /// The number of keys of dropped records that are still refused.
    pub remembered: usize,
}
