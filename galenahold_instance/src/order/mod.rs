//! Orders: calls that must not run twice.

mod order_client;

pub(crate) use order_client::{OrderClient, OrderPermission};
