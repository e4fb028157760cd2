//! The intent for one service.

use serde::{Deserialize, Serialize};

use crate::intent;
use crate::name;

/// A service that is offered to teams.
///
/// In documents the fields of the route are on the same level as those of the service. A field that
/// the route's kind does not have is an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    try_from = "intent::service_document::ServiceDocument",
    into = "intent::service_document::ServiceDocument"
)]
pub struct ServiceIntent {
    /// The service's name, which plain backend servers announce.
    pub name: name::ServiceName,
    /// The models or the plain backend servers that the service routes to.
    pub route: intent::RouteKind,
    /// The teams that may call it.
    pub teams: Vec<name::TeamName>,
    /// Whether callers without a key may call it.
    pub open: bool,
    /// The priority that is passed to engines; a lower number is served first.
    pub priority: i32,
    /// The maximum time of a request, in milliseconds, after which it is refused or ended.
    pub deadline_ms: u64,
    /// The latency and availability that the service promises.
    pub objective: intent::ServiceObjective,
}

impl ServiceIntent {
    /// Returns whether the team may call the service; `None` is a caller without a key.
    #[must_use]
    pub fn admits(&self, team: Option<&name::TeamName>) -> bool {
        self.open || team.is_some_and(|team| self.teams.contains(team))
    }

    /// Sorts the lists, as their order in a document has no meaning.
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
