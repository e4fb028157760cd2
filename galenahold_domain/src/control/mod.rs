//! The control group's replicated state: commands, outcomes and what instances see of it.

mod configuration_change;
mod configuration_view;
mod control_command;
mod control_outcome;
mod operator_request;
mod plan_conflict;

pub use configuration_change::ConfigurationChange;
pub use configuration_view::ConfigurationView;
pub use control_command::ControlCommand;
pub use control_outcome::ControlOutcome;
pub use operator_request::OperatorRequest;
pub use plan_conflict::PlanConflict;
