//! Reads request bodies within limits of size and time.

use std::time;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body;

use crate::api;

/// Reads request bodies up to a maximum size and within a timeout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyReader {
    /// The maximum size of a body, in bytes.
    pub(crate) max_bytes: usize,
    /// The maximum time for a body to arrive.
    pub(crate) timeout: time::Duration,
}

impl BodyReader {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the body is too large, arrives too slowly or cannot be
    /// read.
    pub(crate) async fn read(
        self,
        body: body::Incoming,
    ) -> Result<bytes::Bytes, api::RequestRefusal> {
        let limited = Limited::new(body, self.max_bytes);
        let read = tokio::time::timeout(self.timeout, limited.collect()).await;
        let collected = read.map_err(|_| {
            api::RequestRefusal::not_run(
                api::RefusalKind::SlowRequest,
                format!("the body did not arrive within {:?}", self.timeout),
            )
        })?;
        let bytes = collected.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return api::RequestRefusal::not_run(
                    api::RefusalKind::TooLarge,
                    format!("the body has more than {} bytes", self.max_bytes),
                );
            }
            api::RequestRefusal::not_run(
                api::RefusalKind::BadRequest,
                format!("the body could not be read: {error}"),
            )
        })?;
        Ok(bytes.to_bytes())
    }
}
