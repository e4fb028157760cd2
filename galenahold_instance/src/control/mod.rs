//! The control group at this instance: the replicated state and the handlers of calls to the leader.

mod command_error;
mod control_group;
mod control_handler;
mod control_machine;
mod crash_records;
mod drain_view;
mod grant_handler;
mod leadership_observer;
mod log_transport;
mod member_handler;
mod member_settings;
mod operator_handler;
mod shared_state;

pub(crate) use command_error::CommandError;
pub(crate) use control_group::ControlGroup;
pub(crate) use control_handler::{ControlHandler, HandlerParts, update_since};
pub(crate) use control_machine::ControlMachine;
pub(crate) use crash_records::{clear_suspects, record_crash, suspect_list};
pub(crate) use drain_view::drain_list;
pub(crate) use grant_handler::{ActiveTeams, GrantHandler};
pub(crate) use leadership_observer::LeadershipObserver;
pub(crate) use log_transport::LogTransport;
pub(crate) use member_handler::MemberHandler;
pub(crate) use member_settings::MemberSettings;
pub(crate) use operator_handler::OperatorHandler;
pub(crate) use shared_state::SharedState;
