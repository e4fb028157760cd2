//! HTTP/1.1 server and client pieces that the stand-ins share.

mod connection_reset;
mod http_client;
mod http_server;
mod json_answer;
mod request_handler;
mod served_stream;

pub(crate) use connection_reset::ConnectionReset;
pub(crate) use http_client::HttpClient;
pub(crate) use http_server::HttpServer;
pub(crate) use json_answer::{empty_answer, error_answer, json_answer, read_json};
pub(crate) use request_handler::RequestHandler;

/// Header that carries the id of a request, and that a server echoes.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that says whether a refused request may have run.
pub(crate) const VERDICT_HEADER: &str = "x-verdict";
/// Verdict of a request of which nothing ran.
pub(crate) const VERDICT_NOT_RUN: &str = "not-run";
