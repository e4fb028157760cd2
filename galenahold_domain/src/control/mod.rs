//! The control group's replicated state: its commands and outcomes, and the configuration that
//! instances follow.

mod change_history;
mod configuration_change;
mod configuration_index;
mod configuration_ledger;
mod configuration_view;
mod control_command;
mod control_outcome;
mod control_state;
mod operator_ledger;
mod operator_request;
mod plan_conflict;
mod resolved_model;
mod withdrawn_keys;

pub(crate) use change_history::ChangeHistory;
pub use configuration_change::ConfigurationChange;
pub use configuration_index::ConfigurationIndex;
pub(crate) use configuration_ledger::ConfigurationLedger;
pub use configuration_view::ConfigurationView;
pub use control_command::ControlCommand;
pub use control_outcome::ControlOutcome;
pub use control_state::ControlState;
pub(crate) use operator_ledger::OperatorLedger;
pub use operator_request::OperatorRequest;
pub use plan_conflict::PlanConflict;
pub use resolved_model::ResolvedModel;
pub(crate) use withdrawn_keys::WithdrawnKeys;
