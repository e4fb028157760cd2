//! An answer whose body is still to be read.

use std::time;

use http::response;
use http_body_util::BodyExt;
use hyper::body;

use crate::backend;

/// An answer of a backend server whose body is still to be read.
///
/// Dropping it before the body's end closes the connection, which cancels the request there.
#[derive(Debug)]
pub(crate) struct BackendExchange {
    pub(super) head: response::Parts,
    pub(super) body: body::Incoming,
    pub(super) connection: backend::PooledConnection,
    pub(super) pool: backend::ConnectionPool,
    pub(super) address: backend::BackendAddress,
}

impl BackendExchange {
    /// Returns the status and headers.
    pub(crate) fn head(&self) -> &response::Parts {
        &self.head
    }

    /// Reads the next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The answer was cut short.
    pub(crate) async fn next_chunk(
        &mut self,
    ) -> Result<Option<bytes::Bytes>, backend::AttemptError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame
                .map_err(|_| backend::AttemptError::may_have_run(backend::AttemptErrorKind::Cut))?;
            if let Ok(chunk) = frame.into_data() {
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads the whole rest of the body, up to `max_bytes`, until `deadline`.
    ///
    /// # Errors
    ///
    /// The answer was cut short, is too large or did not come in time.
    pub(crate) async fn read_rest(
        &mut self,
        max_bytes: usize,
        deadline: time::Instant,
    ) -> Result<bytes::Bytes, backend::AttemptError> {
        let reading = self.collect(max_bytes);
        tokio::time::timeout_at(deadline.into(), reading)
            .await
            .unwrap_or_else(|_| {
                Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Timeout,
                ))
            })
    }

    async fn collect(&mut self, max_bytes: usize) -> Result<bytes::Bytes, backend::AttemptError> {
        let mut buffer = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if buffer.len() + chunk.len() > max_bytes {
                return Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Cut,
                ));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.freeze())
    }

    /// Gives the connection back for the next request, after the body was read to its end.
    ///
    /// Returns the status and headers.
    pub(crate) fn finish(self) -> response::Parts {
        // An answer that ends with its connection cannot be told from one that was cut, and its
        // connection serves nobody else.
        if self.is_delimited() {
            let idle_timeout = idle_timeout(&self.head.headers);
            self.pool.put(&self.address, self.connection, idle_timeout);
        }
        self.head
    }

    /// Returns whether the answer's end can be told from a cut: it has a length or is chunked.
    pub(crate) fn is_delimited(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
            || self.head.status == http::StatusCode::NO_CONTENT
            || self.head.status == http::StatusCode::NOT_MODIFIED
    }
}

/// Returns how long the server keeps an idle connection, where it says so.
fn idle_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(time::Duration::from_secs)
}
