//! The callers' HTTP face.

use std::net;

use http::{Request, Response};
use hyper::body;

use crate::entry;
use crate::face;
use crate::peer;

/// The callers' HTTP face.
#[derive(Debug, Clone)]
pub(crate) struct CallerFace<Desk> {
    desk: entry::EntryDesk<Desk>,
}

impl<Desk: peer::LocalDesk> CallerFace<Desk> {
    /// Creates the face.
    pub(crate) fn new(desk: entry::EntryDesk<Desk>) -> Self {
        Self { desk }
    }
}

impl<Desk: peer::LocalDesk> face::HttpHandler for CallerFace<Desk> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<face::AnswerBody> {
        self.desk.answer(request).await
    }
}
