//! One step of a plan and its text for operators.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::intent;
use crate::name;

/// One step of a plan. Its `Display` form is the line shown to operators.
///
/// The replicated state stores these lines, so they must not differ between voters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentStep {
    /// Adds a team.
    AddTeam {
        /// The team.
        team: intent::TeamIntent,
    },
    /// Changes a team.
    ChangeTeam {
        /// The team before the change.
        before: intent::TeamIntent,
        /// The team after the change.
        after: intent::TeamIntent,
    },
    /// Removes a team and all its keys.
    RemoveTeam {
        /// The team.
        team: name::TeamName,
    },
    /// Adds a model.
    AddModel {
        /// The model.
        model: intent::ModelIntent,
    },
    /// Changes a model.
    ChangeModel {
        /// The model before the change.
        before: intent::ModelIntent,
        /// The model after the change.
        after: intent::ModelIntent,
    },
    /// Removes a model and its adapters.
    RemoveModel {
        /// The model.
        model: name::ModelName,
    },
    /// Adds a service.
    AddService {
        /// The service.
        service: intent::ServiceIntent,
    },
    /// Changes a service.
    ChangeService {
        /// The service before the change.
        before: intent::ServiceIntent,
        /// The service after the change.
        after: intent::ServiceIntent,
    },
    /// Removes a service.
    RemoveService {
        /// The service.
        service: name::ServiceName,
    },
    /// Changes the load limits of the weight store.
    ChangeStore {
        /// The limits before the change.
        before: intent::StoreLimits,
        /// The limits after the change.
        after: intent::StoreLimits,
    },
}

impl fmt::Display for IntentStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddTeam { team } => {
                write!(formatter, "add team `{}`: ", team.name)?;
                write_fields(formatter, &intent::part_fields(team))
            }
            Self::ChangeTeam { before, after } => {
                write!(formatter, "change team `{}`: ", after.name)?;
                write_changes(formatter, before, after)
            }
            Self::RemoveTeam { team } => {
                write!(formatter, "remove team `{team}` and withdraw all its keys")
            }
            Self::AddModel { model } => {
                write!(formatter, "add model `{}`: ", model.name)?;
                write_fields(formatter, &intent::part_fields(model))
            }
            Self::ChangeModel { before, after } => {
                write!(formatter, "change model `{}`: ", after.name)?;
                write_changes(formatter, before, after)
            }
            Self::RemoveModel { model } => {
                write!(formatter, "remove model `{model}` and its adapters")
            }
            Self::AddService { service } => {
                write!(formatter, "add service `{}`: ", service.name)?;
                write_fields(formatter, &intent::part_fields(service))
            }
            Self::ChangeService { before, after } => {
                write!(formatter, "change service `{}`: ", after.name)?;
                write_changes(formatter, before, after)
            }
            Self::RemoveService { service } => write!(formatter, "remove service `{service}`"),
            Self::ChangeStore { before, after } => {
                formatter.write_str("change the weight store's limits: ")?;
                write_changes(formatter, before, after)
            }
        }
    }
}

fn write_fields(formatter: &mut fmt::Formatter<'_>, fields: &[intent::PartField]) -> fmt::Result {
    let mut separator = "";
    for field in fields {
        write!(formatter, "{separator}{} {}", field.path, field.value)?;
        separator = ", ";
    }
    Ok(())
}

fn write_changes<P: Serialize>(
    formatter: &mut fmt::Formatter<'_>,
    before: &P,
    after: &P,
) -> fmt::Result {
    let before = intent::part_fields(before);
    let after = intent::part_fields(after);
    let mut separator = "";
    for change in intent::field_changes(&before, &after) {
        write!(formatter, "{separator}{change}")?;
        separator = ", ";
    }
    Ok(())
}
