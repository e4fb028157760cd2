//! The orders to load and unload.

use super::FencingNumber;
use super::adapter_body::AdapterBody;
use super::repository_body::RepositoryBody;
use crate::ledger;

/// An order in one form for both interfaces.
#[derive(Debug, Clone)]
pub(crate) struct LoadOrder {
    /// What it asks for.
    pub(crate) kind: ledger::PlacementKind,
    /// The base model.
    pub(crate) model: String,
    /// The adapter, if one is meant.
    pub(crate) adapter: Option<String>,
    /// The version, empty for any.
    pub(crate) version: String,
    /// Memory it takes.
    pub(crate) bytes: u64,
    /// Its number.
    pub(crate) order: u64,
    /// Its fencing number as sent.
    pub(crate) fencing_text: Option<String>,
    /// Its fencing number.
    pub(crate) fencing: Option<FencingNumber>,
}

impl LoadOrder {
    /// Makes the order for a base model.
    pub(crate) fn for_model(
        kind: ledger::PlacementKind,
        model: &str,
        body: RepositoryBody,
        headers: &http::HeaderMap,
    ) -> Self {
        let parameters = body.parameters;
        Self {
            kind,
            model: model.to_owned(),
            adapter: None,
            version: parameters.version,
            bytes: parameters.bytes,
            order: parameters.order,
            fencing_text: fencing_text(headers),
            fencing: FencingNumber::from_headers(headers),
        }
    }

    /// Makes the order for an adapter.
    pub(crate) fn for_adapter(
        kind: ledger::PlacementKind,
        body: AdapterBody,
        headers: &http::HeaderMap,
    ) -> Self {
        Self {
            kind,
            model: body.base_model_name,
            adapter: Some(body.lora_name),
            version: String::new(),
            bytes: body.bytes,
            order: body.order,
            fencing_text: fencing_text(headers),
            fencing: FencingNumber::from_headers(headers),
        }
    }

    /// Returns the name that requests will use.
    pub(crate) fn name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }

    /// Returns its ledger entry.
    pub(crate) fn record(&self) -> ledger::PlacementRecord {
        ledger::PlacementRecord {
            kind: self.kind,
            model: self.name().to_owned(),
            version: self.version.clone(),
            order: self.order,
            fencing: self.fencing_text.clone(),
            received_us: ledger::unix_micros(),
            ended_us: None,
            status: None,
        }
    }
}

/// Returns the fencing header as sent.
fn fencing_text(headers: &http::HeaderMap) -> Option<String> {
    let value = headers.get(super::fencing_number::FENCING_HEADER)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}
