//! The control group's side of a gateway instance.

mod control_face;
mod desk_parts;
mod fleet_desk;
mod fleet_leadership;
mod gateway_service;
mod leader_lookout;
mod member_keeper;
mod member_watch;
mod order_sender;
mod placement_loop;
mod report_error;

pub(crate) use control_face::ControlFace;
pub(crate) use desk_parts::DeskParts;
pub(crate) use fleet_desk::FleetDesk;
use fleet_leadership::FleetLeadership;
pub(crate) use gateway_service::GatewayService;
pub(crate) use leader_lookout::LeaderLookout;
pub(crate) use member_keeper::MemberKeeper;
pub(crate) use member_watch::MemberWatch;
pub(crate) use order_sender::OrderSender;
pub(crate) use placement_loop::PlacementLoop;
