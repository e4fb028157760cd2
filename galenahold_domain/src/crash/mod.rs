//! Requests that crash backend servers, and how the control group learns which part of a prompt does.
//!
//! Entry instances report which calls waited for the begin of their answer when a backend server
//! crashed. The control group's [`CrashLedger`] compares the reports of all instances: a part of a
//! prompt that crashes servers is among these calls each time, and no answer to a call with it ever
//! begins. Instances refuse calls with the parts on the resulting [`SuspectList`].

mod blocked_prompt;
mod crash_incident;
mod crash_ledger;
mod crash_report;
mod prompt_key;
mod suspect_call;
mod suspect_list;
mod suspicion;

pub use blocked_prompt::BlockedPrompt;
use crash_incident::CrashIncident;
pub use crash_ledger::CrashLedger;
pub use crash_report::CrashReport;
pub use prompt_key::PromptKey;
pub use suspect_call::SuspectCall;
pub use suspect_list::SuspectList;
use suspicion::PromptSuspicion;
