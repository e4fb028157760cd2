//! Translation between a platform's messages and the gateway's types.

use std::fmt;
use std::net;

use galenahold_domain::declaration;
use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use http::{HeaderMap, Method, Request, StatusCode, request};

use crate::gateway::dialect;

/// Translates between the messages of a platform and the gateway's types; makes no decisions.
pub trait FleetDialect: Clone + fmt::Debug + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> dialect::CallMetadata;

    /// Builds the headers for a backend server from the caller's headers.
    fn attempt_headers(
        &self,
        caller: &HeaderMap,
        attempt: &dialect::AttemptMetadata<'_>,
    ) -> HeaderMap;

    /// Parses the head of a backend server's answer to the request with the given id.
    fn read_answer(
        &self,
        call_id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> dialect::AnswerMetadata;

    /// Builds the headers for the caller from the backend server's headers.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Returns whether the path is the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Classifies a request to the control API.
    fn control_request(&self, method: &Method, path: &str) -> dialect::ControlRequest;

    /// Parses an operator's document.
    ///
    /// # Errors
    ///
    /// The document is invalid or not fully understood; the error names the field.
    fn read_document(
        &self,
        content: &[u8],
    ) -> Result<declaration::FleetDeclaration, dialect::DialectError>;

    /// Parses a backend server's notice.
    ///
    /// # Errors
    ///
    /// The notice is invalid; the error names the field.
    fn read_notice(
        &self,
        server: &str,
        content: &[u8],
    ) -> Result<fleet::ServerNotice, dialect::DialectError>;

    /// Builds the answer to a notice; the server should send later notices to `next`.
    fn notice_answer(&self, next: Option<net::SocketAddr>) -> bytes::Bytes;

    /// Builds the request that sends an order to an engine.
    fn order_request(
        &self,
        order: &placement::EngineOrder,
        metadata: &dialect::OrderMetadata<'_>,
    ) -> Request<bytes::Bytes>;

    /// Interprets the status of an engine's answer to an order.
    fn read_receipt(&self, status: StatusCode) -> placement::OrderReceipt;

    /// Builds the request for an engine's report.
    fn report_request(&self, server: &name::ServerName) -> Request<bytes::Bytes>;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// The report is invalid; the error names the field.
    fn read_report(&self, content: &[u8])
    -> Result<placement::EngineReport, dialect::DialectError>;
}
