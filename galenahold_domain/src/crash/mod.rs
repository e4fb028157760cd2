//! Requests that crash backend servers, and how the control group learns which do.
//!
//! Entry instances report which calls were in progress when a backend server crashed. The control
//! group's [`CrashLedger`] compares the reports of all instances. A part of a prompt that crashes servers
//! is among the calls that wait for their answer each time, and no answer to a call with it ever begins. A
//! request that crashes servers at any moment is among all calls each time its caller repeats it, and its
//! answer is never completed. Instances refuse calls with the keys on the resulting [`SuspectList`].

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
