//! Reads request bodies within limits of size, time and memory.

use std::time;

use http_body_util::BodyExt;
use hyper::body;

use crate::api;
use crate::buffer;

/// When a caller should repeat a request that found no memory for its body.
const BUFFER_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Reads request bodies up to a maximum size and within a timeout.
#[derive(Debug, Clone)]
pub(crate) struct BodyReader {
    max_bytes: usize,
    timeout: time::Duration,
    buffers: buffer::BufferBudget,
}

impl BodyReader {
    /// Creates a reader of bodies of up to `max_bytes` that arrive within `timeout`.
    pub(crate) fn new(max_bytes: usize, timeout: time::Duration) -> Self {
        Self {
            max_bytes,
            timeout,
            buffers: buffer::BufferBudget::new(max_bytes),
        }
    }

    /// Sets the budget of all bodies that are held until their requests end.
    pub(crate) fn with_buffers(mut self, buffers: buffer::BufferBudget) -> Self {
        self.buffers = buffers;
        self
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the body is too large, alone or beside others, arrives too
    /// slowly or cannot be read.
    pub(crate) async fn read(
        &self,
        body: body::Incoming,
    ) -> Result<bytes::Bytes, api::RequestRefusal> {
        let read = tokio::time::timeout(self.timeout, self.collect(body)).await;
        read.unwrap_or_else(|_| {
            Err(api::RequestRefusal::not_run(
                api::RefusalKind::SlowRequest,
                format!("the body did not arrive within {:?}", self.timeout),
            ))
        })
    }

    async fn collect(&self, mut body: body::Incoming) -> Result<bytes::Bytes, api::RequestRefusal> {
        let mut share = self.buffers.share();
        let mut collected = bytes::BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                api::RequestRefusal::not_run(
                    api::RefusalKind::BadRequest,
                    format!("the body could not be read: {error}"),
                )
            })?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            if collected.len() + chunk.len() > self.max_bytes {
                return Err(api::RequestRefusal::not_run(
                    api::RefusalKind::TooLarge,
                    format!("the body has more than {} bytes", self.max_bytes),
                ));
            }
            if !share.grow(chunk.len()) {
                return Err(api::RequestRefusal::not_run(
                    api::RefusalKind::QueueFull,
                    "the bodies of other requests use up the memory",
                )
                .retry_after(BUFFER_RETRY_DELAY));
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(buffer::SharedBytes::bind(collected.freeze(), share))
    }
}
