//! The rows of a load update, encoded as arrays to save the field names.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::load;

/// A server that is new or has restarted, with the number that stands for it in later rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, name::ServerName, u64)")]
#[serde(into = "(u16, name::ServerName, u64)")]
pub struct ServerRow {
    /// The number of the server.
    pub number: u16,
    /// The server.
    pub server: name::ServerName,
    /// When this run of the server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// A model that is new, with the number that stands for it in later rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, name::ModelName)")]
#[serde(into = "(u16, name::ModelName)")]
pub struct ModelRow {
    /// The number of the model.
    pub number: u16,
    /// The model.
    pub model: name::ModelName,
}

/// The changed base time of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, load::PaceLevel)")]
#[serde(into = "(u16, load::PaceLevel)")]
pub struct BaseRow {
    /// The number of the model.
    pub number: u16,
    /// Time per event at a server of mean speed, in microseconds.
    pub event: load::PaceLevel,
}

impl From<(u16, name::ServerName, u64)> for ServerRow {
    fn from((number, server, started_ms): (u16, name::ServerName, u64)) -> Self {
        Self {
            number,
            server,
            started_ms,
        }
    }
}

impl From<ServerRow> for (u16, name::ServerName, u64) {
    fn from(row: ServerRow) -> Self {
        (row.number, row.server, row.started_ms)
    }
}

impl From<(u16, name::ModelName)> for ModelRow {
    fn from((number, model): (u16, name::ModelName)) -> Self {
        Self { number, model }
    }
}

impl From<ModelRow> for (u16, name::ModelName) {
    fn from(row: ModelRow) -> Self {
        (row.number, row.model)
    }
}

impl From<(u16, load::PaceLevel)> for BaseRow {
    fn from((number, event): (u16, load::PaceLevel)) -> Self {
        Self { number, event }
    }
}

impl From<BaseRow> for (u16, load::PaceLevel) {
    fn from(row: BaseRow) -> Self {
        (row.number, row.event)
    }
}
