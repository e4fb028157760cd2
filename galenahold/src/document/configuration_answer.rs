//! What the check of a configuration prints.

use serde::Serialize;

/// What the check of a configuration prints.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigurationAnswer {
    /// The number of the configuration.
    pub(crate) number: u64,
    /// Whether the fleet would accept it.
    pub(crate) valid: bool,
    /// The errors and warnings.
    pub(crate) findings: Vec<ConfigurationFinding>,
    /// The differences from the configuration in force, if that was named.
    pub(crate) differences: Option<Vec<ConfigurationDifference>>,
}

/// An error or a warning.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigurationFinding {
    /// `error` or `warning`.
    pub(crate) severity: String,
    /// The path of the field.
    pub(crate) field: String,
    /// The problem.
    pub(crate) problem: String,
}

/// A difference from the configuration in force.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigurationDifference {
    /// The part, by kind and name.
    pub(crate) part: String,
    /// `added`, `removed` or `changed`.
    pub(crate) change: &'static str,
    /// The changed field.
    pub(crate) field: Option<&'static str>,
    /// The value in force.
    pub(crate) before: Option<String>,
    /// The new value.
    pub(crate) after: Option<String>,
}
