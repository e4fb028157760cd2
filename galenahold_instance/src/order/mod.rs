//! Client of the ledger of orders, which are calls that must not run twice.

mod order_client;

pub(crate) use order_client::{OrderClient, OrderPermission};
