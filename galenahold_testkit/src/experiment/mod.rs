//! A trace against a fleet of real instances, with checks on the stand-ins' ledgers.

mod experiment_builder;
mod experiment_result;
mod fault_record;
mod fault_runner;
mod fleet_fault;
mod ledger_findings;
mod planned_fault;
mod team_key;

pub use experiment_builder::ExperimentBuilder;
pub use experiment_result::ExperimentResult;
pub use fault_record::FaultRecord;
pub use fleet_fault::FleetFault;
pub use ledger_findings::LedgerFindings;
pub use planned_fault::PlannedFault;
