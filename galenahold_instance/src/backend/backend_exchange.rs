//! Request and answer in progress on a connection to a backend server.

use std::time;

use http::response;
use http_body_util::BodyExt;
use hyper::body;

use crate::backend;
use crate::buffer;

/// An answer of a backend server whose head has arrived and whose body has not been read yet.
///
/// Dropping it before the end of the body closes the connection, which cancels the request at the
/// server.
#[derive(Debug)]
pub(crate) struct BackendExchange {
    pub(super) head: response::Parts,
    pub(super) body: body::Incoming,
    pub(super) connection: backend::PooledConnection,
    pub(super) pool: backend::ConnectionPool,
    pub(super) buffers: buffer::BufferBudget,
    pub(super) address: backend::BackendAddress,
}

impl BackendExchange {
    /// Returns the status and headers of the answer.
    pub(crate) fn head(&self) -> &response::Parts {
        &self.head
    }

    /// Returns whether the connection served earlier requests, of which the server may send answers
    /// again.
    pub(crate) fn is_reused(&self) -> bool {
        self.connection.is_reused
    }

    /// Returns the share of the client's buffers for a part of the body that is held by the reader.
    pub(crate) fn buffer_share(&self) -> buffer::BufferShare {
        self.buffers.share()
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The answer was truncated.
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

    /// Reads the rest of the body, up to `max_bytes`, until `deadline`.
    ///
    /// # Errors
    ///
    /// The answer was truncated, is too large, alone or beside others that are being read, or did not
    /// arrive in time.
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
        let mut share = self.buffer_share();
        let mut body = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            let fits = body.len() + chunk.len() <= max_bytes && share.grow(chunk.len());
            if !fits {
                return Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Cut,
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(buffer::SharedBytes::bind(body.freeze(), share))
    }

    /// Returns the connection to the pool after the body was read to its end.
    ///
    /// Returns the status and headers of the answer.
    pub(crate) fn finish(self) -> response::Parts {
        // An answer that ends by closing its connection is indistinguishable from a truncated one,
        // and its connection cannot be reused.
        if self.is_delimited() {
            let idle_timeout = idle_timeout(&self.head.headers);
            self.pool.put(&self.address, self.connection, idle_timeout);
        }
        self.head
    }

    /// Returns whether the end of the answer is marked, by a length or a final chunk, so that
    /// truncation is detected.
    pub(crate) fn is_delimited(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
            || self.head.status == http::StatusCode::NO_CONTENT
            || self.head.status == http::StatusCode::NOT_MODIFIED
    }
}

/// Returns the idle timeout that the server states in its `keep-alive` header, if any.
fn idle_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(time::Duration::from_secs)
}
