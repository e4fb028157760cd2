//! Executes placement decisions at the leader: commits, orders to engines and notices to instances.

mod command_runner;
mod engine_client;
mod engine_order;
mod engine_term;
mod notice_sender;
mod order_result;
mod order_runner;
mod placement_driver;

pub(crate) use command_runner::CommandRunner;
pub(crate) use engine_client::EngineClient;
pub(crate) use engine_order::{EngineOrder, OrderAction};
pub(crate) use engine_term::EngineTerm;
pub(crate) use notice_sender::NoticeSender;
pub(crate) use order_result::OrderResult;
pub(crate) use order_runner::OrderRunner;
pub(crate) use placement_driver::{DriverEvent, PlacementDriver};
