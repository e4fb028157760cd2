//! The behaviour of one HTTP face.

use std::error;
use std::future;

use bytes::Bytes;
use http_body::Body;
use hyper::body;

use super::ConnectionReset;

/// Answers requests of one HTTP face.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// The body of its answers.
    type Body: Body<Data = Bytes, Error: error::Error + Send + Sync> + Send + 'static;

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// A [`ConnectionReset`] resets the connection without an answer.
    fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> impl future::Future<Output = Result<http::Response<Self::Body>, ConnectionReset>> + Send;
}
