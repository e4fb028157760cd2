//! A service that is offered to teams.

use serde::{Deserialize, Serialize};

use crate::intent;
use crate::name;

/// A service that is offered to teams.
///
/// Documents carry the fields of its route beside its own; a field that the route's kind does not
/// have is an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    try_from = "intent::service_document::ServiceDocument",
    into = "intent::service_document::ServiceDocument"
)]
pub struct ServiceIntent {
    /// The service's name. Plain backend servers announce it.
    pub name: name::ServiceName,
    /// What the service routes to.
    pub route: intent::RouteKind,
    /// The teams that may call it.
    pub teams: Vec<name::TeamName>,
    /// Whether callers without a key may call it.
    pub open: bool,
    /// Priority passed to engines; a lower number goes first.
    pub priority: i32,
    /// The longest that a request may take before it is refused or ended, in milliseconds.
    pub deadline_ms: u64,
    /// What the service promises.
    pub objective: intent::ServiceObjective,
}

impl ServiceIntent {
    /// Returns whether the team may call the service; no team stands for a caller without a key.
    #[must_use]
    pub fn admits(&self, team: Option<&name::TeamName>) -> bool {
        self.open || team.is_some_and(|team| self.teams.contains(team))
    }

    /// Orders by name what has no order of its own.
    pub(crate) fn normalize(&mut self) {
        self.teams.sort();
        match &mut self.route {
            intent::RouteKind::Models { models } => models.sort(),
            intent::RouteKind::Plain {
                idempotent_methods, ..
            } => idempotent_methods.sort(),
        }
    }
}
