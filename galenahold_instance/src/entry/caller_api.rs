//! HTTP API for callers of models and services.

use std::net;

use http::{Request, Response};
use hyper::body;

use crate::api;
use crate::entry;
use crate::peer;

/// The HTTP API for callers of models and services.
#[derive(Debug, Clone)]
pub(crate) struct CallerApi<Handler> {
    handler: entry::EntryHandler<Handler>,
}

impl<Handler: peer::LocalHandler> CallerApi<Handler> {
    /// Creates an API whose requests `handler` answers.
    pub(crate) fn new(handler: entry::EntryHandler<Handler>) -> Self {
        Self { handler }
    }
}

impl<Handler: peer::LocalHandler> api::HttpHandler for CallerApi<Handler> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        self.handler.answer(request).await
    }
}
