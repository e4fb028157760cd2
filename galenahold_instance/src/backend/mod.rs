//! HTTP client for backend servers, whose errors say whether a request may have run.

mod attempt_error;
mod backend_address;
mod backend_client;
mod backend_exchange;
mod connection_pool;

pub(crate) use attempt_error::{AttemptError, AttemptErrorKind};
pub(crate) use backend_address::BackendAddress;
pub(crate) use backend_client::{BackendClient, ConnectionReuse};
pub(crate) use backend_exchange::BackendExchange;
pub(crate) use connection_pool::{ConnectionPool, PooledConnection};
