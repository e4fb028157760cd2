//! The error of the crate.

use std::io;
use std::net;
use std::path;

use snafu::Snafu;

/// Says what the testkit attempted, on what, and what to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum TestkitError {
    /// A listening socket could not be had.
    #[snafu(display("cannot listen on {address}; choose a free address or port 0"))]
    Listen {
        /// The address asked for.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The asynchronous runtime could not start.
    #[snafu(display("cannot start the runtime; check the limit on threads"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// A TCP connection failed.
    #[snafu(display("cannot connect to {address}; check that the server runs"))]
    Connect {
        /// The address asked for.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// An HTTP exchange failed.
    #[snafu(display("HTTP exchange with {address} failed; check the server's log"))]
    Exchange {
        /// The server's address.
        address: net::SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// An HTTP request could not be built.
    #[snafu(display("cannot build the request {path:?}; check its characters"))]
    BuildRequest {
        /// The path asked for.
        path: String,
        /// The cause.
        source: http::Error,
    },
    /// An exchange did not end in time.
    #[snafu(display("no answer from {address} in time; check that the server is not stalled"))]
    Timeout {
        /// The server's address.
        address: net::SocketAddr,
    },
    /// A server answered with an unexpected status.
    #[snafu(display("{address} answered {status} to {path}; read the body in its log"))]
    Status {
        /// The server's address.
        address: net::SocketAddr,
        /// The path asked for.
        path: String,
        /// The status received.
        status: u16,
    },
    /// A JSON text did not have the expected form.
    #[snafu(display("cannot read {what} as JSON; compare it with docs/INTERFACES.md"))]
    Json {
        /// What was read.
        what: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("cannot access {}; check the path and its permissions", path.display()))]
    File {
        /// The path.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A binary could not be started.
    #[snafu(display("cannot start {}; build it first or set GALENAHOLD_BIN", path.display()))]
    Start {
        /// The binary.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A process could not be signalled.
    #[snafu(display("cannot signal the process of {name}; check that it runs"))]
    Signal {
        /// The instance's name.
        name: String,
        /// The cause.
        source: rustix::io::Errno,
    },
    /// A process does not run.
    #[snafu(display("{name} does not run; start it first"))]
    NotRunning {
        /// The instance's name.
        name: String,
    },
    /// An instance did not become ready.
    #[snafu(display("{name} was not ready in time; its log ends with:\n{log}"))]
    NotReady {
        /// The instance's name.
        name: String,
        /// Whether its process had ended.
        ended: bool,
        /// The end of its log.
        log: String,
    },
    /// A call had no whole answer.
    #[snafu(display("calling {url}: {source}"))]
    Call {
        /// Where it went.
        url: String,
        /// The cause.
        source: Box<ureq::Error>,
    },
    /// A blocking HTTP call had no answer.
    #[snafu(display("no answer from {address}; check that the server runs: {source}"))]
    Http {
        /// The server's address.
        address: net::SocketAddr,
        /// The cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The operators' face did not do a call.
    #[snafu(display("{path} was answered with {status}: {answer}; check the call and the logs"))]
    Operator {
        /// The path of the call.
        path: String,
        /// The status, zero without an answer.
        status: u16,
        /// The answer.
        answer: String,
    },
}
