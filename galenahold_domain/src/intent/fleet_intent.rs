//! The root of the intent document: parsing, normalization and merging.

use std::collections;
use std::ops;

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::error;
use crate::intent;
use crate::name;

/// The desired state of the whole fleet, as operators write it in one document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetIntent {
    /// The teams, each with its rate, burst and weight.
    #[serde(default)]
    pub teams: Vec<intent::TeamIntent>,
    /// The models with their adapters.
    #[serde(default)]
    pub models: Vec<intent::ModelIntent>,
    /// The services, each of which offers models or plain backend servers to teams.
    #[serde(default)]
    pub services: Vec<intent::ServiceIntent>,
    /// The load limits of the weight store.
    #[serde(default)]
    pub store: intent::StoreLimits,
}

impl FleetIntent {
    /// Parses an intent from a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the line, the column and the field of the first error. Unknown fields are errors.
    pub fn from_json(text: &str) -> Result<Self, error::DomainError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let intent: Self = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| malformed_error(&error.path().to_string(), error.inner()))?;
        deserializer
            .end()
            .map_err(|error| malformed_error("", &error))?;
        Ok(intent)
    }

    /// Returns the intent with each list sorted by name, as the order of a document has no meaning.
    #[must_use]
    pub fn normalized(mut self) -> Self {
        self.teams.sort_by(|left, right| left.name.cmp(&right.name));
        self.models
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.services
            .sort_by(|left, right| left.name.cmp(&right.name));
        for model in &mut self.models {
            model
                .adapters
                .sort_by(|left, right| left.name.cmp(&right.name));
        }
        for service in &mut self.services {
            service.normalize();
        }
        self
    }

    /// Returns a digest of the document, without normalizing it first.
    pub(crate) fn content_digest(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        digest::ContentDigest::of_parts(&[&text]).to_string()
    }

    /// Returns the team with this name; the intent must be normalized.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&intent::TeamIntent> {
        find_part(&self.teams, name)
    }

    /// Returns the model with this name; the intent must be normalized.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&intent::ModelIntent> {
        find_part(&self.models, name)
    }

    /// Returns the service with this name; the intent must be normalized.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&intent::ServiceIntent> {
        find_part(&self.services, name)
    }

    /// Removes the named parts, then adds or replaces the parts in `set`, and sets the store limits.
    ///
    /// The intent must be normalized and stays so.
    pub(crate) fn merge(
        &mut self,
        set: &Self,
        removed_teams: &[name::TeamName],
        removed_models: &[name::ModelName],
        removed_services: &[name::ServiceName],
    ) {
        remove_parts(&mut self.teams, removed_teams);
        remove_parts(&mut self.models, removed_models);
        remove_parts(&mut self.services, removed_services);
        set_parts(&mut self.teams, &set.teams);
        set_parts(&mut self.models, &set.models);
        set_parts(&mut self.services, &set.services);
        self.store = set.store.clone();
    }
}

/// Creates an error from a parser's error, without the line and the column that end its message.
fn malformed_error(path: &str, error: &serde_json::Error) -> error::DomainError {
    let field = if path.is_empty() { "." } else { path };
    let reason = error.to_string();
    let location = format!(" at line {} column {}", error.line(), error.column());
    error::IntentMalformedSnafu {
        line: error.line(),
        column: error.column(),
        field,
        reason: reason.strip_suffix(&location).unwrap_or(&reason),
    }
    .build()
}

/// Returns the part with this name from a list that is sorted by name.
fn find_part<'a, P: intent::NamedPart>(parts: &'a [P], name: &str) -> Option<&'a P> {
    let position = parts.binary_search_by(|part| part.part_name().cmp(name));
    position.ok().and_then(|position| parts.get(position))
}

fn remove_parts<P: intent::NamedPart, N: ops::Deref<Target = str>>(
    parts: &mut Vec<P>,
    names: &[N],
) {
    if names.is_empty() {
        return;
    }
    let names: collections::BTreeSet<&str> = names.iter().map(ops::Deref::deref).collect();
    parts.retain(|part| !names.contains(part.part_name()));
}

/// Adds the parts to a list that is sorted by name, or replaces those with the same names.
fn set_parts<P: intent::NamedPart>(parts: &mut Vec<P>, set: &[P]) {
    for part in set {
        let position = parts.binary_search_by(|known| known.part_name().cmp(part.part_name()));
        match position {
            Ok(position) => parts[position] = part.clone(),
            Err(position) => parts.insert(position, part.clone()),
        }
    }
}
