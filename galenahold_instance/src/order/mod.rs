//! Orders: calls that must not run twice.

mod order_desk;

pub(crate) use order_desk::{OrderDesk, OrderGate};
