//! Carries out the placement's decisions at the leader.

mod engine_client;
mod engine_order;
mod order_result;
mod placement_driver;

pub(crate) use engine_client::EngineClient;
pub(crate) use engine_order::{EngineOrder, OrderAction};
pub(crate) use order_result::OrderResult;
pub(crate) use placement_driver::PlacementDriver;
