//! The burn report of all instances.

use std::cmp;
use std::fmt;

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::error;
use crate::report;
use crate::snapshot;

/// The burn rates of all error budgets, over all instances that answered.
///
/// Its `Display` form is a text table and its serde form the JSON document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The instances whose counts are included.
    pub instances: Vec<name::InstanceName>,
    /// The instances that did not answer and whose counts are not included.
    #[serde(default)]
    pub missing: Vec<name::InstanceName>,
    /// One row for each service and team: worst status first, then highest burn rate of the last hour first.
    pub rows: Vec<report::BurnRow>,
}

impl BurnReport {
    /// Computes the report from the counts of a snapshot.
    #[must_use]
    pub fn from_snapshot(snapshot: &snapshot::BurnSnapshot) -> Self {
        let mut rows: Vec<_> = snapshot.entries.iter().map(report::BurnRow::of).collect();
        rows.sort_by(compare_by_severity);
        Self {
            instances: snapshot.instances.clone(),
            missing: Vec::new(),
            rows,
        }
    }

    /// Sets the instances that did not answer.
    #[must_use]
    pub fn missing(mut self, missing: Vec<name::InstanceName>) -> Self {
        self.missing = missing;
        self
    }

    /// Returns one line that lists the included instances and those that did not answer.
    pub(super) fn coverage(&self) -> String {
        let names = |instances: &[name::InstanceName]| instances.join(", ");
        if self.missing.is_empty() {
            return format!("Counted by {}.", names(&self.instances));
        }
        format!(
            "Counted by {}; no answer from {}.",
            names(&self.instances),
            names(&self.missing)
        )
    }

    /// Renders the report as one self-contained HTML page.
    ///
    /// # Errors
    ///
    /// Returns an error if a plot cannot be drawn.
    pub fn to_html(&self) -> Result<String, error::ReportError> {
        report::BurnPage::new(self).to_html()
    }
}

/// Orders rows by status, then by burn rate of the last hour, worst first; the stable sort keeps equal rows in
/// the order of their names.
fn compare_by_severity(left: &report::BurnRow, right: &report::BurnRow) -> cmp::Ordering {
    let by_status = right.status().cmp(&left.status());
    by_status.then(right.hour_rate().total_cmp(&left.hour_rate()))
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        report::BurnTable::new(self).fmt(formatter)
    }
}
