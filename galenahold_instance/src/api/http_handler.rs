//! Interface between an HTTP listener and the API that answers its requests.

use std::future;
use std::net;

use http::{Request, Response};
use hyper::body;

use crate::api;

/// Answers the requests of an HTTP API.
pub(crate) trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers one request that arrived from `peer`.
    fn handle(
        self,
        request: Request<body::Incoming>,
        peer: net::SocketAddr,
    ) -> impl future::Future<Output = Response<api::AnswerBody>> + Send;
}
