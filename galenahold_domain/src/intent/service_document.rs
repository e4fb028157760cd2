//! The serialized form of a service.

use serde::{Deserialize, Serialize};

use crate::intent;
use crate::name;

const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The value of the field `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DocumentKind {
    /// A service that offers models.
    Models,
    /// A plain service.
    Plain,
}

/// The serialized form of a service, in which the fields of the route are on the same level as those
/// of the service.
///
/// The struct lists the fields of all kinds of routes, because Serde's `flatten` would accept
/// unknown fields without an error.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceDocument {
    name: name::ServiceName,
    kind: DocumentKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    models: Option<Vec<name::ModelName>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    path_prefix: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    idempotent_methods: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    call_tokens: Option<u64>,
    #[serde(default)]
    teams: Vec<name::TeamName>,
    #[serde(default)]
    open: bool,
    #[serde(default)]
    priority: i32,
    #[serde(default = "default_deadline_ms")]
    deadline_ms: u64,
    #[serde(default)]
    objective: intent::ServiceObjective,
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

impl ServiceDocument {
    fn route(&self) -> Result<intent::RouteKind, String> {
        match self.kind {
            DocumentKind::Models => self.models_route(),
            DocumentKind::Plain => self.plain_route(),
        }
    }

    fn models_route(&self) -> Result<intent::RouteKind, String> {
        self.reject_field("path_prefix", self.path_prefix.is_some(), "models")?;
        self.reject_field(
            "idempotent_methods",
            self.idempotent_methods.is_some(),
            "models",
        )?;
        self.reject_field("call_tokens", self.call_tokens.is_some(), "models")?;
        let models = self.models.clone();
        let models = models.ok_or_else(|| self.missing_field_error("models", "models"))?;
        Ok(intent::RouteKind::Models { models })
    }

    fn plain_route(&self) -> Result<intent::RouteKind, String> {
        self.reject_field("models", self.models.is_some(), "plain")?;
        let path_prefix = self.path_prefix.clone();
        let path_prefix =
            path_prefix.ok_or_else(|| self.missing_field_error("path_prefix", "plain"))?;
        Ok(intent::RouteKind::Plain {
            path_prefix,
            idempotent_methods: self.idempotent_methods.clone().unwrap_or_default(),
            call_tokens: self.call_tokens.unwrap_or_default(),
        })
    }

    /// Returns an error if a field is present that the route's kind does not have.
    fn reject_field(&self, field: &str, present: bool, kind: &str) -> Result<(), String> {
        if present {
            return Err(format!(
                "service `{}`: unknown field `{field}` for the kind `{kind}`",
                self.name
            ));
        }
        Ok(())
    }

    fn missing_field_error(&self, field: &str, kind: &str) -> String {
        format!(
            "service `{}`: missing field `{field}` for the kind `{kind}`",
            self.name
        )
    }
}

impl TryFrom<ServiceDocument> for intent::ServiceIntent {
    type Error = String;

    fn try_from(document: ServiceDocument) -> Result<Self, String> {
        let route = document.route()?;
        Ok(Self {
            name: document.name,
            route,
            teams: document.teams,
            open: document.open,
            priority: document.priority,
            deadline_ms: document.deadline_ms,
            objective: document.objective,
        })
    }
}

impl From<intent::ServiceIntent> for ServiceDocument {
    fn from(service: intent::ServiceIntent) -> Self {
        let mut document = Self {
            name: service.name,
            kind: DocumentKind::Models,
            models: None,
            path_prefix: None,
            idempotent_methods: None,
            call_tokens: None,
            teams: service.teams,
            open: service.open,
            priority: service.priority,
            deadline_ms: service.deadline_ms,
            objective: service.objective,
        };
        match service.route {
            intent::RouteKind::Models { models } => document.models = Some(models),
            intent::RouteKind::Plain {
                path_prefix,
                idempotent_methods,
                call_tokens,
            } => {
                document.kind = DocumentKind::Plain;
                document.path_prefix = Some(path_prefix);
                document.idempotent_methods = Some(idempotent_methods);
                document.call_tokens = Some(call_tokens);
            }
        }
        document
    }
}
