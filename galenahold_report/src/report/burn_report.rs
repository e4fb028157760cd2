//! The report on service-level burn over all instances.

use std::fmt;

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::error;
use crate::report;
use crate::snapshot;

/// The report on service-level burn over all instances that answered.
///
/// Its text form is a table for people and its serde form the JSON document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The instances whose counts are in.
    pub instances: Vec<name::InstanceName>,
    /// The services and teams: the worst status first, then by name.
    pub rows: Vec<report::BurnRow>,
}

impl BurnReport {
    /// Makes the report of what instances counted.
    #[must_use]
    pub fn from_snapshot(snapshot: &snapshot::BurnSnapshot) -> Self {
        let mut rows: Vec<_> = snapshot.entries.iter().map(report::BurnRow::of).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.status()));
        Self {
            instances: snapshot.instances.clone(),
            rows,
        }
    }

    /// Returns the report as one HTML page that needs nothing from elsewhere.
    ///
    /// # Errors
    ///
    /// Fails where a plot cannot be drawn.
    pub fn to_html(&self) -> Result<String, error::ReportError> {
        report::BurnPage::new(self).to_html()
    }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        report::BurnTable::new(self).fmt(formatter)
    }
}
