//! Answers the requests of a face.

use std::future;
use std::net;

use http::{Request, Response};
use hyper::body;

use crate::api;

/// Answers the requests of a face.
pub(crate) trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers one request from `peer`.
    fn handle(
        self,
        request: Request<body::Incoming>,
        peer: net::SocketAddr,
    ) -> impl future::Future<Output = Response<api::AnswerBody>> + Send;
}
