//! The result of an experiment and its file.

use std::fs;
use std::path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{FaultRecord, LedgerFindings};
use crate::load;
use crate::testkit_error::{FileSnafu, TestkitError};

/// What callers and stand-ins saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// What callers saw; `compare` reads it from the same file.
    #[serde(flatten)]
    pub load: load::LoadResult,
    /// The faults that were made.
    pub faults: Vec<FaultRecord>,
    /// What the ledgers say.
    pub findings: LedgerFindings,
}

impl ExperimentResult {
    /// Writes a result file, which also reads as a [`load::LoadResult`].
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &path::Path) -> Result<(), TestkitError> {
        let text = format!("{:#}\n", serde_json::json!(self));
        fs::write(path, text).context(FileSnafu { path })
    }
}
