//! The words of a platform.

use std::fmt;
use std::net;

use galenahold_domain::declaration;
use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use http::{HeaderMap, Method, Request, StatusCode, request};

use crate::gateway::dialect;

/// The words of a platform: how its messages stand for the gateway's. It decides nothing.
pub trait FleetDialect: Clone + fmt::Debug + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> dialect::CallerCall;

    /// Makes the headers for a backend server from those of the caller.
    fn attempt_headers(
        &self,
        caller: &HeaderMap,
        attempt: &dialect::AttemptMetadata<'_>,
    ) -> HeaderMap;

    /// Reads the head of a backend server's answer to the request with this id.
    fn read_answer(
        &self,
        call_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> dialect::AnswerMetadata;

    /// Makes the headers for the caller from those of the backend server.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Returns whether the path asks for readiness.
    fn asks_readiness(&self, path: &str) -> bool;

    /// Tells what a request to the control face is.
    fn control_request(&self, method: &Method, path: &str) -> dialect::ControlRequest;

    /// Reads an operator's document.
    ///
    /// # Errors
    ///
    /// The document cannot be read in full; the error names the field.
    fn read_document(
        &self,
        content: &[u8],
    ) -> Result<declaration::FleetDeclaration, dialect::DialectError>;

    /// Reads a backend server's notice.
    ///
    /// # Errors
    ///
    /// The notice cannot be read; the error names the field.
    fn read_notice(
        &self,
        server: &str,
        content: &[u8],
    ) -> Result<fleet::ServerNotice, dialect::DialectError>;

    /// Writes the answer to a notice; later ones should go to `next`.
    fn notice_answer(&self, next: Option<net::SocketAddr>) -> bytes::Bytes;

    /// Writes an order to an engine.
    fn order_request(
        &self,
        order: &placement::EngineOrder,
        metadata: &dialect::OrderMetadata<'_>,
    ) -> Request<bytes::Bytes>;

    /// Reads an engine's answer to an order.
    fn read_receipt(&self, status: StatusCode) -> placement::OrderReceipt;

    /// Writes the request for an engine's report.
    fn report_request(&self, server: &name::ServerName) -> Request<bytes::Bytes>;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// The report cannot be read; the error names the field.
    fn read_report(&self, content: &[u8])
    -> Result<placement::EngineReport, dialect::DialectError>;
}
