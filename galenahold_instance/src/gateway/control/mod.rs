//! Control group side of a gateway instance.

mod control_api;
mod fleet_handler;
mod fleet_leadership;
mod gateway_service;
mod handler_parts;
mod leader_notifier;
mod membership_reconciler;
mod notice_refusal;
mod order_sender;
mod placement_loop;
mod removal_monitor;
mod report_error;

pub(crate) use control_api::ControlApi;
pub(crate) use fleet_handler::FleetHandler;
use fleet_leadership::FleetLeadership;
pub(crate) use gateway_service::GatewayService;
pub(crate) use handler_parts::HandlerParts;
pub(crate) use leader_notifier::LeaderNotifier;
pub(crate) use membership_reconciler::{MembershipReconciler, voter_target};
use notice_refusal::NoticeRefusal;
pub(crate) use order_sender::OrderSender;
pub(crate) use placement_loop::PlacementLoop;
pub(crate) use removal_monitor::RemovalMonitor;
