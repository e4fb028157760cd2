//! The report on service-level burn over all instances.

use std::cmp;
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
    /// The instances that did not answer, whose counts are not in.
    #[serde(default)]
    pub missing: Vec<name::InstanceName>,
    /// The services and teams: the worst status first, then the highest burn rate of the last hour.
    pub rows: Vec<report::BurnRow>,
}

impl BurnReport {
    /// Makes the report of what instances counted.
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

    /// Names the instances that did not answer.
    #[must_use]
    pub fn missing(mut self, missing: Vec<name::InstanceName>) -> Self {
        self.missing = missing;
        self
    }

    /// Returns whose counts are in, and whose are not, as one line.
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

    /// Returns the report as one HTML page that needs nothing from elsewhere.
    ///
    /// # Errors
    ///
    /// Fails where a plot cannot be drawn.
    pub fn to_html(&self) -> Result<String, error::ReportError> {
        report::BurnPage::new(self).to_html()
    }
}

/// Orders rows by status, then by burn rate; rows alike stay in the order of their names.
fn compare_by_severity(left: &report::BurnRow, right: &report::BurnRow) -> cmp::Ordering {
    let by_status = right.status().cmp(&left.status());
    by_status.then(right.hour_rate().total_cmp(&left.hour_rate()))
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        report::BurnTable::new(self).fmt(formatter)
    }
}
