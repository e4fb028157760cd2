//! A trace and its file.

use std::fs;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path;

use snafu::ResultExt;

use super::TraceRequest;
use crate::testkit_error::{FileSnafu, JsonSnafu, TestkitError};

/// Requests in order of their times; its file has one JSON text a line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadTrace {
    requests: Vec<TraceRequest>,
}

impl LoadTrace {
    /// Makes a trace of requests, which it orders by their times.
    #[must_use]
    pub fn new(mut requests: Vec<TraceRequest>) -> Self {
        requests.sort_by_key(|request| request.at_us);
        Self { requests }
    }

    /// Returns the requests.
    #[must_use]
    pub fn requests(&self) -> &[TraceRequest] {
        &self.requests
    }

    /// Reads a trace file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or a line has another form.
    pub fn read(path: &path::Path) -> Result<Self, TestkitError> {
        let file = fs::File::open(path).context(FileSnafu { path })?;
        let mut requests = Vec::new();
        for line in BufReader::new(file).lines() {
            let line = line.context(FileSnafu { path })?;
            let request = serde_json::from_str(&line).context(JsonSnafu {
                what: format!("line {} of {}", requests.len() + 1, path.display()),
            })?;
            requests.push(request);
        }
        Ok(Self::new(requests))
    }

    /// Writes a trace file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &path::Path) -> Result<(), TestkitError> {
        let file = fs::File::create(path).context(FileSnafu { path })?;
        let mut writer = BufWriter::new(file);
        for request in &self.requests {
            let line = serde_json::json!(request);
            writeln!(writer, "{line}").context(FileSnafu { path })?;
        }
        writer.flush().context(FileSnafu { path })
    }
}
