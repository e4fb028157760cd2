//! A trace against a fleet of real instances, with checks on the stand-ins' ledgers.

mod experiment_builder;
mod experiment_result;
mod ledger_findings;

pub use experiment_builder::ExperimentBuilder;
pub use experiment_result::ExperimentResult;
pub use ledger_findings::LedgerFindings;
