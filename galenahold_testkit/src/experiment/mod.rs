//! A trace against a fleet of real instances, with checks on the stand-ins' ledgers.

mod experiment_builder;
mod experiment_result;
mod fault_runner;
mod fleet_fault;
mod ledger_findings;

pub use experiment_builder::ExperimentBuilder;
pub use experiment_result::ExperimentResult;
pub use fleet_fault::{FaultRecord, FleetFault, PlannedFault};
pub use ledger_findings::LedgerFindings;
