//! Figures of the order ledger for reports.

use serde::Serialize;

use crate::order;

/// Figures of the order ledger for reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OrderStatistics {
    /// What the records take.
    pub usage: order::OrderUsage,
    /// Records whose attempt is under way.
    pub running: usize,
    /// Keys of dropped records that are still refused.
    pub remembered: usize,
}
